package owner

import "strings"

// JobPrefix is the prefix of the jobs accepted for a pool.
func JobPrefix(pool string) string { return "job/" + pool + "/" }

// JobKey is where an accepted job is kept.
func JobKey(pool, id string) string { return JobPrefix(pool) + id }

// CancelKey is where the cancellation of a job is kept.
func CancelKey(pool, id string) string { return JobKey(pool, id) + cancelSuffix }

// StateKey is where the progress of a job is kept.
func StateKey(pool, id string) string { return statePrefix(pool) + id }

// DigestPrefix is the prefix of the digests.
const DigestPrefix = "digest/"

// DigestKey is where the digest of a pool is kept.
func DigestKey(pool string) string { return DigestPrefix + pool }

const cancelSuffix = "/cancel"

func statePrefix(pool string) string { return "state/" + pool + "/" }

func rosterKey(pool string) string { return "pool/" + pool }

// splitKey returns the job of a key under JobPrefix, and whether it is its
// cancellation.
func splitKey(pool, key string) (id string, cancel bool) {
	return strings.CutSuffix(strings.TrimPrefix(key, JobPrefix(pool)), cancelSuffix)
}
