package pack

import (
	"cmp"
	"maps"
	"slices"
)

// Gang returns the workers for subtasks that work only together, and takes their
// room, or returns nil if there is none for all of them now. OneRack prefers a
// single rack; any racks are used if none has the room. Count returns how many
// subtasks of the step a worker has.
//
// It answers a pool in a turn, of which every rack is partly in use: a gang that
// waits for one rack to empty would be late, one that is spread is slower.
func Gang(wants []*Demand, all []Worker, oneRack bool, count func(i int) int) []int {
	if oneRack {
		for _, rack := range racksByFreeCPU(all) {
			if at := placeAll(wants, all, count, rack); at != nil {
				return at
			}
		}
	}
	return placeAll(wants, all, count, "")
}

// racksByFreeCPU returns the racksByFreeCPU of some workers, those with the most free processor
// first.
func racksByFreeCPU(all []Worker) []string {
	free := map[string]int{}
	for i := range all {
		if h := &all[i]; h.Rack != "" && !h.Unhealthy {
			free[h.Rack] += h.Free.CPU
		}
	}
	return slices.SortedFunc(maps.Keys(free), func(a, b string) int {
		return cmp.Or(cmp.Compare(free[b], free[a]), cmp.Compare(a, b))
	})
}

// placeAll places all subtasks, on one rack unless it is empty, or none.
func placeAll(wants []*Demand, all []Worker, count func(i int) int, rack string) []int {
	trial := slices.Clone(all)
	for i := range trial {
		trial[i].Unhealthy = trial[i].Unhealthy || rack != "" && trial[i].Rack != rack
	}
	placed := make([]int, len(wants))
	more := make([]int, len(all))
	for i, w := range wants {
		at := Choose(w, trial, func(k int) int { return count(k) + more[k] })
		if at < 0 {
			return nil
		}
		trial[at].Reserve(w)
		more[at]++
		placed[i] = at
	}
	for i, w := range wants {
		all[placed[i]].Reserve(w)
	}
	return placed
}
