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

// Calls about a job that are passed on to the entry that holds it.
const (
	askGet    = "get"
	askWait   = "wait"
	askCancel = "cancel"
	askDrop   = "drop"
)

// maxWait bounds the wait for the end of a job in one call.
const maxWait = 30 * time.Second

// question is a call about a job between entries.
type question struct {
	Ask  string        `json:"ask"`
	ID   string        `json:"id"`
	Wait time.Duration `json:"wait,omitempty"`
}

func (e *Entry) jobFleet() jobs.Fleet {
	return jobs.Fleet{
		Addr: func(host string) (addr, boot string, ok bool) {
			h, ok := e.status.Load().host(host)
			if !ok {
				return "", "", false
			}
			return h.Addr, h.Boot, true
		},
		Adopter: func() bool { return once.Preferred("adopt", e.status.Load().Live) == e.Name() },
		Gone:    e.ledgerGone,
		Note:    func(id, what, cause string) { e.note(Event{Kind: "job", Name: id, What: what, Cause: cause}) },
	}
}

// ledgerGone tells whether the holder of a ledger seems to be gone: its entry is
// live with another ledger, or is neither registered nor live.
func (e *Entry) ledgerGone(ledger string) bool {
	name := once.EntryOf(ledger)
	if name == e.Name() {
		return ledger != e.jobs.Ledger()
	}
	for _, m := range e.status.Load().Entries {
		if m.Name != name {
			continue
		}
		if m.HeartbeatAge >= 0 && m.HeartbeatAge < liveTime {
			return m.Ledger != "" && m.Ledger != ledger
		}
		return !m.Registered
	}
	return true
}

// Submit accepts a job. The error is one of package route's or ErrTooLarge.
func (e *Entry) Submit(ctx context.Context, w route.Work, body []byte) (once.Job, error) {
	if len(body) > once.MaxBody {
		return once.Job{}, fmt.Errorf("%w: %d bytes, limit %d", ErrTooLarge, len(body), once.MaxBody)
	}
	if err := e.router.Check(w); err != nil {
		return once.Job{}, err
	}
	return e.jobs.Submit(ctx, w, e.router.View().Jobs[w.Kind], body)
}

// Job returns a job, held here or elsewhere; with a wait, once it has ended or
// the time is over. The error is ErrNoJob, ErrNotAccepted or ErrUnknown.
func (e *Entry) Job(ctx context.Context, id string, wait time.Duration) (once.Job, error) {
	q := question{Ask: askGet, ID: id}
	if wait > 0 {
		q.Ask, q.Wait = askWait, min(wait, maxWait)
	}
	return e.askJob(ctx, q)
}

// CancelJob cancels a job, held here or elsewhere. Errors are those of Job.
func (e *Entry) CancelJob(ctx context.Context, id string) (once.Job, error) {
	return e.askJob(ctx, question{Ask: askCancel, ID: id})
}

// DropJob forgets a job whose result has been handed out.
func (e *Entry) DropJob(ctx context.Context, id string) {
	_, _ = e.askJob(ctx, question{Ask: askDrop, ID: id})
}

// askJob answers a question about a job here, or passes it on: first to the
// entry that accepted the job, then to all others, last to the store.
func (e *Entry) askJob(ctx context.Context, q question) (once.Job, error) {
	j, err := e.answerJob(ctx, q)
	if !errors.Is(err, once.ErrNotFound) {
		return j, err
	}
	for _, addr := range e.jobHolders(q.ID) {
		call, cancel := context.WithTimeout(ctx, q.Wait+callTime)
		err := e.node.Call(call, addr, methodJob, q, &j)
		cancel()
		if err == nil && j.ID != "" {
			return j, nil
		}
	}
	if q.Ask == askCancel || q.Ask == askDrop {
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

// jobHolders returns the live peers' addresses, that of the entry which
// accepted the job first.
func (e *Entry) jobHolders(id string) []string {
	var out []string
	for _, m := range e.status.Load().Entries {
		if m.Name == e.Name() || m.Addr == "" || m.HeartbeatAge >= liveTime {
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

// answerJob answers a question about a job that is held here.
func (e *Entry) answerJob(ctx context.Context, q question) (once.Job, error) {
	switch q.Ask {
	case askWait:
		return e.jobs.Wait(ctx, q.ID, min(q.Wait, maxWait))
	case askCancel:
		return e.jobs.Cancel(ctx, q.ID)
	case askDrop:
		j, err := e.jobs.Get(q.ID)
		if err == nil {
			e.jobs.Drop(q.ID)
		}
		return j, err
	default:
		return e.jobs.Get(q.ID)
	}
}

// serveJob answers a peer's question; a job that is not held here is an empty
// answer.
func (e *Entry) serveJob(ctx context.Context, params json.RawMessage) (any, error) {
	var q question
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, fmt.Errorf("question: %w", err)
	}
	j, err := e.answerJob(ctx, q)
	if errors.Is(err, once.ErrNotFound) {
		return once.Job{}, nil
	}
	return j, err
}
