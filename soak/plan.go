package main

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Streams of random numbers that are drawn from the seed, so that the schedule of faults
// doesn't depend on the load.
const (
	streamFaults = 1
	streamLoad   = 2
	streamStore  = 3
	streamOdd    = 4
	streamSplit  = 5

	streamRestart = 6
	streamCrowd   = 7
	streamSpaces  = 8
)

// event is a fault of a schedule.
type event struct {
	Kind string
	At   time.Duration // from the begin of the load
	For  time.Duration
	Pick int     // chooses the entry or worker
	Size float64 // of the fault, from 0 to 1
}

// minGap is the shortest pause between the begins of two faults.
const minGap = 50 * time.Millisecond

// firstFault is when the first fault begins: the first jobs are at work by then.
const firstFault = 1500 * time.Millisecond

// schedule returns the faults that begin within d, with a mean pause of gap between two:
// some overlap, and others follow each other.
func schedule(seed uint64, d, gap time.Duration) []event {
	r := rand.New(rand.NewPCG(seed, streamFaults))
	var kinds []string
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		for range faults[name].weight {
			kinds = append(kinds, name)
		}
	}
	var out []event
	for at := firstFault; at < d; at += minGap + time.Duration(r.Float64()*2*float64(gap)) {
		kind := kinds[r.IntN(len(kinds))]
		f := faults[kind]
		length := f.least + time.Duration(r.Float64()*float64(f.most-f.least))
		out = append(out, event{kind, at, min(length, d-at), r.IntN(1 << 16), r.Float64()})
	}
	return out
}

// merge returns the faults of two schedules in the order of their begins.
func merge(a, b []event) []event {
	all := slices.Concat(a, b)
	slices.SortStableFunc(all, func(a, b event) int { return cmp.Compare(a.At, b.At) })
	return all
}
