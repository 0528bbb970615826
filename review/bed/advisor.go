package bed

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"shallotpaddle/runs"
)

// Advice has the times of the advisor, which the configuration states: for an answer, in addition
// for each worker that is named, and for which a ticket is valid.
type Advice struct{ Decision, Period, Valid time.Duration }

// maxAdvisorCalls is the number of waiting calls of one machine from which on the advisor answers 429.
const maxAdvisorCalls = 32

// advisor is the advisor as one entry sees it: it handles the entry's calls in turn.
type advisor struct {
	bed     *Bed
	entry   string
	waiting atomic.Int32
	turn    sync.Mutex
}

// ticket is the advisor's permission to run a step on a worker.
type ticket struct {
	worker string
	born   time.Time
	step   runs.Step
	until  time.Time
}

// ServeHTTP answers a call. All workers may run all steps.
func (a *advisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string
		Workers []string
	}
	body, err := io.ReadAll(r.Body) // to its end, so that the server sees when the caller goes
	if err != nil || r.URL.Path != "/-/advise" || json.Unmarshal(body, &in) != nil || a.bed.options.Advice == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if a.waiting.Add(1) > maxAdvisorCalls {
		a.waiting.Add(-1)
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	came := time.Now()
	a.turn.Lock()
	gone := !a.decide(r.Context(), len(in.Workers))
	a.turn.Unlock()
	a.waiting.Add(-1)
	if gone {
		a.bed.Rec.Add("advisor: %s asks about %s on %d workers, and has gone after %s", a.entry, in.Step, len(in.Workers), time.Since(came).Round(time.Millisecond))
		return
	}
	allowed := a.bed.Workers.issue(in.Step, in.Workers)
	a.bed.Rec.Add("advisor: %s asks about %s on %d workers, answered after %s", a.entry, in.Step, len(in.Workers), time.Since(came).Round(time.Millisecond))
	reply(w, http.StatusOK, map[string]any{"Allowed": allowed})
}

// decide waits for a decision on a number of workers, and reports false if the caller has gone: calls
// that nobody waits for take no turn.
func (a *advisor) decide(ctx context.Context, workers int) bool {
	times := a.bed.options.Advice
	t := time.NewTimer(times.Decision + time.Duration(workers)*times.Period)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	default:
	}
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// issue issues tickets for a step, and returns rows of a worker and its ticket.
func (ws *Workers) issue(step string, workers []string) [][]string {
	allowed := [][]string{}
	t, err := runs.ParseTask(step + ".0")
	if err != nil {
		return allowed
	}
	ws.mu.Lock()
	defer ws.mu.Unlock()
	for _, w := range ws.list {
		for _, id := range workers {
			if w.id != id {
				continue
			}
			name := fmt.Sprintf("t%d", len(ws.tickets))
			ws.tickets[name] = ticket{id, w.born, t.ParentStep(), time.Now().Add(ws.advice.Valid)}
			allowed = append(allowed, []string{id, name})
		}
	}
	return allowed
}

// validTicket tells whether a ticket allows a step on a worker now; ws.mu is held.
func (ws *Workers) validTicket(w *worker, name string, step runs.Step, now time.Time) bool {
	t, ok := ws.tickets[name]
	return ok && t.worker == w.id && t.born.Equal(w.born) && t.step == step && now.Before(t.until)
}
