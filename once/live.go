package once

import "container/list"

// liveSet orders the live entities of a log (jobs and adoptions, or claims) by
// the segment that holds their full state, oldest first.
type liveSet struct {
	order list.List // of *liveItem, snapshotSegment ascending
	items map[string]*list.Element
	bytes int // sum of sizes
}

type liveItem struct {
	id              string
	snapshotSegment int64 // segment with the full state; later segments hold changes only
	size            int   // bytes of the full state when encoded, approximate
}

func (s *liveSet) reset() {
	s.order.Init()
	s.items = map[string]*list.Element{}
	s.bytes = 0
}

// setSnapshot records that segment n, the newest, holds the full state of id.
func (s *liveSet) setSnapshot(id string, n int64, size int) {
	if e, ok := s.items[id]; ok {
		it := e.Value.(*liveItem)
		s.bytes += size - it.size
		it.snapshotSegment, it.size = n, size
		s.order.MoveToBack(e)
		return
	}
	s.bytes += size
	s.items[id] = s.order.PushBack(&liveItem{id: id, snapshotSegment: n, size: size})
}

// resize records a new size of the full state of id.
func (s *liveSet) resize(id string, size int) {
	if e, ok := s.items[id]; ok {
		it := e.Value.(*liveItem)
		s.bytes += size - it.size
		it.size = size
	}
}

func (s *liveSet) remove(id string) {
	if e, ok := s.items[id]; ok {
		s.bytes -= e.Value.(*liveItem).size
		s.order.Remove(e)
		delete(s.items, id)
	}
}

func (s *liveSet) size(id string) int { return s.items[id].Value.(*liveItem).size }
