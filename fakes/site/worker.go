package site

import (
	"context"
	"errors"
	"net/http"

	"shallotpaddle/plat"
	"shallotpaddle/runs"
)

// maxEnds is the largest number of ends in one report.
const maxEnds = 500

// reasons are the reasons with which a worker refuses an order.
var reasons = map[error]string{
	runs.ErrFence: "fence", runs.ErrStaleRun: "old", runs.ErrLeaseOver: "late", runs.ErrNoCapacity: "room", runs.ErrTicket: "ticket",
}

// WorkerHandler serves the worker with an ID.
func (s *Site) WorkerHandler(id string) http.Handler {
	h := &workerHandler{s, runs.Target{ID: id}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", h.start)
	mux.HandleFunc("POST /-/run-stop", h.stop)
	mux.HandleFunc("POST /-/hold", h.hold)
	mux.HandleFunc("POST /-/pace", h.pace)
	var serve http.Handler = mux
	if s.path != nil {
		serve = s.alongPath(id, mux)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if want := r.Header.Get("X-Expected-Instance"); want != "" && want != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if !s.workers.Up(id) && !s.workers.Unreachable(id) {
			abort()
		}
		serve.ServeHTTP(w, r)
	})
}

type workerHandler struct {
	site *Site
	to   runs.Target
}

// order is the wire format of all orders together.
type order struct {
	Task, Spec, Checkpoint, Ticket string
	Run, Percent                   int
	UntilMs, FencingToken          int64
}

// answer answers an order. Unlike a report, the answer doesn't tell the incarnation.
func answer(w http.ResponseWriter, r runs.Reply, err error) {
	body := map[string]any{"ClockMs": r.ClockMs}
	for e, reason := range reasons {
		if errors.Is(err, e) {
			body["Reason"] = reason
			reply(w, http.StatusConflict, body)
			return
		}
	}
	switch {
	case err == nil:
		reply(w, http.StatusOK, body)
	case errors.Is(err, runs.ErrIncarnation):
		w.WriteHeader(http.StatusMisdirectedRequest)
	case errors.Is(err, plat.ErrUnavailable):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		abort()
	}
}

// decodeOrder decodes an order and its task, or answers 400.
func decodeOrder(w http.ResponseWriter, r *http.Request) (o order, t runs.Task, ok bool) {
	if !decode(w, r, &o) {
		return o, t, false
	}
	t, err := runs.ParseTask(o.Task)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
	return o, t, err == nil
}

// start starts a run. The order is carried out even if its sender has gone.
func (h *workerHandler) start(w http.ResponseWriter, r *http.Request) {
	o, t, ok := decodeOrder(w, r)
	if !ok {
		return
	}
	s := runs.Start{Task: t, Run: o.Run, Payload: o.Spec, UntilMs: o.UntilMs, Fence: o.FencingToken, Checkpoint: o.Checkpoint, Ticket: o.Ticket}
	rep, err := h.site.workers.Start(context.WithoutCancel(r.Context()), h.to, s)
	if copyStart := h.site.twists.CopyStart; copyStart != nil && err == nil {
		if other := copyStart(h.to.ID, s); other != "" {
			_, _ = h.site.workers.Start(context.WithoutCancel(r.Context()), runs.Target{ID: other}, s)
		}
	}
	answer(w, rep, err)
}

func (h *workerHandler) stop(w http.ResponseWriter, r *http.Request) {
	o, t, ok := decodeOrder(w, r)
	if !ok {
		return
	}
	if skip := h.site.twists.SkipStop; skip != nil && skip(t) {
		reply(w, http.StatusOK, struct{}{})
		return
	}
	rep, err := h.site.workers.Stop(context.WithoutCancel(r.Context()), h.to, runs.Stop{Task: t, Run: o.Run, Fence: o.FencingToken})
	answer(w, rep, err)
}

func (h *workerHandler) pace(w http.ResponseWriter, r *http.Request) {
	o, t, ok := decodeOrder(w, r)
	if !ok {
		return
	}
	p := runs.Pace{Task: t, Run: o.Run, Percent: o.Percent, Fence: o.FencingToken}
	rep, err := h.site.workers.Pace(context.WithoutCancel(r.Context()), h.to, p)
	answer(w, rep, err)
}

func (h *workerHandler) hold(w http.ResponseWriter, r *http.Request) {
	var in struct {
		FencingToken, LastSeen, UntilMs int64
		WaitMs                          int
	}
	if !decode(w, r, &in) {
		return
	}
	rep, err := h.site.workers.Renew(r.Context(), h.to, runs.Renew{
		Fence: in.FencingToken, UntilMs: in.UntilMs, AckedThrough: in.LastSeen, WaitMs: in.WaitMs,
	})
	if err != nil {
		answer(w, rep.Reply, err)
		return
	}
	running, finished := [][]any{}, [][]any{}
	for _, v := range rep.Running {
		running = append(running, []any{v.Task.String(), v.Run, v.Checkpoint, v.Percent, v.TailOrCPU})
	}
	for _, e := range firstN(rep.Ended, maxEnds) {
		if h.site.twists.End != nil {
			e = h.site.twists.End(e)
		}
		finished = append(finished, []any{e.Number, e.Task.String(), e.Run, e.Outcome, e.Checkpoint})
	}
	reply(w, http.StatusOK, map[string]any{"ClockMs": rep.ClockMs, "born": rep.StartedMs, "Running": running, "Finished": finished})
}
