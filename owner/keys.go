package owner

import "strings"

// JobPrefix returns the prefix of the keys of jobs and cancellations of a pool.
func JobPrefix(pool string) string { return "job/" + pool + "/" }

// JobKey returns the key of an accepted job.
func JobKey(pool, id string) string { return JobPrefix(pool) + id }

// cancelPrefix returns the prefix of the keys of cancellations of a pool. They stand together, as a
// list of them is short where one of all jobs is long.
func cancelPrefix(pool string) string { return JobPrefix(pool) + cancelDir }

// CancelKey returns the key of a job's cancellation.
func CancelKey(pool, id string) string { return cancelPrefix(pool) + id }

// FormerCancelKey returns the key of a job's cancellation by which owners of earlier builds hear of
// it.
func FormerCancelKey(pool, id string) string { return JobKey(pool, id) + cancelSuffix }

// StateKey returns the key of a job's progress.
func StateKey(pool, id string) string { return statePrefix(pool) + id }

// DigestPrefix is the prefix of the keys of all pools' digests.
const DigestPrefix = "digest/"

// DigestKey returns the key of a pool's digest.
func DigestKey(pool string) string { return DigestPrefix + pool }

const (
	cancelDir    = "cancel/"
	cancelSuffix = "/cancel"
)

func statePrefix(pool string) string { return "state/" + pool + "/" }

// RosterPrefix is the prefix of the keys of all pools' rosters.
const RosterPrefix = "pool/"

func rosterKey(pool string) string { return RosterPrefix + pool }

func votersKey(pool string) string { return "voters/" + pool }

// splitKey returns the job ID in a key under JobPrefix, and whether the key is
// that of the job's cancellation.
func splitKey(pool, key string) (id string, cancel bool) {
	name := strings.TrimPrefix(key, JobPrefix(pool))
	if id, cancel = strings.CutPrefix(name, cancelDir); cancel {
		return id, true
	}
	return strings.CutSuffix(name, cancelSuffix)
}
