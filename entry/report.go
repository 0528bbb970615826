package entry

import (
	"context"
	"encoding/json"
	"time"

	"shallotpaddle/burn"
	"shallotpaddle/plat"
	"shallotpaddle/table"
)

// maxReportCustomers is the number of customers of a queue that a report lists
// individually.
const maxReportCustomers = 50

// Burn returns the report on service levels and error budgets, merged over all
// entries that answer.
func (e *Entry) Burn(ctx context.Context) burn.Report {
	reports := []burn.Report{e.burnReport()}
	e.callPeers(ctx, methodBurn, nil, func(raw json.RawMessage) {
		var r burn.Report
		if json.Unmarshal(raw, &r) == nil {
			reports = append(reports, r)
		}
	})
	return burn.Merge(reports...)
}

func (e *Entry) burnReport() burn.Report {
	doc, err := e.configDoc()
	if err != nil {
		return burn.Report{}
	}
	for i := range doc.Notes {
		e.measures.SetAccepted(doc.Notes[i].Rev, doc.Notes[i].Time)
	}
	r := e.burn.Report(&doc.Config)
	r.Measures = e.measures.Sums()
	r.TrimCustomers(maxReportCustomers)
	return r
}

// addIdleHosts adds the idle hosts of the owned pools, for the time of one scan,
// to the measures.
func (l *loop) addIdleHosts() {
	for id := range table.PoolID(l.tables.Pools()) {
		p := l.tables.Pool(id)
		if p.Owned() {
			idle := burn.IdleHosts(len(p.Hosts())-p.OutOfService(), p.Demand(), table.WorkerSlots)
			l.entry.measures.AddIdleTime(p.Spec().Name, idle, scanInterval)
		}
	}
}

// setStoreRates limits this entry's calls to the store to its share of the store's
// rates, which the entries divide evenly.
func (l *loop) setStoreRates(now time.Time) {
	entries := max(len(l.members.Live(now, heartbeatTimeout)), len(l.entry.docs.Registered()))
	writes, reads := plat.RatesPerEntry(entries)
	platform, limits := l.entry.settings.Platform(), l.entry.settings.Limits()
	writes = min(writes, platform.WritesPerSecond)
	l.entry.store.SetRates(writes, min(reads, platform.ReadsPerSecond))
	// The commits of the ledger and those of the claims together use up to half of
	// the writes.
	interval := max(limits.CommitInterval.Std(), time.Duration(float64(time.Second)*4/writes))
	l.entry.jobs.SetCommitInterval(interval)
	l.entry.claims.SetInterval(interval)
}
