package proof

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/fakes"
	"shallotpaddle/table"
)

// forceLimit is the required time within which an accepted configuration is in
// force at every entry.
const forceLimit = 3 * time.Second

// reserveNote returns a configuration note against revision baseRev that sets the
// pool's reserve to 0 or 1, in turn from one revision to the next.
func reserveNote(id string, baseRev int) string {
	return fmt.Sprintf(`
note: %s
against: %d
operator: proof
changed:
  pools:
    - {name: photos, size: 8, budget: 2, reserve: %d}
`, id, baseRev, baseRev%2)
}

// waitInForce waits until each of the entries has revision rev or a later one, and
// fails the test after forceLimit.
func (f *fleet) waitInForce(rev int64, entries []*entry) {
	f.t.Helper()
	eventually(f.t, forceLimit, fmt.Sprintf("revision %d in force everywhere", rev), func() bool {
		for _, e := range entries {
			if f.fleetState(e).Rev < rev {
				return false
			}
		}
		return true
	})
}

// TestConfig applies configuration notes while the store is faulty. Each new
// revision is in force at every entry within forceLimit, and no entry's revision
// ever decreases.
func TestConfig(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 8)
	stop := f.watchRevisions()
	for _, c := range []struct {
		name  string
		fault fakes.Fault
	}{
		{"no fault", fakes.Fault{}},
		{"answer lost after the write", fakes.Fault{Kind: fakes.FaultDrop, Class: "put", Prefix: "fleet/conf", Count: 1}},
		{"connection cut before the write", fakes.Fault{Kind: fakes.FaultCut, Class: "put", Prefix: "fleet/conf", Count: 1}},
		{"slow write", fakes.Fault{Kind: fakes.FaultSlow, Class: "put", Prefix: "fleet/conf", Delay: table.Duration(700 * time.Millisecond), Count: 1}},
		{"lagging watch", fakes.Fault{Kind: fakes.FaultLate, Class: "watch", Delay: table.Duration(2 * time.Second)}},
	} {
		rev := f.fleetState(f.entries[0]).Rev
		if c.fault.Kind != "" {
			f.setFaults(c.fault)
		}
		f.applyNote(0, reserveNote(fmt.Sprintf("n%d", rev), int(rev)))
		f.waitInForce(rev+1, f.entries)
		f.setFaults()
	}
	require.Empty(t, stop(), "revisions that decreased")
}

// watchRevisions polls every entry's revision until the returned function is
// called; that lists the times at which an entry's revision decreased.
func (f *fleet) watchRevisions() func() []string {
	done := make(chan struct{})
	var decreases []string
	var wg sync.WaitGroup
	wg.Go(func() {
		last := map[string]int64{}
		for {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			for _, e := range f.entries {
				rev := f.fleetState(e).Rev
				if rev > 0 && rev < last[e.name] {
					decreases = append(decreases, fmt.Sprintf("%s: %d after %d", e.name, rev, last[e.name]))
				}
				last[e.name] = max(rev, last[e.name])
			}
		}
	})
	return func() []string {
		close(done)
		wg.Wait()
		return decreases
	}
}

// TestConfigRace has two operators apply notes against the same revision
// concurrently. One is accepted; the other gets a conflict that names the accepted
// note.
func TestConfigRace(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 8)
	for round := range 5 {
		rev := int(f.fleetState(f.entries[0]).Rev)
		var codes [2]int
		var errs [2]error
		var wg sync.WaitGroup
		for i := range 2 {
			wg.Go(func() {
				text := reserveNote(fmt.Sprintf("r%d-%d", round, i), rev)
				codes[i], errs[i] = f.callOperatorAPI(f.entries[i], http.MethodPost, "/v1/notes", text, nil)
			})
		}
		wg.Wait()
		require.ElementsMatch(t, []int{http.StatusOK, http.StatusConflict}, codes[:], "%v", errs)
		for i := range 2 {
			if codes[i] == http.StatusConflict {
				require.ErrorContains(t, errs[i], fmt.Sprintf("r%d-%d", round, 1-i))
			}
		}
		f.waitInForce(int64(rev+1), f.entries)
	}
}

// TestConfigOutage takes the store down. The accepted configuration stays in
// force, a new note is not accepted, and an entry that starts takes the highest
// revision of its peers. When the store comes back with an earlier state, no
// entry's revision decreases, not even that of an entry that was paused.
func TestConfigOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 8)
	f.sendJSON(http.MethodPost, f.platformAddr, "/fault", map[string]any{"save": "old"})
	f.applyNote(0, reserveNote("n1", 1))
	f.waitInForce(2, f.entries)

	f.setFaults(fakes.Fault{Kind: fakes.FaultDown})
	code, _ := f.callOperatorAPI(f.entries[0], http.MethodPost, "/v1/notes", reserveNote("n2", 2), nil)
	require.Contains(t, []int{http.StatusServiceUnavailable, http.StatusGatewayTimeout}, code)

	f.entries[2].proc.kill()
	f.startEntry(f.entries[2])
	eventually(t, 10*time.Second, "an entry started during the outage is ready", func() bool {
		return f.getStatus(f.entries[2], "/readyz") == http.StatusOK
	})
	require.EqualValues(t, 2, f.fleetState(f.entries[2]).Rev)
	got := f.call(f.entries[2], "digest", []byte("x"))
	require.Equal(t, "answered", got.outcome, "%v %s", got.err, got.body)

	stop := f.watchRevisions()
	f.entries[1].proc.signal(syscall.SIGSTOP)
	f.sendJSON(http.MethodPost, f.platformAddr, "/fault", map[string]any{"restore": "old"})
	f.setFaults()
	f.entries[1].proc.signal(syscall.SIGCONT)
	f.applyNote(0, reserveNote("n3", 2))
	f.waitInForce(3, f.entries)
	require.Empty(t, stop(), "revisions that decreased")
}

// TestStartHeldUp starts an entry while the store is down, and holds it up for 3 s as soon
// as it says that it is ready. It must not refuse work for want of workers that it has not
// asked yet.
func TestStartHeldUp(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 8)
	f.setFaults(fakes.Fault{Kind: fakes.FaultDown})
	e := f.entries[2]
	e.proc.kill()
	f.startEntry(e)
	eventually(t, 10*time.Second, "an entry started during the outage is ready", func() bool {
		return f.getStatus(e, "/readyz") == http.StatusOK
	})
	e.proc.signal(syscall.SIGSTOP)
	<-time.After(3 * time.Second)
	e.proc.signal(syscall.SIGCONT)
	got := f.call(e, "digest", []byte("x"))
	require.Equal(t, "answered", got.outcome, "%v %s", got.err, got.body)
}
