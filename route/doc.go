// Package route dispatches the work of callers to workers: it queues work per
// pool, takes slots on a host, sends the task to the worker there, retries what
// may be retried and streams the answer back.
//
// A Router reads the state of the fleet from an immutable View, which the
// control loop replaces. A Router is safe for concurrent use.
package route
