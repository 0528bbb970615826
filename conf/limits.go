package conf

import (
	"time"

	"shallotpaddle/table"
)

// Defaults of the settings under limits.
const (
	// DefaultDrainTimeout bounds how long a stopping process waits for work in flight.
	DefaultDrainTimeout = 30 * time.Second
	// DefaultShutdownDelay is how long a stopping process reports unready before it
	// closes its listeners.
	DefaultShutdownDelay = 2 * time.Second
	// DefaultRetryShare is the share of dispatches that may be retries, 0 to 1.
	DefaultRetryShare = 0.1
	// DefaultCommitInterval is the interval of the job ledger's group commit.
	DefaultCommitInterval = 50 * time.Millisecond
	// DefaultTaskCheckInterval is the interval at which a worker is asked for the state
	// of a task whose response is pending.
	DefaultTaskCheckInterval = 4 * time.Second
	// DefaultTickInterval is the interval of the control loop.
	DefaultTickInterval = 50 * time.Millisecond

	// minMemory, in MB, and minFiles leave the process room for the program and its
	// connections to the store and the workers.
	minMemory = 64
	minFiles  = 256
	// Upper bounds of the settings.
	queueDepthLimit = 1000000
	memoryLimit     = 1 << 20 // in MB
	filesLimit      = 1 << 24
)

// Limits has the limits and intervals of the process.
type Limits struct {
	// QueueDepth is the maximum number of requests and jobs that wait in one queue at
	// this entry, unless the queue itself declares a lower one.
	QueueDepth int `yaml:"depth"`
	// DrainTimeout bounds how long a stopping process waits for work in flight.
	DrainTimeout table.Duration `yaml:"drain"`
	// ShutdownDelay is how long a stopping process reports unready before it closes
	// its listeners, so that the load balancer notices; at most DrainTimeout.
	ShutdownDelay table.Duration `yaml:"notice"`
	// RetryShare is the share of dispatches that may be retries, 0 to 1.
	RetryShare float64 `yaml:"retry"`
	// CommitInterval is the interval of the job ledger's group commit.
	CommitInterval table.Duration `yaml:"commit"`
	// TaskCheckInterval is the interval at which a worker is asked for the state of a
	// task whose response is pending; a worker that is silent for six intervals is
	// given up.
	TaskCheckInterval table.Duration `yaml:"watch"`
	// TickInterval is the interval of the control loop.
	TickInterval table.Duration `yaml:"tick"`
	// MemoryMB, MaxFiles and MaxRequests bound what clients that are not trusted take. If
	// all of them are 0, clients are not bounded together.
	//
	// MemoryMB is the memory of the process; 0 is that of the machine.
	MemoryMB int `yaml:"memory"`
	// MaxFiles is the largest number of open descriptors; 0 is the limit of the process.
	MaxFiles int `yaml:"files"`
	// MaxRequests is the largest number of callers' requests in progress; 0 is the
	// number of callers' connections.
	MaxRequests int `yaml:"requests"`
}

// BoundsClients tells whether what clients take together is bounded.
func (l *Limits) BoundsClients() bool { return l.MemoryMB > 0 || l.MaxFiles > 0 || l.MaxRequests > 0 }

func defaultLimits() Limits {
	return Limits{
		QueueDepth: table.DefaultDepth, RetryShare: DefaultRetryShare,
		DrainTimeout: table.Duration(DefaultDrainTimeout), ShutdownDelay: table.Duration(DefaultShutdownDelay),
		CommitInterval: table.Duration(DefaultCommitInterval), TaskCheckInterval: table.Duration(DefaultTaskCheckInterval),
		TickInterval: table.Duration(DefaultTickInterval),
	}
}

func (l *Limits) check(c *checker) {
	c.checkInt("limits.depth", l.QueueDepth, 1, queueDepthLimit, "items")
	c.checkDuration("limits.drain", l.DrainTimeout, 0, time.Hour)
	c.checkDuration("limits.notice", l.ShutdownDelay, 0, time.Minute)
	if l.ShutdownDelay > l.DrainTimeout {
		c.addFault("limits.notice", "%s is above limits.drain, %s", l.ShutdownDelay.Std(), l.DrainTimeout.Std())
	}
	if !(l.RetryShare >= 0 && l.RetryShare <= 1) {
		c.addFault("limits.retry", "%g is not between 0 and 1", l.RetryShare)
	}
	c.checkDuration("limits.commit", l.CommitInterval, time.Millisecond, time.Second)
	c.checkDuration("limits.watch", l.TaskCheckInterval, 100*time.Millisecond, time.Minute)
	c.checkDuration("limits.tick", l.TickInterval, time.Millisecond, time.Second)
	for _, n := range []struct {
		key          string
		v, low, high int
		unit         string
	}{
		{"limits.memory", l.MemoryMB, minMemory, memoryLimit, "MB"},
		{"limits.files", l.MaxFiles, minFiles, filesLimit, "descriptors"},
		{"limits.requests", l.MaxRequests, 1, connsLimit, "requests"},
	} {
		if n.v != 0 { // 0 is the default
			c.checkInt(n.key, n.v, n.low, n.high, n.unit)
		}
	}
}
