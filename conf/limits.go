package conf

import (
	"time"

	"shallotpaddle/table"
)

// Limits of the process, used when the settings name none.
const (
	// DefaultDrainTimeout is the longest wait at a stop for work in flight.
	DefaultDrainTimeout = 30 * time.Second
	// DefaultShutdownDelay is the time between unreadiness and closing the listeners.
	DefaultShutdownDelay = 2 * time.Second
	// DefaultRetryShare is the share of dispatches that may be retries.
	DefaultRetryShare = 0.1
	// DefaultCommitInterval is the interval of the job ledger's group commit.
	DefaultCommitInterval = 50 * time.Millisecond
	// DefaultTaskCheckInterval is the interval at which a worker is asked about a task whose
	// answer is waited for.
	DefaultTaskCheckInterval = 5 * time.Second
	// DefaultTickInterval is the interval of the control loop.
	DefaultTickInterval = 50 * time.Millisecond

	maxDepth = 1000000
)

// Limits bounds what the process takes on.
type Limits struct {
	// QueueDepth is the most requests and jobs that wait in one queue at this entry,
	// unless the queue itself declares fewer.
	QueueDepth int `yaml:"depth"`
	// DrainTimeout is the longest wait at a stop for work in flight.
	DrainTimeout table.Duration `yaml:"drain"`
	// ShutdownDelay is the time for which a stopping process answers as not ready
	// before it closes its listeners, so that the balancer can see it; at most
	// Drain.
	ShutdownDelay table.Duration `yaml:"notice"`
	// RetryShare is the share of dispatches that may be retries, 0 to 1.
	RetryShare float64 `yaml:"retry"`
	// CommitInterval is the interval of the job ledger's group commit.
	CommitInterval table.Duration `yaml:"commit"`
	// TaskCheckInterval is the interval at which a worker is asked about a task whose answer is
	// waited for; one that is silent for six of them is given up.
	TaskCheckInterval table.Duration `yaml:"watch"`
	// TickInterval is the interval of the control loop.
	TickInterval table.Duration `yaml:"tick"`
}

func defaultLimits() Limits {
	return Limits{
		QueueDepth: table.DefaultDepth, RetryShare: DefaultRetryShare,
		DrainTimeout: table.Duration(DefaultDrainTimeout), ShutdownDelay: table.Duration(DefaultShutdownDelay),
		CommitInterval: table.Duration(DefaultCommitInterval), TaskCheckInterval: table.Duration(DefaultTaskCheckInterval), TickInterval: table.Duration(DefaultTickInterval),
	}
}

func (l *Limits) check(c *checker) {
	c.checkInt("limits.depth", l.QueueDepth, 1, maxDepth, "items")
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
}
