package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"shallotpaddle/sched"
	"shallotpaddle/table"
)

// For both users' fleets, night work ends before its due time in the morning and
// yields to day work, whose urgent part starts within maxUrgentDelay.
func TestDayAndNightWork(t *testing.T) {
	for _, s := range scenarios() {
		p, arrivals, err := s.load(1)
		require.NoError(t, err)
		o, err := newSim(sched.Yield, arrivals[0].At, p.Hosts*table.WorkerSlots).run(s.fleet, arrivals)
		require.NoError(t, err)
		require.Equal(t, len(arrivals), o.items+o.refused, s.pool)
		require.Zero(t, o.refused, s.pool)
		require.Zero(t, o.nightMisses, s.pool)
		require.LessOrEqual(t, o.urgent.ValueAtQuantile(99), int64(maxUrgentDelay), s.pool)
		require.LessOrEqual(t, o.weightedMisses, maxMissShare*o.totalWeight, s.pool)
	}
}
