package pack

import "shallotpaddle/hosts"

// Unplaceable remembers which demands found no room while subtasks are placed one after
// the other: room only shrinks meanwhile, so what asks for as much finds none
// either.
//
// It answers a turn that asks more than the pool holds: thousands of subtasks wait,
// and looking at every worker for each of them would take the owner's processor.
type Unplaceable struct {
	regular []hosts.Resources
	filling []hosts.Resources
}

// Add takes in a demand that found no room for want of it alone.
func (f *Unplaceable) Add(w *Demand) {
	if !w.needsOnlyCapacity() || f.Has(w) {
		return
	}
	if w.Fills {
		f.filling = append(f.filling, w.Resources)
		return
	}
	f.regular = append(f.regular, w.Resources)
}

// Has tells whether a demand surely finds no room.
func (f *Unplaceable) Has(w *Demand) bool {
	known := f.regular
	if w.Fills {
		known = f.filling
	}
	for _, r := range known {
		if (w.Fills || w.Resources.CPU >= r.CPU) && w.Resources.Mem >= r.Mem && w.Resources.GPU >= r.GPU {
			return true
		}
	}
	return false
}

// needsOnlyCapacity tells whether any worker with room would do.
func (w *Demand) needsOnlyCapacity() bool {
	return w.Label == "" && w.MaxPerWorker == 0 && w.MayRunOn == nil
}
