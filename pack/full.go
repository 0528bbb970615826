package pack

import "shallotpaddle/hosts"

// Full remembers which demands found no room while subtasks are placed one after
// the other: room only shrinks meanwhile, so what asks for as much finds none
// either.
//
// It answers a turn that asks more than the pool holds: thousands of subtasks wait,
// and looking at every worker for each of them would take the owner's processor.
type Full struct {
	rooms []hosts.Resources
	fills []hosts.Resources
}

// Add takes in a demand that found no room for want of it alone.
func (f *Full) Add(w *Want) {
	if !w.plain() || f.Has(w) {
		return
	}
	if w.Fills {
		f.fills = append(f.fills, w.Room)
		return
	}
	f.rooms = append(f.rooms, w.Room)
}

// Has tells whether a demand surely finds no room.
func (f *Full) Has(w *Want) bool {
	known := f.rooms
	if w.Fills {
		known = f.fills
	}
	for _, r := range known {
		if (w.Fills || w.Room.CPU >= r.CPU) && w.Room.Mem >= r.Mem && w.Room.GPU >= r.GPU {
			return true
		}
	}
	return false
}

// plain tells whether any worker with room would do.
func (w *Want) plain() bool { return w.Label == "" && w.PerHost == 0 && w.May == nil }
