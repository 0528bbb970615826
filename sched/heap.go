package sched

// element is an element of a heap. It stores its own index, so that it can be
// removed without a search.
type element[T any] interface {
	before(T) bool
	setHeapIndex(int)
}

// heap is a binary min-heap ordered by before; each element stores its index.
type heap[T element[T]] []T

func (h *heap[T]) push(x T) {
	*h = append(*h, x)
	h.up(len(*h) - 1)
}

// remove removes the element at index i.
func (h *heap[T]) remove(i int) {
	s := *h
	last := len(s) - 1
	s[i] = s[last]
	var zero T
	s[last] = zero
	*h = s[:last]
	if i < last {
		h.fix(i)
	}
}

// init restores the heap order after any number of elements have changed.
func (h *heap[T]) init() {
	for i := len(*h)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
}

// fix restores the heap order after the element at index i has changed.
func (h *heap[T]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

// up moves the element at index i towards the root.
func (h *heap[T]) up(i int) {
	s := *h
	x := s[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !x.before(s[parent]) {
			break
		}
		s[i] = s[parent]
		s[i].setHeapIndex(i)
		i = parent
	}
	s[i] = x
	x.setHeapIndex(i)
}

// down moves the element at index i towards the leaves and reports whether it
// moved.
func (h *heap[T]) down(i int) bool {
	s := *h
	x, from := s[i], i
	for {
		child := 2*i + 1
		if child >= len(s) {
			break
		}
		if child+1 < len(s) && s[child+1].before(s[child]) {
			child++
		}
		if !s[child].before(x) {
			break
		}
		s[i] = s[child]
		s[i].setHeapIndex(i)
		i = child
	}
	s[i] = x
	x.setHeapIndex(i)
	return i != from
}
