package carry

import (
	"errors"
	"fmt"
	"time"

	"shallotpaddle/permit"
	"shallotpaddle/place"
	"shallotpaddle/table"
)

// ErrStale is returned for a change that the documents no longer bear out.
var ErrStale = errors.New("documents have moved on")

// Docs are the documents as last read.
type Docs struct {
	Outages    map[string]*permit.Doc // by pool
	Placements map[string]*place.Doc  // by data centre
}

// Step is one write or one order. Exactly one of Pool, DC and Reboot is set.
type Step struct {
	Pool   string // pool whose outage document the rule changes
	DC     string // data centre whose placement document the rule changes
	Reboot string // host to reboot, with the order's id in Op
	OpID   string
	// Rule returns the new body; nil for a reboot.
	Rule func(body []byte) ([]byte, error)
}

// operation is what the steps of one operation rest on.
type operation struct {
	table.Change
	t         *table.Tables
	host      *table.Host
	placement place.Record
	outage    permit.Outage // the host's outage record, if held
	isOut     bool
	opID      string
	now       time.Time
}

// Steps returns the steps of a change in order. The id by names the operation
// and must be unique. A step that met a conflict is repeated on the new body;
// one whose outcome is unknown ends the change, and the system asks again under
// a new id from what the documents then show. It returns
// ErrStale when the documents do not match the change, and no steps for Report.
func Steps(t *table.Tables, d Docs, c table.Change, by string, now time.Time) ([]Step, error) {
	if c.Kind == table.Report || c.Host == table.None {
		return nil, nil
	}
	x := &operation{Change: c, t: t, host: t.Host(c.Host), opID: by, now: now}
	x.lookUp(d)
	steps := x.steps()
	if len(steps) == 0 {
		return nil, fmt.Errorf("%s %s: %w", c.Kind, x.host.Name(), ErrStale)
	}
	return steps, nil
}

func (x *operation) lookUp(d Docs) {
	if p := d.Placements[x.host.DC()]; p != nil {
		x.placement = p.Hosts[x.host.Name()]
	}
	if p := d.Outages[x.outPool()]; p != nil {
		x.outage, x.isOut = p.Outages[x.host.Name()]
	}
}

// outPool returns the pool whose document holds the host's record.
func (x *operation) outPool() string {
	if id := x.host.OutagePool(); id != table.None {
		return x.t.Pool(id).Spec().Name
	}
	return x.placement.Pool
}

func (x *operation) steps() []Step {
	switch x.Kind {
	case table.Permit, table.RecordFailure:
		return x.takeOut()
	case table.Reboot, table.StartProbation, table.EndOutage, table.CancelPermit:
		return x.outageSteps()
	case table.StartMove, table.CompleteMove, table.CancelMove, table.Assign:
		return x.placementSteps()
	default:
		return nil
	}
}

// takeOut takes a host out of service in the document of the pool that it is in
// by the same view that gives the epoch.
func (x *operation) takeOut() []Step {
	pool := x.t.PoolByName(x.placement.Pool)
	if pool == table.None || pool != x.host.Pool() {
		return nil
	}
	spec := x.t.Pool(pool).Spec()
	r := permit.Request{
		Host: x.host.Name(), Rack: x.host.Rack(), DC: x.host.DC(), BootID: x.host.BootID(),
		Reason: x.Reason, OpID: x.opID, Epoch: x.placement.Epoch, Now: x.now,
		ConfigRev: x.t.Config().Rev, Budget: spec.Budget, Reserve: spec.Reserve,
	}
	return []Step{outageStep(spec.Name, func(d *permit.Doc) error {
		if x.Kind == table.Permit {
			return d.Grant(r)
		}
		_, err := d.Fail(r)
		return err
	})}
}

// outageSteps carries on or ends the record that is held.
func (x *operation) outageSteps() []Step {
	if !x.isOut {
		return nil
	}
	name, by, pool := x.host.Name(), x.outage.OpID, x.outPool()
	switch x.Kind {
	case table.Reboot:
		return []Step{
			outageStep(pool, func(d *permit.Doc) error { return d.Advance(name, by, table.Rebooting) }),
			{Reboot: name, OpID: by},
		}
	case table.StartProbation:
		if x.outage.Phase != table.Rebooting && x.outage.Reason != table.Failed {
			return nil // a view from before the reboot has no order to confirm
		}
		return append(x.confirmReboot(), outageStep(pool, func(d *permit.Doc) error { return d.Advance(name, by, table.Probation) }))
	case table.CancelPermit:
		epoch := x.placement.Epoch
		if x.outage.Reason == table.Move && x.placement.Pool != pool {
			return nil
		}
		return []Step{outageStep(pool, func(d *permit.Doc) error { return d.Recall(name, by, epoch) })}
	default:
		return x.restoreSteps(pool)
	}
}

// confirmReboot repeats the order to reboot before the host takes work again. It has
// no effect when the order was given; otherwise it spends the order's id, so
// that an entry paused before its order cannot reboot a host back in service.
func (x *operation) confirmReboot() []Step {
	if x.outage.Phase != table.Rebooting {
		return nil
	}
	return []Step{{Reboot: x.host.Name(), OpID: x.outage.OpID}}
}

func (x *operation) restoreSteps(pool string) []Step {
	name, rec := x.host.Name(), x.outage
	if rec.Reason == table.Move {
		if x.placement.Pool == pool || x.placement.Epoch <= rec.Epoch {
			return nil // not transferred, or the placement is the older view
		}
		return []Step{outageStep(pool, func(d *permit.Doc) error {
			d.Depart(name, rec.Epoch, x.now)
			return nil
		})}
	}
	release := outageStep(pool, func(d *permit.Doc) error { return d.Release(name, rec.OpID) })
	if rec.Reason != table.Maintenance {
		return []Step{release}
	}
	return []Step{
		placementStep(x.host.DC(), func(d *place.Doc) error { return d.RecordMaintenance(name, x.now) }),
		release,
	}
}

func (x *operation) placementSteps() []Step {
	name, dc := x.host.Name(), x.host.DC()
	from, to := x.placement.Pool, x.t.Pool(x.Pool).Spec().Name
	epoch, conf := x.placement.Epoch, x.t.Config().Rev
	if x.isOut {
		epoch = x.outage.Epoch
	}
	switch x.Kind {
	case table.Assign:
		return append(x.unassignSteps(), placementStep(dc, func(d *place.Doc) error { return d.Assign(name, to, conf, x.now) }))
	case table.CancelMove:
		return []Step{placementStep(dc, func(d *place.Doc) error { return d.Unmark(name, from, epoch) })}
	}
	if !x.isOut || x.outage.Reason != table.Move {
		return nil
	}
	by := x.outage.OpID
	if x.Kind == table.StartMove {
		return []Step{placementStep(dc, func(d *place.Doc) error { return d.Mark(name, from, to, by, epoch, conf) })}
	}
	return []Step{placementStep(dc, func(d *place.Doc) error { return d.Transfer(name, from, to, by) })}
}

// unassignSteps takes a host out of a pool that was withdrawn.
func (x *operation) unassignSteps() []Step {
	name, pool, epoch, conf := x.host.Name(), x.placement.Pool, x.placement.Epoch, x.t.Config().Rev
	if pool == "" || x.t.PoolByName(pool) != table.None || conf < x.placement.ConfigRev {
		return nil
	}
	return []Step{
		outageStep(pool, func(d *permit.Doc) error {
			d.Depart(name, epoch, x.now)
			return nil
		}),
		placementStep(x.host.DC(), func(d *place.Doc) error { return d.Unassign(name, pool, epoch, conf) }),
	}
}

func outageStep(pool string, rule func(*permit.Doc) error) Step {
	return Step{Pool: pool, Rule: func(body []byte) ([]byte, error) { return permit.Apply(body, rule) }}
}

func placementStep(dc string, rule func(*place.Doc) error) Step {
	return Step{DC: dc, Rule: func(body []byte) ([]byte, error) { return place.Apply(body, rule) }}
}
