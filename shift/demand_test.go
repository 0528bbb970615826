package shift_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/shift"
)

func TestDemandCPU(t *testing.T) {
	long, short := shift.Horizon+time.Second, shift.Horizon/2
	for name, c := range map[string]struct {
		open     []shift.OpenJob
		arriving int
		want     int
	}{
		"idle":                                    {nil, 0, 0},
		"arrivals only":                           {nil, 7, 7},
		"arrivals replace the jobs that end":      {[]shift.OpenJob{{CPU: 10, Remaining: short}}, 10, 10},
		"arrivals add to the jobs that go on":     {[]shift.OpenJob{{CPU: 10, Remaining: long}}, 10, 20},
		"hosts of jobs that end are still in use": {[]shift.OpenJob{{CPU: 10, Remaining: short}}, 0, 10},
		"late work counts less":                   {[]shift.OpenJob{{CPU: 8, Remaining: long, Late: true}}, 1, 3},
	} {
		require.Equal(t, c.want, shift.DemandCPU(c.open, c.arriving), name)
	}
}

// A turn of a queue whose jobs take twice the horizon: the demand rises with the work
// that builds up and never goes far beyond its height.
func TestDemandFollowsBuildUp(t *testing.T) {
	const perSecond, jobCPU = 10, 10_000
	chain := 2 * shift.Horizon
	var inflow shift.Inflow
	var begun []int
	most := 0
	for n := range 9000 {
		if n%(1000/perSecond) == 0 && n < 6000 {
			inflow.Add(at(n), shift.WorkWithinHorizon(jobCPU*chain.Seconds(), chain))
			begun = append(begun, n)
		}
		if n%100 != 0 {
			continue
		}
		var open []shift.OpenJob
		for _, b := range begun {
			if left := chain - at(n).Sub(at(b)); left > 0 {
				open = append(open, shift.OpenJob{CPU: jobCPU, Remaining: left})
			}
		}
		demand := shift.DemandCPU(open, inflow.ForecastCPU(at(n), shift.Horizon))
		most = max(most, demand)
		used := len(open) * jobCPU
		require.GreaterOrEqual(t, demand, used)
		if n == 1000 {
			require.Greater(t, demand, used+used, "hosts are asked for before the work is there")
		}
	}
	height := perSecond * jobCPU * int(chain.Seconds())
	require.Less(t, most, height*3/2)
	require.GreaterOrEqual(t, most, height)
}
