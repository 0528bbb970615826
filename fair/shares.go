// Package fair divides a full pool among workspaces by their weights, and decides which jobs
// are refused as they would certainly end too late. It does no I/O; times are arguments.
package fair

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"shallotpaddle/policy"
)

// defaultWindow is the window if none is set.
const defaultWindow = 5 * time.Second

// Shares has what the workspaces have used of one pool lately, and their entitlements. It is
// not safe for concurrent use.
type Shares struct {
	window time.Duration
	// configured is the list of the last call of Configure; weights has the workspaces in it
	// that have a weight, and mean is the mean of these.
	configured []policy.Workspace
	weights    map[string]float64
	mean       float64
	spaces     map[string]*space
}

// space is one workspace.
type space struct {
	bucket *rate.Limiter // nil without a weight
	fedAt  time.Time     // the latest time of a job
	// used is the decayed sum at chargedAt, in parts of the pool times seconds; part is what has
	// been in use since.
	used, part float64
	chargedAt  time.Time
}

// NewShares returns the shares of a pool in which nothing was used. Uses decay over the window,
// and entitlements can be saved up for as long.
func NewShares(window time.Duration) *Shares {
	if window <= 0 {
		window = defaultWindow
	}
	return &Shares{window: window, weights: map[string]float64{}, mean: 1, spaces: map[string]*space{}}
}

// Configure sets the workspaces of the configuration in force. The list must not be changed
// afterwards.
func (s *Shares) Configure(list []policy.Workspace) {
	if len(list) == len(s.configured) && (len(list) == 0 || &list[0] == &s.configured[0]) {
		return
	}
	s.configured = list
	clear(s.weights)
	sum := 0.0
	for i := range list {
		if _, known := s.weights[list[i].Name]; !known && list[i].Weight > 0 {
			s.weights[list[i].Name] = list[i].Weight
			sum += list[i].Weight
		}
	}
	s.mean = 1
	if sum > 0 {
		s.mean = sum / float64(len(s.weights))
	}
	for name, sp := range s.spaces {
		s.setBucket(name, sp)
	}
}

// setBucket adjusts the entitlement of a workspace to its weight.
func (s *Shares) setBucket(name string, sp *space) {
	w, ok := s.weights[name]
	if !ok {
		sp.bucket = nil
		return
	}
	burst := int(max(1, math.Ceil(w*s.window.Seconds())))
	if sp.bucket == nil {
		sp.bucket = rate.NewLimiter(rate.Limit(w), burst)
		return
	}
	sp.bucket.SetLimitAt(sp.fedAt, rate.Limit(w))
	sp.bucket.SetBurstAt(sp.fedAt, burst)
}

func (s *Shares) space(name string) *space {
	sp := s.spaces[name]
	if sp == nil {
		sp = &space{}
		s.spaces[name] = sp
		s.setBucket(name, sp)
	}
	return sp
}

// Excess takes a job into account that was accepted at a time, and reports whether it is beyond
// the entitlement of its workspace. It keeps a workspace that sends several times its usual
// load for some seconds from delaying the jobs of others. Times may be a little out of order.
func (s *Shares) Excess(workspace string, accepted time.Time) bool {
	sp := s.space(workspace)
	if accepted.After(sp.fedAt) {
		sp.fedAt = accepted
	}
	// The bucket would gain tokens from a time that goes back and forth.
	return sp.bucket != nil && !sp.bucket.AllowN(sp.fedAt, 1)
}

// Charge records which part of the pool a workspace uses from now on, from 0 to 1: the largest of
// its parts of CPU, memory and GPU.
func (s *Shares) Charge(workspace string, part float64, now time.Time) {
	sp := s.space(workspace)
	sp.used, sp.chargedAt = s.usedAt(sp, now), now
	sp.part = part
}

// usedAt returns the decayed sum of what a workspace has used until a time.
func (s *Shares) usedAt(sp *space, now time.Time) float64 {
	decay := 1.0
	if since := now.Sub(sp.chargedAt); !sp.chargedAt.IsZero() && since > 0 {
		decay = math.Exp(-since.Seconds() / s.window.Seconds())
	}
	return sp.used*decay + sp.part*s.window.Seconds()*(1-decay)
}

// Share returns what a workspace has had of the pool relative to its weight. The workspace with
// the lowest one is served first, so that no workspace starves while another one sends more jobs
// of one kind than the pool can run. What is in use counts for a window in advance.
func (s *Shares) Share(workspace string, now time.Time) float64 {
	sp := s.spaces[workspace]
	if sp == nil {
		return 0
	}
	return (s.usedAt(sp, now) + sp.part*s.window.Seconds()) / s.weight(workspace)
}

// Increase returns by how much the share of a workspace rises when it uses a further part of the pool.
func (s *Shares) Increase(workspace string, part float64) float64 {
	return part * s.window.Seconds() / s.weight(workspace)
}

func (s *Shares) weight(workspace string) float64 {
	if w, ok := s.weights[workspace]; ok {
		return w
	}
	return s.mean
}

// Spent reports whether a workspace has used up its entitlement.
func (s *Shares) Spent(workspace string, now time.Time) bool {
	sp := s.spaces[workspace]
	if sp == nil || sp.bucket == nil {
		return false
	}
	if now.Before(sp.fedAt) {
		now = sp.fedAt
	}
	return sp.bucket.TokensAt(now) < 1
}

// forgottenBelow is the decayed sum, in parts of the pool times seconds, below which a workspace is
// forgotten: far less than one subtask adds.
const forgottenBelow = 1e-9

// Forget drops the workspaces that use nothing, have used nothing for long and have saved up their
// whole entitlement.
func (s *Shares) Forget(now time.Time) {
	for name, sp := range s.spaces {
		full := sp.bucket == nil || sp.bucket.TokensAt(now) >= float64(sp.bucket.Burst())
		if sp.part == 0 && full && now.After(sp.fedAt) && s.usedAt(sp, now) < forgottenBelow {
			delete(s.spaces, name)
		}
	}
}
