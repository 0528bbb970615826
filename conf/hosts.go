package conf

import (
	"time"

	"shallotpaddle/table"
)

// Times of the care for hosts, used when the settings name none.
const (
	// DefaultFailAfter is how long a listed host may leave probes unanswered.
	DefaultFailAfter = 10 * time.Second
	// DefaultUnlistedFailAfter is the same for a host that the platform no longer lists.
	DefaultUnlistedFailAfter = 3 * time.Second
	// DefaultRecoveryTime is how long a failed host must answer before its probation.
	DefaultRecoveryTime = 5 * time.Second
	// DefaultProbationTime is how long a returned host keeps few slots.
	DefaultProbationTime = time.Minute
	// DefaultLendAfter is how long a pool must be late before a host is lent to it.
	DefaultLendAfter = 30 * time.Second
)

// Hosts has the times of the care for hosts. All entries of one installation
// should have the same.
type Hosts struct {
	// FailAfter and Gone are how long a host may leave probes unanswered before it
	// counts as failed, while the platform lists it as live and while not.
	FailAfter         table.Duration `yaml:"fail"`
	UnlistedFailAfter table.Duration `yaml:"gone"`
	// RecoveryTime is how long a failed host must answer before its probation.
	RecoveryTime table.Duration `yaml:"return"`
	// ProbationTime is how long a returned host keeps few slots.
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
