package main

import (
	"fmt"
	"time"
)

// cases has a function for each case, which returns what was broken, or "".
var cases = map[string]func(*stage) (string, error){
	"flap": playFlap,
}

// Of eight workers, the one with a label goes down and up by turns for 13 s, which are two
// such disruptions of 6.5 s, one after the other. A job whose
// subtask needs that label has to be completed afterwards.
func playFlap(s *stage) (string, error) {
	const flapping = 0
	labels := func(i int) []string {
		if i == flapping {
			return []string{"b", "r1"}
		}
		return []string{"a", fmt.Sprintf("r%d", 1+i/4)}
	}
	if err := s.start(8, 3, labels); err != nil {
		return "", err
	}
	const job = "00000000000000a1"
	if err := s.submit(job, 3*time.Second, map[string]any{"Count": 1, "Cpu": 2000, "MemMb": 1024, "EstimateMs": 3000, "Requirements": "b"}); err != nil {
		return "", err
	}
	time.Sleep(200 * time.Millisecond)
	const period, length = 1400 * time.Millisecond, 6500 * time.Millisecond
	if s.trouble {
		for spell := range 2 {
			for begun := time.Now(); time.Since(begun) < length; {
				s.workers[flapping].down(fmt.Sprintf("goes down and up, spell %d", spell+1))
				time.Sleep(period / 2)
				if err := s.workers[flapping].up(); err != nil {
					return "", err
				}
				time.Sleep(period / 2)
			}
		}
	}
	s.note("the disruption is over")
	for limit := time.Now().Add(40 * time.Second); time.Now().Before(limit); time.Sleep(200 * time.Millisecond) {
		state := s.state(job)
		switch state {
		case "completed":
			s.note("GET %s: %s", job, state)
			return "", nil
		case "failed", "cancelled", "410":
			s.note("GET %s: %s", job, state)
			if n := s.ends(job, "failed"); n < 3 {
				return fmt.Sprintf("LOST: job %s is shown as %s; %d of its runs ended failed, it may have 3", job, state, n), nil
			}
			return "", nil
		}
	}
	return fmt.Sprintf("LOST: job %s has not ended 40 s after the disruption", job), nil
}
