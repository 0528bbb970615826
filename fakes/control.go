package fakes

import (
	"encoding/json"
	"net/http"
)

// Record is a started task as a worker reports it for GET /seen.
type Record struct {
	Host  string `json:"host"`
	ID    string `json:"id"`
	Pool  string `json:"pool"`
	Queue string `json:"queue"`
	Kind  string `json:"kind"`
	// Began and Ended are Unix times in nanoseconds; Ended is 0 while the task runs.
	Began int64  `json:"began"`
	Ended int64  `json:"ended"`
	State string `json:"state"`
	// Cut is one of CutReboot, CutStop, CutLease and CutLink, or empty.
	Cut string `json:"cut"`
}

// Records returns every task that the worker has started, including those before a
// reboot.
func (w *Worker) Records() []Record {
	tasks := w.StartedTasks()
	out := make([]Record, 0, len(tasks))
	for i := range tasks {
		t := &tasks[i]
		rec := Record{
			Host: w.name, ID: t.ID, Pool: t.Pool, Queue: t.Queue, Kind: t.Kind,
			Began: t.Began.UnixNano(), State: t.State, Cut: t.Cut,
		}
		if !t.Ended.IsZero() {
			rec.Ended = t.Ended.UnixNano()
		}
		out = append(out, rec)
	}
	return out
}

func (w *Worker) getSeen(rw http.ResponseWriter, _ *http.Request) { reply(rw, w.Records()) }

// postFault sets a worker's faults: {"leaving":BOOL,"broken":BOOL,"reboot":BOOL}. A
// reboot with an "order" is carried out once, however often it arrives.
func (w *Worker) postFault(rw http.ResponseWriter, r *http.Request) {
	var in struct {
		Leaving *bool  `json:"leaving"`
		Broken  *bool  `json:"broken"`
		Reboot  bool   `json:"reboot"`
		Order   string `json:"order"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	if in.Leaving != nil {
		w.SetLeaving(*in.Leaving)
	}
	if in.Broken != nil {
		w.SetBroken(*in.Broken)
	}
	if in.Reboot && w.isNewReboot(in.Order) {
		w.Reboot()
	}
}

// isNewReboot tells whether a reboot order has not been carried out yet, and records
// it as carried out. An order without a name is always new.
func (w *Worker) isNewReboot(order string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if order == "" {
		return true
	}
	done := w.doneReboots[order]
	w.doneReboots[order] = true
	return !done
}

// SetSlots changes the number of slots; running tasks keep theirs.
func (w *Worker) SetSlots(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slots = n
}
