package owner

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"

	"shallotpaddle/hosts"
)

// rosterEntry is a worker that may have runs of the pool.
type rosterEntry struct {
	ID        string `json:"id"`
	Address   string `json:"addr"`
	StartedMs int64  `json:"born,omitempty"`
}

func (h *host) rosterEntry() rosterEntry { return rosterEntry{h.id, h.worker.Address, h.startedMs} }

func (o *Owner) encodeRoster() []byte {
	list := append(make([]rosterEntry, 0, len(o.hosts)), o.missing...)
	for _, h := range o.hosts {
		if !slices.ContainsFunc(o.missing, func(e rosterEntry) bool { return e.ID == h.id }) {
			list = append(list, h.rosterEntry())
		}
	}
	slices.SortFunc(list, func(a, b rosterEntry) int {
		if a.ID < b.ID {
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

// decodeRoster returns the entries of a stored roster that can be read. If one can't, the
// ends of runs on its worker may be unread.
func (o *Owner) decodeRoster(value []byte) []rosterEntry {
	var raw []json.RawMessage
	err := json.Unmarshal(value, &raw)
	list := make([]rosterEntry, 0, len(raw))
	for _, b := range raw {
		var e rosterEntry
		if fault := json.Unmarshal(b, &e); fault != nil || e.ID == "" {
			err = cmp.Or(fault, errID)
			continue
		}
		list = append(list, e)
	}
	if err != nil {
		o.endsUnread = true
		o.Log.Error().Str("pool", o.Pool).Err(err).Msg("stored list of workers is not readable")
	}
	return list
}

var errID = errors.New("ID is missing, or is not that of the key")

// readRoster reads the workers that an earlier owner used, which may run its
// subtasks even if they are no longer registered, and the digest's revision.
func (o *Owner) readRoster(ctx context.Context) error {
	items, _, err := o.Store.List(ctx, o.roster.key)
	if err != nil {
		return err
	}
	for _, it := range items {
		if it.Key != o.roster.key {
			continue
		}
		o.roster.rev = it.Rev
		for _, e := range o.decodeRoster(it.Value) {
			o.hosts[e.ID] = newHost(hosts.Worker{ID: e.ID, Pool: o.Pool, Address: e.Address, StartedMs: e.StartedMs})
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
