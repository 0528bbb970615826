package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"
)

// cases has a function for each case, which returns what was broken, or "".
var cases = map[string]func(*stage) (string, error){
	"flap":   playFlap,
	"rolled": playRolled,
	"held":   playHeld,
	"rack":   playRack,
	"barred": playBarred,
	"late":   playLate,
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

// plain returns the labels of worker i of a pool whose workers are alike.
func plain(i int) []string { return []string{"a", fmt.Sprintf("r%d", 1+i/4)} }

// lasting is a step of subtasks that last, one or two on a worker.
func lasting(count int) map[string]any {
	return map[string]any{"Count": count, "Cpu": 2000, "MemMb": 1024, "LongRunning": true, "MaxPerServer": 2}
}

// One of eight workers is lost for good. Meanwhile the entries are stopped and started in turn, each
// time the one that leads. The subtask that ran on the worker has to run elsewhere soon.
func playRolled(s *stage) (string, error) {
	if err := s.start(8, 3, plain); err != nil {
		return "", err
	}
	const job, count = "00000000000000b1", 8
	accepted := time.Now()
	if err := s.submit(job, 0, lasting(count)); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		s.workers[0].loseForGood(false)
		time.Sleep(200 * time.Millisecond)
		errs := make(chan error, 1)
		go func() { errs <- s.roll(4, 1100*time.Millisecond) }()
		broken := s.watchLasting(job, count, accepted, 20*time.Second)
		return broken, <-errs
	}
	return s.watchLasting(job, count, accepted, 20*time.Second), nil
}

// roll stops and starts entries in turn, each time the one that leads the pool.
func (s *stage) roll(times int, gap time.Duration) error {
	for range times {
		if e := s.owner(); e != nil {
			if err := s.restart(e); err != nil {
				return err
			}
		}
		time.Sleep(gap)
	}
	return nil
}

// Of eight workers, the one that runs nothing is lost for good, silently. Half a second later a subtask
// that lasts fails on another worker. It has to run again soon.
func playHeld(s *stage) (string, error) {
	if err := s.start(8, 3, plain); err != nil {
		return "", err
	}
	const job, count = "00000000000000c1", 7
	accepted := time.Now()
	if err := s.submit(job, 0, lasting(count)); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	idle, busy := -1, -1
	for i, w := range s.workers {
		if w.countRuns() == 0 {
			idle = i
		} else {
			busy = i
		}
	}
	if idle < 0 || busy < 0 {
		return "", errNoIdle
	}
	if s.trouble {
		s.workers[idle].loseForGood(true)
		time.Sleep(500 * time.Millisecond)
	}
	s.workers[busy].failOne()
	return s.watchLasting(job, count, accepted, 25*time.Second), nil
}

var errNoIdle = errors.New("the subtasks are not on seven of the eight workers")

// A rack is lost for good, with four of the eight workers and the entry that leads the pool. The subtasks
// that ran there and last have to run on the other four workers soon.
func playRack(s *stage) (string, error) {
	if err := s.start(8, 3, plain); err != nil {
		return "", err
	}
	const job, count = "00000000000000d1", 8
	accepted := time.Now()
	if err := s.submit(job, 0, lasting(count)); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	if s.trouble {
		e := s.owner()
		if e == nil {
			return "", errNoLeader
		}
		s.note("SIGKILL to %s, for good", e.name)
		_ = e.proc.Process.Kill() // it may have ended
		for _, w := range s.workers[:4] {
			w.loseForGood(true)
		}
		s.entries = slices.DeleteFunc(s.entries, func(v *entry) bool { return v == e })
	}
	return s.watchLasting(job, count, accepted, 40*time.Second), nil
}

var errNoLeader = errors.New("the pool has no leader")

// A job whose hand-in breaks off is cancelled, which is answered 410. Then the store turns the entry
// that answered away for a second, with its leases. The hand-in that arrives again after that, at
// another entry, must not run.
func playBarred(s *stage) (string, error) {
	if err := s.start(8, 3, plain); err != nil {
		return "", err
	}
	leader := s.owner()
	if leader == nil {
		return "", errNoLeader
	}
	others := slices.DeleteFunc(slices.Clone(s.entries), func(v *entry) bool { return v == leader })
	const job = "00000000000000e1"
	s.mu.Lock()
	s.work[job] = time.Second
	s.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"Spec": "late", "Steps": []any{map[string]any{"Count": 1, "Cpu": 1000, "MemMb": 512, "EstimateMs": 1000}}})
	if err := breakOff(others[1], job, body); err != nil {
		return "", err
	}
	s.note("POST %s at %s: the channel breaks before the whole request has arrived", job, others[1].name)
	status, _ := callAt(others[0], http.MethodDelete, job, nil)
	cancelled := time.Now()
	s.note("DELETE %s at %s answered %d", job, others[0].name, status)
	if status != http.StatusGone && status != http.StatusOK {
		return "", errNotCancelled
	}
	time.Sleep(300 * time.Millisecond)
	if s.trouble {
		s.note("the store turns %s away, with its leases", others[0].name)
		others[0].store.turnAway(time.Second)
		s.note("the store serves %s again", others[0].name)
	}
	time.Sleep(time.Until(cancelled.Add(contact + 2*time.Second)))
	status, _ = callAt(others[1], http.MethodPost, job, body)
	s.note("POST %s at %s answered %d", job, others[1].name, status)
	time.Sleep(3 * time.Second)
	s.mu.Lock()
	n := s.taskOf(job + ".0.0.0").runs
	s.mu.Unlock()
	if n > 0 {
		return fmt.Sprintf("UNASKED: a subtask of %s started more than %s after its cancelling was acknowledged", job, cancelTime), nil
	}
	return "", nil
}

const (
	contact    = 3 * time.Second // ContactMs
	cancelTime = 3 * time.Second // cancel_ms
)

var errNotCancelled = errors.New("the cancellation was not acknowledged")

// breakOff hands a job in and closes the channel before the whole request has arrived.
func breakOff(e *entry, id string, body []byte) error {
	c, err := net.Dial("tcp", e.callers)
	if err != nil {
		return err
	}
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		prefix, id, host, len(body), body[:len(body)/2])
	return err
}

// One of eight workers is dark for 7.3 s and comes back under its ID. A job is handed in just after
// that began, and the entry that leads the pool is stopped and started again. No subtask may have two
// runs at the same time.
func playLate(s *stage) (string, error) {
	if err := s.start(8, 3, plain); err != nil {
		return "", err
	}
	const job = "00000000000000f1"
	leader := s.owner()
	if leader == nil {
		return "", errNoLeader
	}
	dark := time.Now()
	if s.trouble {
		s.workers[0].goDark()
	}
	time.Sleep(200 * time.Millisecond)
	step := map[string]any{"Count": 8, "Cpu": 16000, "MemMb": 1024, "EstimateMs": 12000}
	if err := s.submit(job, 12*time.Second, step); err != nil {
		return "", err
	}
	time.Sleep(400 * time.Millisecond)
	if s.trouble {
		if err := s.restart(leader); err != nil {
			return "", err
		}
		time.Sleep(time.Until(dark.Add(7300 * time.Millisecond)))
		if err := s.workers[0].comeBack(); err != nil {
			return "", err
		}
	}
	for limit := time.Now().Add(60 * time.Second); time.Now().Before(limit); time.Sleep(200 * time.Millisecond) {
		if twice := s.firstTwice(); twice != "" {
			time.Sleep(2 * time.Second) // for the record
			return twice, nil
		}
		if s.state(job) == "completed" {
			return "", nil
		}
	}
	return fmt.Sprintf("LOST: job %s has not ended in time", job), nil
}

// firstTwice returns the first subtask that had two runs at the same time, or "".
func (s *stage) firstTwice() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.twice
}
