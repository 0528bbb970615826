package front

import (
	"context"

	"shallotpaddle/entry"
	"shallotpaddle/gen/health"
)

// Health serves health and readiness.
type Health struct {
	entry *entry.Entry
}

// NewHealth returns the health service of an entry.
func NewHealth(e *entry.Entry) *Health { return &Health{entry: e} }

// Live answers while the process runs.
func (s *Health) Live(context.Context) (string, error) { return "ok", nil }

// Ready tells whether the entry takes work.
func (s *Health) Ready(context.Context) (string, error) {
	st := s.entry.Status()
	if st.Ready && !s.entry.IsStopping() {
		return "ok", nil
	}
	retry := 1
	return "", &health.Refusal{Name: "unready", Message: st.UnreadyReason, Outcome: outcomeNotRun, Retry: &retry}
}
