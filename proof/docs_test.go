package proof

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/coder/quartz"
	"github.com/stretchr/testify/require"

	"shallotpaddle/cache"
	"shallotpaddle/permit"
	"shallotpaddle/place"
	"shallotpaddle/plat"
	"shallotpaddle/table"
)

// setLastMaintenance sets the end of every host's last maintenance to ago before
// now.
func (f *fleet) setLastMaintenance(ago time.Duration) {
	client := plat.New(f.platformURL())
	defer client.Close()
	docs := cache.New(client, "fleet/", quartz.NewReal())
	dcs := map[string]bool{}
	for _, h := range f.workers {
		dcs[h.DC] = true
	}
	for dc := range dcs {
		_, err := docs.Update(context.Background(), "fleet/place/"+dc, "age-"+dc, func(body json.RawMessage) (json.RawMessage, error) {
			return place.Apply(body, func(d *place.Doc) error {
				for name, e := range d.Hosts {
					e.MaintainedAt = time.Now().Add(-ago)
					d.Hosts[name] = e
				}
				return nil
			})
		})
		require.NoError(f.t, err)
	}
}

// platformURL is the platform's URL without a fault proxy.
func (f *fleet) platformURL() string { return "http://" + f.platformAddr }

// budgetWatch watches the outage documents and compares them with the budgets.
type budgetWatch struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// overBudget lists the planned outages that were granted beyond the budget, as
	// "document key host".
	overBudget []string
	// maxOut is the largest number of hosts in one outage document at a time.
	maxOut int
	// moved holds the hosts that had an outage for a move.
	moved map[string]bool
}

// watchBudget checks each revision of the outage documents that the watch delivers,
// until stop is called.
func (f *fleet) watchBudget() *budgetWatch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &budgetWatch{cancel: cancel, moved: map[string]bool{}}
	client := plat.New(f.platformURL())
	last := map[string]map[string]permit.Outage{}
	w.wg.Go(func() {
		defer client.Close()
		var rev int64
		for ctx.Err() == nil {
			items, next, err := client.Watch(ctx, "fleet/out/", rev, time.Second)
			if err != nil {
				continue
			}
			rev = next
			for _, it := range items {
				w.checkItem(it, last)
			}
		}
	})
	return w
}

// checkItem records a revision of one outage document. last holds the outages of
// the previous revision by document key and host, and is updated.
func (w *budgetWatch) checkItem(it plat.Item, last map[string]map[string]permit.Outage) {
	d, err := cache.Decode(it.Key, it.Value)
	if err != nil {
		return
	}
	doc, err := permit.Decode(d.Body())
	if err != nil {
		return
	}
	w.maxOut = max(w.maxOut, len(doc.Outages))
	for host, o := range doc.Outages {
		if o.Reason == table.Move {
			w.moved[host] = true
		}
		if _, before := last[it.Key][host]; !before && o.Planned() && len(doc.Outages) > doc.Budget {
			w.overBudget = append(w.overBudget, it.Key+" "+host)
		}
	}
	last[it.Key] = maps.Clone(doc.Outages)
}

// stop ends the watch; the results may be read once it has returned.
func (w *budgetWatch) stop() {
	w.cancel()
	w.wg.Wait()
}

// reboots returns the number of reboots that the platform carried out, by host.
func (f *fleet) reboots() map[string]int {
	seen := f.platformSeen()
	out := map[string]int{}
	for _, h := range seen.Reboots {
		out[h]++
	}
	return out
}
