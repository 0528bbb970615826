package shift

import (
	"time"

	"shallotpaddle/hosts"
)

// Horizon is how far ahead a pool's demand is estimated: about the time from an
// owner's digest until a host has changed its pool and runs its first subtask.
const Horizon = 2 * time.Second

// lateDivisor divides the demand of late work: such work can wait for quieter
// times, while another pool's work can still be on time.
const lateDivisor = 4

// Demand is what the work of a pool asks for, as CPU in thousandths of a core.
type Demand struct {
	// CPU is asked for by running, waiting and arriving work.
	CPU int
	// DeferrableCPU is asked for in addition, by work that is worth nothing to its
	// caller any more. It gets hosts that no other pool needs.
	DeferrableCPU int
}

// OpenJob is an accepted job in the form by which a pool's demand is estimated.
type OpenJob struct {
	// CPU is the CPU of its running and ready subtasks, in thousandths of a core.
	CPU int
	// Remaining is the expected time of the longest chain of its unfinished steps.
	Remaining time.Duration
	// Late tells that the job can no longer be on time.
	Late bool
	// Worthless tells that the job can no longer be worth anything to its caller.
	Worthless bool
}

// DemandOf returns what a pool's work asks for: what its open jobs need now or, if
// that is more, what those that last beyond Horizon and the jobs that arrive until
// then will need. Arriving is the CPU of the latter.
//
// Work that arrives at a peak builds up over the time that a job takes. Hosts for
// all of it from the start would be idle, paid for, and missing elsewhere.
//
// After an overload a pool may have hundreds of worthless jobs left. If they counted as
// other late ones, they would hold hosts while jobs of other pools become late in turn.
func DemandOf(open []OpenJob, arriving int) Demand {
	now, later, deferrable := 0, arriving, 0
	for _, j := range open {
		cpu := j.CPU
		if j.Worthless {
			deferrable += cpu / lateDivisor
			continue
		}
		if j.Late {
			cpu /= lateDivisor
		}
		now += cpu
		if j.Remaining > Horizon {
			later += cpu
		}
	}
	return Demand{max(now, later), deferrable}
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

// ShareCPU returns what a subtask takes of a host, as CPU in thousandths of a core:
// its CPU or, if it takes a larger part of the host's memory or GPUs, that part of
// the host's CPU. A zero capacity is not known.
func ShareCPU(need, host hosts.Resources) int {
	share := need.CPU
	if host.Mem > 0 {
		share = max(share, need.Mem*host.CPU/host.Mem)
	}
	if host.GPU > 0 {
		share = max(share, need.GPU*host.CPU/host.GPU)
	}
	return share
}

// LongRunningStep is a step of long-running subtasks.
type LongRunningStep struct {
	// Count is the number of its subtasks, Waiting the number of those that found no
	// host.
	Count, Waiting int
	// CPU is what one subtask takes of a host, see ShareCPU.
	CPU int
	// MaxPerHost limits the subtasks on one host; 0 is no limit.
	MaxPerHost int
}

// hosts returns the number of hosts that n subtasks of the step need.
func (s *LongRunningStep) hosts(n, cpu int) int {
	byLimit := 0
	if s.MaxPerHost > 0 {
		byLimit = divideUp(n, s.MaxPerHost)
	}
	return max(byLimit, divideUp(n*s.CPU, cpu))
}

// MinHosts returns the number of hosts that long-running subtasks need, which steps
// can share. Cpu is the CPU of a host in thousandths of a core.
//
// Subtasks that wait although there are as many hosts as they would need in all have
// found them full or leaving: they need further hosts.
func MinHosts(list []LongRunningStep, cpu int) int {
	if cpu <= 0 {
		return 0
	}
	most, total, waiting := 0, 0, 0
	for i := range list {
		s := &list[i]
		most = max(most, s.hosts(s.Count, cpu))
		total += s.Count * s.CPU
		waiting += s.hosts(s.Waiting, cpu)
	}
	return max(most, divideUp(total, cpu)) + waiting
}

func divideUp(a, b int) int { return (a + b - 1) / b }
