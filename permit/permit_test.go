package permit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/table"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// req is a request for a host in its own rack, under budget 2 and reserve 1.
func req(host, by string, why table.Reason) Request {
	return Request{
		Host: host, Rack: "r-" + host, Reason: why, OpID: by, Epoch: 5, Now: now, ConfigRev: 1, Budget: 2, Reserve: 1,
	}
}

func TestRules(t *testing.T) {
	grant := func(host, by string, why table.Reason) func(*Doc) error {
		return func(d *Doc) error { return d.Grant(req(host, by, why)) }
	}
	fail := func(host, rack string) func(*Doc) error {
		return func(d *Doc) error {
			r := req(host, "f-"+host, table.Failed)
			r.Rack = rack
			_, err := d.Fail(r)
			return err
		}
	}
	advance := func(host, by string, to table.Phase) func(*Doc) error {
		return func(d *Doc) error { return d.Advance(host, by, to) }
	}
	release := func(host, by string) func(*Doc) error {
		return func(d *Doc) error { return d.Release(host, by) }
	}
	recall := func(host, by string, epoch int64) func(*Doc) error {
		return func(d *Doc) error { return d.Recall(host, by, epoch) }
	}
	tune := func(conf int64, budget, reserve int) func(*Doc) error {
		return func(d *Doc) error { d.UpdateBudget(conf, budget, reserve); return nil }
	}
	depart := func(host string, epoch int64) func(*Doc) error {
		return func(d *Doc) error { d.Depart(host, epoch, now); return nil }
	}
	m, mv := table.Maintenance, table.Move
	tests := []struct {
		name  string
		rules []func(*Doc) error // all but the last must succeed
		want  error
		out   int // hosts out at the end
	}{
		{"first", []func(*Doc) error{grant("a", "1", m)}, nil, 1},
		{"repeated", []func(*Doc) error{grant("a", "1", m), grant("a", "1", m)}, nil, 1},
		{"host of another operation", []func(*Doc) error{grant("a", "1", m), grant("a", "2", m)}, ErrOut, 1},
		{"reserve kept", []func(*Doc) error{grant("a", "1", m), grant("b", "2", m)}, ErrBudget, 1},
		{"moves count", []func(*Doc) error{grant("a", "1", mv), grant("b", "2", m)}, ErrBudget, 1},
		{"failures count", []func(*Doc) error{fail("a", "r"), grant("b", "2", m)}, ErrBudget, 1},
		{"repair may use the reserve", []func(*Doc) error{fail("a", "r"), grant("b", "2", table.Repair)}, nil, 2},
		{"failures are always recorded", []func(*Doc) error{fail("a", "r"), fail("b", "r"), fail("c", "r")}, nil, 3},
		{"another rack failed", []func(*Doc) error{tune(2, 9, 0), fail("a", "r"), fail("b", "r"), grant("c", "1", m)}, ErrRack, 2},
		{"two failed in two racks", []func(*Doc) error{tune(2, 9, 0), fail("a", "r"), fail("b", "s"), grant("c", "1", m)}, nil, 3},
		{"old configuration", []func(*Doc) error{tune(2, 0, 0), grant("a", "1", m)}, ErrBudget, 0},
		{"lowered while out", []func(*Doc) error{tune(2, 4, 0), grant("a", "1", m), grant("b", "2", m), tune(3, 2, 0), grant("c", "3", m)}, ErrBudget, 2},
		{"late repeat after the end", []func(*Doc) error{grant("a", "1", m), recall("a", "1", 5), grant("a", "1", m)}, ErrEnded, 0},
		{"release before probation", []func(*Doc) error{grant("a", "1", m), release("a", "1")}, ErrPhase, 1},
		{"whole maintenance", []func(*Doc) error{
			grant("a", "1", m), advance("a", "1", table.Rebooting), advance("a", "1", table.Probation), release("a", "1"), release("a", "1"),
		}, nil, 0},
		{"recall after the reboot", []func(*Doc) error{grant("a", "1", m), advance("a", "1", table.Rebooting), recall("a", "1", 5)}, ErrPhase, 1},
		{"recall of another operation", []func(*Doc) error{grant("a", "1", m), recall("a", "2", 5)}, nil, 1},
		{"recall of a move that may be marked", []func(*Doc) error{grant("a", "1", mv), recall("a", "1", 5)}, ErrPhase, 1},
		{"recall of a move called off", []func(*Doc) error{grant("a", "1", mv), recall("a", "1", 6)}, nil, 0},
		{"reboot of a move", []func(*Doc) error{grant("a", "1", mv), advance("a", "1", table.Rebooting)}, ErrPhase, 1},
		{"advance of another operation", []func(*Doc) error{grant("a", "1", m), advance("a", "2", table.Rebooting)}, ErrNotOut, 1},
		{"host has left", []func(*Doc) error{grant("a", "1", mv), depart("a", 5), grant("a", "2", m)}, ErrLeft, 0},
		{"departure before a newer outage", []func(*Doc) error{grant("a", "1", m), depart("a", 4)}, nil, 1},
		{"failure in a drain", []func(*Doc) error{grant("a", "1", m), fail("a", "r"), advance("a", "1", table.Rebooting)}, ErrNotOut, 1},
		{"failed host returns", []func(*Doc) error{fail("a", "r"), advance("a", "f-a", table.Probation), release("a", "f-a")}, nil, 0},
		{"repair again in probation", []func(*Doc) error{
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

func TestFailTellsBreach(t *testing.T) {
	d, err := Decode(nil)
	require.NoError(t, err)
	for i, host := range []string{"a", "b", "c"} {
		breach, err := d.Fail(req(host, host, table.Failed))
		require.NoError(t, err)
		require.Equal(t, i == 2, breach)
	}
	require.Equal(t, 3, d.Failed())
}

func TestMemoryIsBounded(t *testing.T) {
	d, err := Decode(nil)
	require.NoError(t, err)
	for i := range 3 * MaxEnded {
		by := string(rune('A' + i))
		require.NoError(t, d.Grant(req("a", by, table.Maintenance)))
		require.NoError(t, d.Recall("a", by, 5))
	}
	require.Len(t, d.Ended, MaxEnded)
	d.Depart("b", 5, now)
	d.Depart("c", 5, now.Add(2*LeftRetention))
	require.Len(t, d.Left, 1)
}
