package owner

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// voter is an incarnation of a worker whose answers count when an owner proves that no later
// one has taken its place, and when that one proves that the owner is obeyed no more. Any two
// majorities of the voters share one of them, and each worker obeys only the latest owner that
// it has heard of.
type voter struct {
	ID        string `json:"id"`
	StartedMs int64  `json:"born"`
}

func compareVoters(a, b voter) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartedMs, b.StartedMs))
}

// electorate is the set of voters that one version of the stored document has, in order.
type electorate struct {
	version int
	voters  []voter
}

// electorates are the voters of a pool.
type electorates struct {
	// former are those of earlier owners, as read at the takeover, and formerUnread tells that
	// they could not be read.
	former       []voter
	formerUnread bool
	// fenced has those in former that refuse earlier owners for good: they have answered this
	// owner, or ended.
	fenced map[voter]bool
	// possible has the sets that the store may have: the one that it is known to have had, then
	// those written since without an answer. It is empty until the former set is read.
	possible []electorate
	// changed tells that the workers may differ from the voters in the document, and updatedAt
	// when that was last looked at.
	changed   bool
	updatedAt time.Time
}

// votersInterval is the shortest time between two updates of the voters: hosts move into and out of
// large pools all the time, and any set of voters will do.
const votersInterval = 2 * time.Second

// The voters of even numbers would tie: the first one breaks the tie.
const (
	voterWeight = 2
	firstWeight = 3
)

// majorityWeight is the least weight of a majority of n voters.
func majorityWeight(n int) int { return n + 1 }

// isMajority reports whether the voters for which in returns true are a majority.
func isMajority(voters []voter, in func(voter) bool) bool {
	weight := 0
	for i, v := range voters {
		if in(v) {
			weight += weightOf(i)
		}
	}
	return len(voters) == 0 || weight >= majorityWeight(len(voters))
}

func weightOf(i int) int {
	if i == 0 {
		return firstWeight
	}
	return voterWeight
}

// latestMajority returns the latest time since which a majority of the voters has each been
// heard of; 0 if none has. at returns when a voter was last heard of, 0 for never.
func latestMajority(voters []voter, at func(voter) time.Duration) time.Duration {
	type vote struct {
		at     time.Duration
		weight int
	}
	votes := make([]vote, len(voters))
	for i, v := range voters {
		votes[i] = vote{at(v), weightOf(i)}
	}
	slices.SortFunc(votes, func(a, b vote) int { return cmp.Compare(b.at, a.at) })
	weight := 0
	for _, v := range votes {
		if weight += v.weight; weight >= majorityWeight(len(voters)) {
			return v.at
		}
	}
	return 0
}

// readVoters reads the voters of the earlier owners. Owners of earlier builds have stored none:
// all workers in their roster count.
func (o *Owner) readVoters(ctx context.Context) error {
	items, _, err := o.Store.List(ctx, o.voters.key)
	if err != nil {
		return err
	}
	e := &o.electorates
	e.former, e.formerUnread, o.voters.rev = nil, o.former.rosterUnread, 0
	for _, h := range o.hosts {
		if h.inherited {
			e.former = append(e.former, voter{h.id, h.startedMs})
		}
	}
	for _, m := range o.missing {
		e.former = append(e.former, voter{m.ID, m.StartedMs})
	}
	for _, it := range items {
		if it.Key != o.voters.key {
			continue
		}
		o.voters.rev, e.former, e.formerUnread = it.Rev, nil, false
		if err := json.Unmarshal(it.Value, &e.former); err != nil {
			e.former, e.formerUnread = nil, true
			o.Log.Error().Str("pool", o.Pool).Err(err).Msg("stored list of voters is not readable")
		}
	}
	slices.SortFunc(e.former, compareVoters)
	e.former = slices.Compact(e.former)
	e.fenced = make(map[voter]bool, len(e.former))
	e.possible = []electorate{{0, e.former}}
	return nil
}

// encodeVoters encodes the voters, and records that the store may have them from now on.
func (o *Owner) encodeVoters() []byte {
	e := &o.electorates
	list := e.former
	if !o.formerOver.IsZero() {
		list = o.answeredVoters()
	}
	if last := len(e.possible) - 1; last < 0 || !slices.Equal(e.possible[last].voters, list) {
		e.possible = append(e.possible, electorate{voters: list})
	}
	e.possible[len(e.possible)-1].version = o.voters.version
	b, err := json.Marshal(list)
	if err != nil {
		o.Log.Error().Err(err).Msg("encoding the list of voters failed")
	}
	return b
}

// answeredVoters returns the workers that have answered this owner and are not given up, in order.
func (o *Owner) answeredVoters() []voter {
	list := make([]voter, 0, len(o.hosts))
	for _, id := range slices.Sorted(maps.Keys(o.hosts)) {
		if h := o.hosts[id]; h.answered && !h.givenUp {
			list = append(list, voter{h.id, h.startedMs})
		}
	}
	return list
}

// storedVoters drops the sets of voters before the version that the store has acknowledged: its
// condition on the revision keeps earlier writes from being applied.
func (o *Owner) storedVoters(version int) {
	e := &o.electorates
	e.possible = slices.DeleteFunc(e.possible, func(s electorate) bool { return s.version < version })
}

// updateVoters queues the voters for writing if workers were added or have ended. Until no
// earlier owner is obeyed any more, theirs stay: a later owner counts on a majority of the same set.
func (o *Owner) updateVoters(now time.Time) {
	e := &o.electorates
	if !e.changed || o.formerOver.IsZero() || now.Sub(e.updatedAt) < votersInterval {
		return
	}
	e.changed, e.updatedAt = false, now
	if last := len(e.possible) - 1; o.voters.rev == 0 || last < 0 || !slices.Equal(e.possible[last].voters, o.answeredVoters()) {
		o.markChanged(o.voters)
	}
}

// noteFenced records that an incarnation refuses earlier owners for good.
func (o *Owner) noteFenced(id string, startedMs int64) {
	if e := &o.electorates; o.formerOver.IsZero() && e.fenced != nil {
		e.fenced[voter{id, startedMs}] = true
	}
}

// formerFenced reports whether a majority of the voters refuses the earlier owners.
func (o *Owner) formerFenced() bool {
	e := &o.electorates
	return !e.formerUnread && isMajority(e.former, func(v voter) bool { return e.fenced[v] })
}

// obeyedAt returns the latest time, by SinceBoot, since which a majority of the voters has each
// obeyed a call of this owner, in each set that the store may have; 0 if there is none, or if
// the store may have no set yet.
func (o *Owner) obeyedAt() time.Duration {
	if o.voters.rev == 0 {
		return 0
	}
	at := func(v voter) time.Duration {
		if h := o.hosts[v.ID]; h != nil && h.answered && h.startedMs == v.StartedMs {
			return h.obeyedAt
		}
		return 0
	}
	var oldest time.Duration
	for i, set := range o.electorates.possible {
		if t := latestMajority(set.voters, at); i == 0 || t < oldest {
			oldest = t
		}
	}
	return oldest
}
