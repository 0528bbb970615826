// Package noise learns which images disturb which serving images on the same worker. It does no
// I/O and doesn't read the clock.
package noise

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// halfLife is the time in which a sample loses half of its weight: harm changes with the
	// load of the neighbours.
	halfLife = 20 * time.Second
	// baseHalfLife is the same for the mean that samples are compared with. The load of a
	// victim rises and falls within seconds, on all hosts at the same time.
	baseHalfLife = 4 * time.Second
	// maxAge is the time after which a pair without samples is forgotten.
	maxAge = 6 * halfLife
	// maxVictims and maxNeighbours, those of one victim, bound the table.
	maxVictims    = 64
	maxNeighbours = 16
	// replaceAge is the time without samples after which an entry of a full table may be
	// replaced. If all are newer, another image is ignored: replacing them in turn would lose
	// the samples of all.
	replaceAge = 10 * time.Second
	// maxTail limits a sample, so that a single one doesn't outweigh all others.
	maxTail = 3
)

// Neighbour is the image of subtasks that run beside a victim. Weight is their number, where
// one that is paced counts by its share.
type Neighbour struct {
	Image  string
	Weight float64
}

// Sample is the tail latency of a serving subtask, as a fraction of its bound, beside the other
// serving and filling subtasks on its host.
type Sample struct {
	Victim, Host string
	Tail         float64
	Neighbours   []Neighbour
}

// Change is a pair that has become known or was forgotten.
type Change struct {
	Victim, Neighbour string
	Known             bool
	Harm              float64
	Samples           int
}

// Table has what is learned. The zero value is empty.
type Table struct {
	victims map[string]*victim
	known   int
}

// pair is what is learned of a victim and a neighbour.
type pair struct {
	image string
	// mean is the recent mean of the neighbour's weight.
	mean float64
	// cov has the sums of the products of the deviations of its weight with those of all
	// neighbours, covTail that with those of the tail.
	cov     []float64
	covTail float64
	// samples is the decayed number of samples beside the neighbour.
	samples float64
	// firstAt, lastAt and host are of samples beside the neighbour, and manyHosts tells that
	// these are from several.
	firstAt, lastAt time.Time
	host            string
	manyHosts       bool
	known           bool
	harm            float64
}

// victim is what is learned of a serving image.
type victim struct {
	pairs   []*pair
	byImage map[string]*pair // of the neighbour
	// recent is the decayed number of recent samples, and mean the mean of their tails.
	recent, mean float64
	// count is the decayed number of samples, varTail the sum of their squared deviations.
	count, varTail float64
	lastAt         time.Time // of the last sample
	decayedAt      time.Time
}

// Observe adds a sample. It ignores one beside subtasks without an image, as it can't be told how
// much these disturb.
//
// The load of a victim changes on all hosts at the same time, and its neighbours are more at the
// peak. The sample is therefore compared with the mean of the last seconds over all hosts:
// neither counts as the harm of a neighbour.
func (t *Table) Observe(s Sample, now time.Time) {
	if slices.ContainsFunc(s.Neighbours, func(n Neighbour) bool { return n.Image == "" && n.Weight > 0 }) {
		return
	}
	v := t.victim(s.Victim, now)
	if v == nil {
		return
	}
	v.decay(now)
	v.lastAt = now
	weights := v.weights(s, now)
	tail := min(s.Tail, maxTail)
	// Welford's update of means and sums of products, with decay.
	part := v.recent / (v.recent + 1)
	v.recent++
	deviations := weights // replaced in place
	for i, p := range v.pairs {
		deviations[i] -= p.mean
		p.mean += deviations[i] / v.recent
	}
	tailDeviation := tail - v.mean
	v.mean += tailDeviation / v.recent
	v.count += part
	v.varTail += part * tailDeviation * tailDeviation
	for i, p := range v.pairs {
		p.covTail += part * deviations[i] * tailDeviation
		for k, d := range deviations {
			p.cov[k] += part * deviations[i] * d
		}
	}
}

// Harm returns by how much a neighbour that runs at full speed raises the victim's tail, as a
// fraction of its bound. It returns false if the pair isn't known.
func (t *Table) Harm(image, neighbour string, now time.Time) (float64, bool) {
	if v := t.victims[image]; v != nil {
		if p := v.byImage[neighbour]; p != nil && p.known && now.Sub(p.lastAt) <= maxAge {
			return p.harm, true
		}
	}
	return 0, false
}

// Known returns the number of pairs that are known.
func (t *Table) Known() int { return t.known }

// victim returns the entry of an image, which it adds if there is room, or nil.
func (t *Table) victim(image string, now time.Time) *victim {
	if image == "" {
		return nil
	}
	if v := t.victims[image]; v != nil {
		return v
	}
	if t.victims == nil {
		t.victims = map[string]*victim{}
	}
	if len(t.victims) >= maxVictims {
		oldest := ""
		for name, v := range t.victims {
			if !v.hasKnown() && (oldest == "" || cmp.Or(v.lastAt.Compare(t.victims[oldest].lastAt), cmp.Compare(name, oldest)) < 0) {
				oldest = name
			}
		}
		if oldest == "" || now.Sub(t.victims[oldest].lastAt) < replaceAge {
			return nil
		}
		delete(t.victims, oldest)
	}
	v := &victim{byImage: map[string]*pair{}, decayedAt: now}
	t.victims[image] = v
	return v
}

func (v *victim) hasKnown() bool {
	return slices.ContainsFunc(v.pairs, func(p *pair) bool { return p.known })
}

// weights returns the weight of each known neighbour in a sample, and adds those that are new if
// there is room.
func (v *victim) weights(s Sample, now time.Time) []float64 {
	for _, n := range s.Neighbours {
		if n.Weight > 0 && v.byImage[n.Image] == nil {
			v.add(n.Image, now)
		}
	}
	out := make([]float64, len(v.pairs))
	for _, n := range s.Neighbours {
		if p := v.byImage[n.Image]; p != nil && n.Weight > 0 {
			i := slices.Index(v.pairs, p)
			if out[i] == 0 { // the first of its image
				p.note(s.Host, now)
			}
			out[i] += n.Weight
		}
	}
	return out
}

// note records a sample beside the neighbour.
func (p *pair) note(host string, now time.Time) {
	if p.firstAt.IsZero() {
		p.firstAt, p.host = now, host
	}
	p.lastAt = now
	p.manyHosts = p.manyHosts || p.host != host
	p.samples++
}

// add adds a neighbour. Nothing has to be known of the samples before, as its weight was 0.
func (v *victim) add(image string, now time.Time) {
	if len(v.pairs) >= maxNeighbours {
		var oldest *pair
		for _, p := range v.pairs {
			if !p.known && (oldest == nil || p.lastAt.Before(oldest.lastAt)) {
				oldest = p
			}
		}
		if oldest == nil || now.Sub(oldest.lastAt) < replaceAge {
			return
		}
		v.remove(oldest)
	}
	added := &pair{image: image, lastAt: now}
	v.pairs, v.byImage[image] = append(v.pairs, added), added
	for _, p := range v.pairs {
		p.cov = append(p.cov, make([]float64, len(v.pairs)-len(p.cov))...)
	}
}

// remove removes a neighbour with its sums.
func (v *victim) remove(old *pair) {
	i := slices.Index(v.pairs, old)
	v.pairs = slices.Delete(v.pairs, i, i+1)
	delete(v.byImage, old.image)
	for _, p := range v.pairs {
		p.cov = slices.Delete(p.cov, i, i+1)
	}
}

// decay lowers the weight of the samples by their age.
func (v *victim) decay(now time.Time) {
	age := now.Sub(v.decayedAt)
	if age <= 0 {
		return
	}
	v.decayedAt = now
	v.recent *= math.Exp2(-age.Seconds() / baseHalfLife.Seconds())
	f := math.Exp2(-age.Seconds() / halfLife.Seconds())
	v.count *= f
	v.varTail *= f
	for _, p := range v.pairs {
		p.samples *= f
		p.covTail *= f
		for k := range p.cov {
			p.cov[k] *= f
		}
	}
}

// Size returns the number of victims, and that of all their neighbours.
func (t *Table) Size() (victims, pairs int) {
	for _, v := range t.victims {
		pairs += len(v.pairs)
	}
	return len(t.victims), pairs
}
