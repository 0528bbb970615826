package agent

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"shallotpaddle/owner"
	"shallotpaddle/plat"
	"shallotpaddle/platform"
	"shallotpaddle/policy"
	"shallotpaddle/steps"
)

const (
	// createRetryDelay is the pause before a request tries its write again.
	createRetryDelay = 30 * time.Millisecond
	// createTimeout is how long a request retries its write: the caller's next try
	// may reach an entry whose calls the store serves.
	createTimeout = 400 * time.Millisecond
	// retryAfter is when a caller should retry a request that failed for the store.
	retryAfter = time.Second
)

// jobAPI serves callers' requests on jobs, from the store.
type jobAPI struct {
	agent     *Agent
	cancelled *cancelled
	// acceptTime is the time from a submitted job to its answer, in microseconds.
	acceptTime                 metrics.Histogram
	accepted, refused, unknown metrics.Counter
	// reads counts the jobs looked up, and states the requests for the state of a job.
	reads, states metrics.Counter
	answers       *stateAnswers
	admission     *admission
	// barred counts the hand-ins of jobs that were cancelled before, and cancelledUnknown the
	// cancellations of jobs that the store does not have.
	barred, cancelledUnknown metrics.Counter
	// denied counts the requests without the key of a workspace, and foreign those for a job of
	// another workspace.
	denied, foreign metrics.Counter
	denials         denials
}

// Size and decay of the samples of histograms.
const (
	sampleSize  = 1028
	sampleDecay = 0.015
)

func newJobAPI(a *Agent) *jobAPI {
	api := &jobAPI{
		agent:      a,
		acceptTime: metrics.NewRegisteredHistogram("desk.accept", a.registry, metrics.NewExpDecaySample(sampleSize, sampleDecay)),
		accepted:   metrics.NewRegisteredCounter("desk.accepted", a.registry),
		refused:    metrics.NewRegisteredCounter("desk.refused", a.registry),
		unknown:    metrics.NewRegisteredCounter("desk.unknown", a.registry),
		reads:      metrics.NewRegisteredCounter("desk.reads", a.registry),
		states:     metrics.NewRegisteredCounter("desk.states", a.registry),
		answers:    newStateAnswers(),
		barred:     metrics.NewRegisteredCounter("desk.barred", a.registry),

		cancelledUnknown: metrics.NewRegisteredCounter("desk.cancelled.unknown", a.registry),
		denied:           metrics.NewRegisteredCounter("desk.denied", a.registry),
		foreign:          metrics.NewRegisteredCounter("desk.foreign", a.registry),
		admission:        newAdmission(a.registry),
		denials:          newDenials(),
	}
	api.cancelled = &cancelled{
		pause: a.pause, commit: api.commit,
		retention: func() time.Duration { return a.currentSettings().Bounds.StatusRetention },
	}
	return api
}

// handlers returns the HTTP API with these functions.
func (api *jobAPI) handlers() *platform.Handlers {
	return &platform.Handlers{
		Version: api.agent.version.Load, Identify: api.identify, IsCurrent: api.isCurrent, Submit: api.submit, State: api.state, Cancel: api.cancel, Pending: api.pending,
		Ready: api.agent.ready, DefaultTimeout: defaultRequestTimeout, Intake: api.agent.gate,
	}
}

// submit accepts a job. The job is stored before it is answered.
func (api *jobAPI) submit(ctx context.Context, c platform.Caller, q *policy.Queue, j *steps.Job) platform.Answer {
	if api.agent.storeUnreachable() {
		// The request may repeat one that was accepted, which only the store can tell.
		return api.rejectUnreachable(j.ID, "submit", platform.Unknown)
	}
	defer api.admission.begin(j.ID)()
	begun := api.agent.clock.Now()
	j.Workspace = c.Workspace
	j.Queue, j.Rank, j.MaxAttempts, j.SlackFactor, j.TargetMs = q.Name, q.Rank, q.MaxAttempts, q.SlackFactor, q.Target.Milliseconds()
	if a := q.Advisor; a != nil {
		j.Advisor = &steps.AdvisorTiming{AnswerMs: a.AnswerTime.Milliseconds(), PerWorkerMs: a.PerWorker.Milliseconds(), TicketValidMs: a.TicketValid.Milliseconds()}
	}
	j.Accepted = begun.UnixMilli()
	if a, refused := api.refuse(ctx, c, q, j); refused {
		return a
	}
	value, err := json.Marshal(j)
	if err != nil {
		api.agent.log.Error().Str("job", j.ID).Err(err).Msg("job cannot be encoded")
		return platform.Answer{Outcome: platform.Invalid}
	}
	t := plat.Txn{
		Expect: []plat.Condition{{Key: owner.JobKey(q.Pool, j.ID)}, {Key: cancelledKey(j.ID)}},
		Puts:   []plat.Put{{Key: owner.JobKey(q.Pool, j.ID), Value: value}},
	}
	for _, key := range api.otherJobKeys(q.Pool, j.ID) {
		t.Expect = append(t.Expect, plat.Condition{Key: key})
	}
	a, items := api.create(ctx, t)
	barred := onlyCancelled(items, j.ID)
	if barred {
		api.barred.Inc(1)
		a = platform.Answer{Outcome: platform.Refused, Retry: 2 * api.cancelled.keepTime()}
	}
	for _, it := range items {
		if it.Rev != 0 && !it.Deleted && it.Key != cancelledKey(j.ID) && api.foreignItem(c, q, it) {
			a = platform.Answer{Outcome: platform.Invalid} // the ID is taken
		}
	}
	took := api.agent.clock.Since(begun)
	api.acceptTime.Update(took.Microseconds())
	api.countOutcome(a.Outcome)
	inWorkspace(api.agent.log.Info(), c).Str("job", j.ID).Str("queue", q.Name).Str("pool", q.Pool).Int64("version", api.agent.version.Load().Number).
		Str("outcome", a.Outcome.String()).Bool("cancelled", barred).Dur("took", took).Msg("job submitted")
	return a
}

// rejectUnreachable answers a request while the store is unreachable.
func (api *jobAPI) rejectUnreachable(id, what string, o platform.Outcome) platform.Answer {
	api.countOutcome(o)
	api.agent.log.Info().Str("job", id).Str("request", what).Str("outcome", o.String()).
		Time("heard", api.agent.store.LastServed()).Msg("request rejected: store unreachable")
	return platform.Answer{Outcome: o, Retry: retryAfter}
}

// countOutcome counts the outcome of a request in the metrics.
func (api *jobAPI) countOutcome(o platform.Outcome) {
	switch o {
	case platform.Done:
		api.accepted.Inc(1)
	case platform.Unknown:
		api.unknown.Inc(1)
	default:
		api.refused.Inc(1)
	}
}

// otherJobKeys returns the keys under which a job may have been accepted for a pool
// that its queue no longer uses, for as many pools as a write can have conditions besides
// those on the job and its cancellation.
func (api *jobAPI) otherJobKeys(pool, id string) []string {
	var keys []string
	for _, p := range api.agent.version.Load().Pools {
		if p.Name != pool && len(keys) < platform.MaxChanges-3 {
			keys = append(keys, owner.JobKey(p.Name, id))
		}
	}
	return keys
}

// create applies a transaction that expects keys not to exist. A key that exists was
// written by an earlier try and counts as success; the items of the keys are returned then.
// If no try is answered, the outcome is unknown, never refused, as the request may
// repeat one that was accepted.
func (api *jobAPI) create(ctx context.Context, t plat.Txn) (platform.Answer, []plat.Item) {
	items, err := api.commit(ctx, t)
	if err == nil || errors.Is(err, plat.ErrConflict) {
		return platform.Answer{Outcome: platform.Done, Pending: -1}, items
	}
	return platform.Answer{Outcome: platform.Unknown, Retry: retryAfter}, nil
}

// commit applies a transaction, and retries until createTimeout while no try is answered.
// After a conflict it returns the present items of the conditions.
func (api *jobAPI) commit(ctx context.Context, t plat.Txn) ([]plat.Item, error) {
	begun := api.agent.clock.Now()
	err := plat.ErrUnknown
	for ctx.Err() == nil {
		var items []plat.Item
		_, items, err = api.agent.writer.Commit(ctx, t)
		if err == nil || errors.Is(err, plat.ErrConflict) || errors.Is(err, plat.ErrNotFound) {
			return items, err
		}
		if api.agent.clock.Since(begun) > createTimeout || api.agent.storeUnreachable() {
			break
		}
		api.agent.pause(ctx, createRetryDelay)
	}
	return nil, err
}

// findJob returns the pool and the recorded progress of a job, or plat.ErrNotFound.
// It searches all pools, as the job may have been accepted for a pool that its
// queue no longer uses.
func (api *jobAPI) findJob(ctx context.Context, q *policy.Queue, id string) (string, steps.Record, error) {
	for _, pool := range api.poolsFrom(q) {
		r, err := api.readJob(ctx, pool, id)
		if !errors.Is(err, plat.ErrNotFound) {
			return pool, r, err
		}
	}
	return "", steps.Record{}, plat.ErrNotFound
}

// poolsFrom returns the names of all pools, the queue's first.
func (api *jobAPI) poolsFrom(q *policy.Queue) []string {
	pools := []string{q.Pool}
	for _, p := range api.agent.version.Load().Pools {
		if p.Name != q.Pool {
			pools = append(pools, p.Name)
		}
	}
	return pools
}

// readJob reads the recorded progress of a job in one pool: an empty record if the
// job has none yet, plat.ErrNotFound if there is no such job.
func (api *jobAPI) readJob(ctx context.Context, pool, id string) (steps.Record, error) {
	var r steps.Record
	api.reads.Inc(1)
	it, err := api.agent.store.Get(ctx, owner.StateKey(pool, id))
	if err == nil {
		return r, json.Unmarshal(it.Value, &r)
	}
	if !errors.Is(err, plat.ErrNotFound) {
		return r, err
	}
	it, err = api.agent.store.Get(ctx, owner.JobKey(pool, id))
	if err != nil || !api.agent.version.Load().KeysRequired {
		return r, err
	}
	return originOf(it)
}

// state answers a request for the state of a job.
func (api *jobAPI) state(ctx context.Context, c platform.Caller, q *policy.Queue, id string) platform.Answer {
	api.states.Inc(1)
	if api.agent.storeUnreachable() {
		return api.rejectUnreachable(id, "state", platform.Refused)
	}
	pool, r, err := api.findJob(ctx, q, id)
	if err == nil && api.hidden(c, q, r) {
		err = plat.ErrNotFound
	}
	a := platform.Answer{Outcome: platform.Done, State: string(r.State)}
	switch {
	case errors.Is(err, plat.ErrNotFound):
		a = platform.Answer{Outcome: platform.Absent}
	case err != nil:
		a = platform.Answer{Outcome: platform.Refused, Retry: retryAfter}
	case r.State != steps.Open:
	case r.Started:
		a.State = "running"
	default:
		a.State = "queued"
	}
	api.logState(id, pool, a, err)
	return a
}

// logState logs an answer on the state of a job: at debug level if it tells nothing new, as
// callers ask for a job many times.
func (api *jobAPI) logState(id, pool string, a platform.Answer, err error) {
	line := api.agent.log.Debug()
	if api.answers.tellsNew(id, a) || err != nil && !errors.Is(err, plat.ErrNotFound) {
		line = api.agent.log.Info()
	}
	line.Str("job", id).Str("pool", pool).Str("state", a.State).Str("outcome", a.Outcome.String()).Err(err).Msg("job state requested")
}

// cancel records the cancellation of a job that has not ended.
func (api *jobAPI) cancel(ctx context.Context, c platform.Caller, q *policy.Queue, id string) platform.Answer {
	if api.agent.storeUnreachable() {
		return api.rejectUnreachable(id, "cancel", platform.Refused)
	}
	r, err := api.readJob(ctx, q.Pool, id)
	var a platform.Answer
	known := !errors.Is(err, plat.ErrNotFound)
	switch {
	case err == nil && api.hidden(c, q, r):
		a = platform.Answer{Outcome: platform.Absent}
	case !known:
		a, err = api.cancelUnknown(ctx, c, q, id)
	case err != nil:
		a = platform.Answer{Outcome: platform.Refused, Retry: retryAfter}
	case r.State != steps.Open:
		a = platform.Answer{Outcome: platform.Done, Pending: -1}
	default:
		a = api.cancelKnown(ctx, q.Pool, id)
	}
	api.agent.log.Info().Str("job", id).Str("pool", q.Pool).Bool("known", known).Str("outcome", a.Outcome.String()).Err(err).Msg("job cancellation requested")
	return a
}

// cancelKnown stores the cancellation of a job that a pool has.
func (api *jobAPI) cancelKnown(ctx context.Context, pool, id string) platform.Answer {
	t := plat.Txn{Expect: []plat.Condition{{Key: owner.CancelKey(pool, id)}}}
	for _, key := range []string{owner.CancelKey(pool, id), owner.FormerCancelKey(pool, id)} {
		t.Puts = append(t.Puts, plat.Put{Key: key, Value: []byte(`{}`)})
	}
	a, _ := api.create(ctx, t)
	return a
}

// cancelUnknown cancels a job that its queue's pool did not have. Its hand-in may be under way:
// the job counts as absent once that can't be stored any more.
func (api *jobAPI) cancelUnknown(ctx context.Context, c platform.Caller, q *policy.Queue, id string) (platform.Answer, error) {
	unknown := platform.Answer{Outcome: platform.Unknown, Retry: retryAfter}
	switch err := api.cancelled.store(ctx, id); {
	case errors.Is(err, errManyCancels):
		return platform.Answer{Outcome: platform.Refused, Retry: retryAfter}, err
	case err != nil:
		return unknown, err
	}
	// A hand-in may have been stored since the job was read, or for another pool.
	for _, pool := range api.poolsFrom(q) {
		api.reads.Inc(1)
		it, err := api.agent.store.Get(ctx, owner.JobKey(pool, id))
		switch {
		case err == nil && api.foreignItem(c, q, it):
			return platform.Answer{Outcome: platform.Absent}, nil
		case err == nil:
			return api.cancelKnown(ctx, pool, id), nil
		case !errors.Is(err, plat.ErrNotFound):
			return unknown, err
		}
	}
	api.cancelledUnknown.Inc(1)
	return platform.Answer{Outcome: platform.Absent}, nil
}

// pending answers how many jobs wait in a queue, from the digest of its pool. With workspaces, it is
// not read while the store serves nothing: when the store is back, the answer would rest on a
// configuration that was missed.
func (api *jobAPI) pending(ctx context.Context, q *policy.Queue) platform.Answer {
	if api.agent.version.Load().KeysRequired && api.agent.storeUnreachable() {
		return api.rejectUnreachable("", "pending", platform.Refused)
	}
	it, err := api.agent.store.Get(ctx, owner.DigestKey(q.Pool))
	if errors.Is(err, plat.ErrNotFound) {
		return platform.Answer{Outcome: platform.Done}
	}
	var digest owner.Digest
	if err == nil {
		err = json.Unmarshal(it.Value, &digest)
	}
	if err != nil {
		api.agent.log.Warn().Str("pool", q.Pool).Err(err).Msg("pool digest cannot be read")
		return platform.Answer{Outcome: platform.Refused, Retry: retryAfter}
	}
	return platform.Answer{Outcome: platform.Done, Pending: digest.Waiting[q.Name]}
}
