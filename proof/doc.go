// Package proof holds the integration tests. They run the program and stand-ins
// for the platform and the workers as processes, with a fault proxy on the links
// between them.
//
// A test compares the answers that callers and operators got with the tasks and
// calls that the stand-ins recorded. The package has no code outside of its
// tests.
package proof
