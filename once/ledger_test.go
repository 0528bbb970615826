package once

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotpaddle/plat"
)

func TestAcceptFaults(t *testing.T) {
	for name, c := range map[string]struct {
		script []fault
		err    error
		kept   bool
	}{
		"no fault":                  {nil, nil, true},
		"refused":                   {[]fault{refuse}, plat.ErrUnavailable, false},
		"lost, not written":         {[]fault{lostBefore}, nil, true},
		"lost, written":             {[]fault{lostAfter}, nil, true},
		"lost, then refused":        {[]fault{lostAfter, refuse}, nil, true},
		"lost, refused, lost again": {[]fault{lostBefore, refuse, lostAfter}, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMemory()
			var script []fault
			l := testLedger(t, m.scripted(&script), "a")
			script = c.script
			j, err := l.Accept(t.Context(), Job{Queue: "q", Body: []byte("x")})
			require.ErrorIs(t, err, c.err)
			require.Equal(t, c.err != nil, NotRecorded(err))
			got, err := Find(t.Context(), m.scripted(&script), l.log.clock, j.ID)
			if !c.kept {
				require.ErrorIs(t, err, ErrNotFound)
				return
			}
			require.NoError(t, err)
			require.Equal(t, Accepted, got.State)
			require.Equal(t, []byte("x"), got.Body)
		})
	}
}

func TestJobLife(t *testing.T) {
	var script []fault
	l := testLedger(t, newMemory().scripted(&script), "a")
	ctx := t.Context()
	_, err := l.Accept(ctx, Job{Body: make([]byte, MaxBody+1)})
	require.ErrorIs(t, err, ErrTooLarge)
	j, err := l.Accept(ctx, Job{Queue: "q", MaxAttempts: 2})
	require.NoError(t, err)
	require.ErrorIs(t, l.Drop(j.ID), ErrState)
	for range 3 { // a start that is proved not to have run uses up no attempt
		s, err := l.Start(ctx, j.ID, "h", "b")
		require.NoError(t, err)
		require.Equal(t, 1, s.Attempts)
		_, err = l.Start(ctx, j.ID, "h", "b")
		require.ErrorIs(t, err, ErrState)
		require.ErrorIs(t, l.Retry(ctx, j.ID, ""), ErrState)
		require.NoError(t, l.NotRun(ctx, j.ID, "refused"))
	}
	s, err := l.Start(ctx, j.ID, "h", "b")
	require.NoError(t, err)
	require.Equal(t, j.ID+".4", s.TaskID())
	c, err := l.Cancel(ctx, j.ID)
	require.NoError(t, err)
	require.True(t, c.CancelRequested)
	require.Equal(t, Started, c.State)
	script = []fault{refuse, refuse, lostAfter} // an outcome is retried after refusals
	big := &Result{Status: 200, Body: make([]byte, MaxResult+1)}
	require.NoError(t, l.Finish(ctx, j.ID, Outcome{State: Done, Result: big}))
	got, err := l.Job(j.ID)
	require.NoError(t, err)
	require.Equal(t, &Result{Status: 200, Dropped: true}, got.Result)
	require.ErrorIs(t, l.Finish(ctx, j.ID, Outcome{State: Failed}), ErrState)
	require.NoError(t, l.Drop(j.ID))
	_, err = l.Job(j.ID)
	require.ErrorIs(t, err, ErrNotFound)
}

func TestAttemptsAndCancel(t *testing.T) {
	l := testLedger(t, newMemory().scripted(&[]fault{}), "a")
	ctx := t.Context()
	j, err := l.Accept(ctx, Job{Idempotent: true, MaxAttempts: 1})
	require.NoError(t, err)
	_, err = l.Start(ctx, j.ID, "h", "b")
	require.NoError(t, err)
	require.NoError(t, l.Retry(ctx, j.ID, "no answer"))
	_, err = l.Start(ctx, j.ID, "h", "b")
	require.ErrorIs(t, err, ErrAttempts)
	j, err = l.Cancel(ctx, j.ID)
	require.NoError(t, err)
	require.Equal(t, Cancelled, j.State)
}

// TestAdoption has one row for each state that an adopted job may be in.
func TestAdoption(t *testing.T) {
	m := newMemory()
	s := m.scripted(&[]fault{})
	ctx := t.Context()
	a, b, c := testLedger(t, s, "a"), testLedger(t, s, "b"), testLedger(t, s, "c")
	accept := func(again bool) string {
		j, err := a.Accept(ctx, Job{Idempotent: again, Body: []byte("x")})
		require.NoError(t, err)
		return j.ID
	}
	fresh, once, again, ended := accept(false), accept(false), accept(true), accept(false)
	for _, id := range []string{once, again, ended} {
		_, err := a.Start(ctx, id, "h", "b")
		require.NoError(t, err)
	}
	require.NoError(t, a.Finish(ctx, ended, Outcome{State: Done, Result: &Result{Status: 200}}))
	logs, err := b.Adoptable(ctx, []string{"b-1", "c-1"})
	require.NoError(t, err)
	require.Equal(t, []string{"a-1"}, logs)

	got, err := b.Adopt(ctx, "a-1")
	require.NoError(t, err)
	require.Equal(t, 1, got.Ended)
	require.Equal(t, []string{fresh, again}, []string{got.Runnable[0].ID, got.Runnable[1].ID})
	require.Equal(t, once, got.Unresolved[0].ID)
	_, err = c.Adopt(ctx, "a-1")
	require.ErrorIs(t, err, ErrAdopted)
	_, err = a.Start(ctx, fresh, "h", "b") // the holder was only paused
	require.ErrorIs(t, err, ErrSealed)
	require.True(t, a.Sealed())
	_, err = b.Start(ctx, once, "h", "b")
	require.ErrorIs(t, err, ErrState)
	require.Empty(t, m.list(logPrefix+"a-1/"))
	found, err := Find(ctx, s, b.log.clock, ended)
	require.NoError(t, err)
	require.Equal(t, Done, found.State)
}

func TestHandover(t *testing.T) {
	s := newMemory().scripted(&[]fault{})
	ctx := t.Context()
	a, b := testLedger(t, s, "a"), testLedger(t, s, "b")
	j, err := a.Accept(ctx, Job{})
	require.NoError(t, err)
	require.NoError(t, a.Handover(ctx))
	_, err = a.Accept(ctx, Job{})
	require.ErrorIs(t, err, ErrSealed)
	got, err := b.Adopt(ctx, a.Name())
	require.NoError(t, err)
	require.Equal(t, j.ID, got.Runnable[0].ID)
}

// TestReserve shows that SpareSlots is enough to carry all live state forward,
// whatever the sizes of the entities.
func TestReserve(t *testing.T) {
	full := Job{Body: make([]byte, MaxBody), Queue: strings.Repeat("<", maxText)}
	full.Customer, full.Kind, full.Cause = full.Queue, full.Queue, full.Queue
	job, err := json.Marshal(record{Op: opJob, Job: &full})
	require.NoError(t, err)
	text := strings.Repeat("<", maxText)
	answer := Result{Type: text, Body: make([]byte, MaxResult)}
	keyed, err := json.Marshal(claimRecord{Op: opSnapshot, claim: claim{Customer: text, Key: text, Token: text, Holder: text, Result: &answer}})
	require.NoError(t, err)
	require.Less(t, LedgerLimits.MaxLiveBytes/(MaxSegment-len(job)), LedgerLimits.SpareSlots)
	require.Less(t, ClaimLimits.MaxLiveBytes/(MaxSegment-len(keyed)), ClaimLimits.SpareSlots)
	require.Less(t, len(job), maxBatch)
}

func TestStoreBound(t *testing.T) {
	m := newMemory()
	l := testLedger(t, m.scripted(&[]fault{}), "a")
	ctx := t.Context()
	body := make([]byte, 16<<10)
	var open []string
	for i := range 1200 {
		j, err := l.Accept(ctx, Job{Body: body})
		if err != nil {
			require.ErrorIs(t, err, ErrBusy)
		} else {
			open = append(open, j.ID)
		}
		if err != nil || i%3 == 0 {
			id := open[0]
			open = open[1:]
			require.NoError(t, l.Finish(ctx, id, Outcome{State: Done, Result: &Result{Body: body}}))
			require.NoError(t, l.Drop(id))
		}
	}
	require.LessOrEqual(t, len(m.list(logPrefix)), LedgerLimits.MaxSlots)
	require.Less(t, m.bytes(), LedgerLimits.MaxSlots*MaxSegment)
	for _, id := range open { // all of it can still be read
		require.NoError(t, l.Finish(ctx, id, Outcome{State: Cancelled}))
	}
	again, st := ledgerLog(m.scripted(&[]fault{}), l.log.clock, l.name, "")
	require.NoError(t, again.load(ctx))
	require.Len(t, st.jobs, len(open))
	require.Equal(t, l.log.live.bytes, again.live.bytes)
}
