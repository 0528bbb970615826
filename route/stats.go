package route

import "time"

// PoolStats is the amount of work of a pool at this entry.
type PoolStats struct {
	// Waiting is the number of waiting items, Demand the slots they need.
	Waiting, Demand int
	// Running is the number of this entry's dispatches in flight.
	Running int
}

// Stats returns the amount of work at this entry by pool.
func (r *Router) Stats() map[string]PoolStats {
	stats := map[string]PoolStats{}
	r.eachPool(func(name string, p *pool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		s := PoolStats{Waiting: p.queue.Len(), Demand: p.queue.Demand()}
		for _, n := range p.running {
			s.Running += n
		}
		stats[name] = s
	})
	return stats
}

// RunningOn returns the number of dispatches in flight by host, for those of
// the given hosts that have any.
func (r *Router) RunningOn(hosts []string) map[string]int {
	running := map[string]int{}
	r.eachPool(func(_ string, p *pool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, h := range hosts {
			if n := p.running[h]; n > 0 {
				running[h] += n
			}
		}
	})
	return running
}

// CollectOutcomes calls f with the number of tasks that succeeded and failed on
// each host since the last call.
func (r *Router) CollectOutcomes(f func(host string, succeeded, failed float64)) {
	r.eachPool(func(_ string, p *pool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		for h, counts := range p.outcomes {
			f(h, counts.succeeded, counts.failed)
		}
		clear(p.outcomes)
	})
}

// PredictDelay returns how long a new item of middle rank and without a due
// time is predicted to wait in a pool; 0 if the pool is unknown.
func (r *Router) PredictDelay(pool string) time.Duration {
	p := r.pool(pool)
	if p == nil {
		return 0
	}
	return p.predictDelay(r.clock.Now(), middleRank)
}

// middleRank is the rank of the item for which PredictDelay predicts the delay.
const middleRank = 4
