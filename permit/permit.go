package permit

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"shallotpaddle/table"
)

var (
	// ErrBudget is returned when an outage would pass the availability budget,
	// or the budget less its reserve for a planned one.
	ErrBudget = errors.New("availability budget used up")
	// ErrRack is returned for a planned outage while another rack of the pool
	// has failed.
	ErrRack = errors.New("another rack of the pool has failed")
	// ErrOut is returned when the host is out of service under another
	// operation.
	ErrOut = errors.New("host already out of service")
	// ErrNotOut is returned when the host has no outage, or none of that
	// operation.
	ErrNotOut = errors.New("host not out of service")
	// ErrPhase is returned when the outage has come too far, or not far
	// enough, for the step.
	ErrPhase = errors.New("step not possible in this phase")
	// ErrEnded is returned when the operation was carried out and has ended.
	ErrEnded = errors.New("operation has ended")
	// ErrLeft is returned when the host has left the pool since the caller's
	// view of it.
	ErrLeft = errors.New("host has left the pool")
)

const (
	// RackFailureThreshold is the number of failed hosts of one pool in one rack that
	// counts as the failure of the rack.
	RackFailureThreshold = 2
	// LeftRetention is the time for which a host that left the pool is remembered.
	// An entry paused for longer reads every document again before it acts.
	LeftRetention = 24 * time.Hour
	// MaxEnded is the number of ended operations that are remembered.
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
	// OpID is the id of the operation, also used for the order to reboot.
	OpID string `json:"by"`
	Rack string `json:"rack,omitempty"`
	DC   string `json:"dc,omitempty"`
	// Epoch is the host's placement epoch in the view that the record rests on.
	Epoch int64 `json:"epoch,omitempty"`
}

// Planned tells whether the outage is the system's or an operator's decision.
func (o *Outage) Planned() bool { return o.Reason != table.Failed }

// Departure records that a host has left the pool.
type Departure struct {
	Epoch int64     `json:"epoch"`
	At    time.Time `json:"at"`
}

// Doc is the outage document of one pool.
type Doc struct {
	// ConfigRev is the configuration revision of Budget and Reserve; it never falls.
	ConfigRev int64 `json:"conf"`
	Budget    int   `json:"budget"`
	Reserve   int   `json:"reserve,omitempty"`
	// Outages holds the hosts out of service by name. Planned outages are granted
	// only while len(Outages) stays at or below Budget.
	Outages map[string]Outage `json:"out,omitempty"`
	// Left holds the hosts that left the pool lately.
	Left map[string]Departure `json:"left,omitempty"`
	// Ended holds the ids of the last EndedKept operations that ended, oldest
	// first, so that a late repeat of one does not begin it again.
	Ended []string `json:"ended,omitempty"`
}

// Request names a host, the operation and the caller's view.
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

func (r *Request) outage(why table.Reason, phase table.Phase) Outage {
	return Outage{
		Reason: why, Phase: phase, Since: r.Now, BootID: r.BootID, OpID: r.OpID,
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
