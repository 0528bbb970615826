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
