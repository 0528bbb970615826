package maint_test

import (
	"testing"
	"time"

	"shallotpaddle/bench/drive"
	"shallotpaddle/eject"
	"shallotpaddle/maint"
	"shallotpaddle/moves"
	"shallotpaddle/table"
)

// BenchmarkTick measures a tick of each system with 3,400 hosts in 20 pools and no
// change due.
func BenchmarkTick(b *testing.B) {
	fleets := drive.Fleets()
	w := fleets[len(fleets)-1].World()
	e := drive.NewEntry(w, "a")
	run(w, []*drive.Entry{e}, 2*60*step, nil)
	systems := map[string]interface {
		Tick(*table.Tables, time.Time, []table.Change) []table.Change
	}{
		"maint": maint.New(maint.DefaultSettings()),
		"moves": moves.New(moves.DefaultSettings()),
		"eject": eject.New(eject.DefaultSettings()),
	}
	for name, s := range systems {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			out := s.Tick(e.Tables, w.Now, make([]table.Change, 0, 64))
			for b.Loop() {
				out = s.Tick(e.Tables, w.Now, out[:0])
			}
		})
	}
}
