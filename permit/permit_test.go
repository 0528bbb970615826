package permit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/table"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// req returns a request for a host in a rack of its own, under a budget of 2 with
// a reserve of 1.
func req(host, opID string, reason table.Reason) Request {
	return Request{
		Host: host, Rack: "r-" + host, Reason: reason, OpID: opID, Epoch: 5, Now: now, ConfigRev: 1, Budget: 2, Reserve: 1,
	}
}

func TestRules(t *testing.T) {
	grant := func(host, opID string, reason table.Reason) func(*Doc) error {
		return func(d *Doc) error { return d.Grant(req(host, opID, reason)) }
	}
	fail := func(host, rack string) func(*Doc) error {
		return func(d *Doc) error {
			r := req(host, "f-"+host, table.Failed)
			r.Rack = rack
			_, err := d.RecordFailure(r)
			return err
		}
	}
	advance := func(host, opID string, to table.Phase) func(*Doc) error {
		return func(d *Doc) error { return d.Advance(host, opID, to) }
	}
	release := func(host, opID string) func(*Doc) error {
		return func(d *Doc) error { return d.Release(host, opID) }
	}
	cancel := func(host, opID string, epoch int64) func(*Doc) error {
		return func(d *Doc) error { return d.Cancel(host, opID, epoch) }
	}
	setBudget := func(configRev int64, budget, reserve int) func(*Doc) error {
		return func(d *Doc) error { d.UpdateBudget(configRev, budget, reserve); return nil }
	}
	depart := func(host string, epoch int64) func(*Doc) error {
		return func(d *Doc) error { d.Depart(host, epoch, now); return nil }
	}
	maint, move := table.Maintenance, table.Move
	tests := []struct {
		name  string
		rules []func(*Doc) error // all but the last must succeed
		want  error
		out   int // hosts out of service at the end
	}{
		{"first outage", []func(*Doc) error{grant("a", "1", maint)}, nil, 1},
		{"repeated request", []func(*Doc) error{grant("a", "1", maint), grant("a", "1", maint)}, nil, 1},
		{"host taken out by another operation", []func(*Doc) error{grant("a", "1", maint), grant("a", "2", maint)}, ErrOut, 1},
		{"planned outages keep the reserve", []func(*Doc) error{grant("a", "1", maint), grant("b", "2", maint)}, ErrBudget, 1},
		{"moves count against the budget", []func(*Doc) error{grant("a", "1", move), grant("b", "2", maint)}, ErrBudget, 1},
		{"failures count against the budget", []func(*Doc) error{fail("a", "r"), grant("b", "2", maint)}, ErrBudget, 1},
		{"repair may use the reserve", []func(*Doc) error{fail("a", "r"), grant("b", "2", table.Repair)}, nil, 2},
		{"failures are always recorded", []func(*Doc) error{fail("a", "r"), fail("b", "r"), fail("c", "r")}, nil, 3},
		{"another rack failed", []func(*Doc) error{setBudget(2, 9, 0), fail("a", "r"), fail("b", "r"), grant("c", "1", maint)}, ErrRack, 2},
		{"one failed host in each of two racks", []func(*Doc) error{setBudget(2, 9, 0), fail("a", "r"), fail("b", "s"), grant("c", "1", maint)}, nil, 3},
		{"request with an old configuration", []func(*Doc) error{setBudget(2, 0, 0), grant("a", "1", maint)}, ErrBudget, 0},
		{"budget lowered while hosts are out", []func(*Doc) error{setBudget(2, 4, 0), grant("a", "1", maint), grant("b", "2", maint), setBudget(3, 2, 0), grant("c", "3", maint)}, ErrBudget, 2},
		{"late repeat of an ended operation", []func(*Doc) error{grant("a", "1", maint), cancel("a", "1", 5), grant("a", "1", maint)}, ErrEnded, 0},
		{"release before probation", []func(*Doc) error{grant("a", "1", maint), release("a", "1")}, ErrPhase, 1},
		{"whole maintenance", []func(*Doc) error{
			grant("a", "1", maint), advance("a", "1", table.Rebooting), advance("a", "1", table.Probation), release("a", "1"), release("a", "1"),
		}, nil, 0},
		{"cancellation after the reboot", []func(*Doc) error{grant("a", "1", maint), advance("a", "1", table.Rebooting), cancel("a", "1", 5)}, ErrPhase, 1},
		{"cancellation of another operation", []func(*Doc) error{grant("a", "1", maint), cancel("a", "2", 5)}, nil, 1},
		{"cancellation of the permit of a move that may be started", []func(*Doc) error{grant("a", "1", move), cancel("a", "1", 5)}, ErrPhase, 1},
		{"cancellation of the permit of a cancelled move", []func(*Doc) error{grant("a", "1", move), cancel("a", "1", 6)}, nil, 0},
		{"reboot of a move", []func(*Doc) error{grant("a", "1", move), advance("a", "1", table.Rebooting)}, ErrPhase, 1},
		{"advance of another operation", []func(*Doc) error{grant("a", "1", maint), advance("a", "2", table.Rebooting)}, ErrNotOut, 1},
		{"host has left", []func(*Doc) error{grant("a", "1", move), depart("a", 5), grant("a", "2", maint)}, ErrLeft, 0},
		{"departure at an older epoch than the outage", []func(*Doc) error{grant("a", "1", maint), depart("a", 4)}, nil, 1},
		{"failure during the drain", []func(*Doc) error{grant("a", "1", maint), fail("a", "r"), advance("a", "1", table.Rebooting)}, ErrNotOut, 1},
		{"failed host returns", []func(*Doc) error{fail("a", "r"), advance("a", "f-a", table.Probation), release("a", "f-a")}, nil, 0},
		{"repair again during probation", []func(*Doc) error{
			fail("a", "r"), advance("a", "f-a", table.Probation), grant("a", "2", table.Repair), advance("a", "2", table.Rebooting),
		}, nil, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var body []byte
			var err error
			for i, rule := range tt.rules {
				body, err = Apply(body, rule)
				if i < len(tt.rules)-1 {
					require.NoError(t, err)
				}
			}
			require.ErrorIs(t, err, tt.want)
			d, err := Decode(body)
			require.NoError(t, err)
			require.Len(t, d.Outages, tt.out)
		})
	}
}

func TestRecordFailureTellsOverBudget(t *testing.T) {
	d, err := Decode(nil)
	require.NoError(t, err)
	for i, host := range []string{"a", "b", "c"} {
		overBudget, err := d.RecordFailure(req(host, host, table.Failed))
		require.NoError(t, err)
		require.Equal(t, i == 2, overBudget)
	}
	require.Equal(t, 3, d.Failed())
}

func TestDocIsBounded(t *testing.T) {
	d, err := Decode(nil)
	require.NoError(t, err)
	for i := range 3 * MaxEnded {
		opID := string(rune('A' + i))
		require.NoError(t, d.Grant(req("a", opID, table.Maintenance)))
		require.NoError(t, d.Cancel("a", opID, 5))
	}
	require.Len(t, d.Ended, MaxEnded)
	d.Depart("b", 5, now)
	d.Depart("c", 5, now.Add(2*LeftRetention))
	require.Len(t, d.Left, 1)
}
