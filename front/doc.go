// Package front implements the HTTP API that the design package declares: the
// work and health services for callers, the fleet and health services for
// operators. It converts the errors of other packages to the API's errors and
// outcomes.
package front
