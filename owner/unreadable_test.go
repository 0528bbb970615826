package owner

import (
	"testing"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
)

// ROUTE: the registration of an idle worker could not be read for a while, so that its owner dropped
// it from the roster; then the registration named another pool, whose owner used the worker as well.
func TestWorkerWithUnreadableRegistrationStaysInRoster(t *testing.T) {
	r := newRig(t)
	list := []hosts.Worker{{ID: "w", Address: "10.0.0.1:80", StartedMs: 1000}}
	r.updateWorkers(list, nil)
	h := r.hosts["w"]
	h.answered, h.rosterVersion = true, 0
	require.True(t, h.usable(r.clock.Now(), 0))
	r.updateWorkers(nil, []string{"w"})
	r.expireLeases(r.clock.Now())
	require.Same(t, h, r.hosts["w"])
	require.False(t, h.usable(r.clock.Now(), 0), "it may be draining")
	r.updateWorkers(list, nil)
	require.True(t, h.usable(r.clock.Now(), 0))
	r.updateWorkers(nil, nil)
	r.expireLeases(r.clock.Now())
	require.NotContains(t, r.hosts, "w", "it has left")
}
