package endpt

import "sync"

// limiter bounds the dispatches in flight to each worker. A dispatch above
// the limit fails at once: waiting for a connection, it would go to a worker
// that was chosen on an outdated state of the fleet.
type limiter struct {
	limit int // dispatches in flight to one worker

	mu       sync.Mutex
	inFlight map[string]int // by the worker's address
}

func newLimiter(limit int) *limiter { return &limiter{limit: limit, inFlight: map[string]int{}} }

// acquire counts another dispatch to the worker, or returns false at the limit.
func (l *limiter) acquire(addr string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight[addr] >= l.limit {
		return false
	}
	l.inFlight[addr]++
	return true
}

func (l *limiter) release(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[addr]--
	if l.inFlight[addr] == 0 {
		delete(l.inFlight, addr)
	}
}
