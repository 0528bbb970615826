package agent

import (
	"strconv"

	"github.com/phuslu/log"

	"shallotpaddle/hosts"
	"shallotpaddle/plat"
	"shallotpaddle/platform"
)

// registrations decodes the registrations of workers. It is not safe for concurrent use.
type registrations struct {
	log       *log.Logger
	malformed plat.Malformed
}

func newRegistrations(logger *log.Logger) *registrations {
	return &registrations{log: logger}
}

// byPool returns the workers that a list of registrations names, by pool. A registration
// that names no worker to use is left out, and logged once for each of its changes.
func (r *registrations) byPool(items []plat.Item) map[string][]hosts.Worker {
	out := map[string][]hosts.Worker{}
	present := make(map[string]bool, len(items))
	for _, it := range items {
		present[it.Key] = true
		w, err := platform.DecodeWorker(it)
		if err != nil {
			if r.malformed.Add(it.Key, strconv.FormatInt(it.Rev, 10)) {
				r.log.Warn().Str("key", it.Key).Int64("rev", it.Rev).Err(err).Msg("worker registration cannot be decoded")
			}
			continue
		}
		out[w.Pool] = append(out[w.Pool], w)
	}
	for _, key := range r.malformed.EndReading() {
		r.log.Info().Str("key", key).Bool("registered", present[key]).Msg("worker registration is no longer malformed")
	}
	return out
}
