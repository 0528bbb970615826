package fair

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// allowanceBurst is for how long an allowance can be saved up: an owner publishes at least once in
// it that an entitlement is spent.
const allowanceBurst = time.Second

// Allowance lets an entry take as many jobs for entitled as a workspace may be entitled to, although
// the owner has published that its entitlement is spent: since then it has grown by its weight. The
// zero value is ready. It is not safe for concurrent use.
type Allowance struct {
	buckets map[allowanceKey]*rate.Limiter
}

type allowanceKey struct{ pool, workspace string }

// Take takes a job into account, and reports whether it may be within the entitlement.
func (a *Allowance) Take(pool, workspace string, weight float64, now time.Time) bool {
	if weight <= 0 {
		return true
	}
	if a.buckets == nil {
		a.buckets = map[allowanceKey]*rate.Limiter{}
	}
	key := allowanceKey{pool, workspace}
	b := a.buckets[key]
	if b == nil || b.Limit() != rate.Limit(weight) {
		b = rate.NewLimiter(rate.Limit(weight), int(max(1, math.Ceil(weight*allowanceBurst.Seconds()))))
		a.buckets[key] = b
	}
	return b.AllowN(now, 1)
}

// Forget drops the allowances that are saved up in full.
func (a *Allowance) Forget(now time.Time) {
	for key, b := range a.buckets {
		if b.TokensAt(now) >= float64(b.Burst()) {
			delete(a.buckets, key)
		}
	}
}
