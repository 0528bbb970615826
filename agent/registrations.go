package agent

import (
	"strings"
	"time"

	"github.com/phuslu/log"

	"shallotpaddle/hosts"
	"shallotpaddle/plat"
	"shallotpaddle/platform"
)

// registrations decodes the registrations of workers. It is not safe for concurrent use.
type registrations struct {
	log *log.Logger
	// settleTime is how long a registration must name another pool than before until the
	// worker is taken to be in that one.
	settleTime time.Duration
	malformed  plat.Malformed
	// pools has the pools of the registered workers, by worker ID.
	pools map[string]*knownPool
}

// knownPool is the pool of a worker.
type knownPool struct {
	name     string
	readings int // of registrations that name the pool
	// other is the pool that the registration names now, if it is another one: since
	// otherSince, in otherReadings readings.
	other         string
	otherSince    time.Time
	otherReadings int
}

// settleBeats is settleTime in heartbeats: a worker that is up writes its registration
// anew at each, and a registration that is not written for three is removed.
const settleBeats = 4

func newRegistrations(logger *log.Logger, heartbeat time.Duration) *registrations {
	return &registrations{log: logger, settleTime: settleBeats * heartbeat, pools: map[string]*knownPool{}}
}

// workerList has the registered workers, and the IDs of those whose registrations can't be used
// now, by pool.
type workerList struct {
	workers    map[string][]hosts.Worker
	unreadable map[string][]string
}

// byPool returns the workers that a list of registrations names. A registration
// that names no worker to use is left out, and logged once for each reason.
// rosters returns the pools that have had a worker, by worker ID; it is called if there is one
// that has not been read before.
func (r *registrations) byPool(items []plat.Item, now time.Time, rosters func() (map[string][]string, error)) (workerList, error) {
	out := workerList{map[string][]hosts.Worker{}, map[string][]string{}}
	present := make(map[string]bool, len(items))
	var former map[string][]string
	for _, it := range items {
		present[it.Key] = true
		w, err := platform.DecodeWorker(it)
		if err != nil {
			if r.malformed.Add(it.Key, err.Error()) {
				r.log.Warn().Str("key", it.Key).Int64("rev", it.Rev).Err(err).Msg("worker registration cannot be decoded")
			}
			out.addUnreadable(r.pools, strings.TrimPrefix(it.Key, platform.WorkerPrefix))
			continue
		}
		if r.pools[w.ID] == nil && former == nil {
			if former, err = rosters(); err != nil {
				return workerList{}, err
			}
		}
		if r.checkPool(&w, former[w.ID], now) {
			out.workers[w.Pool] = append(out.workers[w.Pool], w)
		} else {
			out.addUnreadable(r.pools, w.ID)
		}
	}
	for _, key := range r.malformed.EndReading() {
		r.log.Info().Str("key", key).Bool("registered", present[key]).Msg("worker registration is no longer malformed")
	}
	for id := range r.pools {
		if !present[platform.WorkerPrefix+id] {
			delete(r.pools, id)
		}
	}
	return out, nil
}

// addUnreadable adds a worker of a known pool whose registration can't be used.
func (l *workerList) addUnreadable(pools map[string]*knownPool, id string) {
	if k := pools[id]; k != nil {
		l.unreadable[k.name] = append(l.unreadable[k.name], id)
	}
}

// checkPool reports whether a worker is in the pool that its registration names. A worker
// stays in one pool for its life, and the owners of two would end each other's runs on it. So
// a registration with another pool counts only if it has been read more often than the
// former, and for settleTime: then the former was the error. former has the pools that have had
// the worker, if it is read for the first time.
func (r *registrations) checkPool(w *hosts.Worker, former []string, now time.Time) bool {
	k := r.pools[w.ID]
	if k == nil {
		k = &knownPool{name: w.Pool}
		if len(former) == 1 {
			k.name = former[0]
		}
		r.pools[w.ID] = k
	}
	if w.Pool == k.name {
		k.readings++
		if k.other != "" {
			k.other = ""
			r.log.Info().Str("host", w.ID).Str("pool", k.name).Int64("rev", w.Rev).Msg("worker registration names the pool of the worker again")
		}
		return true
	}
	if k.other != w.Pool {
		k.other, k.otherSince, k.otherReadings = w.Pool, now, 0
		r.log.Warn().Str("host", w.ID).Str("pool", k.name).Str("named", w.Pool).Int64("rev", w.Rev).Msg("ignoring a worker registration that names another pool")
	}
	k.otherReadings++
	if k.otherReadings <= k.readings || now.Sub(k.otherSince) < r.settleTime {
		return false
	}
	r.log.Warn().Str("host", w.ID).Str("before", k.name).Str("pool", w.Pool).Int64("rev", w.Rev).Msg("worker is in another pool than its first registrations named")
	*k = knownPool{name: w.Pool, readings: k.otherReadings}
	return true
}
