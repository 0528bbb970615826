package sched

import (
	"math"
	"time"
)

const (
	// slackBuckets is the number of classes of time left until the due time.
	slackBuckets = 34
	// slackFloor is the longest time left in the first class that is not past;
	// each next class is longer by spanGrowth.
	slackFloor  = 250 * time.Millisecond
	slackGrowth = 1.5

	// rebuildInterval and planPerItem tell how often the plan is rebuilt: the more
	// items wait, the less often.
	rebuildInterval        = 50 * time.Millisecond
	rebuildIntervalPerItem = 20 * time.Microsecond
	// movesPerCutoff is the number of pushes and pops after which the cut is redone.
	movesPerCutoff = 32

	// plannedShare is the share of the capacity until a due time that waiting work
	// may take; the rest is for work that arrives until then.
	plannedShare = 0.25
	// BackgroundSlack is the time to spare from which work gives way to all
	// work that has less.
	BackgroundSlack = 10 * time.Minute
	// backgroundMargin widens the slots that background work needs for its due
	// times, since run times are estimates.
	backgroundMargin = 1.25
	// peakDecay is the time in which a peak of prompt demand loses all but 1/e
	// of its weight.
	peakDecay = 10 * time.Minute
	// StarveAfter is the time past its due time from which an item may go
	// before others, at most one in starveTurn.
	StarveAfter      = time.Minute
	startsPerStarved = 32
	maxStarving      = 16
)

// slackEdges are the longest times left, in nanoseconds, of each class; class 0
// is work past its due time.
var slackEdges = func() (edges [slackBuckets]int64) {
	d := float64(slackFloor)
	for i := 1; i < slackBuckets; i++ {
		edges[i] = int64(d)
		d *= slackGrowth
	}
	edges[slackBuckets-1] = math.MaxInt64
	return edges
}()

// slackBucket returns the class of a time left.
func slackBucket(left int64) int {
	lo, hi := 0, slackBuckets-1
	for lo < hi {
		mid := (lo + hi) / 2
		if left <= slackEdges[mid] {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	return lo
}

// plan predicts whether waiting work can be on time.
type plan struct {
	rebuiltAt  int64 // time of the last rebuild, in Unix nanoseconds
	totalSlots int   // slots that the plan reckons with
	moves      int   // pushes and pops since the cut was redone

	// onTimeWork is the expected onTimeWork of prompt items by band and class of time left
	// at the last rebuild, in slot-seconds; back is that of background items.
	onTimeWork     [RankBands][slackBuckets]float64
	backgroundWork [slackBuckets]float64
	lateWork       [RankBands]float64

	// cutoff is the last band whose prompt work can be on time beside all work of
	// the bands before it.
	cutoff int
	// credit is the other work, in slot-seconds, that can go before the prompt
	// work of all bands up to this one without making any of it late. It falls
	// with the band and is set up to the cut.
	credit [RankBands]float64
	// backgroundNeed is the number of slots that background work must hold on average.
	backgroundNeed float64
	// peakDemand is the decayed highest number of slots wanted by prompt work.
	peakDemand float64

	starving [maxStarving]*Item // earliest arrival first; nil ends the list
}

// workCell returns the sum that an item's work belongs to.
func (p *plan) workCell(it *Item) *float64 {
	switch it.lane.class {
	case late:
		return &p.lateWork[it.band]
	case background:
		return &p.backgroundWork[slackBucket(it.startBy-p.rebuiltAt)]
	default:
		return &p.onTimeWork[it.band][slackBucket(it.startBy-p.rebuiltAt)]
	}
}

// sumOnTime returns the prompt work up to a band and a class of time left.
func (p *plan) sumOnTime(band, span int) float64 {
	sum := 0.0
	for b := range band + 1 {
		for _, w := range p.onTimeWork[b][:span+1] {
			sum += w
		}
	}
	return sum
}

// sumBackground returns the background work up to a class of time left.
func (p *plan) sumBackground(span int) float64 {
	sum := 0.0
	for _, w := range p.backgroundWork[:span+1] {
		sum += w
	}
	return sum
}

// sumLate returns the late work up to a band.
func (p *plan) sumLate(band int) float64 {
	sum := 0.0
	for _, w := range p.lateWork[:band+1] {
		sum += w
	}
	return sum
}

// runningLoad is what a queue's runningLoad items hold.
type runningLoad struct {
	slots     int
	remaining float64 // expected rest of the runs, in slot-seconds
}

// capacity returns the slot-seconds that total slots give to waiting work
// within d seconds, when the ends of running items are spread evenly.
func (r runningLoad) capacity(total int, d float64) float64 {
	idle := float64(max(total-r.slots, 0)) * d
	if r.slots == 0 {
		return idle
	}
	last := 2 * r.remaining / float64(r.slots)
	if d >= last {
		return idle + float64(r.slots)*(d-last/2)
	}
	return idle + float64(r.slots)*d*d/(2*last)
}

// minWork is the least work that is planned for, in slot-seconds; sums of
// cells may be off by less.
const minWork = 1e-6

// updateCutoff finds the last band that can be on time beside running items.
func (p *plan) updateCutoff(run runningLoad) {
	p.moves = 0
	var spare [slackBuckets]float64
	for k := 1; k < slackBuckets; k++ {
		spare[k] = plannedShare * run.capacity(p.totalSlots, time.Duration(slackEdges[k]).Seconds())
	}
	p.cutoff = 0
	credit := math.MaxFloat64
	for b := range RankBands {
		credit = min(credit, p.deductBand(b, &spare))
		p.credit[b] = credit
		if credit < 0 {
			return
		}
		p.cutoff = b
		for k := range spare {
			spare[k] -= p.lateWork[b]
		}
	}
}

// deductBand takes the prompt work of a band from the spare capacity of each class of
// time left and returns the least that remains where there is any work.
func (p *plan) deductBand(band int, spare *[slackBuckets]float64) float64 {
	least, sum := math.MaxFloat64, p.onTimeWork[band][0]
	for k := 1; k < slackBuckets; k++ {
		if sum += p.onTimeWork[band][k]; sum > minWork {
			spare[k] -= sum
			least = min(least, spare[k])
		}
	}
	return least
}

// spendCredit takes work from the credits that goes before other work out of its
// turn.
func (p *plan) spendCredit(work float64) {
	for b := range p.credit {
		p.credit[b] -= work
	}
}

// updateBackgroundNeed finds the slots that background work needs on average.
func (p *plan) updateBackgroundNeed() {
	p.backgroundNeed = 0
	sum := p.backgroundWork[0] + p.backgroundWork[1]
	for k := 2; k < slackBuckets; k++ {
		sum += p.backgroundWork[k]
		p.backgroundNeed = max(p.backgroundNeed, sum*float64(time.Second)/float64(slackEdges[k-1]))
	}
}

// updatePeak takes the slots wanted by prompt work into the peak; since is the
// time since the last call.
func (p *plan) updatePeak(want int, since time.Duration) {
	p.peakDemand *= math.Exp(-max(since.Seconds(), 0) / peakDecay.Seconds())
	p.peakDemand = max(p.peakDemand, float64(want))
}

// backgroundAllowance returns the number of slots that background work may hold.
func (p *plan) backgroundAllowance() int {
	quiet := float64(p.totalSlots) - p.peakDemand
	return int(math.Ceil(max(quiet, p.backgroundNeed*backgroundMargin)))
}

// backgroundUrgent tells that background work needs most of the slots to be on time.
func (p *plan) backgroundUrgent() bool { return p.backgroundNeed > float64(p.totalSlots)/2 }

// addStarving offers an item for the list of starving items.
func (p *plan) addStarving(it *Item) {
	for i, o := range p.starving {
		if o == nil {
			p.starving[i] = it
			return
		}
		if it.seq < o.seq {
			p.starving[i], it = it, o
		}
	}
}
