package quota

import "shallotpaddle/hosts"

// amount is CPU in thousandths of a core, memory in MiB and GPUs in devices, as stored.
type amount struct {
	CPU int `json:"cpu,omitempty"`
	Mem int `json:"mem,omitempty"`
	GPU int `json:"gpu,omitempty"`
}

func (a amount) each(b amount, f func(x, y int) int) amount {
	return amount{f(a.CPU, b.CPU), f(a.Mem, b.Mem), f(a.GPU, b.GPU)}
}

func (a amount) plus(b amount) amount  { return a.each(b, func(x, y int) int { return x + y }) }
func (a amount) minus(b amount) amount { return a.each(b, func(x, y int) int { return x - y }) }
func (a amount) min(b amount) amount   { return a.each(b, func(x, y int) int { return min(x, y) }) }
func (a amount) max(b amount) amount   { return a.each(b, func(x, y int) int { return max(x, y) }) }
func (a amount) dividedBy(n int) amount {
	return amount{a.CPU / n, a.Mem / n, a.GPU / n}
}

// limitedBy returns the amount without the resources that a quota doesn't limit.
func (a amount) limitedBy(quota amount) amount {
	return a.each(quota, func(x, q int) int {
		if q <= 0 {
			return 0
		}
		return x
	})
}

// within reports whether no resource exceeds a limit.
func (a amount) within(limit amount) bool {
	return a.CPU <= limit.CPU && a.Mem <= limit.Mem && a.GPU <= limit.GPU
}

func (a amount) none() bool { return a == amount{} }

// part returns the largest part of a quota that an amount takes, in its resources.
func (a amount) part(quota amount) float64 {
	most := 0.0
	for _, p := range [][2]int{{a.CPU, quota.CPU}, {a.Mem, quota.Mem}, {a.GPU, quota.GPU}} {
		if p[1] > 0 {
			most = max(most, float64(p[0])/float64(p[1]))
		}
	}
	return most
}

func of(r hosts.Resources) amount { return amount(r) }
