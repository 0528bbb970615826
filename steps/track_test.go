package steps_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

func job(list ...steps.Step) *steps.Job {
	return &steps.Job{ID: "0123456789abcdef", MaxAttempts: 2, Steps: list}
}

// ready returns the subtasks that can start, as OCCURRENCE.STEP.INDEX.
func ready(t *steps.Progress, now time.Time) []string {
	var out []string
	t.EachReady(now, func(task *steps.Task) bool {
		out = append(out, task.ID.String()[17:])
		return true
	})
	return out
}

// runAndEnd marks a subtask as running and records the end of the run.
func runAndEnd(t *steps.Progress, step, index, run int, how runs.Outcome) bool {
	task := t.Task(runs.Task{Job: t.Job.ID, Step: step, Index: index})
	task.Run, task.Phase = max(task.Run, run), steps.Running
	return t.RecordEnd(task, run, how, "")
}

func TestDependencies(t *testing.T) {
	now := time.UnixMilli(0)
	progress := steps.NewProgress(job(steps.Step{Count: 2}, steps.Step{Count: 1, After: []int{0}}, steps.Step{Count: 1}))
	require.Equal(t, []string{"0.0.0", "0.0.1", "0.2.0"}, ready(progress, now))
	require.False(t, runAndEnd(progress, 0, 0, 1, runs.Done))
	require.Equal(t, []string{"0.0.1", "0.2.0"}, ready(progress, now))
	require.False(t, runAndEnd(progress, 0, 1, 1, runs.Done))
	require.Equal(t, []string{"0.1.0", "0.2.0"}, ready(progress, now))
	require.False(t, runAndEnd(progress, 2, 0, 1, runs.Done))
	require.True(t, runAndEnd(progress, 1, 0, 1, runs.Done))
	require.Equal(t, steps.Completed, progress.Outcome)
}

func TestOccurrencesStartWhenDue(t *testing.T) {
	j := job(steps.Step{Count: 1})
	j.Repetitions, j.FirstMs, j.IntervalMs = 2, 1000, 500
	progress := steps.NewProgress(j)
	require.Empty(t, ready(progress, time.UnixMilli(999)))
	require.Equal(t, []string{"0.0.0"}, ready(progress, time.UnixMilli(1000)))
	require.Equal(t, []string{"0.0.0", "1.0.0"}, ready(progress, time.UnixMilli(1500)))
	require.Equal(t, time.UnixMilli(1500), progress.NextDue(time.UnixMilli(1200)))
}

func TestAttempts(t *testing.T) {
	progress := steps.NewProgress(job(steps.Step{Count: 1}))
	require.False(t, runAndEnd(progress, 0, 0, 1, runs.Failed))
	require.False(t, runAndEnd(progress, 0, 0, 2, runs.LeaseExpired), "only failed runs count")
	require.True(t, runAndEnd(progress, 0, 0, 3, runs.Failed))
	require.Equal(t, steps.Failed, progress.Outcome)
}

// An owner records a failure and is replaced before it acknowledges the end to the
// worker, so the next owner reads the same end again: it must not count twice.
func TestFailureCountsOnce(t *testing.T) {
	first := steps.NewProgress(job(steps.Step{Count: 1}))
	require.False(t, runAndEnd(first, 0, 0, 1, runs.Failed))
	second := steps.NewProgress(first.Job)
	second.Restore(first.Record())
	require.False(t, runAndEnd(second, 0, 0, 1, runs.Failed))
	require.Equal(t, steps.Open, second.Outcome)
	require.Equal(t, []int{1}, second.Task(runs.Task{Job: first.Job.ID}).FailedRuns)
	require.True(t, runAndEnd(second, 0, 0, 2, runs.Failed))
}

// A store outage keeps failures from being recorded, and the next owner reads the
// ends from several workers, in any order: each run counts once.
func TestFailuresCountInAnyOrder(t *testing.T) {
	for _, order := range [][]int{{1, 2, 3}, {1, 3, 2}, {2, 1, 3}, {2, 3, 1}, {3, 1, 2}, {3, 2, 1}} {
		j := job(steps.Step{Count: 1})
		j.MaxAttempts = 3
		progress := steps.NewProgress(j)
		for i, run := range order {
			ended := runAndEnd(progress, 0, 0, run, runs.Failed)
			require.Equal(t, i == 2, ended, "order %v, run %d", order, run)
			restored := steps.NewProgress(j)
			restored.Restore(progress.Record())
			require.Equal(t, ended, runAndEnd(restored, 0, 0, run, runs.Failed), "run %d is counted already", run)
		}
		require.Equal(t, steps.Failed, progress.Outcome, "order %v", order)
	}
}

// A record of an earlier build has the number of failures and the last failed run.
func TestRestoreFailuresOfEarlierBuild(t *testing.T) {
	j := job(steps.Step{Count: 1})
	j.MaxAttempts = 3
	progress := steps.NewProgress(j)
	progress.Restore(steps.Record{Tasks: []steps.TaskRecord{{Failures: 2, LastFailedRun: 2, Run: 2}}})
	require.False(t, runAndEnd(progress, 0, 0, 2, runs.Failed), "counted already")
	require.True(t, runAndEnd(progress, 0, 0, 3, runs.Failed))
}

func TestExceedsAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		failed      []int
		latest, run int
		want        bool
	}{
		"the latest run itself":                       {[]int{1}, 2, 2, false},
		"an earlier run while attempts are left":      {nil, 2, 1, false},
		"the last attempt, before the latest run":     {[]int{1}, 3, 2, true},
		"the last attempt, the latest run failed too": {[]int{3}, 3, 2, false},
		"counted already":                             {[]int{1, 2}, 3, 2, false},
	} {
		progress := steps.NewProgress(job(steps.Step{Count: 1}))
		task := progress.Task(runs.Task{Job: progress.Job.ID})
		task.FailedRuns, task.Run = c.failed, c.latest
		require.Equal(t, c.want, task.ExceedsAttempts(c.run), name)
	}
}

func TestGangEndsAsOne(t *testing.T) {
	progress := steps.NewProgress(job(steps.Step{Count: 3, Gang: true}))
	for i := range 3 {
		require.False(t, runAndEnd(progress, 0, i, 1, map[bool]runs.Outcome{true: runs.Failed, false: runs.GangBroken}[i == 0]))
	}
	require.True(t, runAndEnd(progress, 0, 1, 2, runs.Done), "the end of one member is that of all")
	require.Equal(t, steps.Completed, progress.Outcome)
}

// The members of a gang start from one checkpoint: the newest that any of them has saved, also if
// reports arrive late, and for a later owner.
func TestGangHasOneCheckpoint(t *testing.T) {
	progress := steps.NewProgress(job(steps.Step{Count: 3, Gang: true, Checkpointing: true}))
	member := func(p *steps.Progress, i int) *steps.Task { return p.Task(runs.Task{Job: p.Job.ID, Index: i}) }
	requireAll := func(p *steps.Progress, want string) {
		for i := range 3 {
			require.Equal(t, want, member(p, i).StartCheckpoint())
		}
	}
	requireAll(progress, "")
	member(progress, 2).SaveCheckpoint(1, 30, "a")
	requireAll(progress, "a")
	member(progress, 1).SaveCheckpoint(1, 20, "late")
	member(progress, 0).SaveCheckpoint(1, 40, "")
	requireAll(progress, "a")
	for i := range 3 {
		runAndEnd(progress, 0, i, 2, runs.GangBroken)
	}
	progress.RecordEnd(member(progress, 1), 2, runs.GangBroken, "b")
	member(progress, 2).SaveCheckpoint(1, 90, "of the run before")
	member(progress, 2).SaveCheckpoint(2, 90, "before its end")
	requireAll(progress, "b")
	restored := steps.NewProgress(progress.Job)
	restored.Restore(progress.Record())
	requireAll(restored, "b")
	member(restored, 2).SaveCheckpoint(3, 10, "c")
	requireAll(restored, "c")
	former := steps.NewProgress(progress.Job) // earlier builds recorded one for each member
	former.Restore(steps.Record{Tasks: []steps.TaskRecord{{Index: 1, Checkpoint: "x"}, {Index: 2, Checkpoint: "y"}}})
	requireAll(former, "y")
}

func TestLongRunningStartsAgain(t *testing.T) {
	progress := steps.NewProgress(job(steps.Step{Count: 1, LongRunning: true}))
	for run, how := range []runs.Outcome{runs.Done, runs.Failed, runs.Failed, runs.Failed, runs.LeaseExpired} {
		require.False(t, runAndEnd(progress, 0, 0, run+1, how))
		require.Len(t, ready(progress, time.Time{}), 1, how)
	}
}

func TestRecordAndRestore(t *testing.T) {
	progress := steps.NewProgress(job(steps.Step{Count: 3, Checkpointing: true}, steps.Step{Count: 1, After: []int{0}}))
	runAndEnd(progress, 0, 0, 1, runs.Done)
	task := progress.Task(runs.Task{Job: progress.Job.ID, Index: 1})
	task.Run, task.Phase = 4, steps.Running
	progress.RecordEnd(task, 4, runs.Stopped, "half")
	restored := steps.NewProgress(progress.Job)
	restored.Restore(progress.Record())
	require.Equal(t, steps.Finished, restored.Task(runs.Task{Job: progress.Job.ID}).Phase)
	got := restored.Task(runs.Task{Job: progress.Job.ID, Index: 1})
	require.Equal(t, "half", got.Checkpoint)
	require.Equal(t, 4, got.Run)
	require.Equal(t, []string{"0.0.1", "0.0.2"}, ready(restored, time.Time{}))
}

func TestCheck(t *testing.T) {
	for name, j := range map[string]*steps.Job{
		"no steps":               {},
		"no subtasks":            job(steps.Step{}),
		"step after itself":      job(steps.Step{Count: 1, After: []int{0}}),
		"step after a later one": job(steps.Step{Count: 1}, steps.Step{Count: 1, After: []int{2}}),
		"negative demand":        job(steps.Step{Count: 1, CPU: -1}),
		"too many subtasks":      job(steps.Step{Count: steps.MaxCount + 1}),
		"too many in all steps":  job(slices.Repeat([]steps.Step{{Count: steps.MaxCount}}, 5)...),
		"too many occurrences":   {ID: "j", Repetitions: 1 << 40, Steps: []steps.Step{{Count: 1}}},
		"too many in all times":  {ID: "j", Repetitions: 1000, Steps: []steps.Step{{Count: 100}}},
		"negative occurrences":   {ID: "j", Repetitions: -1, Steps: []steps.Step{{Count: 1}}},
	} {
		require.ErrorIs(t, j.Check(), steps.ErrInvalid, name)
	}
	require.NoError(t, job(steps.Step{Count: 1}, steps.Step{Count: 1, After: []int{0}}).Check())
}

// A stored record may name subtasks that the job doesn't have.
func TestRestoreIgnoresUnknownSubtasks(t *testing.T) {
	progress := steps.NewProgress(job(steps.Step{Count: 1}))
	progress.Restore(steps.Record{Tasks: []steps.TaskRecord{
		{Occur: -1, Done: true}, {Step: -1, Done: true}, {Index: -1, Done: true}, {Occur: 9, Done: true}, {Step: 9, Done: true}, {Index: 9, Done: true},
	}})
	require.Equal(t, []string{"0.0.0"}, ready(progress, time.Time{}))
}

func TestCriticalPath(t *testing.T) {
	progress := steps.NewProgress(job(
		steps.Step{Count: 1, EstimateMs: 100}, steps.Step{Count: 1, EstimateMs: 200, After: []int{0}}, steps.Step{Count: 1, EstimateMs: 250},
	))
	declared := func(s *steps.Step) time.Duration { return time.Duration(s.EstimateMs) * time.Millisecond }
	require.Equal(t, 300*time.Millisecond, progress.CriticalPath(declared))
	runAndEnd(progress, 0, 0, 1, runs.Done)
	require.Equal(t, 250*time.Millisecond, progress.CriticalPath(declared))
}

// The advisor can be asked about a step while the steps before it still run.
func TestEachUpcoming(t *testing.T) {
	j := &steps.Job{ID: "j", Steps: []steps.Step{{Count: 2}, {Count: 1, After: []int{0}}, {Count: 1, After: []int{1}}}}
	progress := steps.NewProgress(j)
	upcoming := func() (out []string) {
		progress.EachUpcoming(time.Time{}, func(task *steps.Task, ready bool) { out = append(out, fmt.Sprint(task.ID.Step, ready)) })
		return out
	}
	task := func(step, i int) *steps.Task { return progress.Task(runs.Task{Job: "j", Step: step, Index: i}) }
	require.Equal(t, []string{"0 true"}, upcoming())
	task(0, 0).Phase, task(0, 0).Run = steps.Running, 1
	require.Equal(t, []string{"0 true"}, upcoming())
	task(0, 1).Phase, task(0, 1).Run = steps.Running, 1
	require.Equal(t, []string{"1 false"}, upcoming())
	for i := range 2 {
		progress.RecordEnd(task(0, i), 1, runs.Done, "")
	}
	require.Equal(t, []string{"1 true"}, upcoming())
	progress.Outcome = steps.Cancelled
	require.Empty(t, upcoming())
}
