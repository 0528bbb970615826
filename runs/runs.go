// Package runs has the orders that an owner gives to workers and what workers
// report, in the project's own words.
package runs

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

var (
	// ErrFence is returned when the worker has seen a higher fencing token.
	ErrFence = errors.New("fencing token superseded")
	// ErrStaleRun is returned for a run that is not above one that ended or was
	// stopped at the worker.
	ErrStaleRun = errors.New("run is not newer than one that ended there")
	// ErrLeaseOver is returned when the lease that the order gives is already over.
	ErrLeaseOver = errors.New("order arrived after its lease")
	// ErrNoCapacity is returned when the task does not fit on the worker.
	ErrNoCapacity = errors.New("no room on the worker")
	// ErrTicket is returned when the advisor's ticket is missing or expired.
	ErrTicket = errors.New("ticket not valid")
	// ErrIncarnation is returned when another incarnation answers at the address.
	ErrIncarnation = errors.New("another incarnation at this address")
	// ErrInvalid is returned for an order that the receiver cannot read.
	ErrInvalid = errors.New("order not valid")
)

// Task names one subtask of one occurrence of a job.
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

// ParseTask reads the form of Task.String.
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

// Step names one step of one occurrence of a job.
type Step struct {
	Job   string
	Occur int
	Index int
}

// ParentStep returns the step that a subtask belongs to.
func (t Task) ParentStep() Step { return Step{t.Job, t.Occur, t.Step} }

// String returns the step in the form JOB.OCCURRENCE.STEP.
func (s Step) String() string { return fmt.Sprintf("%s.%d.%d", s.Job, s.Occur, s.Index) }

// AdvisorQuery asks the advisor which of some workers may run a step.
type AdvisorQuery struct {
	Step    Step
	Workers []string
}

// Target is the incarnation of a worker that an order is meant for.
type Target struct {
	ID      string
	Address string
}

// Start orders a worker to begin a run.
type Start struct {
	Task    Task
	Run     int
	Payload string
	// UntilMs is the end of the lease, in milliseconds of the worker's clock. It
	// covers everything that runs on the worker and never shortens.
	UntilMs    int64
	Fence      int64
	Checkpoint string
	// Ticket is the advisor's, where the queue has one.
	Ticket string
}

// Stop orders a worker to end a run, and bars it from starting there later.
type Stop struct {
	Task  Task
	Run   int
	Fence int64
}

// Pace sets the share at which a run works.
type Pace struct {
	Task    Task
	Run     int
	Percent int
	Fence   int64
}

// Renew extends the lease of a worker, acknowledges ends, and asks what runs.
type Renew struct {
	Fence int64
	// UntilMs is in milliseconds of the worker's clock; 0 leaves the lease alone.
	UntilMs int64
	// AckedThrough is the highest end that the worker may forget.
	AckedThrough int64
	// WaitMs is the longest time, in milliseconds, that the answer may wait for an end.
	WaitMs int
}

// Reply is what every answer of a worker carries.
type Reply struct {
	// ClockMs is the worker's steady clock in milliseconds.
	ClockMs int64
	// StartedMs is the start of the incarnation, in Unix milliseconds; 0 if not told.
	StartedMs int64
}

// Running is one run at work.
type Running struct {
	Task       Task
	Run        int
	Checkpoint string
	// Percent is the progress; a lasting task is at work at 100.
	Percent int
	// TailOrCPU is the tail in milliseconds of a task that serves users of its
	// own, and the processor in use, in thousandths of a core, of any other.
	TailOrCPU float64
}

// Outcome tells how a run ended.
type Outcome string

// Ways in which a run ends.
const (
	Done           Outcome = "done"
	Failed         Outcome = "failed"
	Stopped        Outcome = "stopped"
	LeaseExpired   Outcome = "lapsed"
	GangBroken     Outcome = "broken"
	GangIncomplete Outcome = "alone"
)

// End is one run that ended.
type End struct {
	// Number counts the ends of an incarnation, from 1.
	Number     int64
	Task       Task
	Run        int
	Outcome    Outcome
	Checkpoint string
}

// Report is what a worker says of its runs.
type Report struct {
	Reply
	Running []Running
	Ended   []End
}
