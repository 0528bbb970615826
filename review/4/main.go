// Case 4: a job is handed in at an entry while the store does not answer that entry. The client
// hears that the outcome is unknown, cancels the job at another entry, and hears that there is no
// such job. The write is carried out late, and the job runs.
package main

import (
	"fmt"
	"net/http"
	"time"

	"shallotpaddle/review/bed"
)

const (
	entries = 3
	workers = 4
	jobID   = "9f41c07be2d8a635"
	otherID = "0b7d5520aa31c9e4" // of a job that shows that the pool works

	silence = 1400 * time.Millisecond
	late    = 6 * time.Second // from a write that gets no answer until it is carried out
	watched = 14 * time.Second
)

func main() { bed.Run(bed.Options{Entries: entries, Workers: workers}, play) }

func play(b *bed.Bed, trouble bool) (string, error) {
	other := &bed.Job{ID: otherID, Spec: "meal-log", Steps: []bed.Step{{Count: 4, CPU: 1800, MemMB: 3600, EstimateMs: 800}}}
	if a := b.Submit(b.Leader(), other); a.Status != http.StatusOK {
		return "", fmt.Errorf("the first job was answered %d", a.Status)
	}
	time.Sleep(3 * time.Second)
	if a := b.State(b.Leader(), otherID); a.State != "completed" {
		return "", fmt.Errorf("the first job is %q", a.State)
	}
	at := b.Follower()
	if at < 0 {
		return "", fmt.Errorf("no entry without a role")
	}
	if trouble {
		b.Silence(at, late)
		time.AfterFunc(silence, func() { b.Serve(at) })
	}
	job := &bed.Job{ID: jobID, Spec: "incident-note", Steps: []bed.Step{{Count: 4, CPU: 1800, MemMB: 3600, EstimateMs: 8000}}}
	handedIn := b.Submit(at, job)
	if trouble && handedIn.Status != http.StatusGatewayTimeout && handedIn.Status != 0 {
		return "", fmt.Errorf("the job was answered %d while the store was silent", handedIn.Status)
	}
	cancelled := b.Cancel(b.Leader(), jobID)
	if s := cancelled.Status; s != http.StatusOK && s != http.StatusGone {
		return "", fmt.Errorf("the cancellation was answered %d", s)
	}
	b.State(b.Leader(), jobID)
	time.Sleep(watched)
	b.State(b.Leader(), jobID)
	return judge(b, cancelled), nil
}

// judge returns what broke the rule UNASKED: a subtask starts later than bed.Cancel after the
// cancellation was acknowledged.
func judge(b *bed.Bed, cancelled bed.Answer) string {
	for _, s := range b.Workers.Starts(jobID) {
		if after := s.At.Sub(cancelled.At); after > bed.Cancel {
			return fmt.Sprintf("%s was started %s after the cancellation was answered %d; the bound is %s", s.Task, after.Round(time.Millisecond), cancelled.Status, bed.Cancel)
		}
	}
	return ""
}
