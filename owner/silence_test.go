package owner

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
	"shallotpaddle/plat"
	"shallotpaddle/runs"
)

// newSilenceRig returns an owner of the given term that has read a roster with one worker.
func newSilenceRig(t *testing.T, term int, e rosterEntry, settled time.Duration) *rig {
	r := newRig(t)
	clear(r.hosts)
	r.Term = term
	r.SettledAt = func(int) (time.Duration, bool) { return r.SinceBoot() - settled, settled > 0 }
	r.missing = []rosterEntry{e}
	value := r.encodeRoster()
	r.Store.List = func(_ context.Context, key string) ([]plat.Item, int64, error) {
		return []plat.Item{{Key: key, Rev: 1, Value: value}}, 1, nil
	}
	require.NoError(t, r.readRoster(t.Context()))
	return r
}

// TWICE: a worker must not be given up by the silence that an earlier owner has stored, if another
// one has been elected since and may have reached it.
func TestSilenceIsInheritedFromOwnerBeforeOnly(t *testing.T) {
	for name, c := range map[string]struct {
		term    int
		e       rosterEntry
		settled time.Duration
		want    time.Duration
	}{
		"stored by the owner before":         {4, rosterEntry{SilentMs: 1500, SilentTerm: 3, SilentFrom: 2}, 0, 1500 * time.Millisecond},
		"entry has seen the begin":           {4, rosterEntry{SilentMs: 1500, SilentTerm: 3, SilentFrom: 2}, 4 * time.Second, 4 * time.Second},
		"entry has seen the end of it":       {4, rosterEntry{SilentMs: 1500, SilentTerm: 3, SilentFrom: 2}, time.Second, 1500 * time.Millisecond},
		"stored by an owner before that":     {4, rosterEntry{SilentMs: 1500, SilentTerm: 2, SilentFrom: 2}, 4 * time.Second, 0},
		"stored by none":                     {4, rosterEntry{}, 4 * time.Second, 0},
		"stored by an owner of a later term": {4, rosterEntry{SilentMs: 1500, SilentTerm: 4, SilentFrom: 2}, 4 * time.Second, 0},
		"begin is not known":                 {4, rosterEntry{SilentMs: 1500, SilentTerm: 3}, 4 * time.Second, 0},
		"begin is later than the term":       {4, rosterEntry{SilentMs: 1500, SilentTerm: 3, SilentFrom: 9}, 4 * time.Second, 0},
		"negative":                           {4, rosterEntry{SilentMs: -1500, SilentTerm: 3, SilentFrom: 2}, 4 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c.e.ID, c.e.StartedMs = "w", 1000
			r := newSilenceRig(t, c.term, c.e, c.settled)
			require.Equal(t, c.want, r.silence(r.hosts["w"], r.clock.Now()))
		})
	}
}

// TWICE: a worker that answers again must get no lease while the stored roster tells the next
// owner that it is silent.
func TestNoLeaseWhileRosterTellsSilence(t *testing.T) {
	r := newSilenceRig(t, 4, rosterEntry{ID: "w", StartedMs: 1000, SilentMs: 1500, SilentTerm: 3, SilentFrom: 2}, 0)
	h := r.hosts["w"]
	h.listed = true
	r.updateEvidence()
	r.encodeRoster()
	require.Equal(t, 1500*time.Millisecond, h.storedSilence)
	r.handlePoll(pollResult{host: h, sent: r.clock.Now(), report: runs.Report{Reply: runs.Reply{ClockMs: 5000, StartedMs: 1000}}})
	require.True(t, h.answered)
	require.False(t, r.mayLease(h))
	require.False(t, h.usable(r.clock.Now(), r.roster.stored))
	require.NotContains(t, string(r.encodeRoster()), "silent")
	r.roster.stored = r.roster.version
	require.True(t, r.mayLease(h))
	require.True(t, h.usable(r.clock.Now(), r.roster.stored))
}

// A worker that answers before any silence of it is stored by this owner needs no write.
func TestAnswerBeforeSilenceIsStoredNeedsNoWrite(t *testing.T) {
	r := newSilenceRig(t, 4, rosterEntry{ID: "w", StartedMs: 1000, SilentMs: 1500, SilentTerm: 3, SilentFrom: 2}, 0)
	r.updateEvidence()
	h := r.hosts["w"]
	r.handlePoll(pollResult{host: h, sent: r.clock.Now(), report: runs.Report{Reply: runs.Reply{ClockMs: 5000, StartedMs: 1000}}})
	require.True(t, r.mayLease(h))
	require.False(t, r.roster.queued)
}

// The silence of a worker is stored until the next owner needs no more of it, and not before it
// is known.
func TestSilenceIsStoredUntilWorkerIsGivenUp(t *testing.T) {
	for name, c := range map[string]struct {
		known time.Duration // after the owner's begin
		most  int           // writes
	}{
		"known soon":           {50 * time.Millisecond, 26},
		"known after a second": {time.Second, 20},
	} {
		t.Run(name, func(t *testing.T) {
			r := newSilenceRig(t, 4, rosterEntry{ID: "w", StartedMs: 1000}, 0)
			r.hosts["x"] = newHost(hosts.Worker{ID: "x"})
			step := func(d time.Duration) bool {
				r.clock.Advance(d)
				r.roster.queued, r.writer.queue = false, nil
				r.storeSilence(r.clock.Now())
				if r.roster.queued {
					r.encodeRoster()
				}
				return r.roster.queued
			}
			require.False(t, step(c.known), "earlier owners may give leases")
			r.formerOver = r.clock.Now()
			writes := 0
			for range 200 {
				if step(50 * time.Millisecond) {
					writes++
				}
			}
			t.Logf("%d writes", writes)
			require.LessOrEqual(t, writes, c.most)
			require.GreaterOrEqual(t, r.hosts["w"].storedSilence, leaseHorizon)
			require.Less(t, r.hosts["w"].storedSilence, leaseHorizon+time.Second)
		})
	}
}
