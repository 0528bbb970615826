package sched

import (
	"errors"
	"time"
)

var (
	// ErrFull is returned when the number of waiting items in a queue has reached
	// its depth.
	ErrFull = errors.New("queue full")
	// ErrWaiting is returned for an item that is already waiting or running.
	ErrWaiting = errors.New("item is waiting or running")
)

// Spec describes the work of an item. The caller fills it in from the
// configuration.
type Spec struct {
	Queue, Customer, Kind string
	// QueueRank, CustomerRank and JobRank are priorities; 1 is the highest, and
	// 0 means unranked and counts as 1.
	QueueRank, CustomerRank, JobRank int
	// RunTime is the declared run time. It is only the first estimate, which
	// measured run times correct; 0 means DefaultRunTime.
	RunTime time.Duration
	// Slots is the number of worker slots one run takes; 0 means 1.
	Slots int
	// Due is the time by which the run should end; zero means Arrived plus
	// Target plus the expected run time.
	Due time.Time
	// Arrived is when the work was accepted; zero means the time of Push.
	Arrived time.Time
	// Target is the longest acceptable delay of the start; 0 means
	// DefaultTarget.
	Target time.Duration
	// Quota is the share, 0 to 1, of the pool's slots that the customer may hold
	// while other customers wait; 0 means no limit.
	Quota float64
	// Depth is the maximum number of waiting items in Queue; 0 means table.DefaultDepth.
	Depth int
	// Window is when the work may start; nil means always.
	Window *Window
}

const (
	// DefaultRunTime is the first estimate of a run time when none is declared.
	DefaultRunTime = time.Second
	// DefaultTarget is the target start delay when a queue declares none.
	DefaultTarget = 5 * time.Second
)

// Item is one request or job that waits or runs.
type Item struct {
	id   uint64
	spec Spec
	rank int // 1 plus the sum of the distances of the Spec's ranks from 1
	band int // bandOf(rank)

	state state
	due   time.Time // spec.Due, or the due time derived from spec.Target
	// startBy is the time, in Unix nanoseconds, by which the item should start;
	// runMargin is the time, in nanoseconds, that this leaves for a long run. Under
	// the policy Yield, startBy also excludes the hours before the due time in
	// which the window is closed. Both are recomputed when the window opens.
	startBy, runMargin int64
	orderKey           int64  // order within the lane, in Unix nanoseconds; ascending
	seq                uint64 // number of the Push; breaks ties of orderKey
	heapIndex          int    // index in the lane's heap while waiting

	runStats       *runStats // measured run times of the item's kind
	customer       *customer
	waitingInQueue *int    // number of waiting items of spec.Queue
	lane           *lane   // set while waiting
	work           float64 // expected work while waiting, in slot-seconds
	weightedEnd    float64 // slots times expected end while running, in slot-seconds after Queue.epoch
	asBackground   bool    // was started as background work
}

type state uint8

const (
	idle state = iota
	waiting
	started
)

// NewItem returns an idle item. Zero Slots, RunTime and Target are replaced by
// their defaults.
func NewItem(id uint64, spec Spec) *Item {
	it := &Item{}
	it.Reset(id, spec)
	return it
}

// Reset reinitialises an item for reuse with another ID and spec. The item must
// neither wait nor run.
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

// ID returns the ID given to NewItem or Reset.
func (it *Item) ID() uint64 { return it.id }

// Spec returns the item's description; the caller must not change it.
func (it *Item) Spec() *Spec { return &it.spec }

// Rank returns the item's combined rank; 1 is the highest priority.
func (it *Item) Rank() int { return it.rank }

// Due returns the time by which the item's run should end. Push sets it.
func (it *Item) Due() time.Time { return it.due }

func (it *Item) before(o *Item) bool {
	return it.orderKey < o.orderKey || (it.orderKey == o.orderKey && it.seq < o.seq)
}

func (it *Item) setHeapIndex(i int) { it.heapIndex = i }

// latestStart returns the latest start, in Unix nanoseconds, from which a run of
// mean length still ends by the due time.
func (it *Item) latestStart() int64 {
	return it.startBy + it.runMargin - int64(it.runStats.mean*float64(time.Second))
}

// Waiting reports whether the item is waiting in a queue.
func (it *Item) Waiting() bool { return it.state == waiting }

// Rank combines ranks into one: 1 plus the distance of each rank from 1. A rank
// of 0 counts as 1.
func Rank(ranks ...int) int {
	rank := 1
	for _, r := range ranks {
		rank += max(r-1, 0)
	}
	return rank
}

// RankBands is the number of bands into which a queue groups ranks.
const RankBands = 20

// bandOf returns the band of a rank: ranks 1 to 8 have a band each, and each
// doubling of the rank above 8 has two bands. The last band has no upper bound.
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
