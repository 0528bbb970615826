package proof

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/fakes"
)

// Half of the store's rates, in calls per second: what the whole program may use.
const (
	halfWrites = fakes.DefaultWrites / 2
	halfReads  = fakes.DefaultReads / 2
)

// TestStoreRates has nine entries at full load, jobs and keyed requests among
// it, and an outage of the store in the middle: calls stay under half of the
// store's rates in every second, and none is refused for its rate.
func TestStoreRates(t *testing.T) {
	f := newFleet(t, 9, 8)
	f.sendJSON(http.MethodPost, f.platformAddr, "/fault", map[string]any{"peak": true})
	l := f.startLoad(24, loadSpec{kind: "digest", run: 5 * time.Millisecond, size: 1000})
	stop := make(chan struct{})
	for i := range 18 {
		go func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				e := f.entries[(i+n)%len(f.entries)]
				if i%2 == 0 {
					f.submit(e, "digest", "run=1ms;")
				} else {
					f.call(e, "digest", []byte("run=1ms;"), "Idempotency-Key", `"`+e.name+time.Now().String()[:27]+`"`)
				}
			}
		}()
	}
	<-time.After(6 * time.Second)
	f.setFaults(fakes.Fault{Kind: fakes.FaultDown})
	<-time.After(5 * time.Second)
	f.setFaults()
	<-time.After(6 * time.Second)
	close(stop)
	all := l.finish()
	seen := f.platformSeen()
	t.Logf("%d requests, %d answered; peak of calls a second %v, refused for the rate %d",
		len(all), countOutcome(all, "answered"), seen.Peak, seen.Refused)
	require.LessOrEqual(t, seen.Peak["write"], halfWrites)
	require.LessOrEqual(t, seen.Peak["read"], halfReads)
	require.Zero(t, seen.Refused)
	for i := range all {
		if all[i].outcome != "answered" {
			t.Logf("%s: %d %s %v", all[i].outcome, all[i].status, all[i].body, all[i].err)
		}
	}
	require.Equal(t, len(all), countOutcome(all, "answered"))
}

func (f *fleet) platformSeen() fakes.Seen {
	res, err := f.client.Get("http://" + f.platformAddr + "/seen")
	require.NoError(f.t, err)
	defer res.Body.Close()
	var seen fakes.Seen
	require.NoError(f.t, json.NewDecoder(res.Body).Decode(&seen))
	return seen
}
