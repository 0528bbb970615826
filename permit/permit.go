package permit

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"shallotpaddle/table"
)

var (
	// ErrBudget is returned when a planned outage would exceed the availability
	// budget, or the budget less its reserve unless the outage is a repair.
	ErrBudget = errors.New("availability budget used up")
	// ErrRack is returned for a planned outage while another rack of the pool
	// has failed.
	ErrRack = errors.New("another rack of the pool has failed")
	// ErrOut is returned when another operation has taken the host out of
	// service.
	ErrOut = errors.New("host already out of service")
	// ErrNotOut is returned when the operation has no outage of the host.
	ErrNotOut = errors.New("host not out of service")
	// ErrPhase is returned when the step does not follow from the outage's
	// phase.
	ErrPhase = errors.New("step not possible in this phase")
	// ErrEnded is returned when the operation's outage has ended already.
	ErrEnded = errors.New("operation has ended")
	// ErrLeft is returned when the host has left the pool since the caller read
	// the documents.
	ErrLeft = errors.New("host has left the pool")
)

const (
	// RackFailureThreshold is the number of failed hosts of one pool in one rack
	// from which on the rack counts as failed.
	RackFailureThreshold = 2
	// LeftRetention is how long the document lists a host that has left the
	// pool. An entry paused for longer reads every document again before it acts.
	LeftRetention = 24 * time.Hour
	// MaxEnded is the number of ended operations that the document lists.
	MaxEnded = 32
)

// Outage is the record of one host out of service.
type Outage struct {
	Reason table.Reason `json:"why"`
	Phase  table.Phase  `json:"phase"`
	// Since is the time of the record, by the clock of the entry that made it.
	Since time.Time `json:"since"`
	// BootID is the worker's boot id when the outage was recorded.
	BootID string `json:"boot,omitempty"`
	// OpID is the id of the operation; the order to reboot carries it, too.
	OpID string `json:"by"`
	Rack string `json:"rack,omitempty"`
	DC   string `json:"dc,omitempty"`
	// Epoch is the host's placement epoch as the requesting entry saw it.
	Epoch int64 `json:"epoch,omitempty"`
}

// Planned tells whether the outage was decided by the system or an operator, and
// is not a failure.
func (o *Outage) Planned() bool { return o.Reason != table.Failed }

// Departure records that a host has left the pool.
type Departure struct {
	// Epoch is the host's placement epoch before it left; requests that are based on
	// it or on an earlier one are refused.
	Epoch int64     `json:"epoch"`
	At    time.Time `json:"at"`
}

// Doc is the outage document of one pool.
type Doc struct {
	// ConfigRev is the configuration revision of Budget and Reserve; it never falls.
	ConfigRev int64 `json:"conf"`
	Budget    int   `json:"budget"`
	Reserve   int   `json:"reserve,omitempty"`
	// Outages holds the outages by host. A planned outage is granted only if
	// len(Outages) is at most Budget afterwards.
	Outages map[string]Outage `json:"out,omitempty"`
	// Left holds the hosts that left the pool within LeftRetention, by name.
	Left map[string]Departure `json:"left,omitempty"`
	// Ended holds the ids of the last MaxEnded operations that ended, oldest
	// first, so that a late repeat of one does not begin it again.
	Ended []string `json:"ended,omitempty"`
}

// Request asks to take a host out of service or to record its failure. It holds
// what the caller knew of the host and the configuration.
type Request struct {
	Host   string
	Rack   string
	DC     string
	BootID string
	Reason table.Reason
	// OpID is the id of the operation; a request with the same id is a repeat.
	OpID string
	// Epoch is the host's placement epoch in the caller's view.
	Epoch int64
	Now   time.Time
	// ConfigRev, Budget and Reserve are the caller's configuration.
	ConfigRev int64
	Budget    int
	Reserve   int
}

// Decode reads a document; an empty body is a document without outages.
func Decode(body []byte) (*Doc, error) {
	d := &Doc{}
	if len(body) > 0 {
		if err := json.Unmarshal(body, d); err != nil {
			return nil, fmt.Errorf("outage document: %w", err)
		}
	}
	if d.Outages == nil {
		d.Outages = map[string]Outage{}
	}
	if d.Left == nil {
		d.Left = map[string]Departure{}
	}
	return d, nil
}

// Encode writes the document; equal documents have equal bodies.
func (d *Doc) Encode() ([]byte, error) {
	body, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("outage document: %w", err)
	}
	return body, nil
}

// outage returns the record of the requested outage.
func (r *Request) outage(reason table.Reason, phase table.Phase) Outage {
	return Outage{
		Reason: reason, Phase: phase, Since: r.Now, BootID: r.BootID, OpID: r.OpID,
		Rack: r.Rack, DC: r.DC, Epoch: r.Epoch,
	}
}

// Apply decodes a body, applies a rule and encodes the result. It returns the
// rule's error with the body unchanged.
func Apply(body []byte, rule func(*Doc) error) ([]byte, error) {
	d, err := Decode(body)
	if err != nil {
		return body, err
	}
	if err := rule(d); err != nil {
		return body, err
	}
	return d.Encode()
}
