package once

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// record is one change of a ledger's state. Op is one of the constants below.
type record struct {
	Op string `json:"op"`
	// Job is the full state of a job, for opJob.
	Job *Job `json:"job,omitempty"`
	// ID is the job that the other operations change.
	ID    string    `json:"id,omitempty"`
	Host  string    `json:"host,omitempty"`
	Boot  string    `json:"boot,omitempty"`
	State State     `json:"state,omitempty"`
	Cause string    `json:"cause,omitempty"`
	At    time.Time `json:"at,omitzero"`
	// Result belongs to opEnd.
	Result *Result `json:"result,omitempty"`
	// Log and Phase describe an adoption by the ledger's holder, for opAdopt
	// and opAdoptionState.
	Log   string        `json:"log,omitempty"`
	Phase adoptionPhase `json:"phase,omitempty"`
	// InheritedFrom has the logs whose seal on Log the holder may replace,
	// because it has adopted them and with them their intent to adopt Log.
	InheritedFrom []string `json:"from,omitempty"`
	// Adopter is the log of the adopter, for opSeal. It is empty if any entry
	// may adopt.
	Adopter string `json:"by,omitempty"`
}

const (
	opJob           = "job"    // full state of a job
	opStart         = "start"  // a dispatch of the job
	opNotRun        = "notrun" // the last dispatch is proved not to have run
	opRetry         = "retry"  // the last dispatch has no outcome; the job may start again
	opCancel        = "cancel" // the caller cancels the job
	opEnd           = "end"    // outcome of the job
	opDrop          = "drop"   // removes the job
	opAdopt         = "adopt"  // changes an adoption
	opAdoptionState = "phase"  // full state of an adoption
	opSeal          = "seal"   // the holder may write no more
)

// adoptionPhase is the progress of the adoption of another log.
type adoptionPhase string

const (
	intended adoptionPhase = "intended" // the holder must not run its jobs yet
	adopted  adoptionPhase = "adopted"  // all its jobs are in this log
	retired  adoptionPhase = "retired"  // it is deleted, or another entry has adopted it
)

// adoptionState is the state of another log's adoption by the ledger's holder.
type adoptionState struct {
	phase         adoptionPhase
	inheritedFrom []string
}

// ledgerState is the state that results from a ledger's records.
type ledgerState struct {
	live      *liveSet
	jobs      map[string]*Job
	adoptions map[string]adoptionState
	// sealed is true when the holder may write no more. adopter is the log of
	// the adopter, empty while any entry may adopt.
	sealed  bool
	adopter string
}

func (s *ledgerState) reset() {
	s.jobs, s.adoptions, s.sealed, s.adopter = map[string]*Job{}, map[string]adoptionState{}, false, ""
}

const adoptionIDPrefix = "adopt:" // prefix of adoptions in the live set

// snapshot returns the record with the full state of a live entity.
func (s *ledgerState) snapshot(id string) any {
	if j, ok := s.jobs[id]; ok {
		return record{Op: opJob, Job: j}
	}
	log := id[len(adoptionIDPrefix):]
	a := s.adoptions[log]
	return record{Op: opAdoptionState, Log: log, Phase: a.phase, InheritedFrom: a.inheritedFrom}
}

func (s *ledgerState) apply(n int64, raw json.RawMessage) error {
	var r record
	if err := json.Unmarshal(raw, &r); err != nil {
		return err
	}
	switch r.Op {
	case opJob:
		s.jobs[r.Job.ID] = r.Job
		s.live.setSnapshot(r.Job.ID, n, r.Job.encodedSize())
	case opAdopt, opAdoptionState:
		s.applyAdoption(n, &r)
	case opSeal:
		s.sealed, s.adopter = true, r.Adopter
	case opDrop:
		delete(s.jobs, r.ID)
		s.live.remove(r.ID)
	case opStart, opNotRun, opRetry, opCancel, opEnd:
		if j := s.jobs[r.ID]; j != nil {
			j.apply(&r)
			s.live.resize(j.ID, j.encodedSize())
		}
	default:
		return fmt.Errorf("record %q", r.Op)
	}
	return nil
}

// applyAdoption applies a record of an adoption. Phase retired removes the
// adoption; otherwise opAdopt adds to InheritedFrom and never goes back from
// adopted.
func (s *ledgerState) applyAdoption(n int64, r *record) {
	if r.Phase == retired {
		delete(s.adoptions, r.Log)
		s.live.remove(adoptionIDPrefix + r.Log)
		return
	}
	a, known := s.adoptions[r.Log]
	if r.Op == opAdoptionState {
		a, known = adoptionState{}, false
	}
	if a.phase != adopted {
		a.phase = r.Phase
	}
	a.inheritedFrom = append(slices.Clone(a.inheritedFrom), r.InheritedFrom...)
	slices.Sort(a.inheritedFrom)
	a.inheritedFrom = slices.Compact(a.inheritedFrom)
	s.adoptions[r.Log] = a
	if a.phase == adopted {
		s.completeAdoption(r.Log)
	}
	const fixed = 100
	size := fixed + len(r.Log)*(1+len(a.inheritedFrom))
	if known {
		s.live.resize(adoptionIDPrefix+r.Log, size)
		return
	}
	s.live.setSnapshot(adoptionIDPrefix+r.Log, n, size)
}

// completeAdoption makes the jobs copied from a log available to the holder,
// once all of them are copied.
func (s *ledgerState) completeAdoption(log string) {
	for _, j := range s.jobs {
		if j.AdoptedFrom == log {
			j.AdoptionPending = false
		}
	}
}

// apply changes the job by a record. An ended job stays as it is, except that a
// later outcome replaces Unknown.
func (j *Job) apply(r *record) {
	if j.State.Ended() && !(j.State == Unknown && r.Op == opEnd) {
		return
	}
	switch r.Op {
	case opStart:
		j.State, j.Host, j.Boot = Started, r.Host, r.Boot
		j.Attempts++
		j.Starts++
	case opNotRun:
		j.Attempts--
		j.reopen(r)
	case opRetry:
		j.reopen(r)
	case opCancel:
		j.CancelRequested = true
		if j.State == Accepted {
			j.reopen(r)
		}
	case opEnd:
		j.State, j.Cause, j.Ended, j.Result, j.Body = r.State, r.Cause, r.At, r.Result, nil
	}
}

// reopen returns the job to state Accepted, or ends it if its cancellation was
// requested.
func (j *Job) reopen(r *record) {
	j.State, j.Cause = Accepted, r.Cause
	if j.CancelRequested {
		j.State, j.Ended, j.Body = Cancelled, r.At, nil
	}
}
