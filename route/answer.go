package route

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"shallotpaddle/endpt"
)

// Answer is a worker's response to a piece of work.
type Answer struct {
	// Status is the worker's HTTP status, Type the content type of Body.
	Status int
	Type   string
	// Length is the length of Body in bytes, or -1 if it is not known.
	Length int64
	// Host is the host that ran the work.
	Host string
	// Body returns io.EOF only after the complete answer, and an error that
	// wraps ErrUnknown if the answer breaks off. The caller must close it.
	Body io.ReadCloser
}

// answerBody is the body of an Answer. When it ends or is closed, it releases
// the slots of the dispatch and records the outcome.
type answerBody struct {
	router      *Router
	order       *workOrder
	slots       *slotRequest // released when the answer ends
	startedAt   time.Time
	status      int
	renewal     *leaseRenewal // nil if the task has no lease
	watch       *answerWatch
	body        io.ReadCloser
	requestBody *endpt.Body // may be nil
	finishOnce  sync.Once
}

func newAnswer(b *answerBody, res *endpt.Answer) *Answer {
	b.watch.setWaiting(false)
	return &Answer{Status: res.Status, Type: res.Type, Length: res.Length, Host: b.slots.host.Name, Body: b}
}

// Read reads from the answer. Its error is io.EOF or wraps ErrUnknown.
func (b *answerBody) Read(p []byte) (int, error) {
	b.watch.setWaiting(true)
	n, err := b.body.Read(p)
	b.watch.setWaiting(false)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		b.finish(endComplete)
		return n, io.EOF
	}
	b.finish(endCutShort)
	return n, fmt.Errorf("%w: answer cut short: %w", ErrUnknown, err)
}

// Close closes the answer; what has not been read is discarded.
func (b *answerBody) Close() error {
	err := b.body.Close()
	b.finish(endDropped)
	return err
}

// answerEnd is how an answer ended.
type answerEnd uint8

const (
	endComplete answerEnd = iota
	endCutShort           // the worker or the network broke it off
	endDropped            // the caller closed it early
)

func (b *answerBody) finish(e answerEnd) {
	b.finishOnce.Do(func() {
		b.renewal.stop()
		b.watch.stop()
		b.requestBody.Release()
		succeeded := e == endComplete && b.status < http.StatusInternalServerError
		var runTime time.Duration
		if succeeded {
			runTime = b.router.runTime(b.startedAt)
		}
		o := b.order
		if e != endDropped {
			o.pool.recordOutcome(b.slots.host.Name, succeeded)
			b.router.reportAnswer(o, b.startedAt, e)
		}
		o.pool.release(b.slots, runTime)
		b.router.active.Add(-1)
	})
}
