// Package demand generates work of the kind that the product's users have:
// queues that take turns in asking for more than their pool holds, daily
// peaks, night work with a morning due time, and declared run times that are
// several times off. Every choice follows from a seed.
package demand

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Turn-taking of queues: each asks BurstFactor times its mean for BurstDuration, and
// QuietFactor times its mean until its next turn.
const (
	BurstFactor   = 5.0
	QuietFactor   = 1.0 / 20
	BurstDuration = 6 * time.Second
)

// dutyCycle is the share of the time that a queue is at its peak, so that its
// mean comes out as declared.
const dutyCycle = (1 - QuietFactor) / (BurstFactor - QuietFactor)

// Fleet is one user's demand.
type Fleet struct {
	Name      string
	Zone      string // time zone of the users
	Pools     []Pool
	Customers []Customer
}

// Pool is the demand on one pool.
type Pool struct {
	Name   string
	Hosts  int
	Queues []Queue
}

// Customer is one source of work.
type Customer struct {
	Name  string
	Rank  int
	Quota float64 // share of a pool's slots; 0 means no limit
	Share float64 // relative demand
}

// Queue is the demand on one queue by one kind of job.
type Queue struct {
	Name string
	Kind string
	Rank int // the job kind's place in the ranking
	// Load is the mean demand in slots, before daily peaks.
	Load float64
	// Run is the mean run time; Off is the declared one as a share of it.
	Run time.Duration
	Off float64
	// Spread is the standard deviation of the logarithm of run times.
	Spread float64
	Slots  int
	// Due is the time from arrival to the due time; DueAt, when not empty, is
	// the time of day at which the next due time is, such as "07:00".
	Due   time.Duration
	DueAt string
	// Target is the start delay aimed at.
	Target time.Duration
	// Hours and the fleet's Zone limit the start of work; see sched.ParseWindow.
	Hours string
	// Peaks are spans of the day in which the load is multiplied.
	Peaks []Peak
}

// Peak multiplies the load from one time of day to another.
type Peak struct {
	From, To float64 // hours since midnight
	Factor   float64
}

// Arrival is one piece of work that arrives.
type Arrival struct {
	At       time.Time
	Queue    *Queue
	Customer *Customer
	// Run is the true run time, Declared what the caller says.
	Run, Declared time.Duration
	Due           time.Time
}

// Arrivals returns the work of one pool from one time to another, by time.
func (f *Fleet) Arrivals(p *Pool, from, to time.Time, seed uint64) ([]Arrival, error) {
	loc, err := time.LoadLocation(f.Zone)
	if err != nil {
		return nil, err
	}
	var out []Arrival
	for i := range p.Queues {
		g := &generator{
			fleet: f, queue: &p.Queues[i], loc: loc,
			rng:   rand.New(rand.NewPCG(seed, uint64(i))),
			phase: float64(i) / float64(len(p.Queues)),
		}
		if out, err = g.run(out, from, to); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	return out, nil
}

// generator makes the arrivals of one queue.
type generator struct {
	fleet *Fleet
	queue *Queue
	loc   *time.Location
	rng   *rand.Rand
	phase float64 // place of the queue's turn in the cycle, 0 to 1
}

// run thins a Poisson process at the highest rate to the rate of the moment.
func (g *generator) run(out []Arrival, from, to time.Time) ([]Arrival, error) {
	q := g.queue
	top := BurstFactor * q.Load * g.maxPeak() / (q.Run.Seconds() * float64(max(q.Slots, 1)))
	if top <= 0 {
		return out, nil
	}
	for at := from; ; {
		at = at.Add(time.Duration(g.rng.ExpFloat64() / top * float64(time.Second)))
		if !at.Before(to) {
			return out, nil
		}
		if g.rng.Float64() > g.factor(at)/(BurstFactor*g.maxPeak()) {
			continue
		}
		a, err := g.arrival(at)
		if err != nil {
			return nil, err
		}
		out = append(out, a)
	}
}

func (g *generator) arrival(at time.Time) (Arrival, error) {
	q := g.queue
	// The mean of a lognormal variable is exp(mu + sigma^2/2).
	run := float64(q.Run) * math.Exp(g.rng.NormFloat64()*q.Spread-q.Spread*q.Spread/2)
	a := Arrival{
		At: at, Queue: q, Customer: g.customer(),
		Run:      max(time.Duration(run), time.Millisecond),
		Declared: time.Duration(float64(q.Run) * q.Off), Due: at.Add(q.Due),
	}
	if q.DueAt == "" {
		return a, nil
	}
	clock, err := time.Parse("15:04", q.DueAt)
	if err != nil {
		return a, err
	}
	y, m, d := at.In(g.loc).Date()
	a.Due = time.Date(y, m, d, clock.Hour(), clock.Minute(), 0, 0, g.loc)
	if !a.Due.After(at) {
		a.Due = time.Date(y, m, d+1, clock.Hour(), clock.Minute(), 0, 0, g.loc)
	}
	return a, nil
}

// factor returns the load at a time as a multiple of the mean.
func (g *generator) factor(at time.Time) float64 {
	return g.turn(at) * g.peak(at)
}

// turn returns the factor of turn-taking.
func (g *generator) turn(at time.Time) float64 {
	period := float64(BurstDuration) / dutyCycle
	place := math.Mod(float64(at.UnixNano())/period+g.phase, 1)
	if place < dutyCycle {
		return BurstFactor
	}
	return QuietFactor
}

// peak returns the factor of the time of day; 0 outside of all peaks, or 1
// when the queue has none.
func (g *generator) peak(at time.Time) float64 {
	if len(g.queue.Peaks) == 0 {
		return 1
	}
	t := at.In(g.loc)
	hour := float64(t.Hour()) + float64(t.Minute())/60 + float64(t.Second())/3600
	for _, p := range g.queue.Peaks {
		if hour >= p.From && hour < p.To {
			return p.Factor
		}
	}
	return 0
}

func (g *generator) maxPeak() float64 {
	top := 0.0
	for _, p := range g.queue.Peaks {
		top = max(top, p.Factor)
	}
	if len(g.queue.Peaks) == 0 {
		return 1
	}
	return top
}

// customer draws a customer by its share.
func (g *generator) customer() *Customer {
	sum := 0.0
	for i := range g.fleet.Customers {
		sum += g.fleet.Customers[i].Share
	}
	x := g.rng.Float64() * sum
	for i := range g.fleet.Customers {
		if x -= g.fleet.Customers[i].Share; x < 0 {
			return &g.fleet.Customers[i]
		}
	}
	return &g.fleet.Customers[len(g.fleet.Customers)-1]
}
