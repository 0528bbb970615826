package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"shallotpaddle/note"
	"shallotpaddle/peers"
	"shallotpaddle/plat"
	"shallotpaddle/table"
)

var (
	// ErrNoHost is returned for a host that is unknown or in no pool.
	ErrNoHost = errors.New("no such host")
	// ErrRefused is returned when a rule, such as an availability budget, refuses
	// an operator's request.
	ErrRefused = errors.New("refused")
	// ErrNotAccepted is returned when a request has certainly not taken effect.
	ErrNotAccepted = errors.New("not accepted")
	// ErrUnknown is returned when a request may or may not have taken effect.
	ErrUnknown = errors.New("outcome unknown")
)

// applyTimeout bounds the update that records a release note.
const applyTimeout = 10 * time.Second

// Apply accepts a release note, which changes the configuration. With dry it only
// checks the note. The error is that of note.ConfigDoc.Accept, ErrNotAccepted or
// ErrUnknown.
func (e *Entry) Apply(ctx context.Context, n *note.Note, dry bool) (note.Accepted, error) {
	if dry {
		return e.checkNote(n)
	}
	ctx, cancel := context.WithTimeout(plat.WithClass(ctx, plat.Config), applyTimeout)
	defer cancel()
	now := e.clock.Now()
	// A repeated call may use a new operation id, since Accept finds repeats by the
	// note's id.
	d, err := e.docs.Update(ctx, keyConf, e.newOpID(), func(body json.RawMessage) (json.RawMessage, error) {
		doc, err := decodeConfigDoc(body)
		if err != nil {
			return nil, err
		}
		next, err := doc.Accept(n, now)
		if err != nil {
			return nil, err
		}
		return json.Marshal(next)
	})
	if err != nil {
		return note.Accepted{}, operatorError(err)
	}
	doc, err := decodeConfigDoc(d.Body())
	if err != nil {
		return note.Accepted{}, err
	}
	acc, _ := doc.Find(n.ID)
	e.log.Info().Str("note", n.ID).Str("operator", n.Operator).Int64("rev", acc.Rev).Msg("release note accepted")
	return acc, nil
}

// operatorError maps the error of an update or change to one that operators are
// told: of package note, ErrRefused, ErrUnknown or ErrNotAccepted.
func operatorError(err error) error {
	switch {
	case errors.Is(err, plat.ErrUnknown):
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	case errors.Is(err, note.ErrConflict), errors.Is(err, note.ErrInvalid):
		return err
	case isRefusal(err):
		return fmt.Errorf("%w: %w", ErrRefused, err)
	default:
		return fmt.Errorf("%w: %w", ErrNotAccepted, err)
	}
}

func (e *Entry) checkNote(n *note.Note) (note.Accepted, error) {
	doc, err := e.configDoc()
	if err != nil {
		return note.Accepted{}, err
	}
	next, err := doc.Accept(n, e.clock.Now())
	if err != nil {
		return note.Accepted{}, err
	}
	acc, _ := next.Find(n.ID)
	return acc, nil
}

func (e *Entry) configDoc() (*note.ConfigDoc, error) {
	d, _ := e.docs.Get(keyConf)
	return decodeConfigDoc(d.Body())
}

func decodeConfigDoc(body json.RawMessage) (*note.ConfigDoc, error) {
	doc := &note.ConfigDoc{}
	if len(body) == 0 {
		return doc, nil
	}
	if err := json.Unmarshal(body, doc); err != nil {
		return nil, fmt.Errorf("configuration document: %w", err)
	}
	return doc, nil
}

// Notes returns the accepted release notes that the configuration document still
// holds, oldest first.
func (e *Entry) Notes() ([]note.Accepted, error) {
	doc, err := e.configDoc()
	if err != nil {
		return nil, err
	}
	return doc.Notes, nil
}

// Drain takes a host out of service, or with undo returns it to service. The
// error is ErrNoHost, ErrRefused, ErrNotAccepted or ErrUnknown.
func (e *Entry) Drain(ctx context.Context, host string, undo bool) error {
	m := drainRequest{host: host, undo: undo, done: make(chan error, 1)}
	e.post(ctx, m)
	select {
	case err := <-m.done:
		if err == nil || errors.Is(err, ErrNoHost) {
			return err
		}
		return operatorError(err)
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrUnknown, ctx.Err())
	}
}

// drainRequest carries an operator's request to drain a host, or to undo that, to
// the loop.
type drainRequest struct {
	host string
	undo bool
	done chan error
}

func (m drainRequest) apply(l *loop) {
	id := l.tables.HostByName(m.host)
	if id == table.None || l.tables.Host(id).Pool() == table.None {
		m.done <- fmt.Errorf("%w: %s", ErrNoHost, m.host)
		return
	}
	c := table.Change{
		Kind: table.RequestPermit, Host: id, Pool: l.tables.Host(id).Pool(), Reason: table.Operator, Cause: "operator's order",
	}
	if m.undo {
		c.Kind = table.CancelPermit
	}
	l.startChange(&c, func(err error) { m.done <- err })
}

// Explain returns the decisions about a host, pool or job that this entry and its
// peers have kept, oldest first.
func (e *Entry) Explain(ctx context.Context, kind, name string) []Event {
	out := e.events.find(kind, name)
	e.callPeers(ctx, methodExplain, [2]string{kind, name}, func(raw json.RawMessage) {
		var more []Event
		if json.Unmarshal(raw, &more) == nil {
			out = append(out, more...)
		}
	})
	slices.SortStableFunc(out, func(a, b Event) int { return a.Time.Compare(b.Time) })
	return out
}

// callPeers calls a method of all peers in the status at the same time, and passes
// each answer to handle. Peers that fail to answer are left out.
func (e *Entry) callPeers(ctx context.Context, method string, params any, handle func(json.RawMessage)) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	all := e.status.Load().Entries
	answers := make(chan json.RawMessage, len(all))
	for i := range all {
		go func() {
			var raw json.RawMessage
			if all[i].Addr == "" || all[i].Name == e.Name() || e.node.Call(ctx, all[i].Addr, method, params, &raw) != nil {
				raw = nil
			}
			answers <- raw
		}()
	}
	for range all {
		if raw := <-answers; raw != nil {
			handle(raw)
		}
	}
}

// serveWork answers the calls of peers about jobs, claims, decisions and reports.
func (e *Entry) serveWork(ctx context.Context, method string, params json.RawMessage) (any, error) {
	switch method {
	case methodExplain:
		var subject [2]string // kind and name
		if err := json.Unmarshal(params, &subject); err != nil {
			return nil, fmt.Errorf("question: %w", err)
		}
		return e.events.find(subject[0], subject[1]), nil
	case methodJob:
		return e.serveJob(ctx, params)
	case methodClaim:
		return e.serveClaim(ctx, params)
	case methodBurn:
		return e.burnReport(), nil
	default:
		return nil, fmt.Errorf("%w: %s", peers.ErrMethod, method)
	}
}
