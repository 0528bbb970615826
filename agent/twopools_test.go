package agent

import (
	"testing"

	"github.com/stretchr/testify/require"

	"shallotpaddle/platform"
	"shallotpaddle/policy"
)

// TWICE: a job is handed in again after its queue was given to another pool. It is
// accepted already, and must not be stored in the second pool, whose owner would run it
// as well.
func TestSubmitAgainAfterQueueChangedPool(t *testing.T) {
	r := newTestAgent(t)
	_, err := r.store.Get(t.Context(), "any") // marks the store as reachable
	require.Error(t, err)
	require.Equal(t, platform.Done, r.submit().Outcome)
	r.version.Store(&policy.Version{Number: 2, Queues: []policy.Queue{{Name: "q", Pool: "p2"}}, Pools: []policy.Pool{{Name: "p"}, {Name: "p2"}}})
	require.Equal(t, platform.Done, r.submit().Outcome)
	require.Len(t, r.createdKeys, 1)
}
