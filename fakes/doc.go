// Package fakes has stand-ins for the platform and for workers, for use in tests
// and in the demo command. They implement the protocols described in plat and
// endpt and record the calls they receive, so that a test can compare these with
// the answers that callers and operators got.
package fakes
