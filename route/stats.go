package route

import "time"

// PoolStats is a pool's work at this entry.
type PoolStats struct {
	// Waiting is the number of waiting items, Demand the slots they want.
	Waiting, Demand int
	// Running is the number of this entry's dispatches in flight.
	Running int
}

// Stats returns the work of each pool at this entry.
func (r *Router) Stats() map[string]PoolStats {
	out := map[string]PoolStats{}
	r.each(func(name string, p *pool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		s := PoolStats{Waiting: p.queue.Len(), Demand: p.queue.Demand()}
		for _, n := range p.running {
			s.Running += n
		}
		out[name] = s
	})
	return out
}

// RunningOn returns the number of dispatches in flight on each host of a list.
func (r *Router) RunningOn(hosts []string) map[string]int {
	out := map[string]int{}
	r.each(func(_ string, p *pool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, h := range hosts {
			if n := p.running[h]; n > 0 {
				out[h] += n
			}
		}
	})
	return out
}

// CollectOutcomes calls f with the task ends of each host since the last call.
func (r *Router) CollectOutcomes(f func(host string, good, bad float64)) {
	r.each(func(_ string, p *pool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		for h, e := range p.ends {
			f(h, e.good, e.bad)
		}
		clear(p.ends)
	})
}

// PredictDelay predicts how long a new item in the middle of the ranking would wait
// in a pool.
func (r *Router) PredictDelay(pool string) time.Duration {
	p := r.pool(pool)
	if p == nil {
		return 0
	}
	return p.delay(r.clock.Now(), middleRank)
}

// middleRank is the rank for which a pool's queue delay is predicted.
const middleRank = 4
