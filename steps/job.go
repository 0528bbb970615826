// Package steps is the model of jobs: steps of subtasks that depend on each
// other, what has run, and what may start next. It has no I/O and no clock.
package steps

import (
	"errors"
	"fmt"
	"time"
)

// ErrInvalid is returned for a job that can't be carried out as declared.
var ErrInvalid = errors.New("job not valid")

// Limits of what a caller may declare.
const (
	MaxPayload = 4000    // bytes
	MaxSteps   = 256     // steps of a job
	MaxCount   = 1 << 14 // subtasks of a step
)

// Job is a job as it was accepted. It is a document: the fields are exported
// for the codec, and a value doesn't change.
type Job struct {
	ID      string `json:"id"`
	Queue   string `json:"queue"`
	Payload string `json:"payload,omitempty"`
	Steps   []Step `json:"steps"`
	// Repetitions is the number of scheduled occurrences, 0 for a job that runs once
	// and at once. Occurrence K is due at First + K × Every, in Unix milliseconds.
	Repetitions int   `json:"times,omitempty"`
	FirstMs     int64 `json:"first,omitempty"`
	IntervalMs  int64 `json:"every,omitempty"`
	// Accepted is when an entry took the job, in Unix milliseconds.
	Accepted int64 `json:"at"`
	// Rank, Tries, Slack and Target are the queue's policy at that time: rank 0
	// comes first, a subtask has Tries attempts, and the job is on time within
	// Slack times its longest chain and Target milliseconds more.
	Rank        int     `json:"rank,omitempty"`
	MaxAttempts int     `json:"tries,omitempty"`
	SlackFactor float64 `json:"slack,omitempty"`
	TargetMs    int64   `json:"target,omitempty"`
	// Advisor is nil unless a start needs the advisor's ticket.
	Advisor *AdvisorTiming `json:"advice,omitempty"`
}

// AdvisorTiming tells, in milliseconds, how long the advisor takes for an answer, how
// much more for each worker that is named, and how long its tickets hold.
type AdvisorTiming struct {
	AnswerMs      int64 `json:"decide,omitempty"`
	PerWorkerMs   int64 `json:"each,omitempty"`
	TicketValidMs int64 `json:"valid,omitempty"`
}

// Step is a group of like subtasks.
type Step struct {
	Count int `json:"n"`
	// CPU is in thousandths of a core, Mem in MiB, GPU in devices.
	CPU int `json:"cpu,omitempty"`
	Mem int `json:"mem,omitempty"`
	GPU int `json:"gpu,omitempty"`
	// EstimateMs is a rough run time in milliseconds.
	EstimateMs int64 `json:"est,omitempty"`
	// After has the numbers of earlier steps that must be done first.
	After []int `json:"after,omitempty"`
	// Checkpointing tells that a subtask checkpoints its progress.
	Checkpointing bool `json:"saves,omitempty"`
	// Gang subtasks run all together or not at all; OneRack ones are slower
	// when they run on more than one rack.
	Gang    bool `json:"gang,omitempty"`
	OneRack bool `json:"onerack,omitempty"`
	// Label must be one of the worker's; Rack is where the data is.
	Label    string `json:"label,omitempty"`
	DataRack string `json:"rack,omitempty"`
	// MaxPerWorker is the most subtasks of one occurrence on one worker; 0 is no limit.
	MaxPerWorker int `json:"perhost,omitempty"`
	// Speculative allows copies of a subtask to run in parallel.
	Speculative bool `json:"copies,omitempty"`
	// LongRunning subtasks run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// Image names what runs; Tail is the bound of a serving subtask's response
	// times in milliseconds.
	Image       string `json:"image,omitempty"`
	TailBoundMs int64  `json:"tail,omitempty"`
	// Fills marks subtasks that use what others leave: their CPU takes no room.
	Fills bool `json:"fills,omitempty"`
	// MaxUnavailable is how many lasting subtasks may be away by our own actions.
	MaxUnavailable int `json:"maymiss,omitempty"`
}

// Check tells what is wrong with a job.
func (j *Job) Check() error {
	if len(j.Payload) > MaxPayload || len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return fmt.Errorf("%w: payload of %d bytes, %d steps", ErrInvalid, len(j.Payload), len(j.Steps))
	}
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count < 1 || s.Count > MaxCount || s.CPU < 0 || s.Mem < 0 || s.GPU < 0 {
			return fmt.Errorf("%w: step %d", ErrInvalid, i)
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return fmt.Errorf("%w: step %d comes after step %d", ErrInvalid, i, a)
			}
		}
	}
	return nil
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(j.Repetitions, 1) }

// Due returns when an occurrence may start; the zero time is at once.
func (j *Job) Due(occur int) time.Time {
	if j.Repetitions == 0 {
		return time.Time{}
	}
	return time.UnixMilli(j.FirstMs + int64(occur)*j.IntervalMs)
}

// LongRunning tells whether any subtask runs until the job is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}
