package fakes

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"shallotpaddle/table"
)

// Reasons for which a worker refuses a task, as sent in the header Refused.
const (
	refusedFull      = "full"
	refusedLeaving   = "leaving"
	refusedDuplicate = "duplicate"
)

// Task is a task that a worker has started.
type Task struct {
	ID    string
	Pool  string
	Queue string
	Kind  string
	Slots int
	// Began and Ended are the worker's times; Ended is zero while the task runs.
	Began, Ended time.Time
	State        string
	// Cut is the cause (CutReboot, ...) that ended the task before its own end, or
	// empty.
	Cut      string
	answer   []byte
	leaseEnd time.Time
	cancel   context.CancelFunc
}

// Causes that end a task before its own end.
const (
	// CutReboot is a reboot of the worker.
	CutReboot = "reboot"
	// CutStop is an order to stop the task.
	CutStop = "stop"
	// CutLease is the end of the task's lease.
	CutLease = "lease"
	// CutLink is the end of the connection on which the task was sent.
	CutLink = "link"
)

// States of a task at a worker.
const (
	taskRunning = "running"
	taskDone    = "done"
	taskFailed  = "failed"
)

// maxResult is the largest answer that a worker keeps for GET /tasks/{id}/result,
// in bytes.
const maxResult = 1 << 20

// Worker runs tasks in slots over HTTP. It answers a task with the body of the
// request. A body that begins with "run=D;" makes the task run for the duration D
// before it is answered.
type Worker struct {
	name string
	mux  *http.ServeMux

	mu           sync.Mutex
	boot         string
	doneReboots  map[string]bool // names of the reboot orders that were carried out
	slots        int
	busySlots    int
	leaving      bool // refuses new tasks
	broken       bool // fails each task that it starts
	tasks        map[string]*Task
	earlierTasks []Task // tasks from before a reboot
	lastUsage    usage  // as last reported, at most UsageLag old
	usageAt      time.Time
	starts       map[string]int // number of starts by task ID, including those before a reboot
}

type usage struct {
	Boot  string         `json:"boot"`
	Slots int            `json:"slots"`
	Busy  int            `json:"busy"`
	Pools map[string]int `json:"pools"`
	Lag   string         `json:"lag"`
	Open  bool           `json:"open"`
}

// UsageLag is the largest age of a worker's usage report.
const UsageLag = 200 * time.Millisecond

// NewWorker returns a worker with table.WorkerSlots slots.
func NewWorker(name string) *Worker {
	w := &Worker{
		name: name, mux: http.NewServeMux(), boot: rand.Text(), doneReboots: map[string]bool{}, slots: table.WorkerSlots,
		tasks: map[string]*Task{}, starts: map[string]int{},
	}
	w.mux.HandleFunc("POST /run", w.run)
	w.mux.HandleFunc("GET /tasks/{id}", w.state)
	w.mux.HandleFunc("GET /tasks/{id}/result", w.result)
	w.mux.HandleFunc("PUT /tasks/{id}/lease", w.renew)
	w.mux.HandleFunc("POST /tasks/{id}/stop", w.stop)
	w.mux.HandleFunc("POST /tasks/{id}/checkpoint", w.checkpoint)
	w.mux.HandleFunc("POST /tasks/{id}/throttle", w.throttle)
	w.mux.HandleFunc("GET /usage", w.getUsage)
	w.mux.HandleFunc("GET /seen", w.getSeen)
	w.mux.HandleFunc("POST /fault", w.postFault)
	return w
}

// Name returns the worker's host name.
func (w *Worker) Name() string { return w.name }

// ServeHTTP serves one call.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) { w.mux.ServeHTTP(rw, r) }

// Reboot ends all tasks, removes them and takes a new boot ID.
func (w *Worker) Reboot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		w.end(t, taskFailed, CutReboot)
		w.earlierTasks = append(w.earlierTasks, *t)
	}
	w.tasks = map[string]*Task{}
	w.busySlots, w.boot = 0, rand.Text()
}

// SetLeaving sets whether the worker refuses new tasks.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
}

// SetBroken sets whether every task fails after its start.
func (w *Worker) SetBroken(broken bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = broken
}

// StartedTasks returns every task that the worker has started, including those
// before a reboot.
func (w *Worker) StartedTasks() []Task {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := append([]Task(nil), w.earlierTasks...)
	for _, t := range w.tasks {
		out = append(out, *t)
	}
	return out
}

func (w *Worker) run(rw http.ResponseWriter, r *http.Request) {
	parent := r.Context()
	if r.Header.Get("Lease") != "" {
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	t, refusal := w.admit(r, cancel)
	rw.Header().Set("Task", r.Header.Get("Task"))
	if t == nil {
		rw.Header().Set("Refused", refusal)
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	state, cut := w.runTask(ctx, rw, r, t)
	w.mu.Lock()
	w.end(t, state, cut)
	w.mu.Unlock()
	if cut != "" {
		// A task that ended before its own end gets no answer: an empty one would be
		// taken for its result.
		panic(http.ErrAbortHandler)
	}
}

// admit records a task and takes its slots, or returns the reason of its refusal.
func (w *Worker) admit(r *http.Request, cancel context.CancelFunc) (*Task, string) {
	slots, err := strconv.Atoi(r.Header.Get("Slots"))
	if err != nil || slots < 1 {
		slots = 1
	}
	lease, err := time.ParseDuration(r.Header.Get("Lease"))
	if err != nil {
		lease = time.Hour
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	id := r.Header.Get("Task")
	switch {
	case w.tasks[id] != nil:
		return nil, refusedDuplicate
	case w.leaving:
		return nil, refusedLeaving
	case w.busySlots+slots > w.slots:
		return nil, refusedFull
	}
	now := time.Now()
	t := &Task{
		ID: id, Pool: r.Header.Get("Pool"), Queue: r.Header.Get("Queue"), Kind: r.Header.Get("Kind"),
		Slots: slots, Began: now, State: taskRunning, leaseEnd: now.Add(lease), cancel: cancel,
	}
	w.tasks[id] = t
	w.starts[id]++
	w.busySlots += slots
	return t, ""
}

// runTask waits for the task's run time, then streams the request's body back. It
// returns the task's state, and the cause if it ended before its own end.
func (w *Worker) runTask(ctx context.Context, rw http.ResponseWriter, r *http.Request, t *Task) (state, cut string) {
	body := bufio.NewReaderSize(r.Body, 32<<10)
	if r.Header.Get("Lease") != "" {
		return w.runLeasedTask(ctx, rw, body, t)
	}
	if d := runHint(body); d > 0 {
		if cut := w.pause(ctx, t, d); cut != "" {
			return taskFailed, cut
		}
	}
	w.mu.Lock()
	broken := w.broken
	w.mu.Unlock()
	if broken {
		http.Error(rw, "worker fails everything", http.StatusInternalServerError)
		return taskFailed, ""
	}
	if r.ContentLength >= 0 {
		rw.Header().Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
	}
	rw.Header().Set("Content-Type", "application/octet-stream")
	answer := &headBuffer{limit: maxResult}
	_ = http.NewResponseController(rw).EnableFullDuplex()
	if _, err := io.Copy(rw, io.TeeReader(body, answer)); err != nil {
		return taskFailed, CutLink
	}
	w.mu.Lock()
	t.answer = answer.bytes
	w.mu.Unlock()
	return taskDone, ""
}

// runLeasedTask runs a task with a lease, which goes on after its connection has
// ended: its body is read first, and its answer is kept whether or not it can be sent.
func (w *Worker) runLeasedTask(ctx context.Context, rw http.ResponseWriter, body *bufio.Reader, t *Task) (state, cut string) {
	all, err := io.ReadAll(io.LimitReader(body, maxResult))
	if err != nil {
		return taskFailed, CutLink
	}
	if d := runHint(bufio.NewReader(bytes.NewReader(all))); d > 0 {
		if cut := w.pause(ctx, t, d); cut != "" {
			return taskFailed, cut
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.broken {
		http.Error(rw, "worker fails everything", http.StatusInternalServerError)
		return taskFailed, ""
	}
	t.answer = all
	rw.Header().Set("Content-Type", "application/octet-stream")
	_, _ = rw.Write(all)
	return taskDone, ""
}

// runHint returns the run time at the head of a body, or 0.
func runHint(body *bufio.Reader) time.Duration {
	head, _ := body.Peek(len(runHintPrefix))
	if string(head) != runHintPrefix {
		return 0
	}
	head, _ = body.Peek(maxRunHint)
	text, _, found := strings.Cut(string(head[len(runHintPrefix):]), ";")
	if !found {
		return 0
	}
	d, _ := time.ParseDuration(text)
	return d
}

const (
	runHintPrefix = "run="
	// maxRunHint is the longest head of a body with a run time, in bytes.
	maxRunHint = 20
)

// pause waits for d and returns the cause that ended the task earlier, or "".
func (w *Worker) pause(ctx context.Context, t *Task, d time.Duration) string {
	end := time.NewTimer(d)
	defer end.Stop()
	for {
		w.mu.Lock()
		left := time.Until(t.leaseEnd)
		w.mu.Unlock()
		if left <= 0 {
			return CutLease
		}
		leaseTimer := time.NewTimer(left)
		select {
		case <-end.C:
			leaseTimer.Stop()
			return ""
		case <-ctx.Done():
			leaseTimer.Stop()
			return CutLink
		case <-leaseTimer.C:
		}
	}
}

// end records the end of a task, unless it has ended before; w.mu is held.
func (w *Worker) end(t *Task, state, cut string) {
	if t.State != taskRunning {
		return
	}
	t.State, t.Cut, t.Ended = state, cut, time.Now()
	w.busySlots -= t.Slots
	t.cancel()
}

// headBuffer keeps the first limit bytes that are written to it.
type headBuffer struct {
	bytes []byte
	limit int
}

// Write keeps the bytes up to the limit; it never fails.
func (h *headBuffer) Write(b []byte) (int, error) {
	room := h.limit - len(h.bytes)
	h.bytes = append(h.bytes, b[:min(room, len(b))]...)
	return len(b), nil
}

// find returns the task of a request, or answers 404 and returns nil; w.mu is held.
func (w *Worker) find(rw http.ResponseWriter, r *http.Request) *Task {
	t := w.tasks[r.PathValue("id")]
	if t == nil {
		http.Error(rw, "no such task", http.StatusNotFound)
	}
	return t
}

func (w *Worker) state(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.find(rw, r)
	if t == nil {
		return
	}
	reply(rw, struct {
		State string `json:"state"`
		Boot  string `json:"boot"`
	}{t.State, w.boot})
}

func (w *Worker) result(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.find(rw, r)
	switch {
	case t == nil:
	case t.State != taskDone:
		http.Error(rw, t.State, http.StatusConflict)
	default:
		_, _ = rw.Write(t.answer)
	}
}

func (w *Worker) renew(rw http.ResponseWriter, r *http.Request) {
	ttl, err := time.ParseDuration(r.FormValue("ttl"))
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.find(rw, r); t != nil {
		t.leaseEnd = time.Now().Add(ttl)
	}
}

func (w *Worker) stop(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.find(rw, r); t != nil {
		w.end(t, taskFailed, CutStop)
	}
}

func (w *Worker) checkpoint(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.find(rw, r)
	if t == nil {
		return
	}
	if t.State != taskRunning {
		http.Error(rw, t.State, http.StatusConflict)
		return
	}
	reply(rw, struct {
		Mark string `json:"mark"`
	}{fmt.Sprintf("%s@%s", t.ID, time.Since(t.Began))})
}

// throttle only checks that the task exists; its speed does not change.
func (w *Worker) throttle(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.find(rw, r)
}

func (w *Worker) getUsage(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); now.Sub(w.usageAt) >= UsageLag || w.lastUsage.Boot != w.boot {
		w.usageAt = now
		w.lastUsage = usage{Boot: w.boot, Slots: w.slots, Busy: w.busySlots, Pools: map[string]int{}, Lag: UsageLag.String()}
		for _, t := range w.tasks {
			if t.State == taskRunning {
				w.lastUsage.Pools[t.Pool]++
			}
		}
	}
	w.lastUsage.Open = !w.leaving
	reply(rw, w.lastUsage)
}
