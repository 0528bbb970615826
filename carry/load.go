package carry

import (
	"time"

	"shallotpaddle/permit"
	"shallotpaddle/table"
)

// Load sets the placements and outages in the tables to those in the documents.
// It leaves acknowledgements and probes as they are.
func Load(t *table.Tables, d Docs) {
	for id := range table.HostID(t.Hosts()) {
		loadHost(t, d, id)
	}
	for pool, doc := range d.Outages {
		loadPool(t, t.PoolByName(pool), doc)
	}
	t.Reindex()
}

func loadHost(t *table.Tables, d Docs, id table.HostID) {
	h := t.Host(id)
	t.SetOutage(id, table.InService, table.NoOutage, time.Time{}, "")
	t.SetOutagePool(id, table.None)
	doc := d.Placements[h.DC()]
	if doc == nil {
		t.SetPlacement(id, table.None, table.None)
		return
	}
	r := doc.Hosts[h.Name()]
	t.SetPlacement(id, t.PoolByName(r.Pool), t.PoolByName(r.MoveTarget))
	t.SetLastMaintained(id, r.MaintainedAt)
}

// loadPool sets the outages of one document. If two pools record an outage of a
// host, the record of the pool that the host is in takes precedence.
func loadPool(t *table.Tables, pool table.PoolID, doc *permit.Doc) {
	if pool == table.None {
		return
	}
	for name, o := range doc.Outages {
		id := t.HostByName(name)
		if id == table.None {
			continue
		}
		if h := t.Host(id); h.OutagePool() != table.None && h.Pool() != pool {
			continue
		}
		t.SetOutage(id, o.Reason, o.Phase, o.Since, o.BootID)
		t.SetOutagePool(id, pool)
	}
}
