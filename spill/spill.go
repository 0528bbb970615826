// Package spill decides which accepted jobs an owner holds in memory, and which it leaves in the store
// until there is room. It does no I/O and doesn't read the clock.
//
// It answers clients that submit more or larger jobs than a process can hold: an accepted job of the
// largest legal size takes a MB of the process that owns its pool, although its request took a
// quarter of that and a moment.
package spill

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"shallotpaddle/steps"
)

// Class is a class of jobs with room of its own: jobs of one class don't wait for memory that those
// of another hold.
type Class int

// Classes of jobs. Lasting ones run until they are cancelled, others are small or large.
const (
	Small Class = iota
	Large
	Lasting
	classes
)

// Classes are all classes.
var Classes = []Class{Small, Large, Lasting}

const (
	// smallCost is the largest need of a small job, in bytes.
	smallCost = 32 << 10
	// Costs of parts of a job, in bytes; owner.TestNeedCoversMemory measures them. What the runtime
	// allocates for a text is up to an eighth larger than it.
	jobCost, stepCost, taskCost = 1500, 400, 400
	roundingPart                = 8
	// expectedTasks is the number of subtasks of a job that count as begun: what runs at once is
	// bounded by the workers, and those that wait or are done take next to nothing.
	expectedTasks = 16
)

// Need is the memory that a job takes.
type Need struct {
	Class     Class
	Bytes     int
	Workspace string
}

// NeedOf returns about what a job takes, from the length of its stored form.
func NeedOf(j *steps.Job, length int) Need {
	tasks := 0
	for i := range j.Steps {
		tasks += j.Steps[i].Count
	}
	n := Need{Small, jobCost + length + length/roundingPart + len(j.Steps)*stepCost + min(tasks, expectedTasks)*taskCost, j.Workspace}
	switch {
	case j.LongRunning():
		n.Class = Lasting
	case n.Bytes > smallCost:
		n.Class = Large
	}
	return n
}

// endedBytes is what a job that has ended may take without being counted: ordinary jobs are kept for
// minutes after their end, and must not take the room of those that wait.
const endedBytes = 8 << 10

// EndedBytes returns about how many bytes count of a job that has ended, with a number of subtasks that have
// states.
func EndedBytes(j *steps.Job, states int) int {
	return max(len(j.Steps)*stepCost+states*taskCost-endedBytes, 0)
}

// Parts of a process's memory that jobs may take, and the part of these that each owner may take
// whatever others hold.
const (
	smallPart, largePart, lastingPart = 6, 10, 16
	ownPart                           = 32
)

// Room is the memory that all owners of a process may fill with jobs. It is safe for concurrent use.
type Room struct {
	mu    sync.Mutex
	limit [classes]int
	used  [classes]int
	// frees counts how often room was given back.
	frees int
}

// NewRoom returns the room of a process with an amount of memory, nil if that is not known.
func NewRoom(memory int64) *Room {
	if memory <= 0 {
		return nil
	}
	return RoomOf(int(memory/smallPart), int(memory/largePart), int(memory/lastingPart))
}

// RoomOf returns a room with a number of bytes for each class.
func RoomOf(small, large, lasting int) *Room {
	return &Room{limit: [classes]int{Small: small, Large: large, Lasting: lasting}}
}

// take takes room for a job of an owner that holds own bytes, and reports whether there was any. An
// owner without a job of a class always gets it: the largest legal job runs in any pool.
func (r *Room) take(n Need, own int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := r.limit[n.Class]
	if own > 0 && r.used[n.Class]+n.Bytes > limit && own+n.Bytes > limit/ownPart {
		return false
	}
	r.used[n.Class] += n.Bytes
	return true
}

// force takes room for a job that has to be held.
func (r *Room) force(n Need) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used[n.Class] += n.Bytes
}

func (r *Room) free(c Class, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used[c] -= bytes
	r.frees++
}

func (r *Room) freeCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.frees
}

// Job is a job that is left in the store.
type Job struct {
	ID, Queue string
	Need      Need
	Rank      int
	Accepted  int64
	// Scheduled tells that it has several occurrences.
	Scheduled bool
	// Fresh tells that it was accepted after the election of the owner.
	Fresh bool
	// Turn counts how often it was put back as it did not begin.
	Turn int
	// wanted tells that it is to be loaded even if there is no room: a worker has runs of it, or it
	// is cancelled. loading tells that a read is under way.
	wanted, loading bool
	notBefore       time.Time // of the next read
}

// maxWaiting is the number of jobs that wait of which an owner remembers the names, at least: up to twice
// as many, of 200 bytes each. The others are found by a list of the store.
const maxWaiting = 4096

// Jobs has the jobs of one owner. The zero value holds all of them. It is not safe for concurrent use.
type Jobs struct {
	room    *Room // nil for no bound
	own     [classes]int
	waiting map[string]*Job
	number  [classes]int // in waiting
	spaces  map[string]int
	// more tells that the store has jobs that are neither held nor waiting.
	more bool
	// full tells that there was no room for any job that waits when room had been given back
	// fullAt times.
	full   bool
	fullAt int
	// paused tells that a job waits for the time of its next read.
	paused bool
}

// New returns the jobs of an owner; room is nil for no bound.
func New(room *Room) *Jobs {
	return &Jobs{room: room, waiting: map[string]*Job{}, spaces: map[string]int{}}
}

// Hold takes room for a job that was read, and reports whether there was any, and no other of its
// class waits for it. With must it does so in any case.
func (s *Jobs) Hold(n Need, must bool) bool {
	if s.room == nil {
		return true
	}
	switch {
	case must:
		s.room.force(n)
	case s.number[n.Class] > 0 || s.more || !s.room.take(n, s.own[n.Class]):
		return false
	}
	s.count(n, n.Bytes)
	return true
}

func (s *Jobs) count(n Need, bytes int) {
	s.own[n.Class] += bytes
	if s.spaces[n.Workspace] += bytes; s.spaces[n.Workspace] == 0 {
		delete(s.spaces, n.Workspace)
	}
}

// Free gives the room of a job back.
func (s *Jobs) Free(n Need) {
	if s.room == nil {
		return
	}
	s.room.free(n.Class, n.Bytes)
	s.count(n, -n.Bytes)
}

// FreeAll gives the room of all jobs back, at the end of an owner.
func (s *Jobs) FreeAll() {
	if s.room == nil {
		return
	}
	for c, n := range s.own {
		s.room.free(Class(c), n)
		s.own[c] = 0
	}
}

// Leave leaves a job in the store. If there are very many, only those that come first are remembered.
func (s *Jobs) Leave(j Job) {
	if s.waiting[j.ID] != nil {
		return
	}
	s.full = false
	s.waiting[j.ID] = &j
	s.number[j.Need.Class]++
	if len(s.waiting) >= 2*maxWaiting {
		s.more = true
		for _, last := range slices.SortedFunc(maps.Values(s.waiting), s.compare)[maxWaiting:] {
			s.drop(last)
		}
	}
}

func (s *Jobs) drop(j *Job) {
	delete(s.waiting, j.ID)
	s.number[j.Need.Class]--
}

// compare orders jobs by when they are to be loaded: those that must be; then each in its turn, by
// rank, then by acceptance. Of one rank and turn, the job of the workspace that holds least comes first.
func (s *Jobs) compare(a, b *Job) int {
	switch {
	case a.loading != b.loading:
		return firstIf(a.loading)
	case a.wanted != b.wanted:
		return firstIf(a.wanted)
	}
	return cmp.Or(cmp.Compare(a.Turn, b.Turn), cmp.Compare(a.Rank, b.Rank), cmp.Compare(s.spaces[a.Need.Workspace], s.spaces[b.Need.Workspace]),
		cmp.Compare(a.Accepted, b.Accepted), cmp.Compare(a.ID, b.ID))
}

func firstIf(first bool) int {
	if first {
		return -1
	}
	return 1
}

// Waits reports whether a job is left in the store, as far as is known.
func (s *Jobs) Waits(id string) bool { return s.waiting[id] != nil }

// More reports whether the store may have jobs that are neither held nor known to wait.
func (s *Jobs) More() bool { return s.more }

// Waiting returns the number of jobs that are known to wait.
func (s *Jobs) Waiting() int { return len(s.waiting) }

// Queues calls f for the queue of each job that waits and is not scheduled.
func (s *Jobs) Queues(f func(queue string)) {
	for _, j := range s.waiting {
		if !j.Scheduled {
			f(j.Queue)
		}
	}
}

// Want has a job loaded even if there is no room, and reports whether it waits. A job of which
// nothing is known may wait if More reports so.
func (s *Jobs) Want(id string) bool {
	j := s.waiting[id]
	if j == nil && s.more {
		j = &Job{ID: id}
		s.waiting[id] = j
		s.number[Small]++
	}
	if j == nil {
		return false
	}
	j.wanted, s.full = true, false
	return true
}

// Next returns up to n jobs to load now. Their room is taken.
func (s *Jobs) Next(n int, now time.Time) []Job {
	if len(s.waiting) == 0 || n <= 0 {
		return nil
	}
	frees := s.room.freeCount()
	if s.full && s.fullAt == frees {
		return nil // nothing has changed
	}
	var out []Job
	for _, j := range s.first(n, now) {
		if j.wanted {
			s.room.force(j.Need)
		} else if !s.room.take(j.Need, s.own[j.Need.Class]) {
			continue
		}
		s.count(j.Need, j.Need.Bytes)
		j.loading = true
		out = append(out, *j)
	}
	s.full, s.fullAt = len(out) == 0 && !s.paused, frees
	return out
}

// first returns the jobs that come first: of those that must be loaded, or else one of each class.
// The first of a class is not passed by others of it, so that a large one doesn't wait behind
// small ones without end.
func (s *Jobs) first(n int, now time.Time) []*Job {
	var wanted []*Job
	var best [classes]*Job
	s.paused = false
	for _, j := range s.waiting {
		c := j.Need.Class
		switch {
		case j.loading:
		case now.Before(j.notBefore):
			s.paused = true
		case j.wanted:
			wanted = append(wanted, j)
		case best[c] == nil || s.compare(j, best[c]) < 0:
			best[c] = j
		}
	}
	if len(wanted) > 0 {
		slices.SortFunc(wanted, s.compare)
		return wanted[:min(n, len(wanted))]
	}
	var out []*Job
	for _, j := range best {
		if j != nil && len(out) < n {
			out = append(out, j)
		}
	}
	return out
}

// Loaded records that a job was read, or that the store doesn't have it, and no longer waits.
func (s *Jobs) Loaded(id string) {
	if j := s.waiting[id]; j != nil {
		s.drop(j)
	}
}

// Failed gives the room of a job back that could not be read; it waits for the next read until then.
func (s *Jobs) Failed(id string, until time.Time) {
	if j := s.waiting[id]; j != nil {
		s.Free(j.Need)
		j.loading, j.notBefore = false, until
	}
}

// ListDue reports whether all jobs are to be listed again, as few of those that are known still wait.
func (s *Jobs) ListDue() bool { return s.more && len(s.waiting) <= maxWaiting/4 }

// Listing records that all jobs are about to be listed.
func (s *Jobs) Listing() { s.more = false }

// ListFailed records that the list is not complete.
func (s *Jobs) ListFailed() { s.more = true }

// Crowded reports whether jobs of a class wait.
func (s *Jobs) Crowded(c Class) bool { return s.number[c] > 0 }
