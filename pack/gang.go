package pack

import (
	"cmp"
	"maps"
	"slices"
)

// Gang returns the index of a worker for each subtask of a gang, and reserves
// their resources. It returns nil and reserves nothing unless all of them find
// room now. With oneRack it tries to place them on a single rack first, and
// spreads them over racks if no rack has the room. Count returns how many subtasks
// of the step run on worker i.
//
// At peak load every rack is partly in use. A gang on several racks runs slower,
// but one that waits for a rack to empty starts too late.
func Gang(demands []*Demand, workers []Worker, oneRack bool, count func(i int) int) []int {
	if oneRack {
		for _, rack := range racksByFreeCPU(workers) {
			if at := placeAll(demands, workers, count, rack); at != nil {
				return at
			}
		}
	}
	return placeAll(demands, workers, count, "")
}

// racksByFreeCPU returns the workers' racks, those with the most free CPU first.
func racksByFreeCPU(workers []Worker) []string {
	free := map[string]int{}
	for i := range workers {
		if w := &workers[i]; w.Rack != "" && !w.Unhealthy {
			free[w.Rack] += w.Free.CPU
		}
	}
	return slices.SortedFunc(maps.Keys(free), func(a, b string) int {
		return cmp.Or(cmp.Compare(free[b], free[a]), cmp.Compare(a, b))
	})
}

// placeAll places either all demands or none. If rack is not empty, it uses only
// workers on that rack.
func placeAll(demands []*Demand, workers []Worker, count func(i int) int, rack string) []int {
	trial := slices.Clone(workers)
	for i := range trial {
		trial[i].Unhealthy = trial[i].Unhealthy || rack != "" && trial[i].Rack != rack
	}
	placed := make([]int, len(demands))
	added := make([]int, len(workers))
	for i, d := range demands {
		at := Choose(d, trial, func(k int) int { return count(k) + added[k] })
		if at < 0 {
			return nil
		}
		trial[at].Reserve(d)
		added[at]++
		placed[i] = at
	}
	for i, d := range demands {
		workers[placed[i]].Reserve(d)
	}
	return placed
}
