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

// Refusals of a worker, as sent in the header Refused.
const (
	refusedFull      = "full"
	refusedLeaving   = "leaving"
	refusedDuplicate = "duplicate"
)

// Task is what a worker knows of one task.
type Task struct {
	ID    string
	Pool  string
	Queue string
	Kind  string
	Slots int
	// Began and Ended are times at the worker; Ended is zero while it runs.
	Began, Ended time.Time
	State        string
	// Cut tells what ended a task that did not come to its own end, or is empty.
	Cut    string
	answer []byte
	lease  time.Time
	cancel context.CancelFunc
}

// What can cut a task off.
const (
	// CutReboot is a reboot of the worker.
	CutReboot = "reboot"
	// CutStop is an order to stop, CutLease the end of the task's lease.
	CutStop  = "stop"
	CutLease = "lease"
	// CutLink is the end of the connection that the task was sent on.
	CutLink = "link"
)

// States of a task at a worker.
const (
	taskRunning = "running"
	taskDone    = "done"
	taskFailed  = "failed"
)

// maxResult is the largest answer a worker keeps for later, in bytes.
const maxResult = 1 << 20

// Worker runs tasks in slots. The answer of a task is its request's body; a body
// that begins with "run=D;" makes the task run for the duration D first.
type Worker struct {
	name string
	mux  *http.ServeMux

	mu     sync.Mutex
	boot   string
	orders map[string]bool // reboot orders that were carried out
	slots  int
	busy   int
	refuse bool // leaving
	broken bool // fails everything it starts
	tasks  map[string]*Task
	log    []Task // tasks of earlier boots
	usage  usage  // as reported, behind by the lag
	usedAt time.Time
	starts map[string]int // starts per id over all boots
}

type usage struct {
	Boot  string         `json:"boot"`
	Slots int            `json:"slots"`
	Busy  int            `json:"busy"`
	Pools map[string]int `json:"pools"`
	Lag   string         `json:"lag"`
	Open  bool           `json:"open"`
}

// UsageLag is the age that a worker's usage report may have.
const UsageLag = 200 * time.Millisecond

// NewWorker returns a worker with WorkerSlots slots.
func NewWorker(name string) *Worker {
	w := &Worker{
		name: name, mux: http.NewServeMux(), boot: rand.Text(), orders: map[string]bool{}, slots: table.WorkerSlots,
		tasks: map[string]*Task{}, starts: map[string]int{},
	}
	w.mux.HandleFunc("POST /run", w.run)
	w.mux.HandleFunc("GET /tasks/{id}", w.state)
	w.mux.HandleFunc("GET /tasks/{id}/result", w.result)
	w.mux.HandleFunc("PUT /tasks/{id}/lease", w.renew)
	w.mux.HandleFunc("POST /tasks/{id}/stop", w.stop)
	w.mux.HandleFunc("POST /tasks/{id}/checkpoint", w.checkpoint)
	w.mux.HandleFunc("POST /tasks/{id}/throttle", w.throttle)
	w.mux.HandleFunc("GET /usage", w.report)
	w.mux.HandleFunc("GET /seen", w.seen)
	w.mux.HandleFunc("POST /fault", w.fault)
	return w
}

// Name returns the worker's host name.
func (w *Worker) Name() string { return w.name }

// ServeHTTP serves one call.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) { w.mux.ServeHTTP(rw, r) }

// Reboot ends all tasks, forgets them and takes a new boot id.
func (w *Worker) Reboot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		w.end(t, taskFailed, CutReboot)
		w.log = append(w.log, *t)
	}
	w.tasks = map[string]*Task{}
	w.busy, w.boot = 0, rand.Text()
}

// SetLeaving makes the worker refuse new tasks.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refuse = leaving
}

// SetBroken makes every task fail after its start.
func (w *Worker) SetBroken(broken bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = broken
}

// StartedTasks returns every task that the worker has started, over all boots.
func (w *Worker) StartedTasks() []Task {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := append([]Task(nil), w.log...)
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
	t, why := w.begin(r, cancel)
	rw.Header().Set("Task", r.Header.Get("Task"))
	if t == nil {
		rw.Header().Set("Refused", why)
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	state, cut := w.work(ctx, rw, r, t)
	w.mu.Lock()
	w.end(t, state, cut)
	w.mu.Unlock()
	if cut != "" {
		// A task that was cut off has no answer, not an empty one.
		panic(http.ErrAbortHandler)
	}
}

// begin takes slots for a task, or tells why it is refused.
func (w *Worker) begin(r *http.Request, cancel context.CancelFunc) (*Task, string) {
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
	case w.refuse:
		return nil, refusedLeaving
	case w.busy+slots > w.slots:
		return nil, refusedFull
	}
	now := time.Now()
	t := &Task{
		ID: id, Pool: r.Header.Get("Pool"), Queue: r.Header.Get("Queue"), Kind: r.Header.Get("Kind"),
		Slots: slots, Began: now, State: taskRunning, lease: now.Add(lease), cancel: cancel,
	}
	w.tasks[id] = t
	w.starts[id]++
	w.busy += slots
	return t, ""
}

// work runs a task: it waits for its run time, then streams the request's body
// back. It returns the task's state and what cut it off.
func (w *Worker) work(ctx context.Context, rw http.ResponseWriter, r *http.Request, t *Task) (state, cut string) {
	body := bufio.NewReaderSize(r.Body, 32<<10)
	if r.Header.Get("Lease") != "" {
		return w.workLeased(ctx, rw, body, t)
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
	keep := &tail{limit: maxResult}
	_ = http.NewResponseController(rw).EnableFullDuplex()
	if _, err := io.Copy(rw, io.TeeReader(body, keep)); err != nil {
		return taskFailed, CutLink
	}
	w.mu.Lock()
	t.answer = keep.bytes
	w.mu.Unlock()
	return taskDone, ""
}

// workLeased runs a task that outlives its connection: its body is read first,
// and its answer is kept whether or not it can be sent.
func (w *Worker) workLeased(ctx context.Context, rw http.ResponseWriter, body *bufio.Reader, t *Task) (state, cut string) {
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

// runHint returns the run time that a body asks for, or 0.
func runHint(body *bufio.Reader) time.Duration {
	head, _ := body.Peek(len(hintPrefix))
	if string(head) != hintPrefix {
		return 0
	}
	head, _ = body.Peek(maxHint)
	text, _, found := strings.Cut(string(head[len(hintPrefix):]), ";")
	if !found {
		return 0
	}
	d, _ := time.ParseDuration(text)
	return d
}

const (
	hintPrefix = "run="
	// maxHint is the longest run time hint, in bytes.
	maxHint = 20
)

// pause waits for d and returns what cut it short, or "".
func (w *Worker) pause(ctx context.Context, t *Task, d time.Duration) string {
	end := time.NewTimer(d)
	defer end.Stop()
	for {
		w.mu.Lock()
		left := time.Until(t.lease)
		w.mu.Unlock()
		if left <= 0 {
			return CutLease
		}
		check := time.NewTimer(left)
		select {
		case <-end.C:
			check.Stop()
			return ""
		case <-ctx.Done():
			check.Stop()
			return CutLink
		case <-check.C:
		}
	}
}

// end records a task's end; w.mu is held.
func (w *Worker) end(t *Task, state, cut string) {
	if t.State != taskRunning {
		return
	}
	t.State, t.Cut, t.Ended = state, cut, time.Now()
	w.busy -= t.Slots
	t.cancel()
}

// tail keeps the first limit bytes written.
type tail struct {
	bytes []byte
	limit int
}

// Write keeps what still fits and never fails.
func (k *tail) Write(b []byte) (int, error) {
	room := k.limit - len(k.bytes)
	k.bytes = append(k.bytes, b[:min(room, len(b))]...)
	return len(b), nil
}

// find returns a task, answering 404 when there is none; w.mu is held.
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
		t.lease = time.Now().Add(ttl)
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

func (w *Worker) throttle(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.find(rw, r)
}

func (w *Worker) report(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); now.Sub(w.usedAt) >= UsageLag || w.usage.Boot != w.boot {
		w.usedAt = now
		w.usage = usage{Boot: w.boot, Slots: w.slots, Busy: w.busy, Pools: map[string]int{}, Lag: UsageLag.String()}
		for _, t := range w.tasks {
			if t.State == taskRunning {
				w.usage.Pools[t.Pool]++
			}
		}
	}
	w.usage.Open = !w.refuse
	reply(rw, w.usage)
}
