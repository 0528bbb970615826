package fakes

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"shallotpaddle/plat"
)

// hostList is the list of hosts that was set at a time.
type hostList struct {
	at    time.Time
	hosts []plat.Host
}

// addControl adds the calls with which a test in another process controls the
// platform; they are not counted, and faults don't apply to them.
//
//	GET  /seen   the counts, in the form of Seen
//	PUT  /hosts  {"hosts":[...]} replaces the list of hosts
//	POST /fault  any of {"set":[Fault...],"rates":{"writes":N,"reads":N},
//	             "save":NAME,"restore":NAME,"compact":true,"peak":true}
//
// "set" replaces the active faults; "rates" sets the rate limits, in calls per
// second; "save" saves the store's state under a name and "restore" rolls the store
// back to it; "compact" makes watches after an earlier revision fail; "peak" sets
// the peak numbers of calls per second back to 0.
func (p *Platform) addControl(mux *http.ServeMux) {
	mux.HandleFunc("GET /seen", func(w http.ResponseWriter, _ *http.Request) { reply(w, p.Seen()) })
	mux.HandleFunc("PUT /hosts", p.putHosts)
	mux.HandleFunc("POST /fault", p.postFault)
}

func (p *Platform) putHosts(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Hosts []plat.Host `json:"hosts"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetHosts(in.Hosts)
}

func (p *Platform) postFault(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Set   []Fault `json:"set"`
		Rates *struct {
			Writes int `json:"writes"`
			Reads  int `json:"reads"`
		} `json:"rates"`
		Save    string `json:"save"`
		Restore string `json:"restore"`
		Compact bool   `json:"compact"`
		Peak    bool   `json:"peak"`
	}
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, f := range in.Set {
		if !slices.Contains(faultKinds, f.Kind) {
			http.Error(w, "no fault "+f.Kind, http.StatusBadRequest)
			return
		}
	}
	if in.Set != nil {
		p.SetFaults(in.Set...)
	}
	if in.Rates != nil {
		p.SetRates(in.Rates.Writes, in.Rates.Reads)
	}
	if in.Save != "" {
		p.Save(in.Save)
	}
	if in.Restore != "" && !p.Restore(in.Restore) {
		http.Error(w, "no state "+in.Restore, http.StatusNotFound)
		return
	}
	if in.Compact {
		p.store.Compact()
	}
	if in.Peak {
		p.ResetPeak()
	}
}

// Save saves the store's state under a name.
func (p *Platform) Save(name string) {
	saved := p.store.save()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.savedStates[name] = saved
}

// Restore rolls the store back to a saved state; it returns false if there is none
// of that name.
func (p *Platform) Restore(name string) bool {
	p.mu.Lock()
	saved := p.savedStates[name]
	p.mu.Unlock()
	if saved == nil {
		return false
	}
	p.store.restore(saved)
	return true
}

// SetHosts replaces the list of hosts.
func (p *Platform) SetHosts(hosts []plat.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostLists = append(p.hostLists, hostList{at: p.now(), hosts: slices.Clone(hosts)})
	if len(p.hostLists) > maxHostLists {
		p.hostLists = slices.Delete(p.hostLists, 0, 1)
	}
}

// maxHostLists is the number of host lists that are kept for FaultLag.
const maxHostLists = 1000

// hostsAt returns the host list as it was at a time, or the oldest that is kept.
func (p *Platform) hostsAt(at time.Time) []plat.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.hostLists) == 0 {
		return nil
	}
	i := len(p.hostLists) - 1
	for i > 0 && p.hostLists[i].at.After(at) {
		i--
	}
	return p.hostLists[i].hosts
}

// AddrOf returns the address of a host in the present list, or "".
func (p *Platform) AddrOf(host string) string {
	hosts := p.hostsAt(p.now())
	if i := indexHost(hosts, host); i >= 0 {
		return hosts[i].Addr
	}
	return ""
}

func (p *Platform) isListed(host string) bool { return indexHost(p.hostsAt(p.now()), host) >= 0 }

func indexHost(hosts []plat.Host, name string) int {
	return slices.IndexFunc(hosts, func(h plat.Host) bool { return h.Name == name })
}
