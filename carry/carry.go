package carry

import (
	"errors"
	"fmt"
	"time"

	"shallotpaddle/permit"
	"shallotpaddle/place"
	"shallotpaddle/table"
)

// ErrStale is returned for a change that does not match the documents, for
// instance since it was decided from an older view of them.
var ErrStale = errors.New("documents have moved on")

// Docs are the documents as last read.
type Docs struct {
	Outages    map[string]*permit.Doc // by pool
	Placements map[string]*place.Doc  // by data centre
}

// Step is one write of a document or one order to reboot. Exactly one of Pool, DC
// and Reboot is set.
type Step struct {
	Pool   string // pool whose outage document the rule changes
	DC     string // data centre whose placement document the rule changes
	Reboot string // host to reboot
	OpID   string // id of the order to reboot; the platform obeys it once
	// Rule returns the new body of the document. It is nil for a reboot.
	Rule func(body []byte) ([]byte, error)
}

// stepBuilder builds the steps of one change from the host's placement and outage
// records.
type stepBuilder struct {
	table.Change
	t         *table.Tables
	host      *table.Host
	placement place.Record
	outage    permit.Outage // valid if isOut
	isOut     bool          // the host has an outage record
	opID      string
	now       time.Time
}

// Steps returns the steps of a change in order. opID identifies the operation and
// must be unique. A step whose write meets a conflict must be repeated on the new
// body. A step whose outcome is unknown ends the change; the system then asks
// again under a new id, based on the documents as they are by then. Steps returns
// ErrStale when the documents do not match the change, and no steps for Report.
func Steps(t *table.Tables, d Docs, c table.Change, opID string, now time.Time) ([]Step, error) {
	if c.Kind == table.Report || c.Host == table.None {
		return nil, nil
	}
	b := &stepBuilder{Change: c, t: t, host: t.Host(c.Host), opID: opID, now: now}
	b.lookUp(d)
	steps := b.steps()
	if len(steps) == 0 {
		return nil, fmt.Errorf("%s %s: %w", c.Kind, b.host.Name(), ErrStale)
	}
	return steps, nil
}

// lookUp reads the host's placement and outage records.
func (b *stepBuilder) lookUp(d Docs) {
	if p := d.Placements[b.host.DC()]; p != nil {
		b.placement = p.Hosts[b.host.Name()]
	}
	if p := d.Outages[b.outagePool()]; p != nil {
		b.outage, b.isOut = p.Outages[b.host.Name()]
	}
}

// outagePool returns the pool whose outage document has the host's record, or else
// the pool that the host is in.
func (b *stepBuilder) outagePool() string {
	if id := b.host.OutagePool(); id != table.None {
		return b.t.Pool(id).Spec().Name
	}
	return b.placement.Pool
}

func (b *stepBuilder) steps() []Step {
	switch b.Kind {
	case table.RequestPermit, table.RecordFailure:
		return b.takeOutSteps()
	case table.Reboot, table.StartProbation, table.EndOutage, table.CancelPermit:
		return b.outageSteps()
	case table.StartMove, table.CompleteMove, table.CancelMove, table.Assign:
		return b.placementSteps()
	default:
		return nil
	}
}

// takeOutSteps returns the step that takes a host out of service in the outage
// document of its pool. There is none if the tables and the placement document
// disagree on the host's pool, since the pool and the epoch must come from one
// view.
func (b *stepBuilder) takeOutSteps() []Step {
	pool := b.t.PoolByName(b.placement.Pool)
	if pool == table.None || pool != b.host.Pool() {
		return nil
	}
	spec := b.t.Pool(pool).Spec()
	r := permit.Request{
		Host: b.host.Name(), Rack: b.host.Rack(), DC: b.host.DC(), BootID: b.host.BootID(),
		Reason: b.Reason, OpID: b.opID, Epoch: b.placement.Epoch, Now: b.now,
		ConfigRev: b.t.Config().Rev, Budget: spec.Budget, Reserve: spec.Reserve,
	}
	return []Step{outageStep(spec.Name, func(d *permit.Doc) error {
		if b.Kind == table.RequestPermit {
			return d.Grant(r)
		}
		_, err := d.RecordFailure(r)
		return err
	})}
}

// outageSteps returns the steps that advance or end the host's outage.
func (b *stepBuilder) outageSteps() []Step {
	if !b.isOut {
		return nil
	}
	name, opID, pool := b.host.Name(), b.outage.OpID, b.outagePool()
	switch b.Kind {
	case table.Reboot:
		return []Step{
			outageStep(pool, func(d *permit.Doc) error { return d.Advance(name, opID, table.Rebooting) }),
			{Reboot: name, OpID: opID},
		}
	case table.StartProbation:
		if b.outage.Phase != table.Rebooting && b.outage.Reason != table.Failed {
			return nil // no reboot is recorded in this view, so there is no order to confirm
		}
		return append(b.confirmReboot(), outageStep(pool, func(d *permit.Doc) error { return d.Advance(name, opID, table.Probation) }))
	case table.CancelPermit:
		epoch := b.placement.Epoch
		if b.outage.Reason == table.Move && b.placement.Pool != pool {
			return nil
		}
		return []Step{outageStep(pool, func(d *permit.Doc) error { return d.Cancel(name, opID, epoch) })}
	default:
		return b.endOutageSteps(pool)
	}
}

// confirmReboot repeats the order to reboot before the host accepts work again. It
// has no effect if the order was given before. Otherwise it uses up the order's
// id, so that an entry that was paused before it gave the order can't reboot the
// host once it is back in service.
func (b *stepBuilder) confirmReboot() []Step {
	if b.outage.Phase != table.Rebooting {
		return nil
	}
	return []Step{{Reboot: b.host.Name(), OpID: b.outage.OpID}}
}

// endOutageSteps returns the steps that end an outage: the release, after
// maintenance with its time, or the departure of a host that has been moved.
func (b *stepBuilder) endOutageSteps(pool string) []Step {
	name, outage := b.host.Name(), b.outage
	if outage.Reason == table.Move {
		if b.placement.Pool == pool || b.placement.Epoch <= outage.Epoch {
			return nil // not completed, or the placement was read before the completion
		}
		return []Step{outageStep(pool, func(d *permit.Doc) error {
			d.Depart(name, outage.Epoch, b.now)
			return nil
		})}
	}
	release := outageStep(pool, func(d *permit.Doc) error { return d.Release(name, outage.OpID) })
	if outage.Reason != table.Maintenance {
		return []Step{release}
	}
	return []Step{
		placementStep(b.host.DC(), func(d *place.Doc) error { return d.RecordMaintenance(name, b.now) }),
		release,
	}
}

// placementSteps returns the steps that change the host's placement.
func (b *stepBuilder) placementSteps() []Step {
	name, dc := b.host.Name(), b.host.DC()
	from, to := b.placement.Pool, b.t.Pool(b.Pool).Spec().Name
	epoch, configRev := b.placement.Epoch, b.t.Config().Rev
	if b.isOut {
		epoch = b.outage.Epoch
	}
	switch b.Kind {
	case table.Assign:
		return append(b.unassignSteps(), placementStep(dc, func(d *place.Doc) error { return d.Assign(name, to, configRev, b.now) }))
	case table.CancelMove:
		return []Step{placementStep(dc, func(d *place.Doc) error { return d.CancelMove(name, from, epoch) })}
	}
	if !b.isOut || b.outage.Reason != table.Move {
		return nil
	}
	opID := b.outage.OpID
	if b.Kind == table.StartMove {
		return []Step{placementStep(dc, func(d *place.Doc) error { return d.StartMove(name, from, to, opID, epoch, configRev) })}
	}
	return []Step{placementStep(dc, func(d *place.Doc) error { return d.CompleteMove(name, from, to, opID) })}
}

// unassignSteps returns the steps that take a host out of a pool that was
// withdrawn, or none if the host is in no such pool.
func (b *stepBuilder) unassignSteps() []Step {
	name, pool, epoch, configRev := b.host.Name(), b.placement.Pool, b.placement.Epoch, b.t.Config().Rev
	if pool == "" || b.t.PoolByName(pool) != table.None || configRev < b.placement.ConfigRev {
		return nil
	}
	return []Step{
		outageStep(pool, func(d *permit.Doc) error {
			d.Depart(name, epoch, b.now)
			return nil
		}),
		placementStep(b.host.DC(), func(d *place.Doc) error { return d.Unassign(name, pool, epoch, configRev) }),
	}
}

func outageStep(pool string, rule func(*permit.Doc) error) Step {
	return Step{Pool: pool, Rule: func(body []byte) ([]byte, error) { return permit.Apply(body, rule) }}
}

func placementStep(dc string, rule func(*place.Doc) error) Step {
	return Step{DC: dc, Rule: func(body []byte) ([]byte, error) { return place.Apply(body, rule) }}
}
