package bed

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Step is a step of a job as a client hands it in.
type Step struct {
	Count          int
	CPU            int `json:"Cpu"`
	MemMB          int `json:"MemMb"`
	EstimateMs     int
	After          []int  `json:",omitempty"`
	Checkpointing  bool   `json:",omitempty"`
	Gang           bool   `json:",omitempty"`
	LongRunning    bool   `json:",omitempty"`
	Requirements   string `json:",omitempty"`
	MaxPerServer   int    `json:",omitempty"`
	MaxUnavailable int    `json:",omitempty"`
}

// Job is a job as a client hands it in.
type Job struct {
	ID    string `json:"-"`
	Pool  int    `json:"-"`
	Spec  string
	Steps []Step
}

// clientTimeout is how long a client waits for an answer; it tells the entry so.
const clientTimeout = 3 * time.Second

// Answer is an entry's answer to a client. Status is 0 if there was none.
type Answer struct {
	Status int
	State  string // of the job, if the answer has it
	At     time.Time
}

// Submit hands a job in at an entry.
func (b *Bed) Submit(entry int, j *Job) Answer {
	body, err := json.Marshal(j)
	if err != nil {
		return Answer{At: time.Now()}
	}
	b.Workers.AddJob(j)
	return b.call(entry, http.MethodPost, queuePrefix(j.Pool)+j.ID, body)
}

// State asks an entry for the state of a job of the first pool.
func (b *Bed) State(entry int, id string) Answer { return b.StateIn(entry, 0, id) }

// StateIn asks an entry for the state of a job of a pool.
func (b *Bed) StateIn(entry, pool int, id string) Answer {
	return b.call(entry, http.MethodGet, queuePrefix(pool)+id, nil)
}

// Cancel cancels a job of the first pool at an entry.
func (b *Bed) Cancel(entry int, id string) Answer {
	return b.call(entry, http.MethodDelete, queuePrefix(0)+id, nil)
}

func (b *Bed) call(entry int, method, path string, body []byte) Answer {
	a := b.request(entry, method, path, body)
	a.At = time.Now()
	b.Rec.Add("client: %s %s at %s -> %d %s", method, path, b.Entries[entry].Name, a.Status, a.State)
	return a
}

func (b *Bed) request(entry int, method, path string, body []byte) Answer {
	req, err := http.NewRequest(method, "http://"+b.Entries[entry].callers+path, bytes.NewReader(body))
	if err != nil {
		return Answer{}
	}
	req.Host = queueHost
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(clientTimeout.Milliseconds(), 10))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := b.client.Do(req)
	if err != nil {
		return Answer{}
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return Answer{}
	}
	var state struct{ State string }
	_ = json.Unmarshal(text, &state) // not every answer has one
	return Answer{Status: res.StatusCode, State: state.State}
}
