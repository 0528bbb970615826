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
	// storeRetry is the pause before a write is tried again within a request.
	storeRetry = 30 * time.Millisecond
	// giveUpAfter is how long a request waits for a store that does not serve it;
	// the caller's next try may reach an entry that is served.
	giveUpAfter = 400 * time.Millisecond
	// retryAfter is when a caller should come back that the store kept out.
	retryAfter = time.Second
)

// desk answers callers from the store.
type desk struct {
	agent *Agent
	// accept is the time that accepting a job takes, in microseconds.
	accept                     metrics.Histogram
	accepted, refused, unknown metrics.Counter
	reads                      metrics.Counter
}

const (
	sampleSize  = 1028
	sampleDecay = 0.015
)

func newDesk(a *Agent) *desk {
	return &desk{
		agent:    a,
		accept:   metrics.NewRegisteredHistogram("desk.accept", a.reg, metrics.NewExpDecaySample(sampleSize, sampleDecay)),
		accepted: metrics.NewRegisteredCounter("desk.accepted", a.reg),
		refused:  metrics.NewRegisteredCounter("desk.refused", a.reg),
		unknown:  metrics.NewRegisteredCounter("desk.unknown", a.reg),
		reads:    metrics.NewRegisteredCounter("desk.reads", a.reg),
	}
}

func (d *desk) desk() *platform.Desk {
	return &platform.Desk{
		Version: d.agent.version.Load, Submit: d.submit, State: d.state, Cancel: d.cancel, Pending: d.pending,
		Ready: d.agent.ready, Waits: callerWait,
	}
}

// submit accepts a job: it is stored before the caller hears of it.
func (d *desk) submit(ctx context.Context, q *policy.Queue, j *steps.Job) platform.Answer {
	if d.agent.cutOff() {
		// The job may be the repeat of one that was accepted: only the store can say
		// that it was not.
		return d.turnAway(j.ID, "submit", platform.Unknown)
	}
	begun := d.agent.clock.Now()
	j.Queue, j.Rank, j.MaxAttempts, j.SlackFactor, j.TargetMs = q.Name, q.Rank, q.MaxAttempts, q.SlackFactor, q.Target.Milliseconds()
	if a := q.Advisor; a != nil {
		j.Advisor = &steps.AdvisorTiming{AnswerMs: a.AnswerTime.Milliseconds(), PerWorkerMs: a.PerWorker.Milliseconds(), TicketValidMs: a.TicketValid.Milliseconds()}
	}
	j.Accepted = begun.UnixMilli()
	value, err := json.Marshal(j)
	if err != nil {
		d.agent.log.Error().Str("job", j.ID).Err(err).Msg("job not encodable")
		return platform.Answer{Outcome: platform.Invalid}
	}
	a := d.create(ctx, plat.Put{Key: owner.JobKey(q.Pool, j.ID), Value: value})
	took := d.agent.clock.Since(begun)
	d.accept.Update(took.Microseconds())
	d.count(a.Outcome)
	d.agent.log.Info().Str("job", j.ID).Str("queue", q.Name).Str("pool", q.Pool).Int64("version", d.agent.version.Load().Number).
		Str("outcome", a.Outcome.String()).Dur("took", took).Msg("job submitted")
	return a
}

// turnAway answers a request at once that the store is needed for.
func (d *desk) turnAway(id, what string, o platform.Outcome) platform.Answer {
	d.count(o)
	d.agent.log.Info().Str("job", id).Str("request", what).Str("outcome", o.String()).
		Time("heard", d.agent.store.Heard()).Msg("turned away: store out of reach")
	return platform.Answer{Outcome: o, Retry: retryAfter}
}

func (d *desk) count(o platform.Outcome) {
	switch o {
	case platform.Done:
		d.accepted.Inc(1)
	case platform.Unknown:
		d.unknown.Inc(1)
	default:
		d.refused.Inc(1)
	}
}

// create writes a key unless it exists. That may be repeated: a key that is
// there is the one that an earlier try wrote. Without the store's word the answer
// is that the outcome is unknown: the request may be the repeat of one that was
// accepted.
func (d *desk) create(ctx context.Context, p plat.Put) platform.Answer {
	begun := d.agent.clock.Now()
	for ctx.Err() == nil {
		_, _, err := d.agent.store.Commit(ctx, plat.Txn{Expect: []plat.Condition{{Key: p.Key}}, Puts: []plat.Put{p}})
		if err == nil || errors.Is(err, plat.ErrConflict) {
			return platform.Answer{Outcome: platform.Done, Pending: -1}
		}
		if d.agent.clock.Since(begun) > giveUpAfter || d.agent.cutOff() {
			break
		}
		d.agent.pause(ctx, storeRetry)
	}
	return platform.Answer{Outcome: platform.Unknown, Retry: retryAfter}
}

// find returns the pool and the recorded progress of a job. A job may have been
// accepted for a pool that its queue no longer uses.
func (d *desk) find(ctx context.Context, q *policy.Queue, id string) (string, steps.Record, error) {
	pools := []string{q.Pool}
	for _, p := range d.agent.version.Load().Pools {
		if p.Name != q.Pool {
			pools = append(pools, p.Name)
		}
	}
	for _, pool := range pools {
		r, err := d.look(ctx, pool, id)
		if !errors.Is(err, plat.ErrNotFound) {
			return pool, r, err
		}
	}
	return "", steps.Record{}, plat.ErrNotFound
}

// look reads a job of one pool.
func (d *desk) look(ctx context.Context, pool, id string) (steps.Record, error) {
	var r steps.Record
	d.reads.Inc(1)
	it, err := d.agent.store.Get(ctx, owner.StateKey(pool, id))
	if err == nil {
		return r, json.Unmarshal(it.Value, &r)
	}
	if !errors.Is(err, plat.ErrNotFound) {
		return r, err
	}
	_, err = d.agent.store.Get(ctx, owner.JobKey(pool, id))
	return r, err
}

func (d *desk) state(ctx context.Context, q *policy.Queue, id string) platform.Answer {
	if d.agent.cutOff() {
		return d.turnAway(id, "state", platform.Refused)
	}
	pool, r, err := d.find(ctx, q, id)
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
	d.agent.log.Info().Str("job", id).Str("pool", pool).Str("state", a.State).Str("outcome", a.Outcome.String()).Err(err).Msg("state asked")
	return a
}

func (d *desk) cancel(ctx context.Context, q *policy.Queue, id string) platform.Answer {
	if d.agent.cutOff() {
		return d.turnAway(id, "cancel", platform.Refused)
	}
	pool, r, err := d.find(ctx, q, id)
	var a platform.Answer
	switch {
	case errors.Is(err, plat.ErrNotFound):
		a = platform.Answer{Outcome: platform.Absent}
	case err != nil:
		a = platform.Answer{Outcome: platform.Refused, Retry: retryAfter}
	case r.State != steps.Open:
		a = platform.Answer{Outcome: platform.Done, Pending: -1}
	default:
		a = d.create(ctx, plat.Put{Key: owner.CancelKey(pool, id), Value: []byte(`{}`)})
	}
	d.agent.log.Info().Str("job", id).Str("pool", pool).Str("outcome", a.Outcome.String()).Err(err).Msg("cancel asked")
	return a
}

func (d *desk) pending(ctx context.Context, q *policy.Queue) platform.Answer {
	it, err := d.agent.store.Get(ctx, owner.DigestKey(q.Pool))
	if errors.Is(err, plat.ErrNotFound) {
		return platform.Answer{Outcome: platform.Done}
	}
	var g owner.Digest
	if err == nil {
		err = json.Unmarshal(it.Value, &g)
	}
	if err != nil {
		d.agent.log.Warn().Str("pool", q.Pool).Err(err).Msg("digest not readable")
		return platform.Answer{Outcome: platform.Refused, Retry: retryAfter}
	}
	return platform.Answer{Outcome: platform.Done, Pending: g.Waiting[q.Name]}
}
