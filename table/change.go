package table

import (
	"errors"
	"fmt"
)

// ErrUnknownName is returned for a reason, phase or kind that does not exist.
var ErrUnknownName = errors.New("unknown name")

func parseName(kind string, names []string, s string) (int, error) {
	for i, n := range names {
		if n == s {
			return i, nil
		}
	}
	return 0, fmt.Errorf("%s %q: %w", kind, s, ErrUnknownName)
}

// ChangeKind tells what a system asks the loop to do.
type ChangeKind uint8

// Kinds of change. Each is carried out by the loop through the platform's
// store, where compare-and-swap arbitrates between entries.
const (
	// RequestPermit asks to take Host out of service for Reason; the store's outage
	// document grants or refuses it.
	RequestPermit ChangeKind = iota
	// CancelPermit gives back a permit whose drain can still be called off.
	CancelPermit
	// Reboot orders the reboot of a host whose drain is complete.
	Reboot
	// StartProbation records that the host was seen healthy again after its outage.
	StartProbation
	// EndOutage ends the outage and the probation of a host.
	EndOutage
	// RecordFailure records an unplanned outage.
	RecordFailure
	// StartMove starts a move: Host is to leave its pool for Pool.
	StartMove
	// CompleteMove completes a move after StartMove was acknowledged everywhere.
	CompleteMove
	// CancelMove gives up a move that has not been transferred.
	CancelMove
	// Assign gives a host without a pool its first one.
	Assign
	// Report states a condition that needs an operator; nothing is changed.
	Report
)

var kindNames = [...]string{
	"permit", "recall", "reboot", "probate", "restore", "fail",
	"mark", "transfer", "unmark", "assign", "report",
}

// String returns the kind in the form used by logs.
func (k ChangeKind) String() string { return kindNames[k] }

// Change is one decision of a system.
type Change struct {
	Kind   ChangeKind
	Host   HostID // None when the change concerns a pool only
	Pool   PoolID // destination for StartMove and Assign, else the host's pool
	Reason Reason // for Permit and RecordFailure
	// Cause is a constant text in words of the field, shown by logs and explain.
	Cause string
	// Figure and Limit are the inputs that decided, such as hosts out and budget.
	Figure, Limit float64
}
