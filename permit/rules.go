package permit

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"shallotpaddle/table"
)

// UpdateBudget sets the budget if it is of a newer configuration than the
// document's. Outages beyond a lowered budget stay, but no new ones are granted.
func (d *Doc) UpdateBudget(configRev int64, budget, reserve int) {
	if configRev <= d.ConfigRev {
		return
	}
	d.ConfigRev, d.Budget, d.Reserve = configRev, budget, reserve
}

// Limit returns the most hosts that may be out of service once a planned outage
// for the reason is granted. A repair may use the reserve, since its host is
// failing already.
func (d *Doc) Limit(reason table.Reason) int {
	if reason == table.Repair {
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

// OverBudget tells whether more hosts are out of service than the budget allows.
func (d *Doc) OverBudget() bool { return len(d.Outages) > d.Budget }

// Grant takes a host out of service for a planned reason. It returns ErrBudget,
// ErrRack, ErrOut, ErrEnded or ErrLeft. A repeated request succeeds without a
// change.
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

// grantAgain decides on a request for a host that is out of service already. A
// host that fails its work during probation may be repaired once more; it counts
// as one outage.
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

// RecordFailure records an unplanned outage, even beyond the budget, and tells
// whether the budget is exceeded. A host whose reboot is under way or that is
// being moved keeps the record that it has; a host counts as one outage in any
// case. It returns ErrEnded or ErrLeft.
func (d *Doc) RecordFailure(r Request) (overBudget bool, err error) {
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

// replaceableBy tells whether a reported failure replaces the record.
func (o *Outage) replaceableBy(r Request) bool {
	switch {
	case o.Reason == table.Failed:
		return false
	case o.Reason == table.Move:
		return r.Epoch > o.Epoch // only once the move was cancelled
	default:
		return o.Phase == table.Draining || o.Phase == table.Probation
	}
}

// Advance sets the phase of an operation's outage. Rebooting follows Draining;
// Probation follows Rebooting, or a failure whose host is back, and then changes
// the reason to Repair. Repeating the last step succeeds. It returns ErrNotOut or
// ErrPhase.
func (d *Doc) Advance(host, opID string, to table.Phase) error {
	o, err := d.find(host, opID)
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

// Release ends the outage of an operation: a planned one after its probation, a
// failure at any time. It returns ErrPhase for a move and for a planned outage in
// an earlier phase. A host that has been released already is no error.
func (d *Doc) Release(host, opID string) error {
	o, err := d.find(host, opID)
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

// Cancel ends a planned outage that is still draining. For a move, epoch must be
// past the outage's, which shows that the move was cancelled and can no longer be
// started. It returns ErrPhase when it is too late. A host without an outage of
// the operation is no error.
func (d *Doc) Cancel(host, opID string, epoch int64) error {
	o, err := d.find(host, opID)
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

// Depart records that a host of that epoch has left the pool: its outage ends,
// and requests about it that are based on that epoch or an earlier one are refused.
// It is called after the completion of a move and for each host of a withdrawn
// pool.
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

func (d *Doc) find(host, opID string) (Outage, error) {
	o, ok := d.Outages[host]
	if !ok || o.OpID != opID {
		return Outage{}, fmt.Errorf("%s: operation %s: %w", host, opID, ErrNotOut)
	}
	return o, nil
}

// checkView returns ErrLeft or ErrEnded for a request that is based on a stale view.
func (d *Doc) checkView(r Request) error {
	if l, ok := d.Left[r.Host]; ok && r.Epoch <= l.Epoch {
		return fmt.Errorf("%s: %w", r.Host, ErrLeft)
	}
	if slices.Contains(d.Ended, r.OpID) {
		return fmt.Errorf("%s: operation %s: %w", r.Host, r.OpID, ErrEnded)
	}
	return nil
}

// endOutage removes the outage of a host and lists its operation as ended.
func (d *Doc) endOutage(host string) {
	d.Ended = append(d.Ended, d.Outages[host].OpID)
	if n := len(d.Ended) - MaxEnded; n > 0 {
		d.Ended = d.Ended[n:]
	}
	delete(d.Outages, host)
}

// pruneLeft removes departures older than LeftRetention.
func (d *Doc) pruneLeft(now time.Time) {
	for host, l := range d.Left {
		if now.Sub(l.At) > LeftRetention {
			delete(d.Left, host)
		}
	}
}

// failedRack returns a rack with RackFailureThreshold or more failed hosts, or "".
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
