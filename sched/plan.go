package sched

import (
	"math"
	"time"
)

const (
	// slackBuckets is the number of buckets by slack, the time left until an item
	// should start.
	slackBuckets = 34
	// slackFloor is the largest slack in bucket 1; the largest slack of each
	// further bucket is slackGrowth times that of the one before.
	slackFloor  = 250 * time.Millisecond
	slackGrowth = 1.5

	// The plan is rebuilt every rebuildInterval plus rebuildIntervalPerItem for
	// each waiting item, since a rebuild takes longer the more items wait.
	rebuildInterval        = 50 * time.Millisecond
	rebuildIntervalPerItem = 20 * time.Microsecond
	// movesPerCutoff is the number of items added or removed after which the
	// cutoff is recomputed.
	movesPerCutoff = 32

	// plannedShare is the share of the capacity until a due time that is planned
	// for waiting work. The rest is left for work that arrives in the meantime.
	plannedShare = 0.25
	// BackgroundSlack is the time left until the latest start from which an item
	// is background work, which yields to all items with less time left.
	BackgroundSlack = 10 * time.Minute
	// backgroundMargin is the factor applied to the slots that background work
	// needs to meet its due times, since run times are estimates.
	backgroundMargin = 1.25
	// peakDecay is the time constant with which the peak demand of on-time work
	// decays: after it, 1/e is left.
	peakDecay = 10 * time.Minute
	// StarveAfter is the time past its due time from which an item counts as
	// starving. One in startsPerStarved starts is given to a starving item, and
	// maxStarving is the number of them that a rebuild lists.
	StarveAfter      = time.Minute
	startsPerStarved = 32
	maxStarving      = 16
)

// slackEdges holds the largest slack of each bucket, in nanoseconds. Bucket 0 is
// for items without slack.
var slackEdges = func() (edges [slackBuckets]int64) {
	d := float64(slackFloor)
	for i := 1; i < slackBuckets; i++ {
		edges[i] = int64(d)
		d *= slackGrowth
	}
	edges[slackBuckets-1] = math.MaxInt64
	return edges
}()

// slackBucket returns the bucket of a slack in nanoseconds.
func slackBucket(slack int64) int {
	lo, hi := 0, slackBuckets-1
	for lo < hi {
		mid := (lo + hi) / 2
		if slack <= slackEdges[mid] {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	return lo
}

// plan predicts which waiting items can be on time.
type plan struct {
	rebuiltAt  int64 // time of the last rebuild, in Unix nanoseconds
	totalSlots int   // slots that the plan assumes
	moves      int   // items added or removed since the cutoff was computed

	// onTimeWork is the expected work of on-time items in slot-seconds, by band and
	// by bucket of the slack at the last rebuild. backgroundWork is that of
	// background items by bucket, lateWork that of late items by band.
	onTimeWork     [RankBands][slackBuckets]float64
	backgroundWork [slackBuckets]float64
	lateWork       [RankBands]float64

	// cutoff is the last band whose on-time work can be on time after the work of
	// all bands before it.
	cutoff int
	// credit is, by band, the amount of other work in slot-seconds that can start
	// before the on-time work of all bands up to this one without making any of it
	// late. It does not increase from band to band and is valid up to cutoff.
	credit [RankBands]float64
	// backgroundNeed is the average number of slots that background work must hold
	// to be on time.
	backgroundNeed float64
	// peakDemand is the decaying maximum of the number of slots that on-time work
	// wants or holds.
	peakDemand float64

	starving [maxStarving]*Item // in the order of Push; nil ends the list
}

// workCell returns the element of the work sums to which an item's work is added.
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

// sumOnTime returns the on-time work of the bands up to band and the buckets up to
// bucket, in slot-seconds.
func (p *plan) sumOnTime(band, bucket int) float64 {
	sum := 0.0
	for b := range band + 1 {
		for _, w := range p.onTimeWork[b][:bucket+1] {
			sum += w
		}
	}
	return sum
}

// sumBackground returns the background work of the buckets up to bucket, in
// slot-seconds.
func (p *plan) sumBackground(bucket int) float64 {
	sum := 0.0
	for _, w := range p.backgroundWork[:bucket+1] {
		sum += w
	}
	return sum
}

// sumLate returns the late work of the bands up to band, in slot-seconds.
func (p *plan) sumLate(band int) float64 {
	sum := 0.0
	for _, w := range p.lateWork[:band+1] {
		sum += w
	}
	return sum
}

// runningLoad describes the running items of a queue.
type runningLoad struct {
	slots     int
	remaining float64 // expected remaining work, in slot-seconds
}

// capacity returns the slot-seconds that total slots provide for waiting work
// within d seconds, assuming that the ends of running items are evenly spread.
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

// minWork is the least work that is planned for, in slot-seconds. Sums of
// floating-point numbers may differ from 0 by less than this.
const minWork = 1e-6

// updateCutoff recomputes cutoff and credit for the given running items.
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

// deductBand subtracts the on-time work of a band from the spare capacity of each
// slack bucket. It returns the least capacity that remains in a bucket up to which
// the band has work.
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

// spendCredit subtracts from all credits work that starts out of order, before
// other work.
func (p *plan) spendCredit(work float64) {
	for b := range p.credit {
		p.credit[b] -= work
	}
}

// updateBackgroundNeed recomputes backgroundNeed.
func (p *plan) updateBackgroundNeed() {
	p.backgroundNeed = 0
	sum := p.backgroundWork[0] + p.backgroundWork[1]
	for k := 2; k < slackBuckets; k++ {
		sum += p.backgroundWork[k]
		p.backgroundNeed = max(p.backgroundNeed, sum*float64(time.Second)/float64(slackEdges[k-1]))
	}
}

// updatePeak updates peakDemand with the number of slots that on-time work wants or
// holds now; since is the time since the last call.
func (p *plan) updatePeak(want int, since time.Duration) {
	p.peakDemand *= math.Exp(-max(since.Seconds(), 0) / peakDecay.Seconds())
	p.peakDemand = max(p.peakDemand, float64(want))
}

// backgroundAllowance returns the number of slots that background work may hold:
// those that on-time work leaves free at its peak, or more when background work
// would otherwise be late.
func (p *plan) backgroundAllowance() int {
	offPeak := float64(p.totalSlots) - p.peakDemand
	return int(math.Ceil(max(offPeak, p.backgroundNeed*backgroundMargin)))
}

// backgroundUrgent reports whether background work needs more than half of the
// slots to be on time.
func (p *plan) backgroundUrgent() bool { return p.backgroundNeed > float64(p.totalSlots)/2 }

// addStarving adds an item to the list of starving items, which keeps those that
// were pushed first.
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
