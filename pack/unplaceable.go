package pack

import "shallotpaddle/hosts"

// Unplaceable holds demands for which no worker had room. It is valid while
// subtasks are placed one after the other: free resources only shrink meanwhile,
// so a demand that is at least as large can't be placed either.
//
// With thousands of waiting subtasks in a full pool, it saves a scan of all
// workers for each of them, which would use up the owner's processor time.
type Unplaceable struct {
	regular []hosts.Resources
	filling []hosts.Resources
}

// Add records a demand for which no worker had room. It ignores demands that may
// have failed for another reason, such as a label.
func (u *Unplaceable) Add(d *Demand) {
	if !d.needsOnlyCapacity() || u.Has(d) {
		return
	}
	if d.Fills {
		u.filling = append(u.filling, d.Resources)
		return
	}
	u.regular = append(u.regular, d.Resources)
}

// Has tells whether a demand is known not to find room. If it returns false, the
// demand may find room or not.
func (u *Unplaceable) Has(d *Demand) bool {
	failed := u.regular
	if d.Fills {
		failed = u.filling
	}
	for _, r := range failed {
		if (d.Fills || d.Resources.CPU >= r.CPU) && d.Resources.Mem >= r.Mem && d.Resources.GPU >= r.GPU {
			return true
		}
	}
	return false
}

// needsOnlyCapacity tells whether any worker with enough free resources will do.
func (d *Demand) needsOnlyCapacity() bool {
	return d.Label == "" && d.MaxPerWorker == 0 && d.MayRunOn == nil
}
