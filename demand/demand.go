// Package demand generates synthetic workloads like those of the product's users:
// queues that in turn burst beyond the capacity of their pool, daily peaks, night
// work that is due in the morning, and declared run times that are wrong by a factor
// of several. The same seed gives the same work.
package demand

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Bursts of queues: the load of each queue is BurstFactor times its mean for
// BurstDuration, then QuietFactor times its mean until its next burst. The queues of a
// pool burst at evenly spaced times.
const (
	BurstFactor   = 5.0
	QuietFactor   = 1.0 / 20
	BurstDuration = 6 * time.Second
)

// dutyCycle is the share of the time that a queue bursts. It is such that the mean
// load is Queue.Load.
const dutyCycle = (1 - QuietFactor) / (BurstFactor - QuietFactor)

// Fleet is the workload of one user of the product.
type Fleet struct {
	Name      string
	Zone      string // IANA name of the user's time zone
	Pools     []Pool
	Customers []Customer
}

// Pool is the workload of one pool.
type Pool struct {
	Name   string
	Hosts  int // number of hosts in the pool
	Queues []Queue
}

// Customer is a customer that submits work.
type Customer struct {
	Name  string
	Rank  int
	Quota float64 // share of a pool's slots; 0 means no limit
	Share float64 // of the work, relative to the other customers' shares
}

// Queue is the workload of one queue, which is of one kind of job.
type Queue struct {
	Name string
	Kind string
	Rank int // of the job kind
	// Load is the mean demand in slots, before daily peaks.
	Load float64
	// Run is the mean run time. Off is the declared run time as a multiple of it; 1
	// is accurate.
	Run time.Duration
	Off float64
	// Spread is the standard deviation of the logarithm of run times.
	Spread float64
	// Slots is the number of slots that a job takes; 0 means 1.
	Slots int
	// Due is the time from arrival to the due time. DueAt, when not empty, takes its
	// place: work is due when it is next that time of day, such as "07:00".
	Due   time.Duration
	DueAt string
	// Target is the target for the start delay.
	Target time.Duration
	// Hours are the times of day, in the fleet's Zone, at which work may start; see
	// sched.ParseWindow.
	Hours string
	// Peaks are the times of day with load; without any, the load is the same all day.
	Peaks []Peak
}

// Peak is a time of day at which the load is multiplied by Factor.
type Peak struct {
	From, To float64 // hours since midnight
	Factor   float64
}

// Arrival is the arrival of one piece of work at time At.
type Arrival struct {
	At       time.Time
	Queue    *Queue
	Customer *Customer
	// Run is the actual run time, Declared the one that the caller declares.
	Run, Declared time.Duration
	Due           time.Time
}

// Arrivals returns the work that arrives at a pool in [from, to), ordered by time. It
// fails when the fleet's time zone is unknown or a DueAt is not a time of day.
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
		if out, err = g.appendArrivals(out, from, to); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	return out, nil
}

// generator generates the arrivals of one queue.
type generator struct {
	fleet *Fleet
	queue *Queue
	loc   *time.Location
	rng   *rand.Rand
	phase float64 // offset in the cycle of bursts, 0 to 1
}

// appendArrivals appends the arrivals in [from, to) to out. It generates a Poisson
// process at the maximum rate and thins it to the rate at each time.
func (g *generator) appendArrivals(out []Arrival, from, to time.Time) ([]Arrival, error) {
	q := g.queue
	maxRate := BurstFactor * q.Load * g.maxPeakFactor() / (q.Run.Seconds() * float64(max(q.Slots, 1)))
	if maxRate <= 0 {
		return out, nil
	}
	for at := from; ; {
		at = at.Add(time.Duration(g.rng.ExpFloat64() / maxRate * float64(time.Second)))
		if !at.Before(to) {
			return out, nil
		}
		if g.rng.Float64() > g.loadFactor(at)/(BurstFactor*g.maxPeakFactor()) {
			continue
		}
		a, err := g.arrival(at)
		if err != nil {
			return nil, err
		}
		out = append(out, a)
	}
}

// arrival generates the arrival of one piece of work.
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

// loadFactor returns the load at a time as a multiple of Queue.Load.
func (g *generator) loadFactor(at time.Time) float64 {
	return g.burstFactor(at) * g.peakFactor(at)
}

// burstFactor returns BurstFactor during the queue's bursts, else QuietFactor.
func (g *generator) burstFactor(at time.Time) float64 {
	period := float64(BurstDuration) / dutyCycle
	position := math.Mod(float64(at.UnixNano())/period+g.phase, 1)
	if position < dutyCycle {
		return BurstFactor
	}
	return QuietFactor
}

// peakFactor returns the factor of the time of day: that of the first peak that
// includes it, 0 outside all peaks, or 1 if the queue has no peaks.
func (g *generator) peakFactor(at time.Time) float64 {
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

// maxPeakFactor returns the highest value of peakFactor.
func (g *generator) maxPeakFactor() float64 {
	highest := 0.0
	for _, p := range g.queue.Peaks {
		highest = max(highest, p.Factor)
	}
	if len(g.queue.Peaks) == 0 {
		return 1
	}
	return highest
}

// customer picks a random customer, weighted by share.
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
