package route

import "errors"

var (
	// ErrInvalid is returned for work that names an unknown customer or kind,
	// or has a value out of range. The work was not run.
	ErrInvalid = errors.New("invalid work")
	// ErrNoQueue is returned for work in an unknown queue. The work was not
	// run.
	ErrNoQueue = errors.New("no such queue")
	// ErrNotRun is returned when it is certain that the work was not run.
	ErrNotRun = errors.New("not run")
	// ErrUnknown is returned when the work may have run, in whole or in part.
	ErrUnknown = errors.New("outcome unknown")
	// ErrStopping is the cause of an ErrNotRun when the entry is shutting down.
	ErrStopping = errors.New("entry is stopping")
	// ErrIsolated is the cause of an ErrNotRun when the entry must not dispatch
	// because it does not know the current state of the fleet.
	ErrIsolated = errors.New("entry is cut off from the fleet's state")
	// ErrNoWorker is the cause of an ErrNotRun when no worker of the pool answers.
	ErrNoWorker = errors.New("no worker of the pool answers")
	// ErrOverdue is the cause of an ErrNotRun when no slot was free in time.
	ErrOverdue = errors.New("no slot in time")
	// ErrCancelled is the cause of an ErrNotRun when the caller cancelled.
	ErrCancelled = errors.New("cancelled while waiting")
	// ErrNoRetryLeft is the cause of an ErrNotRun when the worker did not run
	// the work and it can't be retried.
	ErrNoRetryLeft = errors.New("no retry left")
	// errPoolWithdrawn is the cause of an ErrNotRun when the pool was removed
	// from the configuration.
	errPoolWithdrawn = errors.New("pool was withdrawn")
)
