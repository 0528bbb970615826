package bed

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"shallotpaddle/fakes"
	"shallotpaddle/runs"
)

const (
	checkpointEvery = 500 * time.Millisecond // of work
	restoreTime     = 100 * time.Millisecond
	startupTime     = 300 * time.Millisecond // until a long-running subtask is at work
	workerTick      = 5 * time.Millisecond
	maxWait         = 2 * time.Second // of a poll
	maxEnds         = 500             // in one report
)

// Kinds of workers, which are their first labels. Worker 0 alone is of the rare kind.
const (
	CommonKind = "a"
	RareKind   = "b"
)

// Workers are the workers of the pool. They keep the rules of the platform's page on running
// subtasks; the working time of a subtask is its estimate.
type Workers struct {
	rec *Record
	kv  *fakes.KV

	mu       sync.Mutex
	list     []*worker
	jobs     map[string]*Job
	starts   []Start
	ends     []End
	sequence int
	stop     chan struct{}
	advice   *Advice
	tickets  map[string]ticket
}

// Start is a run that a worker has begun.
type Start struct {
	Task       runs.Task
	Run        int
	Worker     string
	Checkpoint string
	At         time.Time
}

// End is the end of a run.
type End struct {
	Task    runs.Task
	Run     int
	Outcome runs.Outcome
	At      time.Time
}

// worker is a worker and its present incarnation.
type worker struct {
	id, pool, address string
	kind, rack        string
	server            *http.Server // nil while it is down
	cut               bool         // neither entries nor the store reach it
	born              time.Time
	fence             int64
	leaseUntil        int64 // in milliseconds of its clock
	active            map[runs.Task]*activeRun
	highest           map[runs.Task]int // highest run that ended or was stopped
	ended             []endRow
	lastEnd           int64
	lastBeat          time.Time
}

type endRow struct {
	number int64
	End
	saved string
}

type activeRun struct {
	run        int
	step       *Step
	startedAt  time.Time
	carried    string // the checkpoint with which it was started
	saved      string
	worked     time.Duration
	restoreEnd time.Time
	complete   bool // the gang has been complete
	stopAt     time.Time
}

func newWorkers(rec *Record, kv *fakes.KV) *Workers {
	ws := &Workers{rec: rec, kv: kv, jobs: map[string]*Job{}, tickets: map[string]ticket{}, stop: make(chan struct{})}
	go ws.loop()
	return ws
}

// AddJob tells the workers the steps of a job.
func (ws *Workers) AddJob(j *Job) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.jobs[j.ID] = j
}

func (ws *Workers) add(i int, pool string) error {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w := &worker{id: fmt.Sprintf("i-%08x", 0x7f3a91c2+i), pool: pool, kind: CommonKind, rack: fmt.Sprintf("r1-%d", i/4+1)}
	if i == 0 {
		w.kind = RareKind
	}
	ws.list = append(ws.list, w)
	return ws.boot(w)
}

// boot starts an incarnation of a worker; ws.mu is held.
func (ws *Workers) boot(w *worker) error {
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.address, w.born, w.fence, w.leaseUntil, w.lastEnd, w.ended = l.Addr().String(), time.Now(), 0, 0, 0, nil
	w.active, w.highest = map[runs.Task]*activeRun{}, map[runs.Task]int{}
	w.server = &http.Server{Handler: ws.handler(w, w.born), ReadHeaderTimeout: time.Minute}
	go func(s *http.Server) { _ = s.Serve(l) }(w.server) // ends with the incarnation
	ws.beat(w)
	return nil
}

// Crash ends a worker with all that runs there; its connections are reset.
func (ws *Workers) Crash(i int) {
	ws.mu.Lock()
	w := ws.list[i]
	s := w.server
	w.server = nil
	lost := make([]string, 0, len(w.active))
	for t, a := range w.active {
		lost = append(lost, fmt.Sprintf("%s run %d", t, a.run))
	}
	w.active = map[runs.Task]*activeRun{}
	ws.mu.Unlock()
	if s != nil {
		_ = s.Close()
	}
	slices.Sort(lost)
	ws.rec.Add("trouble: worker %s crashes with %s", w.id, strings.Join(lost, ", "))
}

// Restart starts a crashed worker again, under its ID and at its address.
func (ws *Workers) Restart(i int) error {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.rec.Add("trouble: worker %s starts again", ws.list[i].id)
	return ws.boot(ws.list[i])
}

// Cut cuts a worker off, or ends that. What runs there goes on.
func (ws *Workers) Cut(i int, cut bool) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w := ws.list[i]
	w.cut = cut
	ws.rec.Add("trouble: worker %s is cut off: %t; %d runs there", w.id, cut, len(w.active))
}

// SinceBeat returns the time since a worker last wrote its entry.
func (ws *Workers) SinceBeat(i int) time.Duration {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return time.Since(ws.list[i].lastBeat)
}

// Active returns the number of active runs on a worker, and on all of them.
func (ws *Workers) Active(i int) (there, all int) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	for _, w := range ws.list {
		all += len(w.active)
	}
	return len(ws.list[i].active), all
}

// WorkerOf returns the worker that runs a subtask, -1 if there is none.
func (ws *Workers) WorkerOf(t runs.Task) int {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return slices.IndexFunc(ws.list, func(w *worker) bool { return w.active[t] != nil })
}

// Running returns the number of active runs of a job.
func (ws *Workers) Running(job string) int {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	n := 0
	for _, w := range ws.list {
		for t := range w.active {
			if t.Job == job {
				n++
			}
		}
	}
	return n
}

// Starts returns the starts of a job's runs, in their order.
func (ws *Workers) Starts(job string) []Start {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(ws.starts), func(s Start) bool { return s.Task.Job != job })
}

// Ends returns the ends of a job's runs, in their order.
func (ws *Workers) Ends(job string) []End {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(ws.ends), func(e End) bool { return e.Task.Job != job })
}

func (ws *Workers) close() {
	close(ws.stop)
	ws.mu.Lock()
	defer ws.mu.Unlock()
	for _, w := range ws.list {
		if w.server != nil {
			_ = w.server.Close()
			w.server = nil
		}
	}
}

// beat writes a worker's entry; ws.mu is held.
func (ws *Workers) beat(w *worker) {
	ws.sequence++
	w.lastBeat = time.Now()
	b, _ := json.Marshal(map[string]any{ // encoding plain values can't fail
		"Service": w.pool, "Address": w.address, "Zone": "suva", "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
		"Capacity": room(), "Labels": []string{w.kind, w.rack}, "Machine": "m-" + w.id, "ClockMs": w.clock(), "Sequence": ws.sequence,
		"born": w.born.UnixMilli(),
	})
	ws.kv.Put("servers/"+w.id, b)
}

func room() map[string]int {
	return map[string]int{"Cpu": Capacity.CPU, "MemMb": Capacity.Mem, "Gpu": Capacity.GPU}
}

// listMachines answers the platform's list of machines. All other calls are refused.
func (ws *Workers) listMachines(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ws.mu.Lock()
	defer ws.mu.Unlock()
	list := []any{}
	for _, v := range ws.list {
		state := "up"
		if v.server == nil {
			state = "down"
		}
		list = append(list, map[string]any{
			"Machine": "m-" + v.id, "Pool": v.pool, "State": state, "Zone": "suva", "Labels": []string{v.kind, v.rack}, "Capacity": room(), "Id": v.id,
		})
	}
	reply(w, http.StatusOK, map[string]any{"Machines": list, "NextPageToken": ""})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have gone
}

// clock returns the worker's steady clock, in milliseconds.
func (w *worker) clock() int64 { return 1000 + time.Since(w.born).Milliseconds() }

func (ws *Workers) loop() {
	t := time.NewTicker(workerTick)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-ws.stop:
			return
		case <-t.C:
		}
		now := time.Now()
		ws.advance(now, now.Sub(last))
		last = now
	}
}

// advance lets all runs work for a time.
func (ws *Workers) advance(now time.Time, d time.Duration) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	for _, w := range ws.list {
		away := w.server == nil || w.cut
		switch {
		case !away && now.Sub(w.lastBeat) >= beat:
			ws.beat(w)
		case away && !w.lastBeat.IsZero() && now.Sub(w.lastBeat) > silent:
			ws.kv.Delete("servers/" + w.id)
			w.lastBeat = time.Time{}
			ws.rec.Add("store: the entry of worker %s is removed, as it is silent", w.id)
		}
		for t, a := range w.active {
			ws.advanceRun(w, t, a, now, d)
		}
	}
}

func (ws *Workers) advanceRun(w *worker, t runs.Task, a *activeRun, now time.Time, d time.Duration) {
	switch {
	case w.active[t] != a:
	case w.clock() >= w.leaseUntil:
		ws.end(w, t, a, runs.LeaseExpired)
	case !a.stopAt.IsZero() && !now.Before(a.stopAt):
		ws.end(w, t, a, runs.Stopped)
	case a.step.Gang && !a.complete && now.Sub(a.startedAt) >= GangWait:
		ws.end(w, t, a, runs.GangIncomplete)
	case a.step.Gang && !a.complete, now.Before(a.restoreEnd):
	case a.step.LongRunning:
		a.worked += d
	default:
		before := a.worked / checkpointEvery
		a.worked += d
		if a.step.Checkpointing && a.worked/checkpointEvery > before {
			a.saved = checkpoint(t, a.worked)
		}
		if a.worked >= time.Duration(a.step.EstimateMs)*time.Millisecond {
			a.saved = ""
			ws.end(w, t, a, runs.Done)
		}
	}
}

// checkpoint returns the checkpoint of a subtask that has worked for a time: the last whole
// interval. It is the same for all members of a gang.
func checkpoint(t runs.Task, worked time.Duration) string {
	return fmt.Sprintf("%08x%s", (worked / checkpointEvery * checkpointEvery).Milliseconds(), t.Job[:8])
}

// workedUntil returns the time for which a subtask had worked at a checkpoint.
func workedUntil(saved string) time.Duration {
	var ms int64
	if len(saved) >= 8 {
		_, _ = fmt.Sscanf(saved[:8], "%x", &ms) // 0 if it can't be read
	}
	return time.Duration(ms) * time.Millisecond
}

// end ends a run, and with it those of the other members of its gang; ws.mu is held.
func (ws *Workers) end(w *worker, t runs.Task, a *activeRun, outcome runs.Outcome) {
	if w.active[t] != a {
		return
	}
	if outcome == runs.Stopped && a.step.Checkpointing && a.worked > 0 {
		a.saved = checkpoint(t, a.worked)
	}
	delete(w.active, t)
	w.highest[t] = max(w.highest[t], a.run)
	w.lastEnd++
	e := End{t, a.run, outcome, time.Now()}
	w.ended = append(w.ended, endRow{w.lastEnd, e, a.saved})
	ws.ends = append(ws.ends, e)
	ws.rec.Add("worker %s: %s run %d ends %s, saved %q", w.id, t, a.run, outcome, a.saved)
	if a.step.Gang && a.complete {
		others := runs.GangBroken
		if outcome == runs.Done {
			others = runs.Done
		}
		ws.endGang(t, a.run, others)
	}
}

func (ws *Workers) endGang(of runs.Task, run int, outcome runs.Outcome) {
	for _, w := range ws.list {
		for t, a := range w.active {
			if t.ParentStep() == of.ParentStep() && a.run == run && a.complete {
				ws.end(w, t, a, outcome)
			}
		}
	}
}

// agrees tells whether a start carries the same checkpoint as the members of its gang's run that are
// present, as all of them must; ws.mu is held.
func (ws *Workers) agrees(o *order, of runs.Task) bool {
	for _, w := range ws.list {
		for t, a := range w.active {
			if t.ParentStep() == of.ParentStep() && a.run == o.Run && a.carried != o.Checkpoint {
				ws.rec.Add("gang %s run %d: its members are sent different checkpoints: %q and %q", of.ParentStep(), o.Run, a.carried, o.Checkpoint)
				return false
			}
		}
	}
	return true
}

// checkGang lets a gang begin if all members of a run are present; ws.mu is held.
func (ws *Workers) checkGang(of runs.Task, run int) {
	var members []*activeRun
	for _, w := range ws.list {
		for t, a := range w.active {
			if t.ParentStep() == of.ParentStep() && a.run == run {
				members = append(members, a)
			}
		}
	}
	if len(members) == 0 || len(members) < members[0].step.Count {
		return
	}
	for _, a := range members {
		a.complete = true
		a.restoreEnd = time.Now().Add(restoreTime)
	}
	ws.rec.Add("gang %s run %d: all members are present", of.ParentStep(), run)
}

// BreakGangs ends the gangs of which a member is gone: their other members notice it.
func (ws *Workers) BreakGangs() {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	type gang struct {
		step runs.Step
		run  int
	}
	count, of := map[gang]int{}, map[gang]runs.Task{}
	size := map[gang]int{}
	for _, w := range ws.list {
		for t, a := range w.active {
			if g := (gang{t.ParentStep(), a.run}); a.step.Gang && a.complete {
				count[g]++
				of[g], size[g] = t, a.step.Count
			}
		}
	}
	for g, n := range count {
		if n < size[g] {
			ws.endGang(of[g], g.run, runs.GangBroken)
		}
	}
}

// handler serves an incarnation of a worker.
func (ws *Workers) handler(w *worker, born time.Time) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", func(rw http.ResponseWriter, r *http.Request) { ws.order(rw, r, w, ws.start) })
	mux.HandleFunc("POST /-/run-stop", func(rw http.ResponseWriter, r *http.Request) { ws.order(rw, r, w, ws.stopRun) })
	mux.HandleFunc("POST /-/pace", func(rw http.ResponseWriter, r *http.Request) {
		ws.order(rw, r, w, func(*worker, *order, runs.Task) string { return "" })
	})
	mux.HandleFunc("POST /-/hold", func(rw http.ResponseWriter, r *http.Request) { ws.hold(rw, r, w) })
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		ws.mu.Lock()
		up, cut := w.server != nil && w.born.Equal(born), w.cut
		ws.mu.Unlock()
		switch want := r.Header.Get("X-Expected-Instance"); {
		case !up:
			panic(http.ErrAbortHandler)
		case cut:
			unanswered(r)
		case want != "" && want != w.id:
			rw.WriteHeader(http.StatusMisdirectedRequest)
		default:
			mux.ServeHTTP(rw, r)
		}
	})
}

// unanswered leaves a call without an answer until its sender gives up.
func unanswered(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the server sees the end of the connection only then
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// order has the fields of all calls that name a run.
type order struct {
	Task, Spec, Checkpoint, Ticket string
	Run                            int
	UntilMs, FencingToken          int64
}

// order carries out a call that names a run; do returns the reason of a refusal.
func (ws *Workers) order(rw http.ResponseWriter, r *http.Request, w *worker, do func(*worker, *order, runs.Task) string) {
	var o order
	err := json.NewDecoder(r.Body).Decode(&o)
	t, fault := runs.ParseTask(o.Task)
	if err != nil || fault != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	ws.mu.Lock()
	reason := "fence"
	if o.FencingToken >= w.fence {
		w.fence = o.FencingToken
		reason = do(w, &o, t)
	}
	body := map[string]any{"ClockMs": w.clock(), "born": w.born.UnixMilli()}
	ws.mu.Unlock()
	ws.rec.Add("worker %s: %s %s run %d fence %d -> %s", w.id, r.URL.Path, o.Task, o.Run, o.FencingToken, result(reason))
	switch reason {
	case "":
		reply(rw, http.StatusOK, body)
	case invalid:
		reply(rw, http.StatusBadRequest, body)
	default:
		body["Reason"] = reason
		reply(rw, http.StatusConflict, body)
	}
}

// invalid stands for an order that is answered 400.
const invalid = "invalid"

func result(reason string) string {
	switch reason {
	case "":
		return "200"
	case invalid:
		return "400"
	default:
		return "409 " + reason
	}
}

// start starts a run; ws.mu is held.
func (ws *Workers) start(w *worker, o *order, t runs.Task) string {
	if o.UntilMs <= w.clock() {
		return "late"
	}
	w.extend(o.UntilMs)
	if a := w.active[t]; a != nil && a.run == o.Run {
		return ""
	}
	if o.Run <= w.highest[t] || w.active[t] != nil {
		return "old"
	}
	j := ws.jobs[t.Job]
	if j == nil || t.Step >= len(j.Steps) {
		ws.rec.Add("worker %s: %s was never handed in", w.id, t)
		return "old"
	}
	if j.Steps[t.Step].Gang && !ws.agrees(o, t) {
		return invalid
	}
	now := time.Now()
	if ws.advice != nil && !ws.validTicket(w, o.Ticket, t.ParentStep(), now) {
		return "ticket"
	}
	a := &activeRun{run: o.Run, step: &j.Steps[t.Step], startedAt: now, carried: o.Checkpoint, saved: o.Checkpoint, worked: workedUntil(o.Checkpoint)}
	if o.Checkpoint != "" {
		a.restoreEnd = now.Add(restoreTime)
	}
	w.active[t] = a
	ws.starts = append(ws.starts, Start{t, o.Run, w.id, o.Checkpoint, now})
	ws.rec.Add("worker %s: %s run %d begins, checkpoint %q", w.id, t, o.Run, o.Checkpoint)
	if a.step.Gang {
		ws.checkGang(t, o.Run)
	}
	return ""
}

// stopRun stops a run; ws.mu is held.
func (ws *Workers) stopRun(w *worker, o *order, t runs.Task) string {
	w.highest[t] = max(w.highest[t], o.Run)
	if a := w.active[t]; a != nil && a.run == o.Run && a.stopAt.IsZero() {
		a.stopAt = time.Now().Add(StopTime / 2)
	}
	return ""
}

// extend extends the lease to a time of the worker's clock.
func (w *worker) extend(until int64) {
	w.leaseUntil = max(w.leaseUntil, min(until, w.clock()+maxLease.Milliseconds()))
}

// hold extends the lease, forgets ends and answers with a report.
func (ws *Workers) hold(rw http.ResponseWriter, r *http.Request, w *worker) {
	var in struct{ FencingToken, LastSeen, UntilMs, WaitMs int64 }
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.Now().Add(min(time.Duration(in.WaitMs)*time.Millisecond, maxWait))
	for first := true; ; first = false {
		ws.mu.Lock()
		if w.server == nil || w.cut {
			down := w.server == nil
			ws.mu.Unlock()
			if !down {
				unanswered(r)
			}
			panic(http.ErrAbortHandler)
		}
		if in.FencingToken < w.fence {
			body := map[string]any{"ClockMs": w.clock(), "Reason": "fence", "born": w.born.UnixMilli()}
			ws.mu.Unlock()
			reply(rw, http.StatusConflict, body)
			return
		}
		if first {
			w.fence = in.FencingToken
			w.extend(in.UntilMs)
			w.ended = slices.DeleteFunc(w.ended, func(e endRow) bool { return e.number <= in.LastSeen })
		}
		if len(w.ended) > 0 || !time.Now().Before(deadline) {
			body := w.report()
			ws.mu.Unlock()
			reply(rw, http.StatusOK, body)
			return
		}
		ws.mu.Unlock()
		select {
		case <-time.After(workerTick):
		case <-r.Context().Done():
			return
		}
	}
}

// report returns the worker's lists.
func (w *worker) report() map[string]any {
	running, finished := [][]any{}, [][]any{}
	for t, a := range w.active {
		percent := 0
		switch {
		case a.step.LongRunning && a.worked >= startupTime:
			percent = 100
		case !a.step.LongRunning && a.step.EstimateMs > 0:
			percent = int(min(99, 100*a.worked.Milliseconds()/int64(a.step.EstimateMs)))
		}
		running = append(running, []any{t.String(), a.run, a.saved, percent, a.step.CPU})
	}
	for _, e := range w.ended[:min(len(w.ended), maxEnds)] {
		finished = append(finished, []any{e.number, e.Task.String(), e.Run, e.Outcome, e.saved})
	}
	return map[string]any{"ClockMs": w.clock(), "born": w.born.UnixMilli(), "Running": running, "Finished": finished}
}
