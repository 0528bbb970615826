package owner

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"shallotpaddle/hosts"
	"shallotpaddle/plat"
)

// rosterEntry is a worker that may have runs of the pool.
type rosterEntry struct {
	ID        string `json:"id"`
	Address   string `json:"addr"`
	StartedMs int64  `json:"born,omitempty"`
	// Lost tells that the incarnation was removed during the takeover and that another one
	// of the worker is listed as well.
	Lost bool `json:"lost,omitempty"`
	// LeaseMs is the time left of the worker's lease, in milliseconds of its clock, if it may
	// outlast those that owners give: a late order to an earlier incarnation has extended it.
	LeaseMs int64 `json:"lease,omitempty"`
	// SilentMs tells for how long, in milliseconds, no owner had given the worker a lease when
	// the entry was written by the owner elected in SilentTerm; 0 if that is not known.
	SilentMs   int64 `json:"silent,omitempty"`
	SilentTerm int   `json:"silentTerm,omitempty"`
	// SilentFrom is the election from whose owner on none has given the worker a lease.
	SilentFrom int `json:"silentFrom,omitempty"`
	// Lapsed tells that the worker was given up as its lease was over, and that nothing has
	// run there since.
	Lapsed bool `json:"lapsed,omitempty"`
	// LapsedMs is the reading of the pool's clock at which that was.
	LapsedMs int64 `json:"lapsedAt,omitempty"`
}

// formerRecords is what an earlier owner has stored besides the jobs.
type formerRecords struct {
	digest Digest
	// rosterUnread tells that the roster could not be decoded: any worker may have runs of an
	// earlier owner.
	rosterUnread bool
}

func (h *host) rosterEntry() rosterEntry {
	return rosterEntry{ID: h.id, Address: h.worker.Address, StartedMs: h.startedMs, LeaseMs: h.longerLease.Milliseconds()}
}

// leaseLeft returns the time left of a worker's lease, by its clock.
func (h *host) leaseLeft(now time.Time) time.Duration {
	return time.Duration(h.leaseUntil-h.workerClock(now)) * time.Millisecond
}

// updateLongerLease updates longerLease, which the stored roster has by the time the worker gets
// work.
func (h *host) updateLongerLease(now time.Time) {
	if h.longerLease = 0; h.leaseLeft(now) > leaseHorizon {
		h.longerLease = h.leaseLeft(now)
	}
}

// refreshLongerLeases has the roster stored again when a longer lease in it has become shorter by
// a usual one: later owners wait for the lease as it is stored.
func (o *Owner) refreshLongerLeases(now time.Time) {
	for _, h := range o.hosts {
		if !h.answered || h.longerLease == 0 {
			continue
		}
		if left := h.leaseLeft(now); left <= leaseHorizon || h.longerLease-left >= leaseHorizon {
			h.updateLongerLease(now)
			o.markChanged(o.roster)
		}
	}
}

func (o *Owner) encodeRoster() []byte {
	list, now := append(make([]rosterEntry, 0, len(o.hosts)), o.missing...), o.Clock.Now()
	for i := range list {
		h := o.hosts[list[i].ID]
		list[i].Lost = h != nil && o.inRoster(h)
	}
	for _, h := range o.hosts {
		if o.inRoster(h) {
			if h.answered {
				h.updateLongerLease(now)
			}
			list = append(list, o.rosterEntry(h, now))
		}
	}
	slices.SortFunc(list, func(a, b rosterEntry) int {
		if a.ID < b.ID || a.ID == b.ID && a.Lost {
			return -1
		}
		return 1
	})
	list = append(list, o.lapsedEntries()...)
	b, err := json.Marshal(list)
	if err != nil {
		o.Log.Error().Err(err).Msg("encoding the list of workers failed")
	}
	return b
}

var errID = errors.New("ID is missing, or is not that of the key")

// decodeRoster returns the entries of a stored roster that can be read, and the last error.
func decodeRoster(value []byte) ([]rosterEntry, error) {
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
	return list, err
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
		list, err := decodeRoster(it.Value)
		if err != nil {
			o.endsUnread, o.former.rosterUnread = true, true
			o.Log.Error().Str("pool", o.Pool).Err(err).Msg("stored list of workers is not readable")
		}
		for _, e := range list {
			if e.Lapsed {
				o.lapsed[e.ID] = lapsedLease{e.StartedMs, o.Clock.Now(), e.LapsedMs}
				continue
			}
			if e.Lost {
				o.missing = append(o.missing, e)
				continue
			}
			h := newHost(hosts.Worker{ID: e.ID, Pool: o.Pool, Address: e.Address, StartedMs: e.StartedMs})
			h.inherited, h.longerLease = true, time.Duration(e.LeaseMs)*time.Millisecond
			o.inheritSilence(h, &e)
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
			if err := json.Unmarshal(it.Value, &o.former.digest); err != nil {
				o.Log.Error().Str("pool", o.Pool).Err(err).Msg("stored digest is not readable")
			}
		}
	}
	return nil
}

// RosterPools returns the pools whose stored rosters have a worker, by worker ID. Entries that
// can't be read are left out; the pool's next owner reports them.
func RosterPools(rosters []plat.Item) map[string][]string {
	out := map[string][]string{}
	for _, it := range rosters {
		list, _ := decodeRoster(it.Value)
		pool := strings.TrimPrefix(it.Key, RosterPrefix)
		for _, e := range list {
			if !e.Lapsed && !slices.Contains(out[e.ID], pool) {
				out[e.ID] = append(out[e.ID], pool)
			}
		}
	}
	return out
}
