package owner

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// logTo makes the owner of the third term keep its log.
func (r *rig) logTo(b *bytes.Buffer) {
	r.Term, r.Fence, r.Log = 3, 77, &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: b}}
	r.pollsSince = r.clock.Now()
	for _, h := range r.rows {
		h.answered, h.clock, h.clockAt, h.leaseUntil = true, 1000, r.clock.Now(), 5000
	}
}

// lineOf returns the only line with an event.
func lineOf(t *testing.T, logged, event string) string {
	var found []string
	for line := range strings.Lines(logged) {
		if strings.Contains(line, `"message":"`+event) {
			found = append(found, line)
		}
	}
	require.Len(t, found, 1, "%s in %s", event, logged)
	return found[0]
}

// The record of an incident names runs and has warnings: it must tell of each run that may
// be at work on a worker that was given up, and what the end of its lease was counted from.
func TestRunOfWorkerGivenUpIsWarnedOf(t *testing.T) {
	const election, given = `"pool":"a","fence":77,"term":3`, `"answered":true,"sincePolls":4300,"leaseFrom":"last answer","sinceAnswer":4300,"leaseLength":4000`
	for name, v := range map[string]struct {
		why, level string
	}{
		"given up": {causeLeaseOver, `"level":"warn"`}, "replaced": {"another worker answers at the address", `"level":"info"`},
	} {
		t.Run(name, func(t *testing.T) {
			var logged bytes.Buffer
			r := newRig(t)
			r.logTo(&logged)
			r.clock.Advance(4300 * time.Millisecond)
			r.endIncarnation(r.rows[0], v.why)
			for _, event := range []string{"worker incarnation ended", "run lost with its worker"} {
				line := lineOf(t, logged.String(), event)
				for _, want := range []string{v.level, election, given, v.why} {
					require.Contains(t, line, want)
				}
			}
			require.Contains(t, lineOf(t, logged.String(), "run lost with its worker"), `"task":"j.0.0.0","run":1,"host":"x"`)
			givenUp := map[string]int64{causeLeaseOver: 1}[v.why]
			require.Equal(t, givenUp, r.Stats.GivenUp.Count())
			require.Zero(t, r.Stats.GivenUpUnanswered.Count())
		})
	}
}

// The same for a long-running subtask that may start elsewhere while its worker is waited for.
func TestLongRunningRunGivenUpIsWarnedOf(t *testing.T) {
	var logged bytes.Buffer
	r := newRig(t)
	r.logTo(&logged)
	r.freeLongRunning(r.rows[0])
	line := lineOf(t, logged.String(), "lease of a long-running run expired")
	for _, want := range []string{`"level":"warn"`, `"pool":"a","fence":77,"term":3`, `"leaseFrom":"last answer"`, `"task":"j.0.0.0"`} {
		require.Contains(t, line, want)
	}
}

// An owner does not know what runs on a worker that has never answered it: the first start of
// each subtask that an earlier owner may have started there must be a warning that names the
// workers. Later starts, and those of jobs of its own term, are none.
func TestStartBesideSilentWorkerIsWarnedOf(t *testing.T) {
	for name, v := range map[string]struct {
		silent, fresh bool
		run           int // the subtask's last run
		level         string
	}{
		"earlier job":                 {silent: true, level: "warn"},
		"earlier job, earlier run":    {silent: true, run: 1001, level: "warn"},
		"earlier job, run of the own": {silent: true, run: 2001, level: "info"},
		"job of the own term":         {silent: true, fresh: true, level: "info"},
		"all have answered":           {level: "info"},
	} {
		t.Run(name, func(t *testing.T) {
			var logged bytes.Buffer
			r := newRig(t)
			r.logTo(&logged)
			r.Workers.Start = func(context.Context, runs.Target, runs.Start) (runs.Reply, error) { return runs.Reply{}, nil }
			if v.silent {
				h := newHost(hosts.Worker{ID: "gone"})
				h.inherited = true
				r.hosts["gone"] = h
				r.formerOver = r.clock.Now()
				r.clock.Advance(4600 * time.Millisecond)
				r.endIncarnation(h, causeLeaseOver)
				line := lineOf(t, logged.String(), "worker incarnation ended")
				for _, want := range []string{`"level":"warn"`, `"answered":false,"sincePolls":4600,"leaseFrom":"earlier owners","sinceFormer":4600`, `"earlierRuns":true`} {
					require.Contains(t, line, want)
				}
				require.EqualValues(t, 1, r.Stats.GivenUpUnanswered.Count())
			}
			j, task := r.jobs["j"], r.tasks[0]
			j.acceptedInTerm = v.fresh
			r.freeRoom(r.rows[0], r.rows[0].runs[task.ID])
			task.Phase, task.WorkerID, task.Run = steps.Waiting, "", v.run
			r.startRun(r.rows[0], j, task, r.nextRun(j, task), r.clock.Now())
			line := lineOf(t, logged.String(), "starting run")
			require.Contains(t, line, `"level":"`+v.level+`","pool":"a","fence":77,"term":3`)
			require.Equal(t, v.level == "warn", strings.Contains(line, `"unheard":1,"unheardHosts":["gone"]`), line)
		})
	}
}

// A worker that is still registered is kept when its lease counts as over, and its subtasks start
// elsewhere all the same: the split of issue 45, in which no line told of it.
func TestRegisteredWorkerGivenUpAtTakeoverIsWarnedOf(t *testing.T) {
	var logged bytes.Buffer
	r := newRig(t)
	r.logTo(&logged)
	h := newHost(hosts.Worker{ID: "cut"})
	h.inherited, h.listed, r.workersKnown = true, true, true
	r.hosts["cut"] = h
	r.formerOver = r.clock.Now()
	r.clock.Advance(4600 * time.Millisecond)
	for _, other := range r.rows {
		other.failingSince = time.Time{}
	}
	r.expireLeases(r.clock.Now())
	require.True(t, r.takeoverDone)
	line := lineOf(t, logged.String(), "worker has not answered this owner; its runs may start elsewhere")
	for _, want := range []string{`"level":"warn"`, `"pool":"a","fence":77,"term":3`, `"answered":false,"sincePolls":4600,"leaseFrom":"earlier owners","sinceFormer":4600`, `"host":"cut"`} {
		require.Contains(t, line, want)
	}
	line = lineOf(t, logged.String(), "takeover done")
	for _, want := range []string{`"level":"warn"`, `"unheard":1,"unheardHosts":["cut"]`} {
		require.Contains(t, line, want)
	}
	require.EqualValues(t, 1, r.Stats.GivenUpUnanswered.Count())
	r.endIncarnation(h, causeLeaseOver)
	require.EqualValues(t, 1, r.Stats.GivenUpUnanswered.Count(), "it was given up once")
}

// Lines must stay short when a whole data centre is silent.
func TestSilentWorkersInOneLineAreBounded(t *testing.T) {
	r := newRig(t)
	for range 100 {
		h := newHost(hosts.Worker{ID: "gone"})
		h.inherited = true
		r.endIncarnation(h, causeLeaseOver)
	}
	require.Equal(t, 100, r.silent.number)
	require.Len(t, r.silent.ids, maxHostsNamed)
}

// Doubt about an election is a change that the record must show, with the leases given in it.
func TestDoubtIsWarnedOf(t *testing.T) {
	var logged bytes.Buffer
	r := newRig(t)
	r.logTo(&logged)
	r.countLease()
	provenAt := r.SinceBoot()
	r.ProvenAt = func() time.Duration { return provenAt }
	for range 2 {
		r.clock.Advance(1050 * time.Millisecond)
		r.updateEvidence()
	}
	line := lineOf(t, logged.String(), "doubt about the election changed")
	require.Contains(t, line, `"level":"warn","pool":"a","fence":77,"term":3,"doubt":true,"proof":1050,"hosts":3,"answering":3,"runs":3`)
	r.countLease()
	require.EqualValues(t, 1, r.Stats.LeasesInDoubt.Count())
}
