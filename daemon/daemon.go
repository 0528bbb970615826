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
)

// ErrWorkInterrupted is returned when a stop had to cut off work in flight.
var ErrWorkInterrupted = errors.New("work was cut off")

// Daemon is one entry process.
type Daemon struct {
	settings *conf.Settings
	log      *log.Logger
	clock    quartz.Clock
	entry    *entry.Entry

	callers, operators *front.Server
	peers              net.Listener
}

// New opens the listeners and returns a daemon; the error names the setting
// whose address can't be used.
func New(settings *conf.Settings, logger *log.Logger, clock quartz.Clock) (*Daemon, error) {
	d := &Daemon{settings: settings, log: logger, clock: clock}
	l := settings.Listen()
	lns, err := listenAll(settings, l)
	if err != nil {
		return nil, err
	}
	d.entry = entry.New(settings, clock, logger, metrics.NewRegistry())
	health := front.NewHealth(d.entry)
	work := front.NewWork(d.entry, clock)
	fleet := front.NewFleet(d.entry, settings.Auth())
	d.callers = front.NewServer(front.CallerHandler(work, health, logger, l.Callers), lns[0], l.Callers)
	d.operators = front.NewServer(front.OperatorHandler(fleet, health, logger, l.Operators), lns[1], l.Operators)
	d.peers = netutil.LimitListener(lns[2], l.Peers.MaxConns)
	return d, nil
}

func listenAll(settings *conf.Settings, l conf.Listen) ([]net.Listener, error) {
	var out []net.Listener
	for _, a := range []struct{ key, addr string }{
		{"listen.callers.address", l.Callers.Address},
		{"listen.operators.address", l.Operators.Address},
		{"listen.peers.address", l.Peers.Address},
	} {
		ln, err := net.Listen("tcp", a.addr)
		if err != nil {
			for _, open := range out {
				_ = open.Close()
			}
			return nil, settings.Fault(a.key, err)
		}
		out = append(out, ln)
	}
	return out, nil
}

// Entry returns the daemon's entry.
func (d *Daemon) Entry() *entry.Entry { return d.entry }

// Run serves until stop ends, then stops gracefully. It returns ErrCut when
// work was left at the drain deadline or when now ended first.
func (d *Daemon) Run(stop, now context.Context) error {
	run, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g errgroup.Group
	g.Go(func() error { return d.entry.Run(run, d.peers) })
	g.Go(d.callers.Serve)
	g.Go(d.operators.Serve)
	d.log.Info().Str("entry", d.entry.Name()).Str("callers", d.settings.Listen().Callers.Address).Msg("serving")

	<-stop.Done()
	err := d.drain(now)
	cancel()
	return errors.Join(err, g.Wait())
}

// drain reports the entry unready, lets the balancer notice, finishes what is
// in flight and closes the listeners.
func (d *Daemon) drain(now context.Context) error {
	limits := d.settings.Limits()
	d.log.Info().Str("entry", d.entry.Name()).Int64("active", d.entry.Router().Active()).Msg("stopping")
	d.entry.BeginStop()
	ctx, cancel := context.WithTimeout(now, limits.DrainTimeout.Std())
	defer cancel()
	d.sleep(ctx, limits.ShutdownDelay.Std())
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

func (d *Daemon) sleep(ctx context.Context, t time.Duration) {
	timer := d.clock.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
