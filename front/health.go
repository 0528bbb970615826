package front

import (
	"context"

	"shallotpaddle/entry"
	"shallotpaddle/gen/health"
)

// Health implements the liveness and readiness probes of the API.
type Health struct {
	entry *entry.Entry
}

// NewHealth returns the health service of an entry.
func NewHealth(e *entry.Entry) *Health { return &Health{entry: e} }

// Live reports that the process runs.
func (s *Health) Live(context.Context) (string, error) { return "ok", nil }

// Ready reports whether the entry accepts work; the error has the reason if not.
func (s *Health) Ready(context.Context) (string, error) {
	st := s.entry.Status()
	if st.Ready && !s.entry.IsStopping() {
		return "ok", nil
	}
	retry := 1
	return "", &health.Refusal{Name: "unready", Message: st.UnreadyReason, Outcome: outcomeNotRun, Retry: &retry}
}
