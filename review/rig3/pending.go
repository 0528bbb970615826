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
	// workTime is how long a subtask works.
	workTime = 12 * time.Second
	// waitingJobs is the number of jobs beside those that fill the service.
	waitingJobs = 30
	cooks       = 4 // workers of the first service
	bakers      = 2 // workers of the other one
	// countable is the users' visible_ms and 2 s: after that time an accepted job counts.
	countable = 5 * time.Second
	// settled is longer than the users' ConfigApplyMs and ContactMs.
	settled = 6 * time.Second
	askFor  = 6 * time.Second
)

// pending asks each entry for the number of waiting jobs of a queue whose service has changed.
func pending(ctx context.Context, r *rig) (string, error) {
	if err := errors.Join(r.addWorkers("cooks", cooks), r.addWorkers("bakers", bakers), r.configure(1, "cooks", "cooks", "bakers")); err != nil {
		return "", err
	}
	if err := r.start(ctx); err != nil {
		return "", err
	}
	for n := range cooks + waitingJobs {
		if err := r.submit(ctx, n, fmt.Sprintf("%016x", 0xa0+n)); err != nil {
			return "", err
		}
	}
	pause(ctx, countable+time.Second)
	if text, err := r.askPending(ctx, "before the change"); text != "" || err != nil {
		return text, err
	}
	service := "cooks"
	if trouble() {
		service = "bakers"
	}
	if err := r.configure(4, service, "cooks", "bakers"); err != nil {
		return "", err
	}
	pause(ctx, settled)
	first := ""
	for end := time.Now().Add(askFor); time.Now().Before(end) && ctx.Err() == nil; pause(ctx, 500*time.Millisecond) {
		text, err := r.askPending(ctx, "after it")
		if err != nil {
			return "", err
		}
		if first == "" {
			first = text
		}
	}
	r.askStates(ctx)
	return first, nil
}

// askStates asks for the state of each accepted job.
func (r *rig) askStates(ctx context.Context) {
	for n := range cooks + waitingJobs {
		path := fmt.Sprintf("%s%016x", clientPrefix, 0xa0+n)
		status, body, _ := r.call(ctx, http.MethodGet, r.front[n%len(r.front)], path, nil) // the record has it
		r.record("GET %s: %d %s", path, status, body)
	}
}

// askPending asks each entry once, and returns the text of what broke the rule first.
func (r *rig) askPending(ctx context.Context, when string) (string, error) {
	first := ""
	for n, a := range r.front {
		sent := time.Now()
		status, body, err := r.call(ctx, http.MethodGet, a, clientPrefix, nil)
		if err != nil || status != http.StatusOK {
			return "", fmt.Errorf("no number of waiting jobs %s: %d %w", when, status, err)
		}
		var got struct{ Pending int }
		if err := json.Unmarshal(body, &got); err != nil {
			return "", fmt.Errorf("rig3: %w", err)
		}
		waiting := r.waiting(sent, countable)
		r.record("GET %s at entry %d %s: %s; %d jobs accepted over %s before haven't begun", clientPrefix, n, when, body, waiting, countable)
		if 2*got.Pending < waiting && first == "" {
			first = fmt.Sprintf("MIXED: entry %d gives %d jobs as Pending %s, and %d wait", n, got.Pending, when, waiting)
		}
	}
	return first, nil
}
