package plat

import (
	"maps"
	"slices"
)

// MaxMalformed bounds the entries that a Malformed remembers.
const MaxMalformed = 1000

// Malformed remembers the entries of a list that can't be used, from one reading of the
// list to the next, so that an entry is logged once for each of its changes. The zero
// value is ready to use. It is not safe for concurrent use.
type Malformed struct {
	// last has the states of the entries in the last reading, next in this one, by key.
	last, next map[string]string
}

// Add records that an entry can't be used in its present state, such as its revision. It
// reports whether that is to be logged: not if the last reading had it in that state, nor
// if there are more than MaxMalformed.
func (m *Malformed) Add(key, state string) bool {
	if len(m.next) >= MaxMalformed {
		return false
	}
	if m.next == nil {
		m.next = map[string]string{}
	}
	m.next[key] = state
	before, known := m.last[key]
	return !known || before != state
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
