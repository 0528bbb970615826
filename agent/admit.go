package agent

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"shallotpaddle/fair"
	"shallotpaddle/owner"
	"shallotpaddle/plat"
	"shallotpaddle/platform"
	"shallotpaddle/policy"
	"shallotpaddle/steps"
)

const (
	// lateWrite is for how long the store must have answered all calls of the entry before a job
	// is refused: a write without an answer may be carried out up to 6 s later, and an earlier
	// try of the same job may have made one at another entry.
	lateWrite = 7 * time.Second
	// maxParallelReads bounds the reads by which one job is looked for in all pools.
	maxParallelReads = 4
	// refusalsLogged is how many refusals are logged in a second.
	refusalsLogged = 5
	// allowancesKept is how often unused allowances are dropped.
	allowancesKept = time.Minute
)

// admission decides which jobs an entry refuses, from the loads that owners publish.
type admission struct {
	mu        sync.Mutex
	loads     map[string]*fair.Load // by pool
	returns   fair.Returns
	allowance fair.Allowance
	tidiedAt  time.Time
	// submitting counts the hand-ins under way, by job.
	submitting map[string]int
	logged     *rate.Limiter
	// refused counts the refusals, and spared the jobs that would have been refused if it were
	// certain that no earlier try was accepted.
	refused, spared metrics.Counter
}

func newAdmission(reg metrics.Registry) *admission {
	return &admission{
		loads: map[string]*fair.Load{}, submitting: map[string]int{}, logged: rate.NewLimiter(refusalsLogged, refusalsLogged),
		refused: metrics.NewRegisteredCounter("desk.busy", reg), spared: metrics.NewRegisteredCounter("desk.busy.spared", reg),
	}
}

// begin records that a job is handed in. The returned function records the end of that.
func (m *admission) begin(id string) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.submitting[id]++
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.submitting[id]--; m.submitting[id] == 0 {
			delete(m.submitting, id)
		}
	}
}

// apply records a published load. One that can't be decoded counts as none.
func (m *admission) apply(it plat.Item) error {
	var l fair.Load
	var err error
	if !it.Deleted {
		err = json.Unmarshal(it.Value, &l)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	pool := strings.TrimPrefix(it.Key, owner.LoadPrefix)
	if err != nil || len(l.Rows) == 0 {
		delete(m.loads, pool)
		m.returns.Reset(pool)
		return err
	}
	m.loads[pool] = &l
	return nil
}

// check returns the refusal of a job, and whether it was taken for an excess job; false without one.
func (m *admission) check(pool string, j *steps.Job, w *policy.Workspace, now time.Time) (f fair.Refusal, excess, refused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.tidiedAt) >= allowancesKept {
		m.tidiedAt = now
		m.allowance.Forget(now)
	}
	l := m.loads[pool]
	if l != nil && w != nil && slices.Contains(l.Spent, w.Name) {
		excess = !m.allowance.Take(pool, w.Name, w.Weight, now)
	}
	f, refused = fair.Admit(l, j, w, excess, now)
	return f, excess, refused && m.submitting[j.ID] == 1
}

// comeBack returns when the caller of a refused job should come back.
func (m *admission) comeBack(pool string, f fair.Refusal, now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.returns.After(pool, f, now)
}

// watchLoads keeps the loads of full pools up to date while there are workspaces.
func (a *Agent) watchLoads(ctx context.Context) {
	idle := func() bool {
		v := a.version.Load()
		return v == nil || !v.KeysRequired
	}
	a.watchPrefix(ctx, prefixWatch{prefix: owner.LoadPrefix, timing: steadyTiming(planWatchTimeout), idle: idle, apply: func(it plat.Item) {
		if err := a.jobAPI.admission.apply(it); err != nil {
			a.log.Error().Str("key", it.Key).Int64("rev", it.Rev).Err(err).Msg("load of a pool cannot be decoded")
		}
	}})
}

// refuse answers a job that would certainly be worth nothing when it ends, or that can never run.
// It returns false if the job is to be accepted, or if it may have been accepted before.
func (api *jobAPI) refuse(ctx context.Context, c platform.Caller, q *policy.Queue, j *steps.Job) (platform.Answer, bool) {
	v := api.agent.version.Load()
	if !v.KeysRequired {
		return platform.Answer{}, false
	}
	var w *policy.Workspace
	if c.Workspace != "" {
		w, _ = v.Workspace(c.Workspace)
	}
	m := api.admission
	f, excess, refused := m.check(q.Pool, j, w, api.agent.clock.Now())
	if !refused {
		return platform.Answer{}, false
	}
	if !api.neverAccepted(ctx, q, j.ID) {
		m.spared.Inc(1)
		return platform.Answer{}, false
	}
	after := m.comeBack(q.Pool, f, api.agent.clock.Now())
	m.refused.Inc(1)
	api.countOutcome(platform.Busy)
	if m.logged.Allow() {
		logRefusal(inWorkspace(api.agent.log.Info(), c), f).Str("job", j.ID).Str("queue", q.Name).Str("pool", q.Pool).
			Bool("excess", excess).Dur("retry", after).Msg("job refused")
	}
	return platform.Answer{Outcome: platform.Busy, Retry: after}, true
}

// logRefusal adds the cause of a refusal to a log line.
func logRefusal(line *log.Entry, f fair.Refusal) *log.Entry {
	if f.Gang {
		return line.Str("cause", "gang is larger than the quota")
	}
	return line.Str("cause", "too late").Dur("wait", f.Wait).Dur("useful", f.Useful)
}

// neverAccepted reports whether a job has certainly not been accepted by any earlier try, and can't
// be as a result of one.
func (api *jobAPI) neverAccepted(ctx context.Context, q *policy.Queue, id string) bool {
	if !api.agent.store.Steady(lateWrite) {
		return false
	}
	reads, ctx := errgroup.WithContext(ctx)
	reads.SetLimit(maxParallelReads)
	for _, pool := range api.poolsFrom(q) {
		reads.Go(func() error {
			api.reads.Inc(1)
			_, err := api.agent.store.Get(ctx, owner.JobKey(pool, id))
			if errors.Is(err, plat.ErrNotFound) {
				return nil
			}
			return errors.Join(err, errMayBeAccepted)
		})
	}
	return reads.Wait() == nil && api.agent.store.Steady(lateWrite)
}

// errMayBeAccepted is returned for a job that a pool has, or may have.
var errMayBeAccepted = errors.New("job may have been accepted")
