package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"goa.design/goa/v3/security"

	"shallotpaddle/conf"
	"shallotpaddle/entry"
	"shallotpaddle/gen/fleet"
	"shallotpaddle/note"
)

// Fleet implements the operators' service of the API.
type Fleet struct {
	entry *entry.Entry
	auth  *conf.Auth
}

// NewFleet returns the operators' service of an entry.
func NewFleet(e *entry.Entry, auth *conf.Auth) *Fleet { return &Fleet{entry: e, auth: auth} }

// operatorKey is the context key of the operator's name.
type operatorKey struct{}

// APIKeyAuth checks an operator's credential.
func (s *Fleet) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	name, ok := s.auth.OperatorByToken(strings.TrimPrefix(key, "Bearer "))
	if !ok {
		return ctx, &fleet.Refusal{Name: "unauthorized", Message: "no valid credential", Outcome: outcomeNotRun}
	}
	return context.WithValue(ctx, operatorKey{}, name), nil
}

// Apply checks a release note and, unless dry, accepts it.
func (s *Fleet) Apply(ctx context.Context, p *fleet.ApplyPayload, body io.ReadCloser) (*fleet.Accepted, error) {
	defer body.Close()
	text, err := io.ReadAll(body)
	if err != nil {
		return nil, fleetRefusal(fmt.Errorf("%w: %w", note.ErrInvalid, err))
	}
	n, err := note.Parse("note", text)
	if err != nil {
		return nil, fleetRefusal(err)
	}
	operator, _ := ctx.Value(operatorKey{}).(string)
	if err := n.SetOperator(operator); err != nil {
		return nil, fleetRefusal(err)
	}
	acc, err := s.entry.Apply(ctx, n, p.Dry)
	if err != nil {
		return nil, fleetRefusal(err)
	}
	return acceptedNote(&acc), nil
}

// acceptedNote converts an accepted release note for the API.
func acceptedNote(a *note.Accepted) *fleet.Accepted {
	at := a.Time.Format(time.RFC3339Nano)
	return &fleet.Accepted{Rev: a.Rev, Note: a.ID, Lines: a.Lines, Operator: &a.Operator, Time: &at}
}

// Notes lists the accepted release notes that are still stored.
func (s *Fleet) Notes(context.Context, *fleet.NotesPayload) (*fleet.NotesResult, error) {
	all, err := s.entry.Notes()
	if err != nil {
		return nil, fleetRefusal(err)
	}
	out := &fleet.NotesResult{Notes: []*fleet.Accepted{}}
	for i := range all {
		out.Notes = append(out.Notes, acceptedNote(&all[i]))
	}
	return out, nil
}

// Status returns how far the rollout of a revision has come.
func (s *Fleet) Status(_ context.Context, p *fleet.StatusPayload) (*fleet.Status2, error) {
	r := s.entry.Rollout(p.Rev)
	out := &fleet.Status2{Rev: r.Rev, Effect: r.FullEffect, Pending: r.Pending}
	if out.Pending == nil {
		out.Pending = []string{}
	}
	out.Entries = &struct{ Total, Force int }{r.Entries, r.InForce}
	if !r.Accepted.IsZero() {
		at := r.Accepted.Format(time.RFC3339Nano)
		out.Accepted = &at
	}
	out.Times = &struct{ Force, Effect *string }{durationText(r.InForceAfter), durationText(r.FullEffectAfter)}
	return out, nil
}

// durationText formats a duration rounded to milliseconds; nil when it is not positive.
func durationText(d time.Duration) *string {
	if d <= 0 {
		return nil
	}
	s := d.Round(time.Millisecond).String()
	return &s
}

// Show returns the state of pools, hosts and entries.
func (s *Fleet) Show(context.Context, *fleet.ShowPayload) (*fleet.FleetState, error) {
	st := s.entry.Status()
	out := &fleet.FleetState{
		Rev: st.Rev, Pools: []*fleet.PoolState{}, Hosts: []*fleet.HostState{}, Entries: []*fleet.EntryState{},
	}
	for _, p := range st.Pools {
		out.Pools = append(out.Pools, &fleet.PoolState{
			Name: p.Name, Hosts: p.Hosts, Out: p.Out, Budget: p.Budget, Slots: p.Slots,
			Busy: p.Busy, Waiting: p.Waiting, Owner: p.Owner,
		})
	}
	for _, h := range st.Hosts {
		out.Hosts = append(out.Hosts, &fleet.HostState{
			Name: h.Name, Dc: h.DC, Rack: h.Rack, Pool: h.Pool, Next: h.Next,
			Reason: h.Reason.String(), Phase: h.Phase.String(), Healthy: h.Healthy, Busy: h.Busy, Slots: h.Slots,
		})
	}
	for _, m := range st.Entries {
		out.Entries = append(out.Entries, &fleet.EntryState{
			Name: m.Name, Dc: m.DC, Rev: m.Rev, Age: m.HeartbeatAge.Round(time.Millisecond).String(),
		})
	}
	return out, nil
}

// Drain takes a host out of service.
func (s *Fleet) Drain(ctx context.Context, p *fleet.DrainPayload) error {
	return s.setDrain(ctx, p.Host, false)
}

// Undrain puts a drained host back into service.
func (s *Fleet) Undrain(ctx context.Context, p *fleet.UndrainPayload) error {
	return s.setDrain(ctx, p.Host, true)
}

func (s *Fleet) setDrain(ctx context.Context, host string, undo bool) error {
	if err := s.entry.Drain(ctx, host, undo); err != nil {
		return fleetRefusal(err)
	}
	return nil
}

// Explain returns the decisions about a host, job or pool.
func (s *Fleet) Explain(ctx context.Context, p *fleet.ExplainPayload) (*fleet.ExplainResult, error) {
	out := &fleet.ExplainResult{Events: []*fleet.Event{}}
	for _, ev := range s.entry.Explain(ctx, p.Kind, p.Name) {
		out.Events = append(out.Events, &fleet.Event{
			Time: ev.Time.Format(time.RFC3339Nano), Entry: ev.Entry, What: ev.What, Cause: ev.Cause,
			Figure: ev.Figure, Limit: ev.Limit,
		})
	}
	return out, nil
}

// Burn returns the service-level burn report of the whole fleet.
func (s *Fleet) Burn(ctx context.Context, _ *fleet.BurnPayload) (any, error) {
	return s.entry.Burn(ctx), nil
}

// Metrics returns this entry's metrics.
func (s *Fleet) Metrics(context.Context, *fleet.MetricsPayload) (any, error) {
	return s.entry.Metrics(), nil
}

// fleetRefusal converts an error to the fleet service's error of the API.
func fleetRefusal(err error) *fleet.Refusal {
	r := &fleet.Refusal{Message: err.Error(), Outcome: outcomeNotRun}
	switch {
	case errors.Is(err, entry.ErrUnknown):
		r.Name, r.Outcome = "unknown", outcomeUnknown
	case errors.Is(err, note.ErrInvalid):
		r.Name = "invalid"
	case errors.Is(err, note.ErrConflict), errors.Is(err, entry.ErrRefused):
		r.Name = "conflict"
	case errors.Is(err, entry.ErrNoHost):
		r.Name = "not_found"
	default:
		r.Name = "not_accepted"
	}
	return r
}
