package permit

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"shallotpaddle/table"
)

// UpdateBudget takes over a budget if its configuration is newer than the document's.
// Outages that are past a lowered budget stay; no new ones are granted.
func (d *Doc) UpdateBudget(conf int64, budget, reserve int) {
	if conf <= d.ConfigRev {
		return
	}
	d.ConfigRev, d.Budget, d.Reserve = conf, budget, reserve
}

// Limit returns the most hosts that may be out after a new outage for the
// reason. Repair may use the reserve, since its host has failed in effect.
func (d *Doc) Limit(why table.Reason) int {
	if why == table.Repair {
		return d.Budget
	}
	return d.Budget - d.Reserve
}

// Failed returns the number of unplanned outages.
func (d *Doc) Failed() int {
	n := 0
	for _, o := range d.Outages {
		if !o.Planned() {
			n++
		}
	}
	return n
}

// OverBudget tells whether more hosts are out than the budget allows.
func (d *Doc) OverBudget() bool { return len(d.Outages) > d.Budget }

// Grant takes a host out of service for a planned reason. It returns ErrBudget,
// ErrRack, ErrOut, ErrEnded or ErrLeft. A repeated request succeeds without a change.
func (d *Doc) Grant(r Request) error {
	d.UpdateBudget(r.ConfigRev, r.Budget, r.Reserve)
	if o, ok := d.Outages[r.Host]; ok {
		return d.grantAgain(o, r)
	}
	if err := d.checkView(r); err != nil {
		return err
	}
	if limit := d.Limit(r.Reason); len(d.Outages)+1 > limit {
		return fmt.Errorf("%s: %d out, limit %d: %w", r.Host, len(d.Outages), limit, ErrBudget)
	}
	if rack := d.failedRack(); rack != "" && rack != r.Rack && r.Reason != table.Repair {
		return fmt.Errorf("%s: rack %s: %w", r.Host, rack, ErrRack)
	}
	d.pruneLeft(r.Now)
	d.Outages[r.Host] = r.outage(r.Reason, table.Draining)
	return nil
}

// grantAgain answers a request for a host that is out. A host that fails its work
// in probation may be repaired once more; it stays counted once.
func (d *Doc) grantAgain(o Outage, r Request) error {
	switch {
	case o.OpID == r.OpID:
		return nil
	case r.Reason == table.Repair && o.Phase == table.Probation:
		d.Outages[r.Host] = r.outage(r.Reason, table.Draining)
		return nil
	default:
		return fmt.Errorf("%s, %s: %w", r.Host, o.Reason, ErrOut)
	}
}

// Fail records an unplanned outage, also past the budget, and tells whether the
// budget is passed. A host that is out already keeps its record when its
// reboot is under way or it is being moved; it is counted once in any case.
func (d *Doc) Fail(r Request) (breach bool, err error) {
	d.UpdateBudget(r.ConfigRev, r.Budget, r.Reserve)
	if o, ok := d.Outages[r.Host]; ok && !o.replaceableBy(r) {
		return d.OverBudget(), nil
	}
	if err := d.checkView(r); err != nil {
		return d.OverBudget(), err
	}
	d.pruneLeft(r.Now)
	d.Outages[r.Host] = r.outage(table.Failed, table.NoOutage)
	return d.OverBudget(), nil
}

// replaceableBy tells whether a failure replaces the record.
func (o *Outage) replaceableBy(r Request) bool {
	switch {
	case o.Reason == table.Failed:
		return false
	case o.Reason == table.Move:
		return r.Epoch > o.Epoch // only once the move was called off
	default:
		return o.Phase == table.Draining || o.Phase == table.Probation
	}
}

// Advance moves the outage of an operation on to a later phase. Rebooting needs
// Draining; Probation needs Rebooting or a failed host that is back, whose
// reason becomes Repair. Repeating the last step succeeds.
func (d *Doc) Advance(host, by string, to table.Phase) error {
	o, err := d.find(host, by)
	if err != nil {
		return err
	}
	if o.Phase == to {
		return nil
	}
	switch {
	case to == table.Rebooting && o.Phase == table.Draining && o.Reason != table.Move:
	case to == table.Probation && o.Phase == table.Rebooting:
	case to == table.Probation && o.Reason == table.Failed:
		o.Reason = table.Repair
	default:
		return fmt.Errorf("%s: %s to %s: %w", host, o.Phase, to, ErrPhase)
	}
	o.Phase = to
	d.Outages[host] = o
	return nil
}

// Release ends the outage of an operation: after probation, or at once for a
// host that is failed or kept out by an operator's word. A host already
// released is no error.
func (d *Doc) Release(host, by string) error {
	o, err := d.find(host, by)
	if errors.Is(err, ErrNotOut) {
		return nil
	}
	if err != nil {
		return err
	}
	if o.Reason == table.Move || (o.Planned() && o.Phase != table.Probation) {
		return fmt.Errorf("%s: release in %s: %w", host, o.Phase, ErrPhase)
	}
	d.endOutage(host)
	return nil
}

// Recall gives back a planned outage that has done nothing yet: its drain can
// be called off. For a move, epoch must be past the outage's, which shows that
// the mark was taken off for good. It returns ErrPhase when it is too late.
func (d *Doc) Recall(host, by string, epoch int64) error {
	o, err := d.find(host, by)
	if errors.Is(err, ErrNotOut) {
		return nil
	}
	if err != nil {
		return err
	}
	if o.Phase != table.Draining || (o.Reason == table.Move && epoch <= o.Epoch) {
		return fmt.Errorf("%s: recall in %s: %w", host, o.Phase, ErrPhase)
	}
	d.endOutage(host)
	return nil
}

// Depart ends the record of a host that has left the pool after the epoch and
// refuses requests about it that rest on that epoch or an earlier one. It is called
// after the transfer of a move and for each host of a withdrawn pool.
func (d *Doc) Depart(host string, epoch int64, now time.Time) {
	if l, ok := d.Left[host]; ok && l.Epoch >= epoch {
		return
	}
	if o, ok := d.Outages[host]; ok && o.Epoch <= epoch {
		d.endOutage(host)
	}
	d.pruneLeft(now)
	d.Left[host] = Departure{Epoch: epoch, At: now}
}

func (d *Doc) find(host, by string) (Outage, error) {
	o, ok := d.Outages[host]
	if !ok || o.OpID != by {
		return Outage{}, fmt.Errorf("%s: operation %s: %w", host, by, ErrNotOut)
	}
	return o, nil
}

// checkView tells whether a request rests on a view that still holds.
func (d *Doc) checkView(r Request) error {
	if l, ok := d.Left[r.Host]; ok && r.Epoch <= l.Epoch {
		return fmt.Errorf("%s: %w", r.Host, ErrLeft)
	}
	if slices.Contains(d.Ended, r.OpID) {
		return fmt.Errorf("%s: operation %s: %w", r.Host, r.OpID, ErrEnded)
	}
	return nil
}

// endOutage removes a record and remembers its operation.
func (d *Doc) endOutage(host string) {
	d.Ended = append(d.Ended, d.Outages[host].OpID)
	if n := len(d.Ended) - MaxEnded; n > 0 {
		d.Ended = d.Ended[n:]
	}
	delete(d.Outages, host)
}

func (d *Doc) pruneLeft(now time.Time) {
	for host, l := range d.Left {
		if now.Sub(l.At) > LeftRetention {
			delete(d.Left, host)
		}
	}
}

// failedRack returns a rack with RackFailed or more failed hosts, or "".
func (d *Doc) failedRack() string {
	failed := map[string]int{}
	worst := ""
	for _, o := range d.Outages {
		if o.Planned() || o.Rack == "" {
			continue
		}
		failed[o.Rack]++
		if n := failed[o.Rack]; n >= RackFailureThreshold && (worst == "" || o.Rack < worst) {
			worst = o.Rack
		}
	}
	return worst
}
