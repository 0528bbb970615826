package proof

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/fakes"
)

// All entries together may use half of the store's rate limits, in calls per
// second.
const (
	halfWrites = fakes.DefaultWrites / 2
	halfReads  = fakes.DefaultReads / 2
)

// TestStoreRates runs nine entries at full load, including jobs and requests with
// an Idempotency-Key, through an outage of the store. In no second do the calls to
// the store exceed half of its rate limits, and none is refused by them.
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
	t.Logf("%d requests, %d answered; peak calls per second %v, refused by the rate limit %d",
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

// platformSeen returns what the platform stand-in has recorded.
func (f *fleet) platformSeen() fakes.Seen {
	res, err := f.client.Get("http://" + f.platformAddr + "/seen")
	require.NoError(f.t, err)
	defer res.Body.Close()
	var seen fakes.Seen
	require.NoError(f.t, json.NewDecoder(res.Body).Decode(&seen))
	return seen
}
