package main

import (
	"context"
	"strconv"
	"time"

	"shallotpaddle/fakes/site"
)

const (
	// configPeriod is how often each entry is asked for the newest queue.
	configPeriod = 150 * time.Millisecond
	// configLimit is the longest time until a configuration is in force, the users'
	// ConfigApplyMs.
	configLimit = 2 * time.Second
)

// newestQueue returns the number of configurations that added a queue, and the time of
// the last one.
func (s *Soak) newestQueue() (int, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configs, s.configAt
}

// configure writes a configuration with all queues and workspaces. change, unless it is nil,
// changes the workspaces.
func (s *Soak) configure(change func(list []*space)) {
	s.configuring.Lock()
	defer s.configuring.Unlock()
	n, _ := s.newestQueue()
	version := int64(1 + 3*s.versions)
	s.versions++
	if s.spaces == nil {
		s.site.PutConfig(version, maxAttempts, n)
		return
	}
	list, written := s.spaces.update(change)
	if s.opt.plant.spaces != nil {
		list = s.opt.plant.spaces(s.versions, list)
	}
	public := s.spaces.openness().public
	if s.opt.plant.public != nil {
		public = s.opt.plant.public(public)
	}
	s.site.SetPublic(openQueue, public)
	s.site.PutConfig(version, maxAttempts, n, list...)
	written()
}

// checkConfig asks an entry for the newest queue, until the context ends: it must serve
// that in time, and always if it has served it in the life of its process.
func (s *Soak) checkConfig(ctx context.Context, en *entry) {
	served, process := 0, en.process()
	for ; ctx.Err() == nil; wait(ctx, configPeriod) {
		n, at := s.newestQueue()
		if p := en.process(); p != process {
			served, process = 0, p
		}
		if n == 0 {
			continue
		}
		late, calm := time.Since(at) > configLimit, s.checks.isCalm()
		word := s.caller.Pending(ctx, en.Callers, s.validKey(n), site.ExtraQueue(n-1))
		if en.process() != process {
			continue
		}
		switch word {
		case site.NoQueue:
			s.check("CONFIG", served < n, "%s doesn't serve queue %d any more", en.Name, n)
			s.check("CONFIG", !late || !calm, "%s doesn't serve queue %d, %s after its configuration", en.Name, n, time.Since(at))
		case site.Yes:
			s.check("CONFIG", true, "")
			served = n
		}
	}
}

// checkWaves checks that the waves that are shown as completed are.
func (s *Soak) checkWaves() {
	for i := range s.waveCount() {
		if completed, left := s.site.WaveState(strconv.Itoa(i + 1)); completed {
			s.check("MIXED", len(left) == 0, "wave %d is shown as completed without %v", i+1, left)
		}
	}
}

func (s *Soak) waveCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waves
}

// awaitWaves waits until all waves are shown as completed.
func (s *Soak) awaitWaves(ctx context.Context) {
	for i := range s.waveCount() {
		completed, left := s.site.WaveState(strconv.Itoa(i + 1))
		for !completed && ctx.Err() == nil {
			wait(ctx, askPeriod)
			completed, left = s.site.WaveState(strconv.Itoa(i + 1))
		}
		if !s.interrupted() {
			s.check("MIXED", completed, "wave %d is not completed in the end, without %v", i+1, left)
		}
	}
}
