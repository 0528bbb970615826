// Package steps models jobs: their steps of subtasks, the dependencies between
// steps, the progress of each subtask, and which may start next. It does no I/O and
// doesn't read the clock.
package steps

import (
	"errors"
	"fmt"
	"time"
)

// ErrInvalid is returned for a job that can't run as it was declared.
var ErrInvalid = errors.New("job not valid")

// Limits of what a caller may declare for a job.
const (
	MaxPayload = 4000    // bytes
	MaxSteps   = 256     // steps of a job
	MaxCount   = 1 << 14 // subtasks of a step
	// MaxSubtasks is the number of subtasks of all steps in all occurrences. An owner
	// keeps them in memory: a job of millions would end every owner in turn.
	MaxSubtasks = 1 << 16
)

// Job is an accepted job. It is stored as JSON and doesn't change.
type Job struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	// Workspace is the workspace whose key the caller had; empty for none.
	Workspace string `json:"space,omitempty"`
	Payload   string `json:"payload,omitempty"`
	Steps     []Step `json:"steps"`
	// Repetitions is the number of scheduled occurrences, 0 for a job that runs once
	// and at once. Occurrence K is due at FirstMs + K × IntervalMs, in Unix
	// milliseconds.
	Repetitions int   `json:"times,omitempty"`
	FirstMs     int64 `json:"first,omitempty"`
	IntervalMs  int64 `json:"every,omitempty"`
	// Accepted is the time of acceptance in Unix milliseconds.
	Accepted int64 `json:"at"`
	// Rank, MaxAttempts, SlackFactor and TargetMs are the queue's policy at that
	// time. Rank 0 comes first. A subtask that fails MaxAttempts times fails its
	// job, unless it is long-running; 0 is no limit. The job is on time within SlackFactor times its critical
	// path plus TargetMs milliseconds.
	Rank        int     `json:"rank,omitempty"`
	MaxAttempts int     `json:"tries,omitempty"`
	SlackFactor float64 `json:"slack,omitempty"`
	TargetMs    int64   `json:"target,omitempty"`
	// Advisor is nil unless a run needs a ticket of the advisor to start.
	Advisor *AdvisorTiming `json:"advice,omitempty"`
}

// AdvisorTiming has the times of the advisor in milliseconds: for an answer, in
// addition for each worker in the request, and for which a ticket is valid.
type AdvisorTiming struct {
	AnswerMs      int64 `json:"decide,omitempty"`
	PerWorkerMs   int64 `json:"each,omitempty"`
	TicketValidMs int64 `json:"valid,omitempty"`
}

// Step is a group of subtasks with the same demand.
type Step struct {
	Count int `json:"n"`
	// CPU is in thousandths of a core, Mem in MiB, GPU in devices.
	CPU int `json:"cpu,omitempty"`
	Mem int `json:"mem,omitempty"`
	GPU int `json:"gpu,omitempty"`
	// EstimateMs is the declared run time in milliseconds, which may be far off.
	EstimateMs int64 `json:"est,omitempty"`
	// After has the indexes of earlier steps that must be done before this one starts.
	After []int `json:"after,omitempty"`
	// Checkpointing tells that the subtasks save checkpoints.
	Checkpointing bool `json:"saves,omitempty"`
	// Gang tells that the subtasks run all together or not at all, OneRack that they
	// are slower on more than one rack.
	Gang    bool `json:"gang,omitempty"`
	OneRack bool `json:"onerack,omitempty"`
	// Label is required of the worker; empty allows any. DataRack is the rack of the
	// data, which is preferred.
	Label    string `json:"label,omitempty"`
	DataRack string `json:"rack,omitempty"`
	// MaxPerWorker limits the subtasks of one occurrence on one worker; 0 is no limit.
	MaxPerWorker int `json:"perhost,omitempty"`
	// Speculative allows copies of a subtask to run at the same time.
	Speculative bool `json:"copies,omitempty"`
	// LongRunning tells that the subtasks run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// Image names the program to run. TailBoundMs is the bound of a serving subtask's
	// tail latency in milliseconds; 0 marks subtasks that don't serve requests.
	Image       string `json:"image,omitempty"`
	TailBoundMs int64  `json:"tail,omitempty"`
	// Fills tells that the subtasks run on the CPU that others leave: their CPU is
	// not reserved.
	Fills bool `json:"fills,omitempty"`
	// MaxUnavailable is how many of the step's long-running subtasks may be
	// unavailable because of planned actions, such as maintenance.
	MaxUnavailable int `json:"maymiss,omitempty"`
}

// Check returns an error that wraps ErrInvalid if the job exceeds a limit, demands
// a negative amount, or has a step after itself or a later one.
func (j *Job) Check() error {
	if len(j.Payload) > MaxPayload || len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return fmt.Errorf("%w: payload of %d bytes, %d steps", ErrInvalid, len(j.Payload), len(j.Steps))
	}
	if j.Repetitions < 0 || j.Repetitions > MaxSubtasks {
		return fmt.Errorf("%w: %d occurrences", ErrInvalid, j.Repetitions)
	}
	subtasks := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count < 1 || s.Count > MaxCount || s.CPU < 0 || s.Mem < 0 || s.GPU < 0 {
			return fmt.Errorf("%w: step %d has a count or a demand out of range", ErrInvalid, i)
		}
		if subtasks += s.Count * j.Occurrences(); subtasks > MaxSubtasks {
			return fmt.Errorf("%w: more than %d subtasks", ErrInvalid, MaxSubtasks)
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return fmt.Errorf("%w: step %d depends on step %d, which is not before it", ErrInvalid, i, a)
			}
		}
	}
	return nil
}

// Occurrences returns the number of times that the steps run.
func (j *Job) Occurrences() int { return max(j.Repetitions, 1) }

// Due returns the time from which an occurrence may start, or the zero time if it
// may start at once.
func (j *Job) Due(occur int) time.Time {
	if j.Repetitions == 0 {
		return time.Time{}
	}
	return time.UnixMilli(j.FirstMs + int64(occur)*j.IntervalMs)
}

// LongRunning tells whether any step runs until the job is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Trim drops the texts that only a start needs, once the job has ended and has no run.
func (j *Job) Trim() {
	j.Payload = ""
	for i := range j.Steps {
		s := &j.Steps[i]
		s.Image, s.Label, s.DataRack, s.After = "", "", "", nil
	}
}
