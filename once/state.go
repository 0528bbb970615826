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
	Log   string `json:"log,omitempty"`
	Phase phase  `json:"phase,omitempty"`
	// From has the logs whose seal on Log the holder may replace, because it has
	// adopted them and with them their intent.
	From []string `json:"from,omitempty"`
	// By is the log of the adopter that seals, or empty for any adopter.
	By string `json:"by,omitempty"`
}

const (
	opJob    = "job"
	opStart  = "start"
	opNotRun = "notrun"
	opRetry  = "retry"
	opCancel = "cancel"
	opEnd    = "end"
	opDrop   = "drop"
	opAdopt  = "adopt" // adds to what is known of an adoption
	opPhase  = "phase" // full state of an adoption
	opSeal   = "seal"
)

// phase tells how far the adoption of another log has come.
type phase string

const (
	intended phase = "intended" // its jobs must not be run by the holder yet
	adopted  phase = "adopted"  // all its jobs are in this log
	retired  phase = "retired"  // it is deleted, or another entry has it
)

// adoption is the holder's word on another log.
type adoption struct {
	phase phase
	from  []string
}

// ledgerState is what a ledger's records add up to.
type ledgerState struct {
	live   *liveSet
	jobs   map[string]*Job
	adopts map[string]adoption
	// sealed tells that the holder may write no more; owner is the log of the
	// adopter, empty while any may adopt.
	sealed bool
	owner  string
}

func (s *ledgerState) reset() {
	s.jobs, s.adopts, s.sealed, s.owner = map[string]*Job{}, map[string]adoption{}, false, ""
}

const adoptID = "adopt:" // prefix of adoptions in the live set

// full returns the record with the full state of a live entity.
func (s *ledgerState) full(id string) any {
	if j, ok := s.jobs[id]; ok {
		return record{Op: opJob, Job: j}
	}
	log := id[len(adoptID):]
	a := s.adopts[log]
	return record{Op: opPhase, Log: log, Phase: a.phase, From: a.from}
}

func (s *ledgerState) apply(n int64, raw json.RawMessage) error {
	var r record
	if err := json.Unmarshal(raw, &r); err != nil {
		return err
	}
	switch r.Op {
	case opJob:
		s.jobs[r.Job.ID] = r.Job
		s.live.rebase(r.Job.ID, n, r.Job.size())
	case opAdopt, opPhase:
		s.applyAdopt(n, &r)
	case opSeal:
		s.sealed, s.owner = true, r.By
	case opDrop:
		delete(s.jobs, r.ID)
		s.live.drop(r.ID)
	case opStart, opNotRun, opRetry, opCancel, opEnd:
		if j := s.jobs[r.ID]; j != nil {
			j.change(&r)
			s.live.resize(j.ID, j.size())
		}
	default:
		return fmt.Errorf("record %q", r.Op)
	}
	return nil
}

func (s *ledgerState) applyAdopt(n int64, r *record) {
	if r.Phase == retired {
		delete(s.adopts, r.Log)
		s.live.drop(adoptID + r.Log)
		return
	}
	a, known := s.adopts[r.Log]
	if r.Op == opPhase {
		a, known = adoption{}, false
	}
	if a.phase != adopted {
		a.phase = r.Phase
	}
	a.from = append(slices.Clone(a.from), r.From...)
	slices.Sort(a.from)
	a.from = slices.Compact(a.from)
	s.adopts[r.Log] = a
	if a.phase == adopted {
		s.unhold(r.Log)
	}
	const fixed = 100
	size := fixed + len(r.Log)*(1+len(a.from))
	if known {
		s.live.resize(adoptID+r.Log, size)
		return
	}
	s.live.rebase(adoptID+r.Log, n, size)
}

// unhold hands the holder the copies of a log, now that it has all of them.
func (s *ledgerState) unhold(log string) {
	for _, j := range s.jobs {
		if j.AdoptedFrom == log {
			j.AdoptionPending = false
		}
	}
}

func (j *Job) change(r *record) {
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
