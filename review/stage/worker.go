package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds of the stand-ins, as the settings state them.
const (
	maxLease  = 10 * time.Second
	stopTime  = 200 * time.Millisecond
	startup   = 300 * time.Millisecond // until a subtask that lasts is at work
	maxListed = 500
)

// run is a run on a worker.
type run struct {
	task    string
	number  int
	started time.Time
	timer   *time.Timer
}

// end is the end of a run, in the order of a report's row.
type end struct {
	number int64
	task   string
	run    int
	how    string
}

// worker is a stand-in of one worker: it keeps leases, fencing tokens, run numbers and ends as the
// users' protocol says.
type worker struct {
	id, pool, address, machine string
	labels                     []string
	stage                      *stage

	mu     sync.Mutex
	server *http.Server // nil while it is down
	gone   bool         // for good
	dark   bool         // answers nothing
	// held has the orders that arrived while the worker was dark. Its next life carries them out, as an
	// order without an answer may be carried out seconds later.
	held    []heldOrder
	drain   bool
	born    time.Time
	fence   int64
	lease   time.Time
	expiry  *time.Timer
	running map[string]*run
	stale   map[string]int
	ends    []end
	last    int64
	changed chan struct{}
}

// up starts a life of the worker: it knows nothing of those before.
func (w *worker) up() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.address = l.Addr().String()
	w.born, w.fence, w.lease, w.last = time.Now(), 0, time.Time{}, 0
	w.running, w.stale, w.ends, w.changed = map[string]*run{}, map[string]int{}, nil, make(chan struct{})
	life := w.born
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", func(rw http.ResponseWriter, r *http.Request) { w.serve(rw, r, life, w.start) })
	mux.HandleFunc("POST /-/run-stop", func(rw http.ResponseWriter, r *http.Request) { w.serve(rw, r, life, w.stop) })
	mux.HandleFunc("POST /-/pace", func(rw http.ResponseWriter, r *http.Request) {
		w.serve(rw, r, life, func(order) (int, map[string]any) { return http.StatusOK, nil })
	})
	mux.HandleFunc("POST /-/hold", func(rw http.ResponseWriter, r *http.Request) { w.hold(rw, r, life) })
	w.server = &http.Server{Handler: mux}
	go func(s *http.Server) { _ = s.Serve(l) }(w.server) // it ends with down
	w.stage.note("worker %s up at %s, born %d", w.id, w.address, w.born.UnixMilli())
	return nil
}

// down ends the worker's process with all that runs there.
func (w *worker) down(why string) {
	w.mu.Lock()
	s := w.server
	if s == nil {
		w.mu.Unlock()
		return
	}
	w.server = nil
	w.loseRuns()
	w.stage.note("worker %s down: %s", w.id, why)
	w.mu.Unlock()
	_ = s.Close()
}

// loseForGood ends the worker and its machine: silently, or with its connections reset.
func (w *worker) loseForGood(silent bool) {
	w.mu.Lock()
	w.gone = true
	if silent {
		w.dark = true
		w.loseRuns()
		w.stage.note("worker %s is lost for good, silently", w.id)
		w.mu.Unlock()
		return
	}
	w.mu.Unlock()
	w.down("lost for good")
}

// goDark makes the worker silent: what runs there is lost.
func (w *worker) goDark() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dark = true
	w.loseRuns()
	w.stage.note("worker %s goes dark", w.id)
}

// comeBack begins the next life of a worker that was dark. It carries out the orders that arrived
// meanwhile, in their order.
func (w *worker) comeBack() error {
	w.mu.Lock()
	s, held := w.server, w.held
	w.server, w.held = nil, nil
	w.mu.Unlock()
	_ = s.Close()
	if err := w.up(); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dark = false
	for _, h := range held {
		if h.order.FencingToken < w.fence {
			continue
		}
		w.fence = h.order.FencingToken
		switch h.path {
		case "/-/run-start":
			w.stage.note("worker %s carries out late: start %s run %d, token %d", w.id, h.order.Task, h.order.Run, h.order.FencingToken)
			w.start(h.order)
		case "/-/run-stop":
			w.stop(h.order)
		case "/-/hold":
			if h.order.UntilMs > w.clock() {
				w.extend(h.order.UntilMs)
			}
		}
	}
	return nil
}

// loseRuns ends what runs without a report; mu is held.
func (w *worker) loseRuns() {
	for _, r := range w.running {
		r.timer.Stop()
		w.stage.note("run lost %s run %d on %s after %d ms", r.task, r.number, w.id, time.Since(r.started).Milliseconds())
		w.stage.runEnded(r.task, "lost")
	}
	w.running = map[string]*run{}
}

// isUp reports whether the worker is at work; mu is held.
func (w *worker) isUp() bool { return w.server != nil && !w.dark }

// clock returns the worker's clock in milliseconds.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// order is the body of any call to a worker.
type order struct {
	Task, Spec              string
	Run, WaitMs             int
	UntilMs, LastSeen       int64
	FencingToken, Percent   int64
	Checkpoint, Ticket, Who string
}

// heldOrder is an order that got no answer.
type heldOrder struct {
	path  string
	order order
}

// serve answers one order of a life of the worker.
func (w *worker) serve(rw http.ResponseWriter, r *http.Request, life time.Time, carryOut func(order) (int, map[string]any)) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	if w.dark {
		w.held = append(w.held, heldOrder{r.URL.Path, o})
		w.stage.note("worker %s is dark: order %s %s run %d, token %d, gets no answer", w.id, r.URL.Path, o.Task, o.Run, o.FencingToken)
		w.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if w.server == nil || w.born != life {
		w.mu.Unlock()
		panic(http.ErrAbortHandler) // this life is over
	}
	status, body := http.StatusOK, map[string]any(nil)
	switch want := r.Header.Get("X-Expected-Instance"); {
	case want != "" && want != w.id:
		status = http.StatusMisdirectedRequest
	case o.FencingToken < w.fence:
		status, body = http.StatusConflict, map[string]any{"Reason": "fence"}
	default:
		w.fence = o.FencingToken
		status, body = carryOut(o)
	}
	if body == nil {
		body = map[string]any{}
	}
	body["ClockMs"], body["born"] = w.clock(), w.born.UnixMilli()
	w.mu.Unlock()
	answer(rw, status, body)
}

// extend extends the lease to a time of the worker's clock; mu is held.
func (w *worker) extend(until int64) {
	at := w.born.Add(time.Duration(min(until, w.clock()+maxLease.Milliseconds())) * time.Millisecond)
	if !at.After(w.lease) {
		return
	}
	w.lease = at
	if w.expiry != nil {
		w.expiry.Stop()
	}
	life := w.born
	w.expiry = time.AfterFunc(time.Until(at), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.isUp() || w.born != life || time.Now().Before(w.lease) {
			return
		}
		for _, r := range w.running {
			w.end(r, "lapsed")
		}
	})
}

// start begins a run; mu is held.
func (w *worker) start(o order) (int, map[string]any) {
	refuse := func(reason string) (int, map[string]any) {
		return http.StatusConflict, map[string]any{"Reason": reason}
	}
	if o.UntilMs <= w.clock() {
		return refuse("late")
	}
	w.extend(o.UntilMs)
	if r := w.running[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, nil
	}
	if o.Run <= w.stale[o.Task] || w.running[o.Task] != nil {
		return refuse("old")
	}
	r := &run{task: o.Task, number: o.Run, started: time.Now()}
	length, lasts := w.stage.workOf(o.Task)
	life := w.born
	r.timer = time.AfterFunc(length, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.born == life && w.running[o.Task] == r {
			w.end(r, "done")
		}
	})
	if lasts {
		r.timer.Stop()
	}
	w.running[o.Task] = r
	w.stage.note("run started %s run %d on %s, token %d", o.Task, o.Run, w.id, o.FencingToken)
	w.stage.runStarted(o.Task)
	return http.StatusOK, nil
}

// end ends a run and lists its end; mu is held.
func (w *worker) end(r *run, how string) {
	if w.running[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(w.running, r.task)
	w.stale[r.task] = max(w.stale[r.task], r.number)
	w.last++
	w.ends = append(w.ends, end{w.last, r.task, r.number, how})
	w.stage.note("run ended %s run %d on %s: %s", r.task, r.number, w.id, how)
	w.stage.runEnded(r.task, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) countRuns() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

// failOne ends a run as failed, by the subtask's own fault.
func (w *worker) failOne() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.running {
		w.end(r, "failed")
		return
	}
}

// stop ends a run after stopTime, and bars it; mu is held.
func (w *worker) stop(o order) (int, map[string]any) {
	w.stale[o.Task] = max(w.stale[o.Task], o.Run)
	if r := w.running[o.Task]; r != nil && r.number <= o.Run {
		life := w.born
		time.AfterFunc(stopTime/2, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.born == life {
				w.end(r, "stopped")
			}
		})
	}
	return http.StatusOK, nil
}

// hold extends the lease, forgets ends and reports, at once if there is an end, else when the wait
// is over.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, life time.Time) {
	w.serve(rw, r, life, func(o order) (int, map[string]any) {
		if o.UntilMs > w.clock() {
			w.extend(o.UntilMs)
		}
		for len(w.ends) > 0 && w.ends[0].number <= o.LastSeen {
			w.ends = w.ends[1:]
		}
		deadline := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
		for waiting := o.WaitMs > 0; waiting && len(w.ends) == 0; {
			changed := w.changed
			w.mu.Unlock()
			select {
			case <-changed:
			case <-deadline:
				waiting = false
			case <-r.Context().Done():
				waiting = false
			}
			w.mu.Lock()
			if w.dark {
				w.mu.Unlock()
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
			if w.server == nil || w.born != life {
				w.mu.Unlock()
				panic(http.ErrAbortHandler)
			}
		}
		return http.StatusOK, map[string]any{"Running": w.rows(), "Finished": w.endRows()}
	})
}

// rows returns the active runs; mu is held.
func (w *worker) rows() [][]any {
	out := [][]any{}
	for _, r := range w.running {
		length, lasts := w.stage.workOf(r.task)
		percent := int(100 * time.Since(r.started) / max(length, 1))
		if lasts {
			percent = int(100 * time.Since(r.started) / startup)
		}
		out = append(out, []any{r.task, r.number, "", min(percent, 100), 0})
	}
	return out
}

// endRows returns the ends that are not acknowledged; mu is held.
func (w *worker) endRows() [][]any {
	out := [][]any{}
	for _, e := range w.ends[:min(len(w.ends), maxListed)] {
		out = append(out, []any{e.number, e.task, e.run, e.how, ""})
	}
	return out
}

// registration returns the worker's entry in the store.
func (w *worker) registration(sequence int64) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := "ready"
	if w.drain {
		state = "draining"
	}
	b, _ := json.Marshal(map[string]any{ // encoding plain values can't fail
		"Service": w.pool, "Address": w.address, "Zone": "suva", "Version": "v1", "Slots": 8, "State": state, "Sequence": sequence,
		"Capacity": map[string]int{"Cpu": 32000, "MemMb": 131072}, "Labels": w.labels, "Machine": w.machine, "born": w.born.UnixMilli(),
	})
	return b
}

func answer(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // the caller may have gone
}
