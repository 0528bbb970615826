package route

import "errors"

var (
	// ErrInvalid is returned for work that names something unknown or carries a
	// value out of range; it was not run.
	ErrInvalid = errors.New("invalid work")
	// ErrNoQueue is returned for an unknown queue; the work was not run.
	ErrNoQueue = errors.New("no such queue")
	// ErrNotRun is returned with proof that the work was not run.
	ErrNotRun = errors.New("not run")
	// ErrUnknown is returned when the work may have run.
	ErrUnknown = errors.New("outcome unknown")
	// ErrStopping is the cause of an ErrNotRun at an entry that is stopping.
	ErrStopping = errors.New("entry is stopping")
	// ErrIsolated is the cause of an ErrNotRun at an entry that must not dispatch.
	ErrIsolated = errors.New("entry is cut off from the fleet's state")
	// ErrOverdue is the cause of an ErrNotRun of work that was not started in time.
	ErrOverdue = errors.New("no slot in time")
	// ErrCancelled is the cause of an ErrNotRun of work whose caller gave up.
	ErrCancelled = errors.New("cancelled while waiting")
	// ErrNoRetryLeft is the cause of an ErrNotRun of work whose retries are used up.
	ErrNoRetryLeft = errors.New("no retry left")
	// errWithdrawn is the cause of an ErrNotRun of work for a pool that is gone.
	errWithdrawn = errors.New("pool was withdrawn")
)
