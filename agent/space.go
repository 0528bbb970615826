package agent

import (
	"encoding/json"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"shallotpaddle/plat"
	"shallotpaddle/platform"
	"shallotpaddle/policy"
	"shallotpaddle/steps"
)

// staleDivisor is what the revocation time is divided by for the greatest age of the
// configuration at which a strict entry still accepts keys: reading it again after a failure
// takes up to that long.
const staleDivisor = 2

// maxKeysAge is the greatest age of the configuration at which an entry accepts keys when it has
// just reached the store again: a version has to be in force 3 s after its write, and it may have
// missed several.
const maxKeysAge = 2500 * time.Millisecond

// denialsLogged bounds the log lines a second on requests without the key of a workspace, and as
// many on those refused for an old configuration.
const denialsLogged = 5

// denials has the limits of log lines on requests that were not served for their key.
type denials struct{ unknown, stale *rate.Limiter }

func newDenials() denials {
	return denials{unknown: rate.NewLimiter(denialsLogged, denialsLogged), stale: rate.NewLimiter(denialsLogged, denialsLogged)}
}

// identify returns who makes a request with a key. The key is never logged. A key that an old
// configuration doesn't have is no reason to deny the request: it may have been added since.
func (api *jobAPI) identify(v *policy.Version, key string, handIn bool) (platform.Caller, platform.Answer, bool) {
	w, ok := v.WorkspaceOf(key)
	if api.policyStale() || !ok && api.agent.storeUnreachable() {
		return platform.Caller{}, api.tooOld(v, handIn), false
	}
	if !ok {
		api.denied.Inc(1)
		if api.denials.unknown.Allow() {
			api.agent.log.Info().Int64("version", v.Number).Bool("keyed", key != "").Msg("request denied: key of no workspace")
		}
		return platform.Caller{}, platform.Answer{Outcome: platform.Denied}, false
	}
	return platform.Caller{Workspace: w.Name}, platform.Answer{}, true
}

// isCurrent reports whether a queue that the configuration has as a public one may be served: if the
// store serves this entry again and the configuration has not been read since, the queue may not be
// public any more.
func (api *jobAPI) isCurrent(v *policy.Version, handIn bool) (platform.Answer, bool) {
	if !api.policyMissed() {
		return platform.Answer{}, true
	}
	return api.tooOld(v, handIn), false
}

// tooOld returns the answer to a request for which the configuration is too old.
func (api *jobAPI) tooOld(v *policy.Version, handIn bool) platform.Answer {
	if api.denials.stale.Allow() {
		api.agent.log.Warn().Int64("version", v.Number).Dur("age", api.agent.policyAge()).Msg("request rejected: configuration too old")
	}
	outcome := platform.Refused
	if handIn {
		outcome = platform.Unknown // it may repeat one that was accepted
	}
	return platform.Answer{Outcome: outcome, Retry: retryAfter}
}

// policyStale reports whether the configuration is too old for keys to be compared with it: by the
// strict bound, or because it was not read since the store served this entry again.
func (api *jobAPI) policyStale() bool {
	age, b := api.agent.policyAge(), api.agent.currentSettings().Bounds
	if b.StrictRevocation && age > b.RevocationTime/staleDivisor {
		return true
	}
	return api.policyMissed()
}

// policyMissed reports whether the configuration was not read since the store served this entry
// again, after a time in which it may have been replaced.
func (api *jobAPI) policyMissed() bool {
	return api.agent.policyAge() > maxKeysAge && api.agent.policyReadAt.Load() < api.agent.storeBackAt.Load()
}

// policyAge returns how long ago the configuration was last read.
func (a *Agent) policyAge() time.Duration { return a.clock.Since(time.Unix(0, a.policyReadAt.Load())) }

// storeReturned is called when the store serves a call after a silence. A watch of the operators' keys
// that hangs since then is made anew.
func (a *Agent) storeReturned() {
	a.storeBackAt.Store(a.clock.Now().UnixNano())
	a.writer.Returned()
	if cancel := a.policyRead.Load(); cancel != nil {
		(*cancel)()
	}
}

// hidden reports whether a job belongs to another workspace than the caller's: for the caller it
// doesn't exist. A job whose workspace is no longer in the configuration is shown to all that
// may use the queue, as the workspace may have been renamed. A public queue shows its own jobs,
// also those from before it became public.
func (api *jobAPI) hidden(c platform.Caller, q *policy.Queue, r steps.Record) bool {
	v := api.agent.version.Load()
	if !v.KeysRequired || r.Workspace == c.Workspace || q.Public && r.Queue == q.Name {
		return false
	}
	if _, known := v.Workspace(r.Workspace); !known {
		return false
	}
	api.foreign.Inc(1)
	return true
}

// foreignItem reports whether a stored job is hidden from the caller. One that can't be decoded is
// not.
func (api *jobAPI) foreignItem(c platform.Caller, q *policy.Queue, it plat.Item) bool {
	if !api.agent.version.Load().KeysRequired {
		return false
	}
	r, err := originOf(it)
	return err == nil && api.hidden(c, q, r)
}

// originOf returns a record with the queue and the workspace of a stored job.
func originOf(it plat.Item) (steps.Record, error) {
	var j struct {
		Queue     string `json:"queue"`
		Workspace string `json:"space"`
	}
	err := json.Unmarshal(it.Value, &j)
	return steps.Record{Queue: j.Queue, Workspace: j.Workspace}, err
}

// inWorkspace adds the caller's workspace to a log line, if there is one.
func inWorkspace(line *log.Entry, c platform.Caller) *log.Entry {
	if c.Workspace == "" {
		return line
	}
	return line.Str("workspace", c.Workspace)
}
