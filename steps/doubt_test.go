package steps

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/runs"
)

// A run in doubt is stored until it is not, with the time that is left.
func TestDoubtsAreRecorded(t *testing.T) {
	j := &Job{ID: "j", Steps: []Step{{Count: 2}}}
	p := NewProgress(j)
	task := p.Task(runs.Task{Job: "j", Index: 1})
	d := Doubt{Run: 3, Worker: "w", Address: "a", Born: 7, LeftMs: 12_000, ComesMs: 5000}
	require.True(t, task.AddDoubt(d))
	require.False(t, task.AddDoubt(Doubt{Run: 3, Worker: "w", LeftMs: 9000}), "less is no news")
	require.False(t, task.ShortenDoubt("w", 3, 11500*time.Millisecond, time.Second))
	require.True(t, task.ShortenDoubt("w", 3, 11*time.Second, time.Second))
	require.False(t, task.ShortenDoubt("w", 2, 0, time.Second), "another run")
	next := NewProgress(j)
	next.Restore(p.Record())
	d.LeftMs, d.ComesMs = 11_000, 4000
	require.Equal(t, []Doubt{d}, next.Task(task.ID).Doubts)
	require.False(t, task.DropDoubt("v", 3))
	require.True(t, task.DropDoubt("w", 3))
	require.Empty(t, p.Record().Tasks)
}
