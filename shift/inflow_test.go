package shift_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/shift"
)

// at returns the time n milliseconds after the begin of a test.
func at(n int) time.Time { return time.UnixMilli(int64(n)) }

// Forty jobs a second arrive during a peak: the inflow rises and falls within a
// second of its start and end.
func TestInflowAtPeak(t *testing.T) {
	var f shift.Inflow
	const work = 14000.0 // thousandths of a core times seconds
	for n := 0; n < 4500; n += 25 {
		f.Add(at(n), work)
		if n == 1000 {
			require.InEpsilon(t, 40*work, f.CPU(at(n)), 0.1)
		}
	}
	require.Zero(t, f.CPU(at(6700)))
}

// The inflow rises over three seconds, as jobs arrive more and more often: a second
// before the peak, most of it is forecast. A steady inflow is forecast as it is.
func TestInflowForecast(t *testing.T) {
	var f shift.Inflow
	const work, peak = 6000, 600_000 // thousandths of a core times seconds, thousandths of a core
	due := 0.0
	for n := range 6000 {
		for due += peak / work * min(float64(n)/3000, 1) / 1000; due >= 1; due-- {
			f.Add(at(n), work)
		}
		switch n {
		case 1000:
			require.Less(t, f.CPU(at(n)), peak/4, "the average lags by half a window")
			require.Greater(t, f.ForecastCPU(at(n), shift.Horizon), peak/4)
		case 2000:
			require.Greater(t, f.ForecastCPU(at(n), shift.Horizon), peak*4/5)
		case 5900:
			require.InEpsilon(t, peak, f.ForecastCPU(at(n), shift.Horizon), 0.05)
		}
	}
	require.LessOrEqual(t, f.ForecastCPU(at(7500), shift.Horizon), f.CPU(at(7500)), "a falling inflow is not extrapolated")
}

// A queue of few jobs, whose sizes differ by a factor of ten, at the height of its
// turn. The forecast must not swing with each job: hosts would go to and fro.
func TestInflowOfFewLargeJobs(t *testing.T) {
	const perSecond, mean = 7, 300_000.0
	sum, samples, over := 0.0, 0.0, 0.0
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 1))
		var f shift.Inflow
		for n := range 10_000 {
			if r.Float64() < perSecond/1000.0 {
				f.Add(at(n), mean*r.ExpFloat64())
			}
			if n >= 5000 && n%80 == 0 {
				v := float64(f.ForecastCPU(at(n), shift.Horizon)) / (perSecond * mean)
				sum, samples = sum+v, samples+1
				if v > 2 {
					over++
				}
			}
		}
	}
	require.InDelta(t, 1, sum/samples, 0.2, "mean forecast as a share of the inflow")
	require.Less(t, over/samples, 0.05, "share of forecasts above twice the inflow")
}

// One large job in a queue that is otherwise idle is not the start of a peak.
func TestInflowOfOneJob(t *testing.T) {
	var f shift.Inflow
	for n := 0; n < 30_000; n += 3000 {
		f.Add(at(n), 100_000)
	}
	f.Add(at(30_000), 800_000)
	require.Less(t, f.ForecastCPU(at(30_000), shift.Horizon), 200_000)
}

// The jobs of three seconds become known at once, in any order: the inflow is the same
// as if each had been known when it arrived.
func TestInflowKnownLate(t *testing.T) {
	var early, late shift.Inflow
	times := rand.New(rand.NewPCG(1, 1)).Perm(300)
	for n := range 300 {
		early.Add(at(10*n), 1000)
		late.Add(at(10*times[n]), 1000)
	}
	require.Equal(t, early.ForecastCPU(at(3000), shift.Horizon), late.ForecastCPU(at(3000), shift.Horizon))
}
