package owner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"shallotpaddle/hosts"
	"shallotpaddle/plat"
	"shallotpaddle/runs"
)

func drawVoters(t *rapid.T) []voter {
	list := make([]voter, rapid.IntRange(1, 9).Draw(t, "voters"))
	for i := range list {
		list[i] = voter{fmt.Sprintf("w%d", i), 1}
	}
	return list
}

// TWICE: two owners with a majority each that share no worker.
func TestMajoritiesShareAVoter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := drawVoters(t)
		side := make(map[voter]bool, len(list))
		for _, v := range list {
			side[v] = rapid.Bool().Draw(t, v.ID)
		}
		one := isMajority(list, func(v voter) bool { return side[v] })
		other := isMajority(list, func(v voter) bool { return !side[v] })
		require.True(t, one != other, "one of two halves is a majority, and not both")
	})
}

// TWICE: an owner counts on a majority that has not obeyed it since the time that it takes.
func TestLatestMajorityIsObeyedSince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := drawVoters(t)
		at := make(map[voter]time.Duration, len(list))
		for _, v := range list {
			at[v] = time.Duration(rapid.IntRange(0, 5).Draw(t, v.ID))
		}
		got := latestMajority(list, func(v voter) time.Duration { return at[v] })
		since := func(limit time.Duration) bool { return isMajority(list, func(v voter) bool { return at[v] >= limit }) }
		require.True(t, since(got))
		require.False(t, since(got+1))
	})
	require.Zero(t, latestMajority(nil, nil))
}

// restartedOwner returns an owner that has read the stored voters w0 to w4 of an earlier one.
func restartedOwner(t *testing.T) *rig {
	r := newRig(t)
	clear(r.hosts)
	r.Term, r.pollsSince = 2, r.clock.Now()
	r.Store.List = func(_ context.Context, prefix string) ([]plat.Item, int64, error) {
		if prefix == r.voters.key {
			return []plat.Item{{Key: prefix, Rev: 7, Value: []byte(`[{"id":"w0","born":1},{"id":"w1","born":1},{"id":"w2","born":1},{"id":"w3","born":1},{"id":"w4","born":1}]`)}}, 9, nil
		}
		return nil, 9, nil
	}
	require.NoError(t, r.readVoters(t.Context()))
	for i := range 5 {
		h := newHost(hosts.Worker{ID: fmt.Sprintf("w%d", i), StartedMs: 1})
		h.inherited = true
		r.hosts[h.id] = h
	}
	return r
}

// answer makes a worker answer a poll.
func (r *rig) answer(id string, born int64) {
	h := r.hosts[id]
	r.handlePoll(pollResult{host: h, sent: r.clock.Now(), begun: r.roundAt, report: runs.Report{Reply: runs.Reply{ClockMs: 50, StartedMs: born}}})
}

// TWICE: a new owner gives up a worker that doesn't answer, while the earlier owner may still
// renew its lease.
func TestEarlierOwnerIsWaitedFor(t *testing.T) {
	for name, c := range map[string]struct {
		settle func(r *rig)
		over   bool
	}{
		"two of five answer": {func(r *rig) { r.answer("w0", 1); r.answer("w1", 1) }, false},
		"three of five answer": {func(r *rig) {
			for _, id := range []string{"w0", "w1", "w2"} {
				r.answer(id, 1)
			}
		}, true},
		"two answer, one as another incarnation": {func(r *rig) { r.answer("w0", 1); r.answer("w1", 1); r.answer("w2", 2) }, true},
		"another worker answers for one": {func(r *rig) {
			r.answer("w0", 1)
			r.answer("w1", 1)
			r.handlePoll(pollResult{host: r.hosts["w2"], err: runs.ErrIncarnation})
		}, true},
		"a worker that is new answers": {func(r *rig) {
			r.answer("w0", 1)
			r.answer("w1", 1)
			r.updateWorker(hosts.Worker{ID: "new", StartedMs: 1}, r.clock.Now())
			r.answer("new", 1)
		}, false},
		"the earlier owners have ended": {func(r *rig) { r.FormerEnded = func() bool { return true } }, true},
		"the voters could not be read":  {func(r *rig) { r.electorates.former, r.electorates.formerUnread = nil, true }, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := restartedOwner(t)
			c.settle(r)
			r.checkFormer(r.clock.Now())
			require.Equal(t, c.over, !r.formerOver.IsZero())
			silent := r.hosts["w4"]
			at := r.clock.Now()
			require.False(t, silent.leaseExpired(at.Add(leaseHorizon), r.leasesFrom(at.Add(leaseHorizon))))
			after := at.Add(leaseHorizon + time.Second)
			require.Equal(t, c.over, silent.leaseExpired(after, r.leasesFrom(after)))
			r.clock.Advance(formerWait)
			r.checkFormer(r.clock.Now())
			require.False(t, r.formerOver.IsZero(), "nobody waits for ever")
		})
	}
}

// TWICE: an owner changes the voters before the earlier one is obeyed no more, so that a third
// owner has a majority that the first has not.
func TestVotersStayUntilEarlierOwnersAreOver(t *testing.T) {
	r := restartedOwner(t)
	former := r.electorates.former
	r.answer("w0", 1)
	r.updateVoters(r.clock.Now())
	require.False(t, r.voters.queued)
	require.JSONEq(t, string(r.encodeVoters()), `[{"id":"w0","born":1},{"id":"w1","born":1},{"id":"w2","born":1},{"id":"w3","born":1},{"id":"w4","born":1}]`)
	r.answer("w1", 1)
	r.answer("w2", 1)
	r.checkFormer(r.clock.Now())
	r.updateVoters(r.clock.Now())
	require.True(t, r.voters.queued)
	require.JSONEq(t, string(r.encodeVoters()), `[{"id":"w0","born":1},{"id":"w1","born":1},{"id":"w2","born":1}]`)
	require.Len(t, r.electorates.possible, 2, "the write may be applied or not")
	require.Equal(t, former, r.electorates.possible[0].voters)
	r.handleCommitted(commitResult{docs: []*doc{r.voters}, versions: []int{r.voters.version}, rev: 8})
	require.Len(t, r.electorates.possible, 1)
}

// TWICE: an owner that can't reach the store gives leases although half of its workers are
// silent, or has stopped although most of them obey.
func TestOwnerIsInChargeByMajority(t *testing.T) {
	for obeying, want := range map[int]bool{5: true, 3: true, 2: false, 0: false} {
		t.Run(fmt.Sprint(obeying), func(t *testing.T) {
			r := restartedOwner(t)
			r.updateEvidence()
			for i := range 5 {
				r.answer(fmt.Sprintf("w%d", i), 1)
			}
			proven := r.SinceBoot()
			r.ProvenAt = func() time.Duration { return proven }
			for away := time.Duration(0); away < maxUnproven; away += time.Second {
				r.clock.Advance(time.Second)
				r.updateEvidence()
				for i := range obeying {
					r.answer(fmt.Sprintf("w%d", i), 1)
				}
				r.updateEvidence()
				require.Equal(t, want || away < maxEvidenceAge, r.inCharge(), away)
				require.LessOrEqual(t, r.roundAt+r.leaseLength(), r.evidence+leaseHorizon)
			}
			r.clock.Advance(2*maxEvidenceAge + leaseHorizon)
			r.answer("w0", 1)
			r.updateEvidence()
			require.False(t, r.inCharge(), "a later owner does not wait for longer")
			require.LessOrEqual(t, r.leaseLength(), time.Duration(0))
		})
	}
}

func TestFormerEndIsTimedAfterItIsKnown(t *testing.T) {
	r := restartedOwner(t)
	r.FormerEnded = func() bool {
		r.clock.Advance(time.Second)
		return true
	}
	r.checkFormer(r.clock.Now())
	require.False(t, r.formerOver.Before(r.clock.Now()))
}
