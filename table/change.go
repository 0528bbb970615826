package table

import (
	"errors"
	"fmt"
)

// ErrUnknownName is returned for the name of a reason or phase that does not exist.
var ErrUnknownName = errors.New("unknown name")

// parseName returns the index of s in names. The kind of name is used in the error
// only.
func parseName(kind string, names []string, s string) (int, error) {
	for i, n := range names {
		if n == s {
			return i, nil
		}
	}
	return 0, fmt.Errorf("%s %q: %w", kind, s, ErrUnknownName)
}

// ChangeKind tells what a system asks the control loop to do.
type ChangeKind uint8

// Kinds of change. The control loop carries them out by writing documents in the
// platform's store. The writes are compare-and-swap, so that of conflicting changes
// by several entries only one takes effect.
const (
	// RequestPermit asks for a permit to take Host out of service for Reason. The
	// rules of the pool's outage document grant or refuse it.
	RequestPermit ChangeKind = iota
	// CancelPermit gives back a permit while the drain can still be undone.
	CancelPermit
	// Reboot orders the reboot of a drained host.
	Reboot
	// StartProbation records that the host is healthy again after its outage.
	StartProbation
	// EndOutage ends the outage of a host, including the probation.
	EndOutage
	// RecordFailure records an unplanned outage.
	RecordFailure
	// StartMove starts a move of Host from its pool to Pool.
	StartMove
	// CompleteMove puts the host into its new pool. All entries must have
	// acknowledged StartMove before.
	CompleteMove
	// CancelMove cancels a move that is not completed.
	CancelMove
	// Assign puts a host without a pool into Pool.
	Assign
	// Report reports a condition that needs an operator. It changes nothing.
	Report
)

var kindNames = [...]string{
	"permit", "recall", "reboot", "probate", "restore", "fail",
	"mark", "transfer", "unmark", "assign", "report",
}

// String returns the name of the kind that logs and the explain command print. It may
// differ from the constant's name: StartMove, CompleteMove and CancelMove are mark,
// transfer and unmark, for instance.
func (k ChangeKind) String() string { return kindNames[k] }

// Change is a decision of a system, which the control loop carries out.
type Change struct {
	Kind   ChangeKind
	Host   HostID // None when the change concerns a pool only
	Pool   PoolID // destination of a StartMove or Assign, otherwise the host's pool
	Reason Reason // of the outage, for RequestPermit and RecordFailure
	// Cause tells why the change was decided. It is one of a fixed set of texts,
	// which logs and the explain command print.
	Cause string
	// Figure and Limit are the value that decided the change and what it was
	// compared with, such as the number of hosts out of service and the budget.
	Figure, Limit float64
}
