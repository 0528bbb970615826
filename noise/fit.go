package noise

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// A pair is known from minSamples on, from several hosts or over minSpan: the start of a
	// neighbour on one host may fall together with a change of the victim's load there.
	minSamples = 8
	minSpan    = 8 * time.Second
	// minInformation is the least sum of the squared deviations of a neighbour's weight that
	// those of others don't explain, minLeft the one below which a pair is forgotten.
	// Neighbours that always come together can't be told apart.
	minInformation = 1
	minLeft        = 0.3
	// maxError is the standard error from which a pair is known whatever its harm is. With a
	// larger one, harm of minErrors standard errors is needed.
	maxError  = 0.1
	minErrors = 3
	// zeroErrors is the number of standard errors below which harm is taken for 0.
	zeroErrors = 2
	// minVariance is the least variance of a sample that is assumed: the first few may agree by
	// chance.
	minVariance = 0.05 * 0.05
	// ridge keeps the equations solvable, and moves figures towards 0 by a few hundredths at most.
	ridge = 0.1
)

// Refresh computes the harm of all pairs from the samples. It returns the pairs that have become
// known or were forgotten since the last call, in order.
//
// Neighbours come and go together, since peaks fill many hosts at once: the figures of all of a
// victim's neighbours are fitted together, so that a harmless image isn't blamed for
// one that often runs beside it.
func (t *Table) Refresh(now time.Time) []Change {
	var out []Change
	for _, name := range slices.Sorted(maps.Keys(t.victims)) {
		v := t.victims[name]
		v.decay(now)
		for _, p := range slices.Clone(v.pairs) {
			if now.Sub(p.lastAt) > maxAge {
				out = p.forget(name, out)
				v.remove(p)
			}
		}
		out = v.fit(name, now, out)
		if now.Sub(v.lastAt) > maxAge {
			delete(t.victims, name)
		}
	}
	for _, c := range out {
		if c.Known {
			t.known++
		} else {
			t.known--
		}
	}
	return out
}

// forget makes a pair unknown, and its criteria begin anew.
func (p *pair) forget(victim string, out []Change) []Change {
	if !p.known {
		return out
	}
	c := Change{victim, p.image, false, p.harm, int(p.samples)}
	p.known, p.harm, p.firstAt, p.manyHosts, p.samples = false, 0, time.Time{}, false, 0
	return append(out, c)
}

// fit computes the harm of a victim's neighbours by ridge regression, and appends what has
// changed.
func (v *victim) fit(name string, now time.Time, out []Change) []Change {
	inverse := v.inverse()
	harms := make([]float64, len(v.pairs))
	residual := v.varTail
	for i, p := range v.pairs {
		for k, other := range v.pairs {
			harms[i] += inverse[i][k] * other.covTail
		}
		residual -= harms[i] * p.covTail
	}
	variance := max(residual/max(v.count-float64(len(v.pairs)), 1), minVariance)
	for i, p := range v.pairs {
		information := 1/inverse[i][i] - ridge
		if p.known && information < minLeft {
			out = p.forget(name, out)
			continue
		}
		err := math.Sqrt(variance * inverse[i][i])
		becomes := !p.known && information >= minInformation && p.samples >= minSamples &&
			(p.manyHosts || now.Sub(p.firstAt) >= minSpan) && (err <= maxError || harms[i] >= minErrors*err)
		if !p.known && !becomes {
			continue
		}
		p.known, p.harm = true, 0
		if harms[i] >= zeroErrors*err {
			p.harm = harms[i]
		}
		if becomes {
			out = append(out, Change{name, p.image, true, p.harm, int(p.samples)})
		}
	}
	return out
}

// inverse returns the inverse of the matrix of the neighbours' sums of products plus ridge, which
// is positive definite, by Gauss-Jordan elimination.
func (v *victim) inverse() [][]float64 {
	n := len(v.pairs)
	a, inv := make([][]float64, n), make([][]float64, n)
	for i, p := range v.pairs {
		a[i], inv[i] = slices.Clone(p.cov), make([]float64, n)
		a[i][i] += ridge
		inv[i][i] = 1
	}
	for c := range n {
		pivot := a[c][c]
		for k := range n {
			a[c][k] /= pivot
			inv[c][k] /= pivot
		}
		for i := range n {
			if f := a[i][c]; i != c {
				for k := range n {
					a[i][k] -= f * a[c][k]
					inv[i][k] -= f * inv[c][k]
				}
			}
		}
	}
	return inv
}
