package fleet

import "shallotpaddle/owner"

// Kind is what is to be done with a host.
type Kind string

// Kinds of orders on hosts.
const (
	Move     Kind = "move"
	Maintain Kind = "maintain"
)

// Task is an order on a host, from the decision until it is carried out.
type Task struct {
	Kind Kind `json:"kind"`
	// ID is unique among all tasks; an owner that has emptied the host says so
	// with it.
	ID   int64  `json:"id"`
	Host string `json:"host"`
	// Worker is the life of the host that is to be emptied; empty for none.
	Worker string `json:"worker,omitempty"`
	From   string `json:"from"`
	To     string `json:"to,omitempty"`
	Wave   string `json:"wave,omitempty"`
	// Ordered tells that the order may have been given.
	Ordered bool `json:"ordered,omitempty"`
}

// Plan is what is under way with hosts. It is a document.
type Plan struct {
	// Next is the ID of the next task.
	Next  int64 `json:"next"`
	Tasks []Task
	// Done has the hosts of each wave whose maintenance has begun.
	Done map[string][]string `json:"done,omitempty"`
	// Due has the workers whose maintenance is still to come: lasting work is
	// better placed elsewhere.
	Due []string `json:"due,omitempty"`
	// Ended has the workers whose life an order has ended, the latest last.
	Ended []string `json:"ended,omitempty"`
	// Over has the waves that were reported as completed.
	Over map[string]bool `json:"over,omitempty"`
}

// Wishes returns what the plan of a revision wants of a pool's workers.
func (p *Plan) Wishes(pool string, rev int64) owner.PoolPlan {
	w := owner.PoolPlan{Release: map[string]int64{}, Due: map[string]bool{}, Ended: map[string]bool{}, Rev: rev}
	for _, t := range p.Tasks {
		if t.From == pool && t.Worker != "" {
			w.Release[t.Worker] = t.ID
		}
		if t.Ordered && (t.To == pool || t.To == "" && t.From == pool) {
			w.Incoming++
		}
	}
	for _, id := range p.Ended {
		w.Ended[id] = true
	}
	for _, d := range p.Due {
		w.Due[d] = true
	}
	return w
}

// PlanPrefix is the prefix of the plan's key, which PlanKey is.
const (
	PlanPrefix = "plan/"
	PlanKey    = PlanPrefix + "fleet"
)
