package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	lastingJob = "00000000000000b0"
	// firstRun is how long the first run of the subtask works, until it fails.
	firstRun = 5 * time.Second
	// idleFrom and idleFor are the users' figures: from 6 s after its last run on a lasting subtask must
	// not be without a run for 3 s. The worker is lost at the end of that run, so that these 3 s and the
	// 4 s before them are calm.
	idleFrom = 6 * time.Second
	idleFor  = 3 * time.Second
	watchFor = 25 * time.Second
	// lastingCooks is the number of workers: one of them is no more than a share of 0.14.
	lastingCooks = 8
)

// lasting loses a worker for good as the order to start a lasting subtask again arrives there.
func lasting(ctx context.Context, r *rig) (string, error) {
	r.lasting, r.stepFields = true, `,"LongRunning":true`
	if err := errors.Join(r.addWorkers("cooks", lastingCooks), r.configure(1, "cooks", "cooks")); err != nil {
		return "", err
	}
	if err := r.start(ctx); err != nil {
		return "", err
	}
	if err := r.submit(ctx, r.front[0], lastingJob); err != nil {
		return "", err
	}
	var ended time.Time
	for end := time.Now().Add(startLimit); ended.IsZero(); pause(ctx, 20*time.Millisecond) {
		if time.Now().After(end) {
			return "", errors.New("the subtask doesn't start")
		}
		if begun := r.startOf(1); !begun.IsZero() {
			ended = begun.Add(firstRun)
		}
	}
	for end := ended.Add(watchFor); time.Now().Before(end) && ctx.Err() == nil; pause(ctx, 20*time.Millisecond) {
		if again := r.startAfter(1); !again.IsZero() {
			r.record("%s is at work again %.3f s after its last run", lastingJob, again.Sub(ended).Seconds())
			if again.Sub(ended) > idleFrom+idleFor {
				return fmt.Sprintf("LOST: a lasting subtask had no run for %.3f s, with seven workers idle", again.Sub(ended).Seconds()), nil
			}
			return "", nil
		}
	}
	return fmt.Sprintf("LOST: a lasting subtask had no run for %s, with seven workers idle", watchFor), nil
}

// startOf returns when a run of the lasting subtask started, zero if it didn't.
func (r *rig) startOf(run int) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastingStarts[run]
}

// startAfter returns when the first run after a run of the lasting subtask started.
func (r *rig) startAfter(run int) (first time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n, at := range r.lastingStarts {
		if n > run && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// mayLose serves the calls to a worker, which are not answered once it has lost power. The worker
// that is told first to start the lasting subtask again loses power then.
func (r *rig) mayLose(id string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, err := readBody(req)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		var in struct {
			Task string
			Run  int
		}
		_ = json.Unmarshal(body, &in) // next answers what can't be read
		again := in.Run > 1 && req.URL.Path == "/-/run-start"
		r.mu.Lock()
		lose := again && r.lasting && trouble() && r.dark == ""
		if lose {
			r.dark = id
		}
		dark := r.dark == id
		r.mu.Unlock()
		if lose {
			r.record("worker %s loses power for good as the order to start %s run %d arrives", id, in.Task, in.Run)
			r.workers.SetUnreachable(id, true) // calls that wait there get no answer
			r.workers.Crash(id)
		}
		if !dark {
			next.ServeHTTP(w, req)
			return
		}
		<-req.Context().Done() // no answer, ever
		panic(http.ErrAbortHandler)
	})
}
