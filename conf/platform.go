package conf

import (
	"net/url"
	"time"

	"shallotpaddle/table"
)

// Defaults of the settings under platform.
const (
	// DefaultWritesPerSecond is this process's share of the store's write rate.
	DefaultWritesPerSecond = 20.0
	// DefaultReadsPerSecond is this process's share of the store's read rate; a watch
	// that waits for a change counts as one read.
	DefaultReadsPerSecond = 100.0
	// DefaultLeaseTTL is the time after which a lease that is not renewed expires.
	DefaultLeaseTTL = 10 * time.Second
	// DefaultRequestTimeout bounds the wait for a response of the platform.
	DefaultRequestTimeout = 2 * time.Second

	maxOpsPerSecond = 100000 // upper bound of both rates
)

// Platform has the platform's address and the rates and times of its use.
type Platform struct {
	// URL is http or https, without a path.
	URL string `yaml:"url"`
	// WritesPerSecond and ReadsPerSecond are this process's share of the store's
	// write and read rates.
	WritesPerSecond float64 `yaml:"writes"`
	ReadsPerSecond  float64 `yaml:"reads"`
	// LeaseTTL is the time after which a lease that is not renewed expires.
	LeaseTTL table.Duration `yaml:"ttl"`
	// RequestTimeout bounds the wait for a response; it is shorter than LeaseTTL.
	RequestTimeout table.Duration `yaml:"timeout"`
}

func defaultPlatform() Platform {
	return Platform{
		WritesPerSecond: DefaultWritesPerSecond, ReadsPerSecond: DefaultReadsPerSecond,
		LeaseTTL: table.Duration(DefaultLeaseTTL), RequestTimeout: table.Duration(DefaultRequestTimeout),
	}
}

func (p *Platform) check(c *checker) {
	u, err := url.Parse(p.URL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || len(u.Path) > 1 {
		c.addFault("platform.url", "%q is not http://HOST:PORT or https://HOST:PORT", p.URL)
	}
	c.checkRate("platform.writes", p.WritesPerSecond)
	c.checkRate("platform.reads", p.ReadsPerSecond)
	c.checkDuration("platform.ttl", p.LeaseTTL, 100*time.Millisecond, 10*time.Minute)
	c.checkDuration("platform.timeout", p.RequestTimeout, 10*time.Millisecond, time.Minute)
	if p.RequestTimeout >= p.LeaseTTL {
		c.addFault("platform.timeout", "%s is not below platform.ttl, %s", p.RequestTimeout.Std(), p.LeaseTTL.Std())
	}
}

func (c *checker) checkRate(key string, v float64) {
	// A negated comparison also catches NaN.
	if !(v >= 1 && v <= maxOpsPerSecond) {
		c.addFault(key, "%g is not between 1 and %d a second", v, maxOpsPerSecond)
	}
}
