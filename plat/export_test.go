package plat

// RefuseAtOnce makes calls above the rates fail at once instead of waiting.
func (c *Client) RefuseAtOnce() { c.guard.limiter.maxWait = 0 }

// SetRandom replaces the source of jitter.
func (c *Client) SetRandom(f func() float64) { c.guard.breaker.random = f }
