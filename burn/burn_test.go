package burn

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"shallotpaddle/table"
)

var start = time.Date(2031, 4, 2, 9, 0, 30, 0, time.UTC)

var config = &table.Config{Queues: []table.QueueSpec{
	{Name: "naps", Pool: "diary", Target: table.Duration(time.Second), Objective: 0.99},
	{Name: "night", Pool: "reports", Target: table.Duration(time.Hour), Objective: 0.9},
}}

func clockAt(t *testing.T, at time.Time) *quartz.Mock {
	c := quartz.NewMock(t).WithLogger(quartz.NoOpLogger)
	c.Set(at)
	return c
}

func record(r *Recorder, n int, o Outcome) {
	for range n {
		r.Record("naps", "nasese", o)
	}
}

func rates(r Row) []float64 {
	out := make([]float64, len(r.Windows))
	for i, w := range r.Windows {
		out[i] = w.Rate
	}
	return out
}

func TestWindows(t *testing.T) {
	clock := clockAt(t, start)
	r := New(clock)
	record(r, 90, Good)
	record(r, 4, Late)
	record(r, 5, Refused)
	record(r, 1, Unknown)
	lasts := func(d time.Duration) *table.Duration { out := table.Duration(d); return &out }
	steps := []struct {
		name    string
		advance time.Duration
		good    int // pieces of good work recorded after the advance
		rates   []float64
		left    float64
		lasts   *table.Duration
		alert   string
	}{
		{"at once", 0, 0, []float64{10, 10, 10, 10, 10, 10}, -9, lasts(0), Ticket},
		{"diluted", 10 * time.Minute, 700, []float64{0, 1.25, 1.25, 1.25, 1.25, 1.25}, -.25, lasts(0), Watch},
		{"more", 0, 1200, []float64{0, .5, .5, .5, .5, .5}, .5, lasts(BudgetPeriod), OK},
		{"out of the hour", time.Hour, 0, []float64{0, 0, 0, .5, .5, .5}, .5, nil, OK},
		{"out of a day", 24 * time.Hour, 0, []float64{0, 0, 0, 0, 0, .5}, .5, nil, OK},
		{"out of all", 48 * time.Hour, 0, []float64{0, 0, 0, 0, 0, 0}, 1, nil, OK},
	}
	for _, s := range steps {
		clock.Advance(s.advance)
		record(r, s.good, Good)
		rep := r.Report(config)
		require.Len(t, rep.Queues, 2, s.name)
		row := rep.Queues[0].Row
		require.InDeltaSlice(t, s.rates, rates(row), 1e-9, s.name)
		require.InDelta(t, s.left, row.Left, 1e-9, s.name)
		require.Equal(t, s.lasts, row.Lasts, s.name)
		require.Equal(t, s.alert, row.Alert, s.name)
		require.Equal(t, row, rep.Queues[0].Customers[0].Row, s.name)
		require.Equal(t, []int64{4, 5, 1}, []int64{row.Late, row.Refused, row.Unknown}, s.name)
		require.Equal(t, 1.0, rep.Queues[1].Left, s.name)
	}
}

func TestPageAlert(t *testing.T) {
	r := New(clockAt(t, start))
	record(r, 85, Good)
	record(r, 15, Late)
	require.Equal(t, Page, r.Report(config).Queues[0].Alert)
}

func TestClassify(t *testing.T) {
	require.Equal(t, Good, Classify(time.Second, time.Second, time.Time{}, start))
	require.Equal(t, Late, Classify(time.Second, time.Second+1, time.Time{}, start))
	require.Equal(t, Good, Classify(time.Second, 0, start, start))
	require.Equal(t, Late, Classify(time.Second, 0, start, start.Add(1)))
}

// The merged reports of three recorders, each with a third of the work, equal the
// report of one recorder with all of it.
func TestMergeEqualsOne(t *testing.T) {
	clock := clockAt(t, start)
	all := New(clock)
	parts := []*Recorder{New(clock), New(clock), New(clock)}
	for i := range 3000 {
		customer, o := fmt.Sprintf("c%d", i%7), Outcome(i*i%11%int(outcomeCount))
		all.Record("naps", customer, o)
		parts[i%3].Record("naps", customer, o)
		if i%100 == 0 {
			clock.Advance(7 * time.Minute)
		}
	}
	want := all.Report(config)
	got := Merge(parts[0].Report(config), Merge(parts[1].Report(config), parts[2].Report(config)))
	require.Equal(t, 3, got.Entries)
	want.Entries, want.Measures = 3, got.Measures
	require.Equal(t, want, got)
	require.NotEmpty(t, want.Queues[0].Points)
}

func TestBoundedSeries(t *testing.T) {
	r := New(clockAt(t, start))
	for i := range MaxSeries + 500 {
		r.Record("naps", fmt.Sprint(i), Good)
	}
	require.Len(t, r.series, MaxSeries+1)
	q := r.Report(config).Queues[0]
	require.EqualValues(t, MaxSeries+500, q.Good)
	require.EqualValues(t, 500, r.series[seriesKey{"naps", OtherCustomer}].totals[Good])
	rep := r.Report(config)
	rep.TrimCustomers(20)
	require.Len(t, rep.Queues[0].Customers, 21)
	require.Equal(t, q.Row, rep.Queues[0].Row)
	r.Report(&table.Config{})
	require.Empty(t, r.series)
}

func TestRecordDoesNotAllocate(t *testing.T) {
	r := New(quartz.NewReal())
	record(r, 1, Good)
	require.Zero(t, testing.AllocsPerRun(100, func() { record(r, 1, Late) }))
}

func TestMeasures(t *testing.T) {
	a, b := NewMeasures(), NewMeasures()
	a.AddIdleTime("diary", IdleHosts(12, 40, 8), 10*time.Second) // 12 - 5 hosts idle
	b.AddIdleTime("diary", IdleHosts(2, 40, 8), 10*time.Second)
	b.AddIdleTime("photos", 1.5, 2*time.Second)
	a.AddMovedHosts(2)
	b.AddMovedJobs(3)
	a.SetAccepted(7, start)
	b.SetInForce(7, start.Add(2*time.Second))
	a.SetInForce(7, start.Add(time.Second))
	b.SetFullEffect(7, start.Add(time.Minute))
	got := Sums{}.merge(a.Sums()).merge(b.Sums())
	require.Equal(t, map[string]float64{"diary": 70, "photos": 3}, got.Buffer)
	require.EqualValues(t, 2, got.Hosts)
	require.EqualValues(t, 3, got.Jobs)
	force, effect := got.Rollouts[0].Delays()
	require.Equal(t, []time.Duration{time.Second, time.Minute}, []time.Duration{force, effect})

	for rev := range int64(100) {
		a.SetAccepted(rev, start)
	}
	require.Len(t, a.Sums().Rollouts, MaxRollouts)
	m := NewMeasures()
	m.SetInForce(0, start)
	require.Empty(t, m.Sums().Rollouts)

	reg := metrics.NewRegistry()
	require.NoError(t, a.Register(reg))
	require.Error(t, a.Register(reg))
	require.Equal(t, 70.0, reg.Get("buffer").(metrics.GaugeFloat64).Value())
	require.Equal(t, 2.0, reg.Get("move.hosts").(metrics.GaugeFloat64).Value())
}

func TestForms(t *testing.T) {
	clock := clockAt(t, start)
	r, m := New(clock), NewMeasures()
	for range 6 {
		record(r, 10, Good)
		record(r, 1, Late)
		clock.Advance(time.Hour)
	}
	m.AddIdleTime("diary", 3, time.Minute)
	m.SetAccepted(1, start)
	m.SetInForce(1, start.Add(800*time.Millisecond))
	rep := r.Report(config)
	rep.Measures = m.Sums()

	var text, html bytes.Buffer
	require.NoError(t, WriteText(&text, rep))
	require.NoError(t, WriteHTML(&html, rep))
	for _, want := range []string{"naps", "nasese", "night", "diary", "800ms"} {
		require.Contains(t, text.String(), want)
		require.Contains(t, html.String(), want)
	}
	require.Equal(t, 2, strings.Count(html.String(), "<svg"))
	require.NotContains(t, html.String(), "<?xml")

	b, err := json.Marshal(rep)
	require.NoError(t, err)
	var back Report
	require.NoError(t, json.Unmarshal(b, &back))
	require.Equal(t, rep, back)

	html.Reset()
	require.NoError(t, WriteHTML(&html, New(clock).Report(config)), "without any work")
	require.NoError(t, WriteHTML(&html, Merge()), "without any report")
}
