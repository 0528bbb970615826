package shift

import "time"

// Horizon is how far ahead a pool's demand is estimated: about the time from an
// owner's digest until a host has changed its pool and runs its first subtask.
const Horizon = 2 * time.Second

// lateDivisor divides the demand of late work: such work can wait for quieter
// times, while another pool's work can still be on time.
const lateDivisor = 4

// OpenJob is an accepted job in the form by which a pool's demand is estimated.
type OpenJob struct {
	// CPU is the CPU of its running and ready subtasks, in thousandths of a core.
	CPU int
	// Remaining is the expected time of the longest chain of its unfinished steps.
	Remaining time.Duration
	// Late tells that the job can no longer be on time.
	Late bool
}

// DemandCPU returns the CPU that a pool needs, in thousandths of a core: what its
// open jobs ask for now or, if that is more, what those that last beyond Horizon and
// the jobs that arrive until then will ask for. Arriving is the CPU of the latter.
//
// Work that arrives at a peak builds up over the time that a job takes. Hosts for
// all of it from the start would be idle, paid for, and missing elsewhere.
func DemandCPU(open []OpenJob, arriving int) int {
	now, later := 0, arriving
	for _, j := range open {
		cpu := j.CPU
		if j.Late {
			cpu /= lateDivisor
		}
		now += cpu
		if j.Remaining > Horizon {
			later += cpu
		}
	}
	return max(now, later)
}

// WorkWithinHorizon returns the part of a job's work, in thousandths of a core ×
// seconds, that falls within Horizon of its arrival. Chain is the expected time of
// its longest chain of steps.
func WorkWithinHorizon(work float64, chain time.Duration) float64 {
	if chain <= Horizon {
		return work
	}
	return work * Horizon.Seconds() / chain.Seconds()
}
