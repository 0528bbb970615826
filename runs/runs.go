// Package runs has the orders that the owner of a pool sends to workers, and the
// reports of workers, independent of the platform's wire format.
package runs

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

var (
	// ErrFence is returned when the worker has had an order with a higher fencing
	// token.
	ErrFence = errors.New("fencing token superseded")
	// ErrStaleRun is returned for a run whose number is not above that of a run which
	// ended or was stopped on the worker.
	ErrStaleRun = errors.New("run is not newer than one that ended or was stopped on the worker")
	// ErrLeaseOver is returned when the lease in the order is already over.
	ErrLeaseOver = errors.New("order arrived after the end of its lease")
	// ErrNoCapacity is returned when the worker lacks the free resources for the task.
	ErrNoCapacity = errors.New("worker has too few free resources")
	// ErrTicket is returned when the advisor's ticket is missing or expired.
	ErrTicket = errors.New("advisor ticket missing or expired")
	// ErrIncarnation is returned when another incarnation of the worker answers at the
	// address.
	ErrIncarnation = errors.New("another incarnation of the worker answers at this address")
	// ErrInvalid is returned for an order or a task name that can't be read.
	ErrInvalid = errors.New("order not valid")
)

// Task identifies a subtask of one occurrence of a job.
type Task struct {
	Job   string
	Occur int
	Step  int
	Index int
}

// String returns the task in the form JOB.OCCURRENCE.STEP.INDEX.
func (t Task) String() string {
	b := make([]byte, 0, len(t.Job)+12)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occur, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// ParseTask parses the form of Task.String. Its errors wrap ErrInvalid.
func ParseTask(s string) (Task, error) {
	p := strings.Split(s, ".")
	if len(p) != 4 || p[0] == "" {
		return Task{}, fmt.Errorf("%w: task %q", ErrInvalid, s)
	}
	t := Task{Job: p[0]}
	for i, n := range []*int{&t.Occur, &t.Step, &t.Index} {
		v, err := strconv.Atoi(p[i+1])
		if err != nil || v < 0 {
			return Task{}, fmt.Errorf("%w: task %q", ErrInvalid, s)
		}
		*n = v
	}
	return t, nil
}

// Step identifies a step of one occurrence of a job.
type Step struct {
	Job   string
	Occur int
	Index int
}

// ParentStep returns the step that the subtask belongs to.
func (t Task) ParentStep() Step { return Step{t.Job, t.Occur, t.Step} }

// String returns the step in the form JOB.OCCURRENCE.STEP.
func (s Step) String() string { return fmt.Sprintf("%s.%d.%d", s.Job, s.Occur, s.Index) }

// AdvisorQuery asks the advisor which of the workers may run a step.
type AdvisorQuery struct {
	Step    Step
	Workers []string // IDs
}

// Target is the incarnation of a worker to which an order is sent.
type Target struct {
	ID      string
	Address string
}

// Start orders a worker to start a run.
type Start struct {
	Task    Task
	Run     int
	Payload string
	// UntilMs is the end of the lease, in milliseconds of the worker's clock. It
	// covers everything that runs on the worker and never shortens.
	UntilMs    int64
	Fence      int64
	Checkpoint string
	// Ticket is the advisor's permission, empty if the queue has no advisor.
	Ticket string
}

// Stop orders a worker to stop a run, and to refuse a Start of it that arrives later.
type Stop struct {
	Task  Task
	Run   int
	Fence int64
}

// Pace sets the speed of a run, in percent of full speed; 0 pauses it.
type Pace struct {
	Task    Task
	Run     int
	Percent int
	Fence   int64
}

// Renew extends the lease of a worker, acknowledges ends of runs, and asks for a
// Report.
type Renew struct {
	Fence int64
	// UntilMs is the end of the lease in milliseconds of the worker's clock; 0 leaves
	// the lease as it is.
	UntilMs int64
	// AckedThrough is the highest number of an end that the worker may forget, with
	// all ends before it.
	AckedThrough int64
	// WaitMs is how long the worker may delay the answer until a run ends, in
	// milliseconds.
	WaitMs int
}

// Reply is part of every answer of a worker.
type Reply struct {
	// ClockMs is the worker's monotonic clock in milliseconds.
	ClockMs int64
	// StartedMs is the start of the incarnation, in Unix milliseconds; 0 if unknown.
	StartedMs int64
}

// Running is the state of a run on a worker.
type Running struct {
	Task       Task
	Run        int
	Checkpoint string
	// Percent is the progress; at 100 a long-running task is in service.
	Percent int
	// TailOrCPU is the tail latency in milliseconds of a task that serves requests,
	// and the CPU in use, in thousandths of a core, of any other.
	TailOrCPU float64
}

// Outcome tells how a run ended.
type Outcome string

// Outcomes of a run.
const (
	Done           Outcome = "done"
	Failed         Outcome = "failed"
	Stopped        Outcome = "stopped" // by an order
	LeaseExpired   Outcome = "lapsed"
	GangBroken     Outcome = "broken" // another member of the gang ended, and not as done
	GangIncomplete Outcome = "alone"  // the other members of the gang didn't start in time
)

// End is the end of a run.
type End struct {
	// Number counts the ends on an incarnation of a worker, from 1.
	Number     int64
	Task       Task
	Run        int
	Outcome    Outcome
	Checkpoint string
}

// Report has a worker's active runs and the ends that are not acknowledged.
type Report struct {
	Reply
	Running []Running
	Ended   []End
}
