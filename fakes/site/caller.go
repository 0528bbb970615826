package site

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"shallotpaddle/steps"
)

// Word is the meaning of an entry's answer to a caller.
type Word uint8

// Words of an entry.
const (
	NoAnswer Word = iota // or one that leaves open whether the request was carried out
	Yes                  // accepted, cancelled, or the state is given
	Rejected             // not accepted; the job never runs
	Gone                 // no such job
	NoQueue              // no such queue; a job that was handed in never runs
	Denied               // the call has no key of a workspace
)

// Caller sends callers' requests, on connections that it keeps open.
type Caller struct {
	http *http.Client
	// Twist falsifies an answer, unless it is nil.
	Twist func(method string, status int, state string) (int, string)
}

// NewCaller returns a caller that waits for an answer for at most wait.
func NewCaller(wait time.Duration) *Caller {
	return &Caller{http: &http.Client{Timeout: wait, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
}

// Close closes the connections that are not in use.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// wireStep is the wire format of a step.
type wireStep struct {
	Count, EstimateMs int64
	CPU               int   `json:"Cpu"`
	Mem               int   `json:"MemMb"`
	After             []int `json:",omitempty"`
	Gang, LongRunning bool  `json:",omitempty"`
	MaxPerWorker      int   `json:"MaxPerServer,omitempty"`
}

// Submit hands a job in at an entry's address, with a key unless that is empty, as the next.
func (c *Caller) Submit(ctx context.Context, address, key string, j *steps.Job) Word {
	in := struct {
		Spec                string
		Steps               []wireStep
		Repetitions         int   `json:",omitempty"`
		FirstMs, IntervalMs int64 `json:",omitempty"`
	}{Spec: j.Payload, Repetitions: j.Repetitions, FirstMs: j.FirstMs, IntervalMs: j.IntervalMs}
	for i := range j.Steps {
		s := &j.Steps[i]
		in.Steps = append(in.Steps, wireStep{
			Count: int64(s.Count), EstimateMs: s.EstimateMs, CPU: s.CPU, Mem: s.Mem, After: s.After,
			Gang: s.Gang, LongRunning: s.LongRunning, MaxPerWorker: s.MaxPerWorker,
		})
	}
	b, err := json.Marshal(in)
	if err != nil {
		return NoAnswer
	}
	word, _, _ := c.call(ctx, http.MethodPost, address, key, prefix(j.Queue)+j.ID, b)
	return word
}

// State asks for the state of a job.
func (c *Caller) State(ctx context.Context, address, key string, j *steps.Job) (Word, string) {
	word, state, _ := c.call(ctx, http.MethodGet, address, key, prefix(j.Queue)+j.ID, nil)
	return word, state
}

// Cancel cancels a job.
func (c *Caller) Cancel(ctx context.Context, address, key string, j *steps.Job) Word {
	word, _, _ := c.call(ctx, http.MethodDelete, address, key, prefix(j.Queue)+j.ID, nil)
	return word
}

// Pending asks for the number of waiting jobs of a queue, and tells whether there is such
// a queue.
func (c *Caller) Pending(ctx context.Context, address, key, queue string) Word {
	word, _, _ := c.call(ctx, http.MethodGet, address, key, prefix(queue), nil)
	return word
}

// Ready tells whether an entry reports that it is ready.
func (c *Caller) Ready(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/-/readyz", nil)
	if err != nil {
		return false
	}
	res, err := c.http.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (c *Caller) call(ctx context.Context, method, address, key, path string, body []byte) (Word, string, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return NoAnswer, "", fmt.Errorf("site: %w", err)
	}
	req.Host = Host
	if key != "" {
		req.Header.Set("Api-Key", key)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return NoAnswer, "", fmt.Errorf("site: %w", err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return NoAnswer, "", fmt.Errorf("site: %w", err)
	}
	var got struct{ State string }
	_ = json.Unmarshal(b, &got) // not every answer has a state
	status, state := res.StatusCode, got.State
	if c.Twist != nil {
		status, state = c.Twist(method, status, state)
	}
	return wordOf(method, status), state, nil
}

// wordOf returns the meaning of a status.
func wordOf(method string, status int) Word {
	switch {
	case status < http.StatusMultipleChoices:
		return Yes
	case status == http.StatusGone:
		return Gone
	case status == http.StatusNotFound:
		return NoQueue
	case status == http.StatusUnauthorized:
		return Denied
	case method == http.MethodPost && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable):
		return Rejected
	default:
		return NoAnswer
	}
}
