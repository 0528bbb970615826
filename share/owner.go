// Package share divides the slots of a pool's hosts among the entries without a
// consensus protocol. A worker refuses a task when all its slots are in use, so
// no choice made here can overload a host; a wrong choice only costs a refusal.
package share

import "github.com/cespare/xxhash/v2"

// Owner returns the entry that should manage a pool: the one with the highest
// rendezvous hash among the live entries, or "" if there are none. When an
// entry joins or leaves, only its own pools change their owner.
func Owner(pool string, entries []string) string {
	best, bestWeight := "", uint64(0)
	for _, e := range entries {
		w := weight(pool, e)
		if best == "" || w > bestWeight || (w == bestWeight && e < best) {
			best, bestWeight = e, w
		}
	}
	return best
}

// weight returns the rendezvous hash of a pool and an entry.
func weight(pool, entry string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(pool)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(entry)
	return d.Sum64()
}
