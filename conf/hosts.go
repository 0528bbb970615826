package conf

import (
	"time"

	"shallotpaddle/table"
)

// Defaults of the settings under hosts.
const (
	// DefaultFailAfter is how long a host that the platform lists as live may leave
	// probes unanswered before it counts as failed.
	DefaultFailAfter = 10 * time.Second
	// DefaultUnlistedFailAfter is the same for a host that the platform no longer
	// lists as live.
	DefaultUnlistedFailAfter = 3 * time.Second
	// DefaultRecoveryTime is how long a failed host must answer probes before its
	// probation begins.
	DefaultRecoveryTime = 5 * time.Second
	// DefaultProbationTime is how long a recovered host has a reduced number of slots.
	DefaultProbationTime = time.Minute
	// DefaultLendAfter is how long a pool must be late without a break before a host
	// is lent to it.
	DefaultLendAfter = 30 * time.Second
)

// Hosts has the times that govern failure, recovery and lending of hosts. All
// entries of one installation should have the same.
type Hosts struct {
	// FailAfter is how long a host may leave probes unanswered before it counts as
	// failed, while the platform lists it as live; UnlistedFailAfter applies while
	// the platform does not.
	FailAfter         table.Duration `yaml:"fail"`
	UnlistedFailAfter table.Duration `yaml:"gone"`
	// RecoveryTime is how long a failed host must answer probes before its probation
	// begins.
	RecoveryTime table.Duration `yaml:"return"`
	// ProbationTime is how long a recovered host has a reduced number of slots.
	ProbationTime table.Duration `yaml:"probation"`
	// LendAfter is how long a pool must be late without a break before a host is lent
	// to it.
	LendAfter table.Duration `yaml:"lend"`
}

func defaultHosts() Hosts {
	return Hosts{
		FailAfter: table.Duration(DefaultFailAfter), UnlistedFailAfter: table.Duration(DefaultUnlistedFailAfter),
		RecoveryTime: table.Duration(DefaultRecoveryTime), ProbationTime: table.Duration(DefaultProbationTime),
		LendAfter: table.Duration(DefaultLendAfter),
	}
}

func (h *Hosts) check(c *checker) {
	c.checkDuration("hosts.fail", h.FailAfter, time.Second, time.Hour)
	c.checkDuration("hosts.gone", h.UnlistedFailAfter, time.Second, time.Hour)
	c.checkDuration("hosts.return", h.RecoveryTime, time.Second, time.Hour)
	c.checkDuration("hosts.probation", h.ProbationTime, time.Second, 24*time.Hour)
	c.checkDuration("hosts.lend", h.LendAfter, time.Second, 24*time.Hour)
}
