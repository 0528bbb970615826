package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestRules(t *testing.T) {
	assign := func(pool string) func(*Doc) error {
		return func(d *Doc) error { return d.Assign("h", pool, 3, now) }
	}
	startMove := func(from, to, opID string, epoch int64) func(*Doc) error {
		return func(d *Doc) error { return d.StartMove("h", from, to, opID, epoch, 3) }
	}
	completeMove := func(from, to, opID string) func(*Doc) error {
		return func(d *Doc) error { return d.CompleteMove("h", from, to, opID) }
	}
	cancelMove := func(from string, epoch int64) func(*Doc) error {
		return func(d *Doc) error { return d.CancelMove("h", from, epoch) }
	}
	unassign := func(pool string, epoch, configRev int64) func(*Doc) error {
		return func(d *Doc) error { return d.Unassign("h", pool, epoch, configRev) }
	}
	remove := func(d *Doc) error { d.Remove("h"); return nil }
	tests := []struct {
		name  string
		rules []func(*Doc) error // all but the last must succeed
		want  error
		pool  string
		next  string
	}{
		{"assigned", []func(*Doc) error{assign("a")}, nil, "a", ""},
		{"assigned twice", []func(*Doc) error{assign("a"), assign("a")}, nil, "a", ""},
		{"assigned to two pools", []func(*Doc) error{assign("a"), assign("b")}, ErrPlaced, "a", ""},
		{"move started by two operations", []func(*Doc) error{assign("a"), startMove("a", "b", "1", 1), startMove("a", "c", "2", 1)}, ErrMoved, "a", "b"},
		{"move started twice", []func(*Doc) error{assign("a"), startMove("a", "b", "1", 1), startMove("a", "b", "1", 1)}, nil, "a", "b"},
		{"same pool", []func(*Doc) error{assign("a"), startMove("a", "a", "1", 1)}, ErrSamePool, "a", ""},
		{"whole move, last answer lost", []func(*Doc) error{
			assign("a"), startMove("a", "b", "1", 1), completeMove("a", "b", "1"), completeMove("a", "b", "1"),
		}, nil, "b", ""},
		{"completion by another operation", []func(*Doc) error{assign("a"), startMove("a", "b", "1", 1), completeMove("a", "b", "2")}, ErrMoved, "a", "b"},
		{"completion of a move that was not started", []func(*Doc) error{assign("a"), completeMove("a", "b", "1")}, ErrMoved, "a", ""},
		{"late start after a move", []func(*Doc) error{
			assign("a"), startMove("a", "b", "1", 1), completeMove("a", "b", "1"), startMove("a", "b", "1", 1),
		}, ErrMoved, "b", ""},
		{"late start after a move there and back", []func(*Doc) error{
			assign("a"), startMove("a", "b", "1", 1), completeMove("a", "b", "1"),
			startMove("b", "a", "2", 3), completeMove("b", "a", "2"), startMove("a", "b", "1", 1),
		}, ErrMoved, "a", ""},
		{"start of a cancelled move", []func(*Doc) error{assign("a"), cancelMove("a", 1), startMove("a", "b", "1", 1)}, ErrMoved, "a", ""},
		{"completion of a cancelled move", []func(*Doc) error{
			assign("a"), startMove("a", "b", "1", 1), cancelMove("a", 1), completeMove("a", "b", "1"),
		}, ErrMoved, "a", ""},
		{"late cancellation of an older move", []func(*Doc) error{
			assign("a"), cancelMove("a", 1), startMove("a", "b", "2", 2), cancelMove("a", 1),
		}, nil, "a", "b"},
		{"pool withdrawn", []func(*Doc) error{assign("a"), unassign("a", 1, 4), assign("b")}, nil, "b", ""},
		{"withdrawn pool added again, stale epoch", []func(*Doc) error{
			assign("a"), unassign("a", 1, 4), assign("a"), startMove("a", "b", "1", 1),
		}, ErrMoved, "a", ""},
		{"pool unknown to an old configuration", []func(*Doc) error{assign("a"), unassign("a", 1, 2)}, ErrOldConfig, "a", ""},
		{"pool withdrawn during a move", []func(*Doc) error{
			assign("a"), startMove("a", "b", "1", 1), unassign("a", 1, 4), completeMove("a", "b", "1"),
		}, ErrMoved, "", ""},
		{"late withdrawal of the pool after a move", []func(*Doc) error{
			assign("a"), startMove("a", "b", "1", 1), completeMove("a", "b", "1"), unassign("a", 1, 4),
		}, ErrMoved, "b", ""},
		{"host removed and added again, stale epoch", []func(*Doc) error{
			assign("a"), remove, assign("a"), startMove("a", "b", "1", 1),
		}, ErrMoved, "a", ""},
		{"unknown host", []func(*Doc) error{cancelMove("a", 1)}, ErrNoHost, "", ""},
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
			require.Equal(t, tt.pool, d.Hosts["h"].Pool)
			require.Equal(t, tt.next, d.Hosts["h"].MoveTarget)
		})
	}
}

func TestRecordMaintenance(t *testing.T) {
	d, err := Decode(nil)
	require.NoError(t, err)
	require.NoError(t, d.Assign("h", "a", 3, now))
	require.NoError(t, d.RecordMaintenance("h", now.Add(time.Hour)))
	rev := d.Rev
	require.NoError(t, d.RecordMaintenance("h", now), "an earlier end changes nothing")
	require.Equal(t, rev, d.Rev)
	require.Equal(t, now.Add(time.Hour), d.Hosts["h"].MaintainedAt)
}
