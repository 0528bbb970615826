package plat

import (
	"maps"
	"slices"
)

// Limits of what a Malformed remembers.
const (
	MaxMalformed = 1000 // entries
	maxReason    = 400  // bytes of a reason
)

// Malformed remembers the entries of a list that can't be used, from one reading of the
// list to the next, so that an entry is logged once for each reason. Its revision changes
// with each heartbeat. The zero value is ready to use. It is not safe for concurrent use.
type Malformed struct {
	// last has the reasons of the last reading, next those of this one, by key.
	last, next map[string]string
}

// Add records that an entry can't be used for a reason. It reports whether that is to be
// logged: not if it was so in the last reading, nor if there are more than MaxMalformed.
func (m *Malformed) Add(key, reason string) bool {
	if len(m.next) >= MaxMalformed {
		return false
	}
	if m.next == nil {
		m.next = map[string]string{}
	}
	reason = reason[:min(len(reason), maxReason)]
	m.next[key] = reason
	before, known := m.last[key]
	return !known || before != reason
}

// EndReading ends the reading of the list. It returns the keys of the entries that were
// recorded in the last reading and not in this one, in order.
func (m *Malformed) EndReading() []string {
	var gone []string
	for _, key := range slices.Sorted(maps.Keys(m.last)) {
		if _, ok := m.next[key]; !ok {
			gone = append(gone, key)
		}
	}
	m.last, m.next = m.next, nil
	return gone
}
