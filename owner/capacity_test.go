package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
)

// LOST: an entry that names no worker, with a capacity that none has, made the pool ask for
// one host for all its long-running subtasks, for the owner's life.
func TestLargestCapacityIsOneThatAnswers(t *testing.T) {
	r := newRig(t)
	register := func(id string, cpu int, answers bool) {
		r.updateWorkers([]hosts.Worker{{ID: id, Capacity: hosts.Resources{CPU: cpu, Mem: cpu}}}, nil)
		r.hosts[id].answered = answers
		r.encodeDigest()
	}
	want := func(cpu int, why string) {
		r.clock.Advance(digestInterval)
		r.encodeDigest()
		require.Equal(t, hosts.Resources{CPU: cpu, Mem: cpu}, r.largest.Resources, why)
	}
	register("a", 8000, false)
	want(0, "not known before a worker has answered")
	register("a", 8000, true)
	want(8000, "")
	register("odd", 1e9, false)
	want(8000, "it has never answered")
	register("b", 32_000, true)
	want(32_000, "")
	delete(r.hosts, "b")
	want(32_000, "it may only have restarted")
	r.clock.Advance(largestKept)
	want(8000, "no worker has it any more")
	delete(r.hosts, "a")
	r.clock.Advance(time.Hour)
	want(8000, "all workers are away")
	register("a", 3000, true)
	want(8000, "it has shrunk")
	r.clock.Advance(largestKept)
	want(3000, "for long")
}

func TestSoundCapacity(t *testing.T) {
	worker := hosts.Resources{CPU: 32_000, Mem: 128_000, GPU: 4}
	for name, c := range map[string]struct{ registered, others, want hosts.Resources }{
		"like the others":         {worker, worker, worker},
		"far beyond the others":   {hosts.Resources{CPU: 1e9, Mem: 1e9, GPU: 1e9}, worker, worker},
		"one figure is":           {hosts.Resources{CPU: 32_000, Mem: 1e9}, worker, hosts.Resources{CPU: 32_000, Mem: 128_000}},
		"a larger machine":        {hosts.Resources{CPU: 128_000, Mem: 1_000_000, GPU: 8}, worker, hosts.Resources{CPU: 128_000, Mem: 1_000_000, GPU: 8}},
		"the only one":            {worker, hosts.Resources{}, worker},
		"the only one with GPUs":  {worker, hosts.Resources{CPU: 32_000, Mem: 128_000}, worker},
		"shrunk":                  {hosts.Resources{CPU: 1}, worker, hosts.Resources{CPU: 1}},
		"the others have shrunk":  {worker, hosts.Resources{CPU: 16_000, Mem: 64_000, GPU: 2}, worker},
		"the others have no room": {worker, hosts.Resources{}, worker},
	} {
		require.Equal(t, c.want, soundCapacity(c.registered, c.others), name)
	}
}

func TestSecondLargest(t *testing.T) {
	r := newRig(t)
	for i, cpu := range []int{8000, 1e9, 32_000} {
		h := r.rows[i]
		h.answered, h.listed, h.worker.Capacity.CPU = true, true, cpu
	}
	r.hosts["odd"] = newHost(hosts.Worker{ID: "odd", Capacity: hosts.Resources{CPU: 1e9}})
	r.hosts["odd"].listed = true
	r.takeoverDone = true
	require.Equal(t, hosts.Resources{CPU: 32_000}, r.secondLargest(), "of those that have answered")
	r.updateLargest(r.clock.Now())
	require.Equal(t, 32_000, r.largest.CPU)
}
