package owner

import (
	"context"
	"errors"
	"time"

	"github.com/coder/quartz"

	"shallotpaddle/plat"
)

const (
	// minCopyDelay is the shortest time without an answer after which a call to a worker that
	// has lost calls is made once more: workers normally answer within milliseconds.
	minCopyDelay = 20 * time.Millisecond
	// copyDelayFactor is that time in usual answer times of the worker, which are long as
	// well if this process is short of CPU.
	copyDelayFactor = 3
	// answerTimeWeight is the divisor of the weight of one answer in the usual time.
	answerTimeWeight = 4
	// minCopyPeriods is for how many delays of a copy a try lasts at least.
	minCopyPeriods = 4
	// maxCopies is the largest number of calls in one try: if half of them get no answer,
	// one try of 64 gets none.
	maxCopies = 6
	// maxCopiedFailures is the number of polls without an answer, one after the other, up to
	// which calls are made more than once: a worker that answers none of these is away.
	maxCopiedFailures = 1
	// minLosers and the share of one in losersShare is the number of workers at work that
	// have lost calls from which the others are taken to lose some as well.
	minLosers   = 3
	losersShare = 3
)

// copyDelay returns the delay of further copies of a call to the worker; 0 for none.
func (h *host) copyDelay(now time.Time) time.Duration {
	if !h.losesCalls(now) || h.failedPolls > maxCopiedFailures {
		return 0
	}
	return max(minCopyDelay, copyDelayFactor*h.answerTime)
}

// noteAnswer updates the usual time to an answer of the worker.
func (h *host) noteAnswer(c copies) {
	if c.took > 0 {
		h.answerTime += (c.took - h.answerTime) / answerTimeWeight
	}
}

// tryTimeout returns how long the answer to the given try of a call may take, if further
// copies of it follow at the given delay.
func tryTimeout(try int, delay time.Duration) time.Duration {
	return min(max(answerTimeout(try), minCopyPeriods*delay), maxAnswerTimeout)
}

// losesCalls reports whether a call to the worker got no answer lately, or calls to many
// others.
func (h *host) losesCalls(now time.Time) bool { return h.othersLose || h.hasLost(now) }

// hasLost reports whether a call to the worker got no answer lately.
func (h *host) hasLost(now time.Time) bool {
	return !h.unansweredAt.IsZero() && now.Sub(h.unansweredAt) < lossyPeriod
}

// markLosses notes whether many workers that answer have lost calls. Then the cause lies not
// with them, and those to come will lose some as well.
func (o *Owner) markLosses(now time.Time) {
	lost, up := 0, 0
	for _, h := range o.hosts {
		if len(h.runs) == 0 || !h.failingSince.IsZero() {
			continue
		}
		up++
		if h.hasLost(now) {
			lost++
		}
	}
	o.callsLost = lost >= minLosers && lost*losersShare >= up
	for _, h := range o.hosts {
		h.othersLose = o.callsLost
	}
}

// copies tells how many times a call was made, which of them was answered, from 0, and how
// long after it was sent, without its wait at the worker; 0 if that is not known.
type copies struct {
	sent, answered int
	took           time.Duration
}

// callAnswer is the answer to one copy of a call.
type callAnswer[T any] struct {
	value T
	n     int // of the copy, from 0
	took  time.Duration
	err   error
}

// callWorker makes a call, which may wait for the given time at the worker, and makes it
// again whenever its answer is overdue by delay; a delay of 0 stands for no copies. It
// returns the first answer. The error matches plat.ErrUnavailable only if no copy can have
// been carried out.
func callWorker[T any](ctx context.Context, clock quartz.Clock, wait, delay time.Duration, call func(ctx context.Context, n int) (T, error)) (T, copies, error) {
	once := func(n int) callAnswer[T] {
		begun := clock.Now()
		v, err := call(ctx, n)
		took := clock.Since(begun)
		if n == 0 {
			took -= wait
		}
		return callAnswer[T]{v, n, max(took, 0), err}
	}
	if delay == 0 {
		a := once(0)
		if a.err != nil {
			a.took = 0
		}
		return a.value, copies{1, 0, a.took}, a.err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan callAnswer[T], maxCopies)
	send := func(n int) { answers <- once(n) }
	go send(0)
	sent, pending, last := 1, 1, maxCopies
	timer := clock.NewTimer(wait + delay)
	defer timer.Stop()
	var failure error
	for {
		select {
		case a := <-answers:
			refused := errors.Is(a.err, plat.ErrUnavailable)
			if !refused && !unanswered(a.err) {
				return a.value, copies{sent, a.n, a.took}, a.err
			}
			if refused {
				last = sent
			}
			if failure == nil || !refused {
				failure = a.err
			}
			if pending--; pending == 0 {
				return a.value, copies{sent: sent}, failure
			}
		case <-timer.C:
			if sent < last {
				go send(sent)
				sent, pending = sent+1, pending+1
				timer.Reset(delay)
			}
		}
	}
}

// unanswered reports whether a call that returned err may have been carried out.
func unanswered(err error) bool {
	return errors.Is(err, plat.ErrUnknown) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}
