package steps

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/runs"
)

// A subtask crashes each worker soon after its start, and is suspect from the first
// crash on. One that had worked for longer is only suspect after a second one.
func TestSuspectAfterCrash(t *testing.T) {
	for name, c := range map[string]struct {
		ages    []time.Duration
		suspect bool
	}{
		"none":                            {nil, false},
		"soon after the start":            {[]time.Duration{20 * time.Millisecond}, true},
		"at work for a while":             {[]time.Duration{700 * time.Millisecond}, false},
		"at work for a while, then again": {[]time.Duration{700 * time.Millisecond, 900 * time.Millisecond}, true},
		"soon, then at work for a while":  {[]time.Duration{20 * time.Millisecond, 900 * time.Millisecond}, true},
		"too old to be the cause":         {[]time.Duration{5 * time.Second, 6 * time.Second, 7 * time.Second}, false},
	} {
		t.Run(name, func(t *testing.T) {
			task := crashTask(false)
			for i, age := range c.ages {
				task.RecordCrash(i+1, fmt.Sprint("h", i+1), 0, age)
			}
			require.Equal(t, c.suspect, task.Suspect())
		})
	}
}

// A subtask that was lost once, at work for a while, is announced before it starts again.
// That makes it no suspect: it would wait for a worker of its own.
func TestAnnouncedIsNoSuspect(t *testing.T) {
	task := crashTask(false)
	task.Run = 1
	task.RecordCrash(1, fmt.Sprint("h", 1), 0, 700*time.Millisecond)
	require.True(t, task.Announce(2, false))
	require.False(t, task.Suspect())
	task.Run = 2
	require.False(t, task.Suspect())
	task.RecordCrash(2, fmt.Sprint("h", 2), 0, 700*time.Millisecond)
	require.True(t, task.Suspect())
}

// A run that works for longer than one that was lost shows that the subtask did not cause
// that crash. A crash counts once, and not if its worker turns out to be up.
func TestCrashesAreClearedByWork(t *testing.T) {
	task := crashTask(true)
	require.True(t, task.RecordCrash(1, fmt.Sprint("h", 1), 0, 400*time.Millisecond))
	require.False(t, task.RecordCrash(1, fmt.Sprint("h", 1), 0, 400*time.Millisecond))
	require.True(t, task.RecordCrash(2, fmt.Sprint("h", 2), 0, 10*time.Millisecond))
	require.Equal(t, 500*time.Millisecond, task.ProofTime())
	require.True(t, task.RecordWork(150*time.Millisecond))
	require.False(t, task.RecordWork(450*time.Millisecond))
	require.Len(t, task.Crashes, 1)
	require.True(t, task.RecordWork(650*time.Millisecond))
	require.Equal(t, MinProof, task.ProofTime())
	require.True(t, task.RecordCrash(3, fmt.Sprint("h", 3), 0, 10*time.Millisecond))
	require.True(t, task.RetractCrash(3))
	require.False(t, task.RecordCrash(4, fmt.Sprint("h", 4), 800*time.Millisecond, 900*time.Millisecond), "it is known to have worked")
	require.False(t, task.Suspect())
}

// A subtask is given up after two crashes on trial, or four in all. A trial whose end no
// owner has seen counts if a worker was lost with its owner, but nothing that was only announced
// (LOST: trials that no owner came to start counted as well).
func TestCrashesWorkers(t *testing.T) {
	for name, c := range map[string]struct {
		seen, trials, lost, open, announced int
		givenUp                             bool
	}{
		"one":                        {1, 0, 0, 0, 0, false},
		"one, and one on trial":      {1, 1, 0, 0, 0, false},
		"one, and two on trial":      {1, 2, 0, 0, 0, true},
		"three":                      {3, 0, 0, 0, 0, false},
		"four":                       {4, 0, 0, 0, 0, true},
		"one, and two lost":          {1, 0, 2, 0, 0, false},
		"one, and three lost":        {1, 0, 3, 0, 0, true},
		"one, and three without end": {1, 0, 0, 3, 0, false},
		"others not started":         {1, 1, 0, 0, 5, false},
	} {
		t.Run(name, func(t *testing.T) {
			task := crashTask(false)
			for range c.seen {
				task.Run++
				task.RecordCrash(task.Run, fmt.Sprint("h", task.Run), 0, 10*time.Millisecond)
			}
			for range c.trials {
				task.Run++
				task.Announce(task.Run, true)
				task.RecordCrash(task.Run, fmt.Sprint("h", task.Run), 0, 10*time.Millisecond)
			}
			for range c.lost {
				task.Run++
				task.Announce(task.Run, true)
				task.RecordLoss()
			}
			for range c.open {
				task.Run++
				task.Announce(task.Run, true)
			}
			for i := range c.announced {
				task.Announce(task.Run+1+i, true)
			}
			require.Equal(t, c.givenUp, task.CrashesWorkers())
		})
	}
}

// LOST: a subtask waits while owner after owner is lost, most with a worker. A run counts
// only if it was announced by the last owner before a worker was missing.
func TestOnlyLostAnnouncementsCount(t *testing.T) {
	task := crashTask(false)
	for range 9 {
		task.RecordLoss()
	}
	require.False(t, task.Suspect())
	require.False(t, task.CrashesWorkers())
	for run := 1; run <= 5; run++ {
		require.True(t, task.Announce(run, false))
		task.Run = run
	}
	require.False(t, task.CrashesWorkers())
	for lost := 1; lost <= 4; lost++ {
		require.True(t, task.RecordLoss())
		require.False(t, task.RecordLoss(), "it counts once")
		require.Equal(t, lost > 1, task.Suspect())
		require.Equal(t, lost > 3, task.CrashesWorkers())
		task.Run++
		task.Announce(task.Run, false)
	}
	require.True(t, task.RecordWork(MinProof))
	require.Empty(t, task.Crashes)
}

// A later owner goes on from the crashes that are recorded, also of long-running subtasks.
func TestCrashesAreRecorded(t *testing.T) {
	for _, longRunning := range []bool{false, true} {
		task := crashTask(longRunning)
		task.RecordCrash(1, fmt.Sprint("h", 1), 0, 30*time.Millisecond)
		task.Announce(2, true)
		b, err := json.Marshal(task.Progress.Record())
		require.NoError(t, err)
		var r Record
		require.NoError(t, json.Unmarshal(b, &r))
		later := crashTask(longRunning)
		later.Progress.Restore(r)
		require.True(t, later.Suspect())
		require.Equal(t, task.Crashes, later.Crashes)
		require.Equal(t, 2, later.Run, "the announced run may have started")
	}
}

func crashTask(longRunning bool) *Task {
	p := NewProgress(&Job{ID: "j", Steps: []Step{{Count: 1, LongRunning: longRunning}}})
	return p.Task(runs.Task{Job: "j"})
}

// LOST: a host that crashes again and again proves nothing more of a subtask than that it crashed
// once. For one that ends by itself it does if the host stays up without it each time.
func TestCrashesOfOneHostCountOnceOnTrial(t *testing.T) {
	for name, c := range map[string]struct {
		hosts       []string
		rested      bool
		longRunning bool
		crashes     bool
		givenUp     bool
	}{
		"trials on two hosts":               {[]string{"a", "b", "c"}, false, false, true, true},
		"trials on one host":                {[]string{"a", "b", "b"}, false, false, false, false},
		"trials on unknown hosts":           {[]string{"a", "", ""}, false, false, true, true},
		"many on one host":                  {[]string{"a", "a", "a", "a", "a", "a", "a"}, false, false, false, false},
		"three on one host that had rested": {[]string{"a", "a", "a"}, true, false, false, false},
		"four on one host that had rested":  {[]string{"a", "a", "a", "a"}, true, false, true, true},
		"long-running, many on one host":    {[]string{"a", "a", "a", "a"}, false, true, true, false},
		"long-running, trials on two hosts": {[]string{"a", "b", "c"}, false, true, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			task := crashTask(c.longRunning)
			for i, host := range c.hosts {
				task.Run++
				task.Announce(task.Run, i > 0)
				task.RecordCrash(task.Run, host, 0, 10*time.Millisecond)
				if c.rested && i > 0 {
					task.RecordRest(task.Run)
				}
			}
			require.Equal(t, c.crashes, task.CrashesWorkers())
			require.Equal(t, c.givenUp, task.GivenUp())
			require.Equal(t, c.crashes && c.longRunning, task.Restricted())
		})
	}
}

// The delay before a long-running subtask starts again stays below the time within which it has
// to be at work, but for one that has crashed six hosts. Others have none before as many crashes as
// it takes to give them up.
func TestRestartDelay(t *testing.T) {
	for name, c := range map[string]struct {
		longRunning bool
		hosts       int
		want        []time.Duration // after each crash, in milliseconds
	}{
		"ends by itself": {false, 9, []time.Duration{0, 0, 2000, 4000, 8000, 16_000, 30_000, 30_000, 30_000, 30_000}},
		"one host":       {true, 1, []time.Duration{0, 250, 500, 1000, 2000, 4000, 4000, 4000, 4000, 4000}},
		"five hosts":     {true, 5, []time.Duration{0, 250, 500, 1000, 2000, 4000, 4000, 4000, 4000, 4000}},
		"many hosts":     {true, 99, []time.Duration{0, 250, 500, 1000, 2000, 30_000, 30_000, 30_000, 30_000, 30_000}},
	} {
		t.Run(name, func(t *testing.T) {
			task := crashTask(c.longRunning)
			for i, want := range c.want {
				task.Run++
				task.RecordCrash(task.Run, fmt.Sprint(i%c.hosts), 0, 10*time.Millisecond)
				require.Equal(t, want*time.Millisecond, task.RestartDelay(), "crash %d", i+1)
			}
			require.LessOrEqual(t, len(task.Crashes), maxListed)
		})
	}
}

// LOST: a crash while hosts crashed by themselves proves nothing, for a later owner as well. It
// stays listed: what it may have shown is still tried with care.
func TestExcusedCrashesProveNothing(t *testing.T) {
	task := crashTask(false)
	for run := 1; run <= 3; run++ {
		task.Announce(run, true)
		task.RecordCrash(run, fmt.Sprint("h", run), 0, 200*time.Millisecond)
	}
	task.Run = 3
	require.True(t, task.GivenUp())
	require.True(t, task.Excuse(3))
	require.False(t, task.Excuse(3))
	require.False(t, task.Excuse(4))
	require.False(t, task.GivenUp())
	b, err := json.Marshal(task.Progress.Record())
	require.NoError(t, err)
	var r Record
	require.NoError(t, json.Unmarshal(b, &r))
	later := crashTask(false)
	later.Progress.Restore(r)
	require.False(t, later.GivenUp())
	require.True(t, later.Suspect())
	require.Equal(t, 2*time.Second, later.RestartDelay())
	later.Announce(4, true)
	later.RecordCrash(4, "h4", 0, 200*time.Millisecond)
	require.True(t, later.GivenUp())
}

// A host must have been up without a subtask for longer with each crash under it. Long-running
// subtasks have RestartDelay instead.
func TestRestOn(t *testing.T) {
	for _, longRunning := range []bool{false, true} {
		task := crashTask(longRunning)
		for i, want := range []time.Duration{0, 1, 2, 4, 8, 8} {
			if longRunning {
				want = 0
			}
			require.Equal(t, want*time.Second, task.RestOn("a"))
			require.Zero(t, task.RestOn("b"))
			task.RecordCrash(i+1, "a", 0, 10*time.Millisecond)
		}
		task.Announce(9, true)
		require.Zero(t, task.RestOn(""))
	}
}
