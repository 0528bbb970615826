package policy

import (
	"slices"
	"time"

	"shallotpaddle/hosts"
)

// Workspace is a customer whose callers submit jobs with its keys.
type Workspace struct {
	Name string
	Keys []string
	// Weight is the workspace's share of a full pool, and the number of jobs a second to which
	// it is entitled.
	Weight float64
	// Quota is the most that its jobs may have running on the workers of all pools; a
	// resource of 0 is not limited.
	Quota hosts.Resources
	// LimitedAt is when this process heard that the quota limits a resource which it didn't limit
	// before; zero if it always has.
	LimitedAt time.Time
}

// Limited tells whether the workspace has a quota for any resource.
func (w *Workspace) Limited() bool { return w.Quota != hosts.Resources{} }

// Limited tells whether some workspace of the configuration has a quota; a configuration may be nil.
func (v *Version) Limited() bool {
	return v != nil && slices.ContainsFunc(v.workspaces, func(w Workspace) bool { return w.Limited() })
}

// Follow notes which workspaces a version limits in a resource that the version before it, which may
// be nil, didn't limit. It is called before the version is in force.
func (v *Version) Follow(before *Version, now time.Time) {
	if before == nil {
		return
	}
	v.former = map[string]formerWorkspace{}
	for name, i := range before.byName {
		v.former[name] = formerWorkspace{before.workspaces[i], before.Number}
	}
	for name, w := range before.former {
		if _, ok := v.former[name]; !ok && len(v.former) < maxFormer {
			v.former[name] = w
		}
	}
	for i := range v.workspaces {
		w := &v.workspaces[i]
		old, ok := v.former[w.Name]
		delete(v.former, w.Name)
		if !ok {
			continue // nobody has jobs of it
		}
		w.LimitedAt = old.LimitedAt
		a, b := old.Quota, w.Quota
		if a.CPU <= 0 && b.CPU > 0 || a.Mem <= 0 && b.Mem > 0 || a.GPU <= 0 && b.GPU > 0 {
			w.LimitedAt = now
		}
	}
}

// formerWorkspace is a workspace as the last version had it that had it, and the number of that.
type formerWorkspace struct {
	Workspace
	number int64
}

// Former returns a workspace that has left the configuration since the process began, as it was in
// the last version that had it, and the number of that version.
func (v *Version) Former(name string) (w *Workspace, number int64, ok bool) {
	f, ok := v.former[name]
	return &f.Workspace, f.number, ok
}

// maxFormer is how many workspaces that left the configuration are remembered.
const maxFormer = 2000

// SetWorkspaces sets the workspaces. A name or key that occurs more than once belongs to the
// first workspace that has it. An empty name is not found, as jobs of no workspace have it.
func (v *Version) SetWorkspaces(list []Workspace) {
	v.workspaces = list
	v.byName, v.byKey = make(map[string]int, len(list)), make(map[string]int, 2*len(list))
	for i := range list {
		if _, ok := v.byName[list[i].Name]; !ok && list[i].Name != "" {
			v.byName[list[i].Name] = i
		}
		for _, k := range list[i].Keys {
			if _, ok := v.byKey[k]; !ok && k != "" {
				v.byKey[k] = i
			}
		}
	}
}

// Workspaces returns all workspaces, in the order of the configuration. The list must not be changed.
func (v *Version) Workspaces() []Workspace { return v.workspaces }

// Workspace returns the workspace with a name, or false if there is none.
func (v *Version) Workspace(name string) (*Workspace, bool) {
	i, ok := v.byName[name]
	if !ok {
		return nil, false
	}
	return &v.workspaces[i], true
}

// WorkspaceOf returns the workspace that has a key, or false if none has it.
func (v *Version) WorkspaceOf(key string) (*Workspace, bool) {
	i, ok := v.byKey[key]
	if !ok {
		return nil, false
	}
	return &v.workspaces[i], true
}
