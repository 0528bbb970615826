package sched

import (
	"math"
	"time"
)

const (
	// spans is the number of classes of time left until the due time.
	spans = 34
	// spanFloor is the longest time left in the first class that is not past;
	// each next class is longer by spanGrowth.
	spanFloor  = 250 * time.Millisecond
	spanGrowth = 1.5

	// planEvery and planPerItem tell how often the plan is rebuilt: the more
	// items wait, the less often.
	planEvery   = 50 * time.Millisecond
	planPerItem = 20 * time.Microsecond
	// cutEvery is the number of pushes and pops after which the cut is redone.
	cutEvery = 32

	// plannedShare is the share of the capacity until a due time that waiting work
	// may take; the rest is for work that arrives until then.
	plannedShare = 0.25
	// BackgroundSlack is the time to spare from which work gives way to all
	// work that has less.
	BackgroundSlack = 10 * time.Minute
	// backgroundMargin widens the slots that background work needs for its due
	// times, since run times are estimates.
	backgroundMargin = 1.25
	// peakMemory is the time in which a peak of prompt demand loses all but 1/e
	// of its weight.
	peakMemory = 10 * time.Minute
	// StarveAfter is the time past its due time from which an item may go
	// before others, at most one in starveTurn.
	StarveAfter = time.Minute
	starveTurn  = 32
	starveList  = 16
)

// spanEdges are the longest times left, in nanoseconds, of each class; class 0
// is work past its due time.
var spanEdges = func() (edges [spans]int64) {
	d := float64(spanFloor)
	for i := 1; i < spans; i++ {
		edges[i] = int64(d)
		d *= spanGrowth
	}
	edges[spans-1] = math.MaxInt64
	return edges
}()

// spanOf returns the class of a time left.
func spanOf(left int64) int {
	lo, hi := 0, spans-1
	for lo < hi {
		mid := (lo + hi) / 2
		if left <= spanEdges[mid] {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	return lo
}

// plan predicts whether waiting work can be on time.
type plan struct {
	at    int64 // time of the last rebuild, in Unix nanoseconds
	total int   // slots that the plan reckons with
	moves int   // pushes and pops since the cut was redone

	// work is the expected work of prompt items by band and class of time left
	// at the last rebuild, in slot-seconds; back is that of background items.
	work [RankBands][spans]float64
	back [spans]float64
	late [RankBands]float64

	// cut is the last band whose prompt work can be on time beside all work of
	// the bands before it.
	cut int
	// credit is the other work, in slot-seconds, that can go before the prompt
	// work of all bands up to this one without making any of it late. It falls
	// with the band and is set up to the cut.
	credit [RankBands]float64
	// need is the number of slots that background work must hold on average.
	need float64
	// peak is the decayed highest number of slots wanted by prompt work.
	peak float64

	starving [starveList]*Item // earliest arrival first; nil ends the list
}

// cell returns the sum that an item's work belongs to.
func (p *plan) cell(it *Item) *float64 {
	switch it.lane.class {
	case late:
		return &p.late[it.band]
	case background:
		return &p.back[spanOf(it.limit-p.at)]
	default:
		return &p.work[it.band][spanOf(it.limit-p.at)]
	}
}

// sum returns the prompt work up to a band and a class of time left.
func (p *plan) sum(band, span int) float64 {
	sum := 0.0
	for b := range band + 1 {
		for _, w := range p.work[b][:span+1] {
			sum += w
		}
	}
	return sum
}

// sumBack returns the background work up to a class of time left.
func (p *plan) sumBack(span int) float64 {
	sum := 0.0
	for _, w := range p.back[:span+1] {
		sum += w
	}
	return sum
}

// sumLate returns the late work up to a band.
func (p *plan) sumLate(band int) float64 {
	sum := 0.0
	for _, w := range p.late[:band+1] {
		sum += w
	}
	return sum
}

// running is what a queue's running items hold.
type running struct {
	slots int
	left  float64 // expected rest of the runs, in slot-seconds
}

// capacity returns the slot-seconds that total slots give to waiting work
// within d seconds, when the ends of running items are spread evenly.
func (r running) capacity(total int, d float64) float64 {
	idle := float64(max(total-r.slots, 0)) * d
	if r.slots == 0 {
		return idle
	}
	last := 2 * r.left / float64(r.slots)
	if d >= last {
		return idle + float64(r.slots)*(d-last/2)
	}
	return idle + float64(r.slots)*d*d/(2*last)
}

// minWork is the least work that is planned for, in slot-seconds; sums of
// cells may be off by less.
const minWork = 1e-6

// recut finds the last band that can be on time beside running items.
func (p *plan) recut(run running) {
	p.moves = 0
	var spare [spans]float64
	for k := 1; k < spans; k++ {
		spare[k] = plannedShare * run.capacity(p.total, time.Duration(spanEdges[k]).Seconds())
	}
	p.cut = 0
	credit := math.MaxFloat64
	for b := range RankBands {
		credit = min(credit, p.fit(b, &spare))
		p.credit[b] = credit
		if credit < 0 {
			return
		}
		p.cut = b
		for k := range spare {
			spare[k] -= p.late[b]
		}
	}
}

// fit takes the prompt work of a band from the spare capacity of each class of
// time left and returns the least that remains where there is any work.
func (p *plan) fit(band int, spare *[spans]float64) float64 {
	least, sum := math.MaxFloat64, p.work[band][0]
	for k := 1; k < spans; k++ {
		if sum += p.work[band][k]; sum > minWork {
			spare[k] -= sum
			least = min(least, spare[k])
		}
	}
	return least
}

// spend takes work from the credits that goes before other work out of its
// turn.
func (p *plan) spend(work float64) {
	for b := range p.credit {
		p.credit[b] -= work
	}
}

// reneed finds the slots that background work needs on average.
func (p *plan) reneed() {
	p.need = 0
	sum := p.back[0] + p.back[1]
	for k := 2; k < spans; k++ {
		sum += p.back[k]
		p.need = max(p.need, sum*float64(time.Second)/float64(spanEdges[k-1]))
	}
}

// observe takes the slots wanted by prompt work into the peak; since is the
// time since the last call.
func (p *plan) observe(want int, since time.Duration) {
	p.peak *= math.Exp(-max(since.Seconds(), 0) / peakMemory.Seconds())
	p.peak = max(p.peak, float64(want))
}

// allowance returns the number of slots that background work may hold.
func (p *plan) allowance() int {
	quiet := float64(p.total) - p.peak
	return int(math.Ceil(max(quiet, p.need*backgroundMargin)))
}

// pressed tells that background work needs most of the slots to be on time.
func (p *plan) pressed() bool { return p.need > float64(p.total)/2 }

// starve offers an item for the list of starving items.
func (p *plan) starve(it *Item) {
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
