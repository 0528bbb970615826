package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"shallotpaddle/carry"
	"shallotpaddle/permit"
	"shallotpaddle/place"
	"shallotpaddle/plat"
	"shallotpaddle/table"
)

const (
	// changeWorkers is the number of goroutines that carry out changes.
	changeWorkers = 4
	// changeTimeout bounds the steps of one change.
	changeTimeout = 10 * time.Second
)

// action is a change with its steps, handed from the loop to a goroutine that
// carries it out.
type action struct {
	id     changeID
	host   string
	pool   string
	change table.Change
	steps  []carry.Step
	done   func(error) // called with the outcome; may be nil
}

// minContact is how long contact with the store must have been unbroken before
// this entry decides on changes.
func (e *Entry) minContact() time.Duration { return 2 * e.settings.Peers().HeartbeatInterval.Std() }

// dispatch starts a change that a system has decided on, unless the same change
// of the host is still being carried out.
func (l *loop) dispatch(c *table.Change) {
	l.startChange(c, nil)
}

// startChange queues a change for the goroutines that carry changes out. It calls
// done, if not nil, with the outcome, which is errBusy when the same change of the
// host is being carried out or the queue is full.
func (l *loop) startChange(c *table.Change, done func(error)) {
	e := l.entry
	a := action{id: changeID{c.Kind, c.Host}, change: *c, done: done}
	if c.Host != table.None {
		a.host = l.tables.Host(c.Host).Name()
	}
	if c.Pool != table.None {
		a.pool = l.tables.Pool(c.Pool).Spec().Name
	}
	if c.Kind == table.Report {
		e.recordChange(&a, nil)
		return
	}
	if _, ok := l.inFlight[a.id]; ok {
		a.finish(errBusy)
		return
	}
	steps, err := carry.Steps(l.tables, l.docs, *c, e.newOpID(), e.clock.Now())
	if err != nil {
		a.finish(err)
		return
	}
	a.steps = steps
	select {
	case e.actions <- a:
		l.inFlight[a.id] = struct{}{}
	default:
		a.finish(errBusy)
	}
}

var errBusy = errors.New("the same change is under way")

func (a *action) finish(err error) {
	if a.done != nil {
		a.done(err)
	}
}

// runChanges carries out changes until ctx ends.
func (e *Entry) runChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-e.actions:
			err := e.runSteps(ctx, &a)
			e.recordChange(&a, err)
			a.finish(err)
			if err == nil && a.change.Kind == table.CompleteMove {
				e.measures.AddMovedHosts(1)
			}
			e.post(ctx, changeDone{id: a.id})
		}
	}
}

// changeDone is posted to the loop when a change has been carried out or has
// failed.
type changeDone struct {
	id changeID
}

func (m changeDone) apply(l *loop) { delete(l.inFlight, m.id) }

// runSteps runs the steps of a change in order, up to the first that fails.
func (e *Entry) runSteps(ctx context.Context, a *action) error {
	ctx, cancel := context.WithTimeout(plat.WithClass(ctx, plat.Permits), changeTimeout)
	defer cancel()
	op := e.newOpID()
	for i := range a.steps {
		if err := e.runStep(ctx, &a.steps[i], fmt.Sprintf("%s.%d", op, i)); err != nil {
			return fmt.Errorf("step %d of %d: %w", i+1, len(a.steps), err)
		}
	}
	return nil
}

func (e *Entry) runStep(ctx context.Context, s *carry.Step, op string) error {
	if s.Reboot != "" {
		return e.store.Reboot(ctx, s.Reboot, s.OpID)
	}
	key := prefixOutage + s.Pool
	if s.DC != "" {
		key = prefixPlacement + s.DC
	}
	_, err := e.docs.Update(ctx, key, op, func(body json.RawMessage) (json.RawMessage, error) {
		return s.Rule(body)
	})
	return err
}

// refusalErrs are the errors with which the rules of a document refuse a change.
// They are expected in normal operation, since systems may decide from stale
// documents.
var refusalErrs = []error{
	permit.ErrBudget, permit.ErrRack, permit.ErrOut, permit.ErrNotOut, permit.ErrPhase, permit.ErrLeft, permit.ErrEnded,
	place.ErrMoved, place.ErrPlaced, place.ErrNoHost, place.ErrSamePool, place.ErrOldConfig, carry.ErrStale,
}

func isRefusal(err error) bool {
	for _, r := range refusalErrs {
		if errors.Is(err, r) {
			return true
		}
	}
	return false
}

// recordChange logs a change with its outcome and keeps it for Explain.
func (e *Entry) recordChange(a *action, err error) {
	ev := Event{
		Kind: "host", Name: a.host, What: a.change.Kind.String(), Cause: a.change.Cause,
		Figure: a.change.Figure, Limit: a.change.Limit,
	}
	switch {
	case isRefusal(err):
		ev.What += " refused"
		ev.Cause += "; " + err.Error()
	case err != nil:
		ev.What += " failed"
		ev.Cause += "; " + err.Error()
	}
	if a.host == "" {
		ev.Kind, ev.Name = "pool", a.pool
	}
	e.recordDecision(ev)
	if a.host != "" && a.pool != "" {
		ev.Kind, ev.Name, ev.Cause = "pool", a.pool, a.host+": "+ev.Cause
		e.events.add(e.stamp(ev))
	}
}
