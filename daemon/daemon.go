package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/coder/quartz"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"shallotpaddle/conf"
	"shallotpaddle/entry"
	"shallotpaddle/front"
	"shallotpaddle/intake"
)

// ErrWorkInterrupted is returned when the process stopped before all work in
// flight had finished.
var ErrWorkInterrupted = errors.New("work was interrupted")

// Daemon is one entry process.
type Daemon struct {
	settings *conf.Settings
	log      *log.Logger
	clock    quartz.Clock
	entry    *entry.Entry

	callers, operators *front.Server
	peers              net.Listener
}

// New opens the listeners and returns a daemon. The error names the setting whose
// address can't be listened on.
func New(settings *conf.Settings, logger *log.Logger, clock quartz.Clock) (*Daemon, error) {
	d := &Daemon{settings: settings, log: logger, clock: clock}
	listen := settings.Listen()
	registry := metrics.NewRegistry()
	var gate *intake.Gate
	var b bounds
	open := func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	if limits := settings.Limits(); limits.BoundsClients() {
		b = newBounds(settings)
		gate = intake.New(b.process, clock, logger, registry)
		open = gate.Listen
	}
	listeners, err := listenAll(settings, listen, open)
	if err != nil {
		return nil, err
	}
	d.entry = entry.New(settings, clock, logger, registry)
	health := front.NewHealth(d.entry)
	work := front.NewWork(d.entry, clock)
	fleet := front.NewFleet(d.entry, settings.Auth())
	d.callers = front.NewServer(front.CallerHandler(work, health, logger, listen.Callers, gate), listeners[0], listen.Callers, gate, b.callers)
	d.operators = front.NewServer(front.OperatorHandler(fleet, health, logger, listen.Operators, gate), listeners[1], listen.Operators, gate, b.operators)
	d.peers = intake.Retry(listeners[2], clock)
	if gate != nil {
		d.peers = gate.Peers(d.peers, b.peers)
	} else {
		d.peers = netutil.LimitListener(d.peers, listen.Peers.MaxConns)
	}
	return d, nil
}

// listenAll opens the listeners of callers, operators and peers, in this order.
func listenAll(settings *conf.Settings, listen conf.Listen, open func(address string) (net.Listener, error)) ([]net.Listener, error) {
	var out []net.Listener
	for _, a := range []struct{ key, addr string }{
		{"listen.callers.address", listen.Callers.Address},
		{"listen.operators.address", listen.Operators.Address},
		{"listen.peers.address", listen.Peers.Address},
	} {
		ln, err := open(a.addr)
		if err != nil {
			for _, opened := range out {
				_ = opened.Close()
			}
			return nil, settings.Fault(a.key, err)
		}
		out = append(out, ln)
	}
	return out, nil
}

// Entry returns the daemon's entry.
func (d *Daemon) Entry() *entry.Entry { return d.entry }

// Run serves until stop is cancelled, then stops gracefully. It returns
// ErrWorkInterrupted when work was left at the end of the drain timeout or when
// force was cancelled before.
func (d *Daemon) Run(stop, force context.Context) error {
	run, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return d.entry.Run(run, d.peers) })
	group.Go(d.callers.Serve)
	group.Go(d.operators.Serve)
	d.log.Info().Str("entry", d.entry.Name()).Str("callers", d.settings.Listen().Callers.Address).Msg("serving")

	<-stop.Done()
	err := d.drain(force)
	cancel()
	return errors.Join(err, group.Wait())
}

// drain reports the entry as unready, waits for the load balancer to notice,
// finishes the work in flight and closes the listeners. Work still left when the
// drain timeout has passed or force is cancelled is interrupted.
func (d *Daemon) drain(force context.Context) error {
	limits := d.settings.Limits()
	d.log.Info().Str("entry", d.entry.Name()).Int64("active", d.entry.Router().Active()).Msg("stopping")
	d.entry.BeginStop()
	ctx, cancel := context.WithTimeout(force, limits.DrainTimeout.Std())
	defer cancel()
	notice, end := context.WithTimeout(ctx, max(limits.ShutdownDelay.Std(), limits.DrainTimeout.Std()/2))
	d.notice(notice, limits.ShutdownDelay.Std())
	end()
	left := d.entry.Stop(ctx)
	err := errors.Join(d.callers.Stop(ctx), d.operators.Stop(ctx))
	if left == 0 && err == nil {
		d.log.Info().Str("entry", d.entry.Name()).Msg("stopped")
		return nil
	}
	_ = d.callers.Close()
	_ = d.operators.Close()
	d.log.Error().Str("entry", d.entry.Name()).Int64("left", left).Err(err).Msg("stopped with work in flight")
	return fmt.Errorf("%w: %d in flight", ErrWorkInterrupted, left)
}

// noticeSteps is the number of parts in which notice waits. A hold-up of the process takes
// away one of them.
const noticeSteps = 10

// notice waits until the load balancer can have noticed that the entry is unready, for t
// of the time in which the process runs. If it was held up for t or longer, the wait begins
// anew; it ends with ctx.
func (d *Daemon) notice(ctx context.Context, t time.Duration) {
	step := t / noticeSteps
	for left := noticeSteps; left > 0 && step > 0 && ctx.Err() == nil; left-- {
		begun := d.clock.Now()
		d.sleep(ctx, step)
		if d.clock.Since(begun) >= step+t {
			left = noticeSteps + 1
		}
	}
}

// sleep waits for t or until ctx ends.
func (d *Daemon) sleep(ctx context.Context, t time.Duration) {
	timer := d.clock.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
