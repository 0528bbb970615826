package check

import "shallotpaddle/hosts"

// Fleet is the size of a fleet.
type Fleet struct {
	Hosts int
	// Unknown is the number of hosts whose capacity can't be read. Total counts each of them as the
	// largest known one, so that no quota is reported for what is not known.
	Unknown int
	// Total is the capacity of all hosts, whatever their pool and state: quotas hold over all pools,
	// and a host that is down or on standby comes back.
	Total hosts.Resources
}

// SizeOf returns the size of the fleet with the given hosts. A host that is listed again, as it has
// moved from one page of the list to another, counts once.
func SizeOf(list []hosts.Host) Fleet {
	var f Fleet
	var largest hosts.Resources
	seen := make(map[string]bool, len(list))
	for i := range list {
		h := &list[i]
		if h.Name != "" && seen[h.Name] {
			continue
		}
		seen[h.Name] = true
		f.Hosts++
		if h.Fault != "" {
			f.Unknown++
			continue
		}
		f.Total = plus(f.Total, h.Capacity, 1)
		c := h.Capacity
		largest = hosts.Resources{CPU: max(largest.CPU, c.CPU), Mem: max(largest.Mem, c.Mem), GPU: max(largest.GPU, c.GPU)}
	}
	f.Total = plus(f.Total, largest, f.Unknown)
	return f
}

// plus returns a and n times b.
func plus(a, b hosts.Resources, n int) hosts.Resources {
	return hosts.Resources{CPU: a.CPU + n*b.CPU, Mem: a.Mem + n*b.Mem, GPU: a.GPU + n*b.GPU}
}

// CheckFleet returns the findings that follow from the size of the fleet: quotas that are above it,
// and so never keep a start waiting.
func (d *Draft) CheckFleet(f Fleet) []Finding {
	r := &report{}
	total := [3]int{f.Total.CPU, f.Total.Mem, f.Total.GPU}
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		for k, q := range w.quota() {
			if limit(q.Value) > int64(total[k]) {
				r.add(Warning, w.place(), "the quota of %s is %v, above the %d of the whole fleet (hosts: %d): it limits nothing", q.name, q.Value, total[k], f.Hosts)
			}
		}
	}
	return r.list
}
