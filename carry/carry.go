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
	Outages map[string]*permit.Doc // by pool
	Places  map[string]*place.Doc  // by data centre
}

// Step is one write or one order. Exactly one of Pool, DC and Reboot is set.
type Step struct {
	Pool   string // pool whose outage document the rule changes
	DC     string // data centre whose placement document the rule changes
	Reboot string // host to reboot, with the order's id in Op
	Op     string
	// Rule returns the new body; nil for a reboot.
	Rule func(body []byte) ([]byte, error)
}

// change is what the steps of one change rest on.
type change struct {
	table.Change
	t     *table.Tables
	host  *table.Host
	entry place.Entry
	rec   permit.Outage // the host's outage record, if held
	held  bool
	by    string
	now   time.Time
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
	x := &change{Change: c, t: t, host: t.Host(c.Host), by: by, now: now}
	x.read(d)
	steps := x.steps()
	if len(steps) == 0 {
		return nil, fmt.Errorf("%s %s: %w", c.Kind, x.host.Name(), ErrStale)
	}
	return steps, nil
}

func (x *change) read(d Docs) {
	if p := d.Places[x.host.DC()]; p != nil {
		x.entry = p.Hosts[x.host.Name()]
	}
	if p := d.Outages[x.outPool()]; p != nil {
		x.rec, x.held = p.Outages[x.host.Name()]
	}
}

// outPool returns the pool whose document holds the host's record.
func (x *change) outPool() string {
	if id := x.host.OutPool(); id != table.None {
		return x.t.Pool(id).Spec().Name
	}
	return x.entry.Pool
}

func (x *change) steps() []Step {
	switch x.Kind {
	case table.Permit, table.Fail:
		return x.begin()
	case table.Reboot, table.Probate, table.Restore, table.Recall:
		return x.outage()
	case table.Mark, table.Transfer, table.Unmark, table.Assign:
		return x.place()
	default:
		return nil
	}
}

// begin takes a host out of service in the document of the pool that it is in
// by the same view that gives the epoch.
func (x *change) begin() []Step {
	pool := x.t.PoolByName(x.entry.Pool)
	if pool == table.None || pool != x.host.Pool() {
		return nil
	}
	spec := x.t.Pool(pool).Spec()
	r := permit.Request{
		Host: x.host.Name(), Rack: x.host.Rack(), DC: x.host.DC(), BootID: x.host.Boot(),
		Reason: x.Reason, OpID: x.by, Epoch: x.entry.Epoch, Now: x.now,
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

// outage carries on or ends the record that is held.
func (x *change) outage() []Step {
	if !x.held {
		return nil
	}
	name, by, pool := x.host.Name(), x.rec.OpID, x.outPool()
	switch x.Kind {
	case table.Reboot:
		return []Step{
			outageStep(pool, func(d *permit.Doc) error { return d.Advance(name, by, table.Rebooting) }),
			{Reboot: name, Op: by},
		}
	case table.Probate:
		if x.rec.Phase != table.Rebooting && x.rec.Reason != table.Failed {
			return nil // a view from before the reboot has no order to confirm
		}
		return append(x.confirm(), outageStep(pool, func(d *permit.Doc) error { return d.Advance(name, by, table.Probation) }))
	case table.Recall:
		epoch := x.entry.Epoch
		if x.rec.Reason == table.Move && x.entry.Pool != pool {
			return nil
		}
		return []Step{outageStep(pool, func(d *permit.Doc) error { return d.Recall(name, by, epoch) })}
	default:
		return x.restore(pool)
	}
}

// confirm repeats the order to reboot before the host takes work again. It has
// no effect when the order was given; otherwise it spends the order's id, so
// that an entry paused before its order cannot reboot a host back in service.
func (x *change) confirm() []Step {
	if x.rec.Phase != table.Rebooting {
		return nil
	}
	return []Step{{Reboot: x.host.Name(), Op: x.rec.OpID}}
}

func (x *change) restore(pool string) []Step {
	name, rec := x.host.Name(), x.rec
	if rec.Reason == table.Move {
		if x.entry.Pool == pool || x.entry.Epoch <= rec.Epoch {
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
		placeStep(x.host.DC(), func(d *place.Doc) error { return d.Maintained(name, x.now) }),
		release,
	}
}

func (x *change) place() []Step {
	name, dc := x.host.Name(), x.host.DC()
	from, to := x.entry.Pool, x.t.Pool(x.Pool).Spec().Name
	epoch, conf := x.entry.Epoch, x.t.Config().Rev
	if x.held {
		epoch = x.rec.Epoch
	}
	switch x.Kind {
	case table.Assign:
		return append(x.vacate(), placeStep(dc, func(d *place.Doc) error { return d.Assign(name, to, conf, x.now) }))
	case table.Unmark:
		return []Step{placeStep(dc, func(d *place.Doc) error { return d.Unmark(name, from, epoch) })}
	}
	if !x.held || x.rec.Reason != table.Move {
		return nil
	}
	by := x.rec.OpID
	if x.Kind == table.Mark {
		return []Step{placeStep(dc, func(d *place.Doc) error { return d.Mark(name, from, to, by, epoch, conf) })}
	}
	return []Step{placeStep(dc, func(d *place.Doc) error { return d.Transfer(name, from, to, by) })}
}

// vacate takes a host out of a pool that was withdrawn.
func (x *change) vacate() []Step {
	name, pool, epoch, conf := x.host.Name(), x.entry.Pool, x.entry.Epoch, x.t.Config().Rev
	if pool == "" || x.t.PoolByName(pool) != table.None || conf < x.entry.Conf {
		return nil
	}
	return []Step{
		outageStep(pool, func(d *permit.Doc) error {
			d.Depart(name, epoch, x.now)
			return nil
		}),
		placeStep(x.host.DC(), func(d *place.Doc) error { return d.Vacate(name, pool, epoch, conf) }),
	}
}

func outageStep(pool string, rule func(*permit.Doc) error) Step {
	return Step{Pool: pool, Rule: func(body []byte) ([]byte, error) { return permit.Apply(body, rule) }}
}

func placeStep(dc string, rule func(*place.Doc) error) Step {
	return Step{DC: dc, Rule: func(body []byte) ([]byte, error) { return place.Apply(body, rule) }}
}
