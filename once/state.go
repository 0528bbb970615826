package once

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// record is one change of a ledger's state.
type record struct {
	Op string `json:"op"`
	// Job is the full state of a job, for opJob.
	Job *Job `json:"job,omitempty"`
	// ID is the job concerned by the other changes.
	ID    string    `json:"id,omitempty"`
	Host  string    `json:"host,omitempty"`
	Boot  string    `json:"boot,omitempty"`
	State State     `json:"state,omitempty"`
	Cause string    `json:"cause,omitempty"`
	At    time.Time `json:"at,omitzero"`
	// Result belongs to opEnd.
	Result *Result `json:"result,omitempty"`
	// Log and Phase tell of an adoption by the ledger's holder, for opAdopt.
	Log   string        `json:"log,omitempty"`
	Phase adoptionPhase `json:"phase,omitempty"`
	// InheritedFrom has the logs whose seal on Log the holder may replace, because it has
	// adopted them and with them their intent.
	InheritedFrom []string `json:"from,omitempty"`
	// Adopter is the log of the adopter that seals, or empty for any adopter.
	Adopter string `json:"by,omitempty"`
}

const (
	opJob           = "job"
	opStart         = "start"
	opNotRun        = "notrun"
	opRetry         = "retry"
	opCancel        = "cancel"
	opEnd           = "end"
	opDrop          = "drop"
	opAdopt         = "adopt" // adds to what is known of an adoption
	opAdoptionState = "phase" // full state of an adoption
	opSeal          = "seal"
)

// adoptionPhase tells how far the adoption of another log has come.
type adoptionPhase string

const (
	intended adoptionPhase = "intended" // its jobs must not be run by the holder yet
	adopted  adoptionPhase = "adopted"  // all its jobs are in this log
	retired  adoptionPhase = "retired"  // it is deleted, or another entry has it
)

// adoptionState is the holder's word on another log.
type adoptionState struct {
	phase         adoptionPhase
	inheritedFrom []string
}

// ledgerState is what a ledger's records add up to.
type ledgerState struct {
	live      *liveSet
	jobs      map[string]*Job
	adoptions map[string]adoptionState
	// sealed tells that the holder may write no more; owner is the log of the
	// adopter, empty while any may adopt.
	sealed  bool
	adopter string
}

func (s *ledgerState) reset() {
	s.jobs, s.adoptions, s.sealed, s.adopter = map[string]*Job{}, map[string]adoptionState{}, false, ""
}

const adoptionIDPrefix = "adopt:" // prefix of adoptions in the live set

// snapshot returns the record with the snapshot state of a live entity.
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

// completeAdoption hands the holder the copies of a log, now that it has all of them.
func (s *ledgerState) completeAdoption(log string) {
	for _, j := range s.jobs {
		if j.AdoptedFrom == log {
			j.AdoptionPending = false
		}
	}
}

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

// reopen makes the job ready to start, unless it is to be cancelled.
func (j *Job) reopen(r *record) {
	j.State, j.Cause = Accepted, r.Cause
	if j.CancelRequested {
		j.State, j.Ended, j.Body = Cancelled, r.At, nil
	}
}
