package fleet

import (
	"encoding/json"
	"errors"

	"shallotpaddle/owner"
)

// Kind is the kind of an order.
type Kind string

// Kinds of orders for hosts.
const (
	Move     Kind = "move"
	Maintain Kind = "maintain"
)

// Task is an order for a host, from the decision until it is carried out.
type Task struct {
	Kind Kind `json:"kind"`
	// ID is unique among all tasks. The pool's owner reports it once the host is
	// empty.
	ID   int64  `json:"id"`
	Host string `json:"host"`
	// Worker is the ID of the worker to be emptied, which ends with the order;
	// empty if the host has none.
	Worker string `json:"worker,omitempty"`
	From   string `json:"from"`
	To     string `json:"to,omitempty"`
	Wave   string `json:"wave,omitempty"`
	// Ordered is set before the order is first sent.
	Ordered bool `json:"ordered,omitempty"`
	// Urgent tells that the wave ends soon: the worker's runs are stopped.
	Urgent bool `json:"urgent,omitempty"`
}

// Plan has the tasks that are under way and the progress of waves. It is stored
// as JSON under PlanKey.
type Plan struct {
	// NextID is the ID that the next task gets.
	NextID int64 `json:"next"`
	Tasks  []Task
	// MaintainedByWave has the hosts whose maintenance has begun, by wave.
	MaintainedByWave map[string][]string `json:"done,omitempty"`
	// DueWorkers has the workers whose hosts are still to be maintained: long-running
	// work is better placed elsewhere.
	DueWorkers []string `json:"due,omitempty"`
	// EndedWorkers has the workers that an order has ended, the latest last.
	EndedWorkers []string `json:"ended,omitempty"`
	// Recent has the hosts to which an order may have been sent within the last
	// QuietPeriod and that have no task any more.
	Recent []string `json:"recent,omitempty"`
	// WaveAges has the time in milliseconds since each open wave was requested, as of the
	// writing of the plan, by number.
	WaveAges map[string]int64 `json:"ages,omitempty"`
	// CompletedWaves has the waves that were reported as completed, by number.
	CompletedWaves map[string]bool `json:"over,omitempty"`
}

var errNextID = errors.New("number of the next task is out of range")

// decodePlan decodes a stored plan.
func decodePlan(value []byte, p *Plan) error {
	if err := json.Unmarshal(value, p); err != nil {
		return err
	}
	if p.NextID < 1 || p.NextID > maxTaskID {
		return errNextID
	}
	return nil
}

// maxTaskID bounds the numbers of tasks, which count from 1.
const maxTaskID = 1 << 53

// ForPool returns what the plan, at revision rev, asks of a pool's owner.
func (p *Plan) ForPool(pool string, rev int64) owner.PoolPlan {
	w := owner.PoolPlan{Release: map[string]int64{}, Stop: map[string]bool{}, StopAll: map[string]bool{}, Due: map[string]bool{}, Ended: map[string]bool{}, Rev: rev}
	for _, t := range p.Tasks {
		if t.From == pool && t.Worker != "" {
			w.Release[t.Worker] = t.ID
			w.Stop[t.Worker] = t.Kind == Maintain
			w.StopAll[t.Worker] = t.Urgent
		}
		if t.Ordered && (t.To == pool || t.To == "" && t.From == pool) {
			w.Incoming++
		}
	}
	for _, id := range p.EndedWorkers {
		w.Ended[id] = true
	}
	for _, d := range p.DueWorkers {
		w.Due[d] = true
	}
	return w
}

// PlanPrefix is the prefix to watch for the plan, PlanKey the plan's key.
const (
	PlanPrefix = "plan/"
	PlanKey    = PlanPrefix + "fleet"
)
