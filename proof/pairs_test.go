package proof

import (
	"flag"
	"math/rand/v2"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/fakes"
	"shallotpaddle/table"
)

var (
	pairSeed = flag.Uint64("pairs.seed", 1, "seed of the pairs of faults")
	pairRuns = flag.Int("pairs.runs", 3, "number of pairs of faults")
)

// disturbance is a fault that a test injects and removes again.
type disturbance struct {
	name    string
	inject  func(f *fleet)
	restore func(f *fleet)
	// cutsTaskLinks is set if the fault cuts connections of tasks in progress.
	cutsTaskLinks bool
}

// disturbances are the faults that pairs are drawn from. The two faults of a pair
// act on different parts, so that restoring one does not restore the other.
var disturbances = []disturbance{
	{"store down", func(f *fleet) { f.setFaults(fakes.Fault{Kind: fakes.FaultDown}) }, func(f *fleet) { f.setFaults() }, false},
	{"answers of writes lost", func(f *fleet) {
		f.setFaults(fakes.Fault{Kind: fakes.FaultDrop, Class: "put", Count: 12})
	}, func(f *fleet) { f.setFaults() }, false},
	{"watch lagging", func(f *fleet) {
		f.setFaults(fakes.Fault{Kind: fakes.FaultLate, Class: "watch", Delay: table.Duration(1500 * time.Millisecond)})
	}, func(f *fleet) { f.setFaults() }, false},
	{"e1 paused", func(f *fleet) { f.entries[0].proc.signal(syscall.SIGSTOP) }, func(f *fleet) {
		f.entries[0].proc.signal(syscall.SIGCONT)
	}, false},
	{"e2 killed", func(f *fleet) { f.entries[1].proc.kill() }, func(f *fleet) { f.startEntry(f.entries[1]) }, true},
	{"e3 cut from the store", func(f *fleet) { f.cutLink("e3>platform") }, func(f *fleet) { f.restoreLink("e3>platform") }, false},
	{"e3 cut from its peers", func(f *fleet) { f.cutLink(">e3") }, func(f *fleet) { f.restoreLink(">e3") }, false},
	{"w00 unreachable", func(f *fleet) { f.cutLink("w00") }, func(f *fleet) { f.restoreLink("w00") }, true},
	{"w01 leaving", func(f *fleet) { f.setHostState("w01", "leaving") }, func(f *fleet) { f.setHostState("w01", "live") }, false},
}

// TestPairs draws pairs of faults and injects both into a fleet that moves hosts
// under load. The seed is printed, and set with -pairs.seed.
func TestPairs(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(*pairSeed, 3))
	for range *pairRuns {
		i, j := drawPair(rng)
		a, b := disturbances[i], disturbances[j]
		delay := time.Duration(rng.IntN(1500)) * time.Millisecond
		hold := time.Duration(3000+rng.IntN(6000)) * time.Millisecond
		t.Run(a.name+" and "+b.name, func(t *testing.T) {
			t.Parallel()
			t.Logf("seed %d: %s, %s later %s, both restored after %s", *pairSeed, a.name, delay, b.name, hold)
			f := newFleetWith(t, 3, 8, twoPoolsNote)
			w := f.watchBudget()
			l := f.startLoad(8, loadSpec{kind: "incident", run: 150 * time.Millisecond, size: 100, pause: 10 * time.Millisecond})
			code, err := f.callOperatorAPI(f.entries[2], http.MethodPost, "/v1/notes", resizeNote("pair", 1, 3, 5), nil)
			require.Equal(t, http.StatusOK, code, "%v", err)
			a.inject(f)
			<-time.After(delay)
			b.inject(f)
			<-time.After(hold)
			a.restore(f)
			b.restore(f)
			eventually(t, moveLimit, "pools have reached their sizes", f.poolsSized)
			l.finish()
			w.stop()
			tasks := f.startedTasks()
			require.Empty(t, w.overBudget, "planned outages beyond the budget")
			require.Empty(t, poolOverlaps(tasks))
			require.Empty(t, cutTasks(tasks, fakes.CutReboot, fakes.CutStop, fakes.CutLease))
			if !a.cutsTaskLinks && !b.cutsTaskLinks {
				require.Empty(t, cutTasks(tasks, fakes.CutLink))
			}
			checkResults(t, l, tasks, false)
		})
	}
}

// drawPair draws the indexes of two different disturbances, of which at most one is
// a fault of the platform stand-in: setFaults replaces all of its faults.
func drawPair(rng *rand.Rand) (i, j int) {
	const platformFaults = 3 // the first ones of disturbances
	for {
		i, j = rng.IntN(len(disturbances)), rng.IntN(len(disturbances))
		if i != j && (i >= platformFaults || j >= platformFaults) {
			return i, j
		}
	}
}
