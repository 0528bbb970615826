package agent

import (
	"testing"

	"github.com/stretchr/testify/require"

	"shallotpaddle/plat"
)

// LIMIT: the operator changes a wave that is under way. The latest request counts, within the
// time of the first.
func TestChangedWaveCounts(t *testing.T) {
	r := newTestAgent(t)
	put := func(rev int64, value string) {
		r.applyWave(plat.Item{Key: "op/wave/7", Rev: rev, Value: []byte(value)})
	}
	put(1, `{"Wave":7,"Machines":["m1","m2"],"DurationS":60,"MaxCount":2}`)
	first := r.requestedWaves()[0].FirstSeen
	put(2, `{"Wave":7,"Machines":["m1","m2","m3"],"DurationS":60,"MaxCount":1}`)
	put(1, `{"Wave":7,"Machines":["m1"],"DurationS":60,"MaxCount":2}`)
	w := r.requestedWaves()
	require.Len(t, w, 1)
	require.Equal(t, 1, w[0].MaxDown)
	require.Equal(t, []string{"m1", "m2", "m3"}, w[0].Hosts)
	require.Equal(t, first, w[0].FirstSeen)
}
