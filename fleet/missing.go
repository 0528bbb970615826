package fleet

import (
	"time"

	"shallotpaddle/hosts"
)

// keepMissing adds the hosts to a reading of the list that it lacks, in an unknown state: an
// order for them may be under way. A host that is missing for the time of a maintenance is gone.
func (c *Controller) keepMissing(list []hosts.Host, now time.Time) []hosts.Host {
	for i := range list {
		c.listedAt[list[i].Name] = now
	}
	for _, h := range c.hosts {
		switch at := c.listedAt[h.Name]; {
		case !at.Before(now):
		case now.Sub(at) < c.MinDowntime:
			h.State = ""
			list = append(list, h)
		default:
			delete(c.listedAt, h.Name)
		}
	}
	return list
}
