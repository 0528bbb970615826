package site

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"shallotpaddle/hosts"
	"shallotpaddle/platform"
)

// Times of orders on machines.
const (
	moveTime        = 1500 * time.Millisecond
	maintenanceTime = 2 * time.Second
)

// Machines are told of what happens to a machine.
type Machines struct {
	// Left is called when an order ends the worker on a machine.
	Left func(w hosts.Worker)
	// Back is called when a machine is to have a new worker, in a pool.
	Back func(machine, pool string)
}

// machine is a machine of the fleet service.
type machine struct {
	worker hosts.Worker
	state  hosts.State
	fence  int64
	holder string
	kept   map[string]bool // waves for which its maintenance has begun
}

// wave is a requested maintenance wave.
type wave struct {
	machines []string
	maxDown  int
	down     int
}

// Enter records that a worker runs on its machine, which joins the fleet or is back.
func (s *Site) Enter(w hosts.Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.machines[w.Host]
	if m == nil {
		m = &machine{kept: map[string]bool{}}
		s.machines[w.Host] = m
	}
	m.worker, m.state = w, hosts.Up
}

// Leave removes a machine from the fleet.
func (s *Site) Leave(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.machines, name)
}

// FleetHandler serves the fleet service.
func (s *Site) FleetHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", s.listMachines)
	mux.HandleFunc("POST /-/machine-move", s.orderMachine)
	mux.HandleFunc("POST /-/machine-upkeep", s.orderMachine)
	return mux
}

func (s *Site) listMachines(w http.ResponseWriter, _ *http.Request) {
	up := map[string]hosts.Worker{}
	for _, v := range s.workers.Registered() {
		up[v.ID] = v
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []any{}
	for _, name := range slices.Sorted(maps.Keys(s.machines)) {
		m := s.machines[name]
		state, worker := m.state, m.worker
		if v, ok := up[worker.ID]; ok {
			worker = v
		} else if state == hosts.Up {
			state = hosts.Down
		}
		list = append(list, map[string]any{
			"Machine": name, "Pool": worker.Pool, "State": state, "Zone": worker.Centre, "Labels": worker.Labels,
			"Capacity": capacity(worker.Capacity), "Id": worker.ID,
		})
	}
	reply(w, http.StatusOK, map[string]any{"Machines": list})
}

// orderMachine carries out a move, or a maintenance if the order has a wave.
func (s *Site) orderMachine(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Machine, Pool string
		Wave          json.Number
	}
	if !decode(w, r, &in) {
		return
	}
	fence, _ := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64) // 0 if it can't be read
	holder := r.Header.Get("X-Lease-Holder")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.twists.Sender != nil {
		holder, fence = s.twists.Sender(holder, fence)
	}
	m := s.machines[in.Machine]
	switch {
	case m == nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	case s.twists.SkipOrder != nil && s.twists.SkipOrder(in.Machine):
		reply(w, http.StatusOK, struct{}{})
		return
	}
	reason := s.carryOut(m, in.Machine, in.Pool, in.Wave.String(), fence, holder)
	if reason != "" {
		reply(w, http.StatusConflict, map[string]any{"Reason": reason})
		return
	}
	reply(w, http.StatusOK, struct{}{})
}

// carryOut carries out an order on a machine, or returns the reason of its refusal.
func (s *Site) carryOut(m *machine, name, pool, number string, fence int64, holder string) string {
	if fence < m.fence {
		return "fence"
	}
	if fence == m.fence && holder != m.holder {
		s.workers.Violate("ONE " + name + " had orders of " + m.holder + " and " + holder + " with one token")
	}
	m.fence, m.holder = fence, holder
	if number == "" {
		if m.worker.Pool == pool {
			return ""
		}
		if !s.free(m) {
			return "busy"
		}
		s.down(m, name, hosts.Moving, pool, moveTime, func() {})
		return ""
	}
	v := s.waves[number]
	switch {
	case v == nil || !slices.Contains(v.machines, name):
		return "wave"
	case m.kept[number]:
		return ""
	case !s.free(m):
		return "busy"
	}
	if v.down >= v.maxDown {
		s.workers.Violate("LIMIT " + name + " begins its upkeep while " + strconv.Itoa(v.down) + " of its wave are down")
	}
	m.kept[number] = true
	v.down++
	s.down(m, name, hosts.Maintenance, m.worker.Pool, maintenanceTime, func() { v.down-- })
	return ""
}

// free tells whether an order on a machine may be carried out; s.mu is held.
func (s *Site) free(m *machine) bool {
	if m.state != hosts.Up {
		return false
	}
	for _, v := range s.workers.Registered() {
		if v.ID == m.worker.ID {
			return !v.Draining
		}
	}
	return false
}

// down ends the worker of a machine, which is back in a pool after a time.
func (s *Site) down(m *machine, name string, state hosts.State, pool string, length time.Duration, back func()) {
	s.workers.Crash(m.worker.ID)
	s.kv.Delete(platform.WorkerPrefix + m.worker.ID)
	delete(s.lastBeat, m.worker.ID)
	s.orders++
	s.hooks.Left(m.worker)
	m.state, m.worker.Pool, m.worker.ID = state, pool, ""
	time.AfterFunc(length, func() {
		s.mu.Lock()
		back()
		s.mu.Unlock()
		s.hooks.Back(name, pool)
	})
}

// Orders returns the number of orders on machines that were carried out.
func (s *Site) Orders() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders
}

// PutWave requests a maintenance wave.
func (s *Site) PutWave(number string, machines []string, within time.Duration, maxDown int) {
	s.mu.Lock()
	s.waves[number] = &wave{machines: machines, maxDown: maxDown}
	s.mu.Unlock()
	b, _ := json.Marshal(map[string]any{ // encoding plain values can't fail
		"Wave": json.Number(number), "Machines": machines, "DurationS": within.Seconds(), "MaxCount": maxDown,
	})
	s.kv.Put(platform.OperatorPrefix+"wave/"+number, b)
}

// WaveState returns whether a wave is reported as completed, and the machines of it that
// are still in the fleet and whose maintenance has not begun.
func (s *Site) WaveState(number string) (completed bool, left []string) {
	var status struct{ State string }
	if it, ok := s.kv.Peek("status/wave/" + number); ok {
		_ = json.Unmarshal(it.Value, &status) // what can't be read says nothing
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range s.waves[number].machines {
		if m := s.machines[name]; m != nil && !m.kept[number] {
			left = append(left, name)
		}
	}
	return status.State == "completed", left
}
