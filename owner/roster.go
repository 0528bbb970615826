package owner

import (
	"context"
	"encoding/json"
	"slices"

	"shallotpaddle/hosts"
)

// rosterEntry is a worker that may have runs of the pool.
type rosterEntry struct {
	ID        string `json:"id"`
	Address   string `json:"addr"`
	StartedMs int64  `json:"born,omitempty"`
	// Lost tells that the incarnation was removed during the takeover and that another one
	// of the worker is listed as well.
	Lost bool `json:"lost,omitempty"`
}

func (h *host) rosterEntry() rosterEntry {
	return rosterEntry{ID: h.id, Address: h.worker.Address, StartedMs: h.startedMs}
}

func (o *Owner) encodeRoster() []byte {
	list := append(make([]rosterEntry, 0, len(o.hosts)), o.missing...)
	for i := range list {
		list[i].Lost = o.hosts[list[i].ID] != nil
	}
	for _, h := range o.hosts {
		list = append(list, h.rosterEntry())
	}
	slices.SortFunc(list, func(a, b rosterEntry) int {
		if a.ID < b.ID || a.ID == b.ID && a.Lost {
			return -1
		}
		return 1
	})
	b, err := json.Marshal(list)
	if err != nil {
		o.Log.Error().Err(err).Msg("encoding the list of workers failed")
	}
	return b
}

// readRoster reads the workers that an earlier owner used, which may run its
// subtasks even if they are no longer registered, and the digest's revision.
func (o *Owner) readRoster(ctx context.Context) error {
	items, _, err := o.Store.List(ctx, o.roster.key)
	if err != nil {
		return err
	}
	o.missing = nil
	for _, it := range items {
		if it.Key != o.roster.key {
			continue
		}
		o.roster.rev = it.Rev
		var list []rosterEntry
		if err := json.Unmarshal(it.Value, &list); err != nil {
			o.Log.Error().Str("pool", o.Pool).Err(err).Msg("stored list of workers is not readable")
			continue
		}
		for _, e := range list {
			if e.Lost {
				o.missing = append(o.missing, e)
				continue
			}
			h := newHost(hosts.Worker{ID: e.ID, Pool: o.Pool, Address: e.Address, StartedMs: e.StartedMs})
			h.inherited = true
			o.hosts[e.ID] = h
		}
	}
	items, _, err = o.Store.List(ctx, o.digest.key)
	if err != nil {
		return err
	}
	for _, it := range items {
		if it.Key == o.digest.key {
			o.digest.rev = it.Rev
		}
	}
	return nil
}
