package owner

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
	"shallotpaddle/plat"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// TWICE: whatever answers at the address of a registration, late or early, a worker's runs start
// elsewhere only once the worker has said that it is another incarnation.
func TestOnlyTheWorkerEndsItsIncarnation(t *testing.T) {
	const known, next, other = 2000, 3000, 1000
	registered := func(born int64, address string) hosts.Worker {
		return hosts.Worker{ID: "w", StartedMs: born, Address: address, Capacity: hosts.Resources{CPU: 8}}
	}
	answers := func(r *rig, c *claim, born int64, err error) {
		m := runs.Report{Reply: runs.Reply{ClockMs: 50, StartedMs: born}}
		r.handleClaim(claimAnswer{host: r.hosts["w"], claim: c, report: m, sent: r.clock.Now(), err: err})
	}
	polled := func(r *rig, h *host, born int64, err error) {
		m := runs.Report{Reply: runs.Reply{ClockMs: 99, StartedMs: born}, Running: []runs.Running{{Task: runs.Task{Job: "k"}, Run: 1}}}
		r.handlePoll(pollResult{host: h, address: h.worker.Address, sent: r.clock.Now(), report: m, leased: true, err: err})
	}
	for name, c := range map[string]struct {
		registered hosts.Worker
		do         func(r *rig, h *host, c *claim)
		born       int64 // of the incarnation that is known in the end
		address    string
		open       bool // the claim is not decided
	}{
		"known incarnation answers":       {registered(next, "a"), func(r *rig, _ *host, c *claim) { answers(r, c, known, nil) }, known, "a", false},
		"registered incarnation answers":  {registered(next, "b"), func(r *rig, _ *host, c *claim) { answers(r, c, next, nil) }, next, "b", false},
		"its clock was set back":          {registered(other, "a"), func(r *rig, _ *host, c *claim) { answers(r, c, other, nil) }, other, "a", false},
		"a third incarnation answers":     {registered(other, "b"), func(r *rig, _ *host, c *claim) { answers(r, c, next, nil) }, next, "b", false},
		"another worker answers":          {registered(next, "b"), func(r *rig, _ *host, c *claim) { answers(r, c, 0, runs.ErrIncarnation) }, known, "a", false},
		"nobody answers":                  {registered(next, "b"), func(r *rig, _ *host, c *claim) { answers(r, c, 0, plat.ErrUnknown) }, known, "a", true},
		"its call is refused":             {registered(next, "b"), func(r *rig, _ *host, c *claim) { answers(r, c, 0, plat.ErrUnavailable) }, known, "a", true},
		"known incarnation moved":         {registered(known, "b"), func(r *rig, _ *host, c *claim) { answers(r, c, known, nil) }, known, "b", false},
		"known incarnation, born missing": {registered(0, "b"), func(r *rig, _ *host, c *claim) { answers(r, c, known, nil) }, known, "b", false},
		"the answer is to an earlier claim": {registered(next, "b"), func(r *rig, _ *host, c *claim) {
			r.updateWorker(registered(other, "c"), r.clock.Now())
			answers(r, c, next, nil)
		}, known, "a", true},
		"the worker is not listed meanwhile": {registered(next, "b"), func(r *rig, _ *host, c *claim) {
			r.updateWorkers(nil, nil)
			answers(r, c, next, nil)
		}, known, "a", false},
		"the claim is withdrawn meanwhile": {registered(next, "b"), func(r *rig, _ *host, c *claim) {
			r.updateWorker(registered(known, "a"), r.clock.Now())
			answers(r, c, next, nil)
		}, known, "a", false},
		"a later poll is answered first": {registered(next, "b"), func(r *rig, h *host, c *claim) {
			r.clock.Advance(time.Millisecond)
			polled(r, h, known, nil)
			answers(r, c, next, nil)
		}, known, "a", false},
		"an earlier poll is answered": {registered(next, "b"), func(r *rig, h *host, _ *claim) { polled(r, h, known, nil) }, known, "a", true},
		"the poll under way fails":    {registered(next, "b"), func(r *rig, h *host, _ *claim) { polled(r, h, 0, plat.ErrUnknown) }, known, "a", true},
		"the poll under way is answered by the next": {registered(next, "a"), func(r *rig, h *host, c *claim) {
			polled(r, h, next, nil)
			answers(r, c, next, nil)
		}, next, "a", false},
		"the known incarnation answers the poll under way after the next": {registered(next, "a"), func(r *rig, h *host, c *claim) {
			answers(r, c, next, nil)
			polled(r, h, known, nil)
		}, next, "a", false},
		"it drains": {hosts.Worker{ID: "w", StartedMs: next, Address: "b", Draining: true}, func(r *rig, _ *host, c *claim) {
			r.stopLeaving(r.clock.Now())
			answers(r, c, 0, plat.ErrUnknown)
		}, known, "a", true},
	} {
		for _, inherited := range []bool{false, true} {
			r, h := newRig(t), newHost(registered(known, "a"))
			r.Workers.Renew = func(context.Context, runs.Target, runs.Renew) (runs.Report, error) {
				return runs.Report{}, plat.ErrUnknown
			}
			h.listed, h.answered, h.inherited = true, !inherited, inherited
			h.clock, h.clockAt, h.leaseUntil = 50_000, r.clock.Now(), 54_000
			r.hosts["w"] = h
			r.pollsSince, r.workersKnown = r.clock.Now(), true
			r.addJob(&steps.Job{ID: "k", Steps: []steps.Step{{Count: 1}}}, true)
			task := r.jobs["k"].progress.Task(runs.Task{Job: "k"})
			if !inherited {
				task.Phase, task.WorkerID, task.Run = steps.Running, "w", 1
				r.reserveRoom(h, &placement{task: task, job: r.jobs["k"], run: 1, confirmedAt: r.clock.Now()})
			}
			r.updateWorker(c.registered, r.clock.Now())
			require.Same(t, h, r.hosts["w"], name)
			require.NotNil(t, h.claim, name)
			c.do(r, h, h.claim)
			got := r.hosts["w"]
			require.Equal(t, c.born, got.startedMs, name)
			require.Equal(t, c.address, got.worker.Address, name)
			require.Equal(t, c.open, got.claim.open(), name)
			if c.born == known {
				require.Same(t, h, got, name)
				r.expireLeases(r.clock.Now().Add(leaseCap))
				require.Same(t, h, r.hosts["w"], name)
				if !inherited {
					require.Equal(t, steps.Running, task.Phase, name)
				}
			}
		}
	}
}
