package steps_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

func job(list ...steps.Step) *steps.Job {
	return &steps.Job{ID: "0123456789abcdef", MaxAttempts: 2, Steps: list}
}

func ready(t *steps.Progress, now time.Time) []string {
	var out []string
	t.EachReady(now, func(task *steps.Task) bool {
		out = append(out, task.ID.String()[17:])
		return true
	})
	return out
}

// end has a subtask run and end.
func end(t *steps.Progress, step, index, run int, how runs.Outcome) bool {
	task := t.Task(runs.Task{Job: t.Job.ID, Step: step, Index: index})
	task.Run, task.Phase = max(task.Run, run), steps.Running
	return t.RecordEnd(task, run, how, "")
}

func TestStepsComeAfterOthers(t *testing.T) {
	now := time.UnixMilli(0)
	track := steps.NewProgress(job(steps.Step{Count: 2}, steps.Step{Count: 1, After: []int{0}}, steps.Step{Count: 1}))
	require.Equal(t, []string{"0.0.0", "0.0.1", "0.2.0"}, ready(track, now))
	require.False(t, end(track, 0, 0, 1, runs.Done))
	require.Equal(t, []string{"0.0.1", "0.2.0"}, ready(track, now))
	require.False(t, end(track, 0, 1, 1, runs.Done))
	require.Equal(t, []string{"0.1.0", "0.2.0"}, ready(track, now))
	require.False(t, end(track, 2, 0, 1, runs.Done))
	require.True(t, end(track, 1, 0, 1, runs.Done))
	require.Equal(t, steps.Completed, track.Outcome)
}

func TestOccurrencesWaitForTheirTime(t *testing.T) {
	j := job(steps.Step{Count: 1})
	j.Repetitions, j.FirstMs, j.IntervalMs = 2, 1000, 500
	track := steps.NewProgress(j)
	require.Empty(t, ready(track, time.UnixMilli(999)))
	require.Equal(t, []string{"0.0.0"}, ready(track, time.UnixMilli(1000)))
	require.Equal(t, []string{"0.0.0", "1.0.0"}, ready(track, time.UnixMilli(1500)))
	require.Equal(t, time.UnixMilli(1500), track.NextDue(time.UnixMilli(1200)))
}

func TestAttempts(t *testing.T) {
	track := steps.NewProgress(job(steps.Step{Count: 1}))
	require.False(t, end(track, 0, 0, 1, runs.Failed))
	require.False(t, end(track, 0, 0, 2, runs.LeaseExpired), "only failures count")
	require.True(t, end(track, 0, 0, 3, runs.Failed))
	require.Equal(t, steps.Failed, track.Outcome)
}

// TestFailureCountsOnce has an owner record a failure that it could not
// acknowledge; the next owner reads it from the worker again.
func TestFailureCountsOnce(t *testing.T) {
	first := steps.NewProgress(job(steps.Step{Count: 1}))
	require.False(t, end(first, 0, 0, 1, runs.Failed))
	second := steps.NewProgress(first.Job)
	second.Restore(first.Record())
	require.False(t, end(second, 0, 0, 1, runs.Failed))
	require.Equal(t, steps.Open, second.Outcome)
	require.Equal(t, 1, second.Task(runs.Task{Job: first.Job.ID}).Failures)
	require.True(t, end(second, 0, 0, 2, runs.Failed))
}

func TestGangEndsAsOne(t *testing.T) {
	track := steps.NewProgress(job(steps.Step{Count: 3, Gang: true}))
	for i := range 3 {
		require.False(t, end(track, 0, i, 1, map[bool]runs.Outcome{true: runs.Failed, false: runs.GangBroken}[i == 0]))
	}
	require.True(t, end(track, 0, 1, 2, runs.Done), "one end stands for all")
	require.Equal(t, steps.Completed, track.Outcome)
}

func TestLastingStartsAgain(t *testing.T) {
	track := steps.NewProgress(job(steps.Step{Count: 1, LongRunning: true}))
	for run, how := range []runs.Outcome{runs.Done, runs.Failed, runs.Failed, runs.Failed, runs.LeaseExpired} {
		require.False(t, end(track, 0, 0, run+1, how))
		require.Len(t, ready(track, time.Time{}), 1, how)
	}
}

func TestRecordKeepsWhatCounts(t *testing.T) {
	track := steps.NewProgress(job(steps.Step{Count: 3, Checkpointing: true}, steps.Step{Count: 1, After: []int{0}}))
	end(track, 0, 0, 1, runs.Done)
	task := track.Task(runs.Task{Job: track.Job.ID, Index: 1})
	task.Run, task.Phase = 4, steps.Running
	track.RecordEnd(task, 4, runs.Stopped, "half")
	again := steps.NewProgress(track.Job)
	again.Restore(track.Record())
	require.Equal(t, steps.Finished, again.Task(runs.Task{Job: track.Job.ID}).Phase)
	got := again.Task(runs.Task{Job: track.Job.ID, Index: 1})
	require.Equal(t, "half", got.Checkpoint)
	require.Equal(t, 4, got.Run)
	require.Equal(t, []string{"0.0.1", "0.0.2"}, ready(again, time.Time{}))
}

func TestCheck(t *testing.T) {
	for name, j := range map[string]*steps.Job{
		"no steps":        {},
		"no subtasks":     job(steps.Step{}),
		"after itself":    job(steps.Step{Count: 1, After: []int{0}}),
		"after a later":   job(steps.Step{Count: 1}, steps.Step{Count: 1, After: []int{2}}),
		"negative demand": job(steps.Step{Count: 1, CPU: -1}),
		"too many":        job(steps.Step{Count: steps.MaxCount + 1}),
	} {
		require.ErrorIs(t, j.Check(), steps.ErrInvalid, name)
	}
	require.NoError(t, job(steps.Step{Count: 1}, steps.Step{Count: 1, After: []int{0}}).Check())
}

func TestChain(t *testing.T) {
	track := steps.NewProgress(job(
		steps.Step{Count: 1, EstimateMs: 100}, steps.Step{Count: 1, EstimateMs: 200, After: []int{0}}, steps.Step{Count: 1, EstimateMs: 250},
	))
	declared := func(s *steps.Step) time.Duration { return time.Duration(s.EstimateMs) * time.Millisecond }
	require.Equal(t, 300*time.Millisecond, track.CriticalPath(declared))
	end(track, 0, 0, 1, runs.Done)
	require.Equal(t, 250*time.Millisecond, track.CriticalPath(declared))
}

// The advisor is asked about a step while the one before it is at work.
func TestComing(t *testing.T) {
	j := &steps.Job{ID: "j", Steps: []steps.Step{{Count: 2}, {Count: 1, After: []int{0}}, {Count: 1, After: []int{1}}}}
	tr := steps.NewProgress(j)
	coming := func() (out []string) {
		tr.EachUpcoming(time.Time{}, func(task *steps.Task, reached bool) { out = append(out, fmt.Sprint(task.ID.Step, reached)) })
		return out
	}
	task := func(step, i int) *steps.Task { return tr.Task(runs.Task{Job: "j", Step: step, Index: i}) }
	require.Equal(t, []string{"0 true"}, coming())
	task(0, 0).Phase, task(0, 0).Run = steps.Running, 1
	require.Equal(t, []string{"0 true"}, coming())
	task(0, 1).Phase, task(0, 1).Run = steps.Running, 1
	require.Equal(t, []string{"1 false"}, coming())
	for i := range 2 {
		tr.RecordEnd(task(0, i), 1, runs.Done, "")
	}
	require.Equal(t, []string{"1 true"}, coming())
	tr.Outcome = steps.Cancelled
	require.Empty(t, coming())
}
