package route

import (
	"context"
	"errors"
	"sync"
	"time"

	"shallotpaddle/endpt"
)

const (
	// defaultPollInterval is the interval at which a worker is asked for the
	// state of a task whose answer is awaited, unless SetLimits sets another.
	defaultPollInterval = 4 * time.Second
	// watchTick is how often it is checked which polls are due.
	watchTick = 250 * time.Millisecond
	// The dispatch is cancelled after maxEndedPolls polls to which the worker
	// answered that the task is not running, or after maxUnansweredPolls polls
	// that failed.
	maxEndedPolls      = 2
	maxUnansweredPolls = 6
)

var (
	errTaskEnded = errors.New("the worker ended the task and its answer did not come")
	errNoReply   = errors.New("the worker does not answer")
)

// answerWatch polls the worker while its answer is awaited, and cancels the
// dispatch when the answer can't arrive any more. Without it, a connection that
// broke in one direction only would be waited on forever.
type answerWatch struct {
	router       *Router
	addr, taskID string
	cancel       context.CancelCauseFunc

	mu sync.Mutex
	// waitingSince is when the wait for the worker's next bytes began; zero
	// while the caller is not reading.
	waitingSince time.Time
	// nextPoll is when the next poll is due, counted from the begin of the wait or of
	// the poll before, so that a silent worker is given up after maxUnansweredPolls
	// intervals and one timeout. After a reply that the task has ended it is counted from
	// the reply, to give the answer the time to arrive.
	nextPoll time.Time
	// endedPolls and unansweredPolls count polls since the task was last seen
	// running.
	endedPolls, unansweredPolls int
	// heldUp is for how long the process had been held up when endedPolls was last
	// counted. An answer that arrived in a hold-up has not been read.
	heldUp  time.Duration
	polling bool // a poll is in flight
}

// watch registers a dispatch that is about to be sent.
func (r *Router) watch(req *slotRequest, taskID string, cancel context.CancelCauseFunc) *answerWatch {
	now := r.clock.Now()
	w := &answerWatch{router: r, addr: req.host.Addr, taskID: taskID, cancel: cancel, waitingSince: now, nextPoll: now.Add(r.pollInterval)}
	r.watchMu.Lock()
	defer r.watchMu.Unlock()
	r.watches[w] = struct{}{}
	return w
}

// pollWorkers polls the workers of all dispatches whose poll is due.
func (r *Router) pollWorkers() {
	r.watchMu.Lock()
	defer r.watchMu.Unlock()
	for w := range r.watches {
		if w.beginPoll() {
			go w.poll()
		}
	}
}

// setWaiting records whether the router is waiting for the worker's next bytes.
func (w *answerWatch) setWaiting(waiting bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waitingSince = time.Time{}
	if waiting {
		w.waitingSince = w.router.clock.Now()
		w.nextPoll = w.waitingSince.Add(w.router.pollInterval)
	}
}

// beginPoll reports whether a poll is due, and if so marks it as in flight.
func (w *answerWatch) beginPoll() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.polling {
		return false
	}
	now := w.router.clock.Now()
	if w.waitingSince.IsZero() || now.Sub(w.waitingSince) < w.router.pollInterval {
		w.endedPolls, w.unansweredPolls = 0, 0
		return false
	}
	if now.Before(w.nextPoll) {
		return false
	}
	w.nextPoll = now.Add(w.router.pollInterval)
	w.polling = true
	return true
}

// poll asks the worker for the state of the task.
func (w *answerWatch) poll() {
	heldUp := w.router.suspension.HeldUp()
	state, _, err := w.router.client.State(context.Background(), w.addr, w.taskID)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polling = false
	now := w.router.suspension.HeldUp()
	if w.heldUp != now {
		w.endedPolls, w.heldUp = 0, now
	}
	w.countPoll(state, err, heldUp != now)
}

// countPoll counts the result of a poll and cancels the dispatch when a limit is
// reached. heldUp is set if the process was held up in the poll, so that a failure says
// nothing about the worker. w.mu is held.
func (w *answerWatch) countPoll(state string, err error, heldUp bool) {
	switch {
	case err == nil && state == endpt.StateRunning:
		w.endedPolls, w.unansweredPolls = 0, 0
	case heldUp, errors.Is(err, endpt.ErrBusy):
	case err == nil, errors.Is(err, endpt.ErrNoTask):
		w.endedPolls++
		w.nextPoll = w.router.clock.Now().Add(w.router.pollInterval)
	default:
		w.unansweredPolls++
	}
	switch {
	case w.endedPolls >= maxEndedPolls:
		w.cancel(errTaskEnded)
	case w.unansweredPolls >= maxUnansweredPolls:
		w.cancel(errNoReply)
	}
}

// stop ends the watch and frees the dispatch's context.
func (w *answerWatch) stop() {
	w.router.watchMu.Lock()
	delete(w.router.watches, w)
	w.router.watchMu.Unlock()
	w.cancel(nil)
}
