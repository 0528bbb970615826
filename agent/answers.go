package agent

import (
	"sync"

	"shallotpaddle/platform"
)

// maxAnswersKept is the number of jobs whose last answer an entry remembers.
const maxAnswersKept = 4096

// stateAnswer is what a caller was told of a job.
type stateAnswer struct {
	state   string
	outcome platform.Outcome
}

// stateAnswers remembers the last answer on each of the jobs that were asked for lately.
type stateAnswers struct {
	mu   sync.Mutex
	last map[string]stateAnswer // by job ID
	// ids has the jobs in last in order of their first request. It is a ring once it is
	// full, and next is its oldest place then.
	ids  []string
	next int
}

func newStateAnswers() *stateAnswers { return &stateAnswers{last: map[string]stateAnswer{}} }

// tellsNew records an answer and reports whether it differs from the last one on the job.
// A first answer does if it has no state of the job: the owner has logged the others.
func (s *stateAnswers) tellsNew(id string, a platform.Answer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := stateAnswer{a.State, a.Outcome}
	last, known := s.last[id]
	s.last[id] = answer
	if known {
		return last != answer
	}
	if len(s.ids) < maxAnswersKept {
		s.ids = append(s.ids, id)
	} else {
		delete(s.last, s.ids[s.next])
		s.ids[s.next] = id
		s.next = (s.next + 1) % maxAnswersKept
	}
	return a.Outcome != platform.Done
}
