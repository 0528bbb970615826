package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	takeoverWorkers = 8 // one of them is a share of 0.125
	lostWorker      = "cooks-3"
	shortWork       = time.Second
	jobPause        = 120 * time.Millisecond
	// Times from the first job on.
	darkAt, backAt = 3 * time.Second, 7500 * time.Millisecond
	goneAt, killAt = 12 * time.Second, 12500 * time.Millisecond
	trafficEnd     = 13 * time.Second
	backAfter      = 3500 * time.Millisecond // from the kill of an entry to its start
	// finish is the users' finish_s, and idleFor the time for which a job must not have nothing running.
	finish  = 14 * time.Second
	idleFor = 3 * time.Second
)

// takeover has a worker that was dark and is back under its ID, loses it for good, and kills the
// entry that leads.
func takeover(ctx context.Context, r *rig) (string, error) {
	r.work = shortWork
	if err := errors.Join(r.addWorkers("cooks", takeoverWorkers), r.configure(1, "cooks", "cooks")); err != nil {
		return "", err
	}
	if err := r.start(ctx); err != nil {
		return "", err
	}
	begun := time.Now()
	until := func(at time.Duration) { pause(ctx, time.Until(begun.Add(at))) }
	done := make(chan error, 1)
	go func() { done <- r.disturb(ctx, until) }()
	var ids []string
	for n := 0; time.Since(begun) < trafficEnd && ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%016x", 0xc000+n)
		// A job counts only if it is accepted.
		if err := r.submit(ctx, n, id); err == nil {
			ids = append(ids, id)
		}
		pause(ctx, jobPause)
	}
	ended := time.Now()
	r.record("the traffic ends: %d jobs accepted", len(ids))
	if err := <-done; err != nil {
		return "", err
	}
	pause(ctx, time.Until(ended.Add(finish)))
	idle := r.idleJobs(ctx, ids)
	pause(ctx, idleFor)
	still := r.idleJobs(ctx, idle)
	for _, id := range still {
		r.record("%s was accepted, has had no run, and has nothing running", id)
	}
	r.watchStarts(ctx, still)
	if len(still) > 0 {
		return fmt.Sprintf("LOST: %d of %d accepted jobs had nothing running for %s, %s after the end of the traffic, with seven idle workers", len(still), len(ids), idleFor, finish), nil
	}
	return "", nil
}

// disturb causes the disruption.
func (r *rig) disturb(ctx context.Context, until func(time.Duration)) error {
	if !trouble() {
		return nil
	}
	if os.Getenv("WITHOUT") != "restart" {
		until(darkAt)
		r.darken(lostWorker)
		until(backAt)
		r.revive(lostWorker)
	}
	until(goneAt)
	r.darken(lostWorker)
	until(killAt)
	lead, ok := r.kv.Peek("seat/lead/cooks")
	for i := range r.procs {
		if ok && strings.Contains(string(lead.Value), entryName(i)) {
			r.record("%s leads, and is killed", entryName(i))
			_ = r.procs[i].Process.Kill()
			_ = r.procs[i].Wait()
			pause(ctx, backAfter)
			return r.startEntry(i)
		}
	}
	return errors.New("no entry leads")
}

// darken makes a worker lose power.
func (r *rig) darken(id string) {
	r.mu.Lock()
	r.dark[id] = true
	r.mu.Unlock()
	r.record("worker %s loses power", id)
	r.workers.SetUnreachable(id, true) // calls that wait there get no answer
	r.workers.Crash(id)
}

// revive starts a worker again under its ID.
func (r *rig) revive(id string) {
	w := r.list[id]
	r.workers.Join(w)
	r.site.Enter(w)
	r.mu.Lock()
	delete(r.dark, id)
	r.mu.Unlock()
	r.record("worker %s is back under its ID", id)
}

// mayBeDark serves the calls to a worker, and answers none while it has no power.
func (r *rig) mayBeDark(id string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.mu.Lock()
		dark := r.dark[id]
		r.mu.Unlock()
		if dark {
			<-req.Context().Done()
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, req)
	})
}

// idleJobs returns the jobs of which no subtask has started.
func (r *rig) idleJobs(ctx context.Context, ids []string) (idle []string) {
	for _, id := range ids {
		r.mu.Lock()
		_, begun := r.started[id]
		r.mu.Unlock()
		if !begun {
			status, body, _ := r.call(ctx, http.MethodGet, r.front[0], clientPrefix+id, nil) // the record has it
			r.record("GET %s%s: %d %s", clientPrefix, id, status, body)
			idle = append(idle, id)
		}
	}
	return idle
}

// watchFor is how long the record follows jobs that have had no run.
const watchFor = 20 * time.Second

// watchStarts waits until the jobs have started, for the record.
func (r *rig) watchStarts(ctx context.Context, ids []string) {
	for end := time.Now().Add(watchFor); time.Now().Before(end) && ctx.Err() == nil; pause(ctx, 100*time.Millisecond) {
		left := 0
		r.mu.Lock()
		for _, id := range ids {
			if _, begun := r.started[id]; !begun {
				left++
			}
		}
		r.mu.Unlock()
		if left == 0 {
			return
		}
	}
}
