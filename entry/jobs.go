package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"shallotpaddle/jobs"
	"shallotpaddle/once"
	"shallotpaddle/route"
)

// Operations on a job that are forwarded to the entry that holds it.
const (
	jobGet    = "get"
	jobWait   = "wait"
	jobCancel = "cancel"
	jobDrop   = "drop"
)

// maxJobWait bounds how long one call waits for a job to end.
const maxJobWait = 30 * time.Second

// jobCall is an operation on a job, as one entry requests it of another.
type jobCall struct {
	Op   string        `json:"ask"`
	ID   string        `json:"id"`
	Wait time.Duration `json:"wait,omitempty"`
}

// jobFleet returns what the job runner needs to know of hosts and entries.
func (e *Entry) jobFleet() jobs.Fleet {
	return jobs.Fleet{
		Addr: func(host string) (addr, boot string, ok bool) {
			h, ok := e.status.Load().host(host)
			if !ok {
				return "", "", false
			}
			return h.Addr, h.Boot, true
		},
		ShouldAdopt:    func() bool { return once.Preferred("adopt", e.status.Load().Live) == e.Name() },
		HolderGone:     e.ledgerGone,
		RecordDecision: func(id, what, cause string) { e.recordDecision(Event{Kind: "job", Name: id, What: what, Cause: cause}) },
	}
}

// ledgerGone tells whether the process that wrote a job ledger appears to have
// ended: its entry is live with another ledger, or is neither registered nor live.
func (e *Entry) ledgerGone(ledger string) bool {
	name := once.EntryOf(ledger)
	if name == e.Name() {
		return ledger != e.jobs.Ledger()
	}
	for _, m := range e.status.Load().Entries {
		if m.Name != name {
			continue
		}
		if m.HeartbeatAge >= 0 && m.HeartbeatAge < heartbeatTimeout {
			return m.Ledger != "" && m.Ledger != ledger
		}
		return !m.Registered
	}
	return true
}

// Submit accepts a job. The error is ErrTooLarge or one of package route.
func (e *Entry) Submit(ctx context.Context, w route.Work, body []byte) (once.Job, error) {
	if len(body) > once.MaxBody {
		return once.Job{}, fmt.Errorf("%w: %d bytes, limit %d", ErrTooLarge, len(body), once.MaxBody)
	}
	if err := e.router.Check(w); err != nil {
		return once.Job{}, err
	}
	return e.jobs.Submit(ctx, w, e.router.View().Jobs[w.Kind], body)
}

// Job returns a job, whichever entry holds it. With wait above zero it returns
// when the job has ended or wait, at most maxJobWait, is over. The error is
// ErrNoJob, ErrNotAccepted or ErrUnknown.
func (e *Entry) Job(ctx context.Context, id string, wait time.Duration) (once.Job, error) {
	q := jobCall{Op: jobGet, ID: id}
	if wait > 0 {
		q.Op, q.Wait = jobWait, min(wait, maxJobWait)
	}
	return e.callJob(ctx, q)
}

// CancelJob cancels a job, whichever entry holds it. Errors are those of Job.
func (e *Entry) CancelJob(ctx context.Context, id string) (once.Job, error) {
	return e.callJob(ctx, jobCall{Op: jobCancel, ID: id})
}

// DropJob deletes a job whose result has been delivered. Errors are ignored.
func (e *Entry) DropJob(ctx context.Context, id string) {
	_, _ = e.callJob(ctx, jobCall{Op: jobDrop, ID: id})
}

// callJob runs a call about a job here, or forwards it: first to the entry that
// accepted the job, then to the other live peers. Reads fall back to the store.
func (e *Entry) callJob(ctx context.Context, q jobCall) (once.Job, error) {
	j, err := e.callJobLocally(ctx, q)
	if !errors.Is(err, once.ErrNotFound) {
		return j, err
	}
	for _, addr := range e.jobPeerAddrs(q.ID) {
		call, cancel := context.WithTimeout(ctx, q.Wait+callTimeout)
		err := e.node.Call(call, addr, methodJob, q, &j)
		cancel()
		if err == nil && j.ID != "" {
			return j, nil
		}
	}
	if q.Op == jobCancel || q.Op == jobDrop {
		return j, fmt.Errorf("%w: %s", ErrNoJob, q.ID)
	}
	j, err = e.jobs.Find(ctx, q.ID)
	switch {
	case errors.Is(err, once.ErrNotFound):
		return j, fmt.Errorf("%w: %s", ErrNoJob, q.ID)
	case err != nil:
		return j, fmt.Errorf("%w: %w", ErrNotAccepted, err)
	}
	return j, nil
}

// jobPeerAddrs returns the addresses of the live peers, beginning with the entry
// that accepted the job.
func (e *Entry) jobPeerAddrs(id string) []string {
	var out []string
	for _, m := range e.status.Load().Entries {
		if m.Name == e.Name() || m.Addr == "" || m.HeartbeatAge >= heartbeatTimeout {
			continue
		}
		if strings.HasPrefix(id, m.Name+"-") {
			out = append([]string{m.Addr}, out...)
			continue
		}
		out = append(out, m.Addr)
	}
	return out
}

// callJobLocally runs a call about a job that this entry holds. It returns
// once.ErrNotFound for any other.
func (e *Entry) callJobLocally(ctx context.Context, q jobCall) (once.Job, error) {
	switch q.Op {
	case jobWait:
		return e.jobs.Wait(ctx, q.ID, min(q.Wait, maxJobWait))
	case jobCancel:
		return e.jobs.Cancel(ctx, q.ID)
	case jobDrop:
		j, err := e.jobs.Get(q.ID)
		if err == nil {
			e.jobs.Drop(q.ID)
		}
		return j, err
	default:
		return e.jobs.Get(q.ID)
	}
}

// serveJob answers a peer's call about a job. The answer is an empty job if this
// entry does not hold it.
func (e *Entry) serveJob(ctx context.Context, params json.RawMessage) (any, error) {
	var q jobCall
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, fmt.Errorf("question: %w", err)
	}
	j, err := e.callJobLocally(ctx, q)
	if errors.Is(err, once.ErrNotFound) {
		return once.Job{}, nil
	}
	return j, err
}
