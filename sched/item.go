package sched

import (
	"errors"
	"time"
)

var (
	// ErrFull is returned when as many items wait in a queue as its depth allows.
	ErrFull = errors.New("queue full")
	// ErrWaiting is returned for an item that is already waiting or running.
	ErrWaiting = errors.New("item is waiting or running")
)

// Spec describes an item; the caller resolves it from the configuration.
type Spec struct {
	Queue, Customer, Kind string
	// QueueRank, CustomerRank and JobRank are places in the ranking; 1 comes
	// first, 0 stands for no place and counts like 1.
	QueueRank, CustomerRank, JobRank int
	// RunTime is the declared run time, a prior only; 0 means DefaultRunTime.
	RunTime time.Duration
	// Slots is the number of worker slots one run takes; 0 means 1.
	Slots int
	// Due is when the run should have ended; zero means Arrived plus Target
	// plus the expected run time.
	Due time.Time
	// Arrived is when the work was accepted; zero means the time of Push.
	Arrived time.Time
	// Target is the start delay within which the work is good; 0 means
	// DefaultTarget.
	Target time.Duration
	// Quota is the share of the pool's slots that the customer may hold while
	// others wait; 0 means no limit.
	Quota float64
	// Depth is the most items that may wait in Queue; 0 means table.DefaultDepth.
	Depth int
	// Window is when the work may start; nil means always.
	Window *Window
}

const (
	// DefaultRunTime is the prior of run times when none is declared.
	DefaultRunTime = time.Second
	// DefaultTarget is the start delay aimed at when a queue declares none.
	DefaultTarget = 5 * time.Second
)

// Item is one request or job that waits or runs.
type Item struct {
	id   uint64
	spec Spec
	rank int // sum of the places less their excess over one, at least 1
	band int // bandOf(rank)

	state state
	due   time.Time // spec.Due, or the due time that the target stands for
	// startBy is when the item should have started, in Unix nanoseconds; runMargin is
	// the time that it then has for its run. Both are set while its window is
	// open, as if the window did not close before the due time.
	startBy, runMargin int64
	orderKey           int64  // order in its lane, in Unix nanoseconds; less comes first
	seq                uint64 // order of Push, decides between equal keys
	heapIndex          int    // index in its lane's heap while waiting

	runStats       *runStats // run times of its kind
	customer       *customer
	waitingInQueue *int    // number of waiting items of its queue
	lane           *lane   // set while waiting
	work           float64 // expected work while waiting, in slot-seconds
	weightedEnd    float64 // slots times expected end while running, in slot-seconds
	asBackground   bool    // started as background work
}

type state uint8

const (
	idle state = iota
	waiting
	started
)

// NewItem returns an item that is not yet waiting.
func NewItem(id uint64, spec Spec) *Item {
	it := &Item{}
	it.Reset(id, spec)
	return it
}

// Reset makes an item that neither waits nor runs stand for other work.
func (it *Item) Reset(id uint64, spec Spec) {
	spec.Slots = max(spec.Slots, 1)
	if spec.RunTime <= 0 {
		spec.RunTime = DefaultRunTime
	}
	if spec.Target <= 0 {
		spec.Target = DefaultTarget
	}
	rank := Rank(spec.QueueRank, spec.CustomerRank, spec.JobRank)
	*it = Item{id: id, spec: spec, rank: rank, band: bandOf(rank)}
}

// ID returns the number given to NewItem.
func (it *Item) ID() uint64 { return it.id }

// Spec returns the item's description; the caller must not change it.
func (it *Item) Spec() *Spec { return &it.spec }

// Rank returns the item's place in the ranking; 1 comes first.
func (it *Item) Rank() int { return it.rank }

// Due returns when the item's run should have ended; it is set by Push.
func (it *Item) Due() time.Time { return it.due }

func (it *Item) before(o *Item) bool {
	return it.orderKey < o.orderKey || (it.orderKey == o.orderKey && it.seq < o.seq)
}

func (it *Item) setHeapIndex(i int) { it.heapIndex = i }

// latestStart returns the time from which the item can't end by its due time, in
// Unix nanoseconds.
func (it *Item) latestStart() int64 {
	return it.startBy + it.runMargin - int64(it.runStats.mean*float64(time.Second))
}

// Waiting tells whether the item is in a queue.
func (it *Item) Waiting() bool { return it.state == waiting }

// Rank combines places in rankings; each place below the first adds its
// distance from it. A place of 0 adds nothing.
func Rank(places ...int) int {
	rank := 1
	for _, p := range places {
		rank += max(p-1, 0)
	}
	return rank
}

// RankBands is the number of groups of ranks that a queue tells apart.
const RankBands = 20

// bandOf maps a rank to its band: ranks 1 to 8 have one each, then each
// doubling of the rank has two.
func bandOf(rank int) int {
	if rank <= 8 {
		return rank - 1
	}
	band, low := 8, 8
	for rank > 2*low {
		band, low = band+2, 2*low
	}
	if rank > low+low/2 {
		band++
	}
	return min(band, RankBands-1)
}
