package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"
	"golang.org/x/sync/errgroup"

	"shallotpaddle/gen/fleet"
)

// demoTimeout bounds the whole demo, without the shutdown of the fleets.
const demoTimeout = 50 * time.Second

// drainOrderInterval is the interval between attempts to drain the next hosts of
// a wave.
const drainOrderInterval = time.Second

// errDemo is returned when a result of the demo breaks a guarantee of the system,
// such as a wrong answer or a failed job.
var errDemo = errors.New("demo failed")

func newDemo(e *env) subcommands.Command {
	var verbose bool
	return &command{
		env: e, name: "demo", minArgs: 0, maxArgs: 0,
		usage:    "demo [-v]",
		synopsis: "run two small fleets with stand-ins in this process: a note, work, a wave, a burn report",
		flags: func(f *flag.FlagSet) {
			f.BoolVar(&verbose, "v", false, "write the entries' logs to the error stream")
		},
		run: func(ctx context.Context, _ []string) error {
			logs := io.Discard
			if verbose {
				logs = e.stderr
			}
			return e.runDemo(ctx, logs)
		},
	}
}

func (e *env) runDemo(ctx context.Context, logs io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	reports := make([]demoReport, len(demoUsers))
	for i, u := range demoUsers {
		g.Go(func() (err error) {
			reports[i], err = e.runDemoUser(ctx, u, logs)
			return err
		})
	}
	err := g.Wait()
	for i := range reports {
		if reports[i].user != "" {
			err = errors.Join(err, e.printDemoReport(&reports[i]))
		}
	}
	return err
}

// demoReport holds the results of one user's part of the demo.
type demoReport struct {
	user   string
	counts demoCounts
	jobs   int // jobs that ended with the right result
	wave   waveReport
	burn   string // burn report as text
}

func (e *env) runDemoUser(ctx context.Context, u demoUser, logs io.Writer) (demoReport, error) {
	f, err := startDemoFleet(u, logs)
	if err != nil {
		return demoReport{}, fmt.Errorf("%s: %w", u.name, err)
	}
	defer f.stop()
	op := f.operatorEnv(e)
	r := demoReport{user: u.name}
	if err := op.applyDemoNote(ctx, u); err != nil {
		return demoReport{}, fmt.Errorf("%s: note: %w", u.name, err)
	}
	load, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	done := make(chan demoCounts, 1)
	go func() { done <- runDemoLoad(load, f.callerAddrs(), u.loads) }()
	var g errgroup.Group
	g.Go(func() (err error) {
		c := &jobClient{client: &http.Client{}, addrs: f.callerAddrs()}
		defer c.client.CloseIdleConnections()
		r.jobs, err = c.runJobs(ctx, u.loads[0])
		return err
	})
	r.wave, err = op.runDemoWave(ctx, u)
	jobsErr := g.Wait()
	stopLoad()
	r.counts = <-done
	if err := errors.Join(err, jobsErr); err != nil {
		return demoReport{}, fmt.Errorf("%s: %w", u.name, err)
	}
	if r.counts.wrong > 0 {
		return demoReport{}, fmt.Errorf("%s: %w: %d wrong answers", u.name, errDemo, r.counts.wrong)
	}
	// The burn report must be fetched while the entries still run.
	var b strings.Builder
	op.stdout = &b
	if err := op.printBurn(ctx, false); err != nil {
		return demoReport{}, fmt.Errorf("%s: %w", u.name, err)
	}
	r.burn = b.String()
	return r, nil
}

// applyDemoNote applies the user's first note and waits for its full effect.
func (e *env) applyDemoNote(ctx context.Context, u demoUser) error {
	if err := e.awaitEntries(ctx); err != nil {
		return err
	}
	res, _, err := e.sendNote(ctx, u.name, []byte(u.note), false)
	if err != nil {
		return err
	}
	a := &applyCommand{env: e, waitFor: waitEffect, forceTimeout: demoTimeout, effectTimeout: demoTimeout}
	_, err = a.awaitRevision(ctx, res.Rev)
	return err
}

// awaitEntries waits until an entry lists every entry of the fleet.
func (e *env) awaitEntries(ctx context.Context) error {
	return e.waitForState(ctx, "the entries see each other", func(s *fleet.FleetState) bool {
		return len(s.Entries) == demoEntries
	})
}

// waitForState polls the fleet's state until done returns true.
func (e *env) waitForState(ctx context.Context, condition string, done func(*fleet.FleetState) bool) error {
	tick := time.NewTicker(e.poll)
	defer tick.Stop()
	for {
		var s *fleet.FleetState
		_, err := e.query(ctx, func(ctx context.Context, a *api) (err error) {
			s, err = a.Show(ctx, &fleet.ShowPayload{Token: a.token})
			return err
		})
		if err == nil && done(s) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w until %s", ErrTimeout, condition)
		case <-tick.C:
		}
	}
}

// waveReport holds the results of draining every host of one pool.
type waveReport struct {
	pool string
	// drainedHosts is the number of hosts that were drained and rebooted; maxOut
	// is the most that were out of service at once, which budget limits.
	// refusedDrains counts drain requests refused because the budget was used up.
	drainedHosts, maxOut, budget, refusedDrains int
	took                                        time.Duration
}

// runDemoWave drains every host of one pool as fast as the availability budget
// allows, and waits until all are back in service.
func (e *env) runDemoWave(ctx context.Context, u demoUser) (waveReport, error) {
	w := waveReport{pool: u.wavePool}
	start := time.Now()
	var remaining []string
	var lastOrder time.Time
	drained := map[string]bool{}
	err := e.waitForState(ctx, "the wave is done", func(s *fleet.FleetState) bool {
		if remaining == nil && len(drained) == 0 {
			remaining = hostsInPool(s, u.wavePool)
		}
		w.observe(s, drained)
		if now := time.Now(); now.Sub(lastOrder) >= drainOrderInterval {
			lastOrder = now
			remaining = e.orderDrains(ctx, remaining, &w)
		}
		return len(remaining) == 0 && w.drainedHosts == len(hostsInPool(s, u.wavePool)) && w.noneOut(s)
	})
	w.took = time.Since(start).Round(100 * time.Millisecond)
	if err == nil && w.maxOut > w.budget {
		err = fmt.Errorf("%w: %d hosts of pool %s out of service at once, budget %d", errDemo, w.maxOut, w.pool, w.budget)
	}
	return w, err
}

// hostsInPool returns the sorted names of the pool's hosts.
func hostsInPool(s *fleet.FleetState, pool string) []string {
	var out []string
	for _, h := range s.Hosts {
		if h.Pool == pool {
			out = append(out, h.Name)
		}
	}
	slices.Sort(out)
	return out
}

// orderDrains requests the drain of the hosts in order until a request fails,
// and returns the hosts that remain.
func (e *env) orderDrains(ctx context.Context, hosts []string, w *waveReport) []string {
	for len(hosts) > 0 {
		if err := e.requestDrain(ctx, hosts[0]); err != nil {
			if errors.Is(err, ErrConflict) {
				w.refusedDrains++
			}
			return hosts
		}
		hosts = hosts[1:]
	}
	return hosts
}

func (e *env) requestDrain(ctx context.Context, host string) error {
	_, err := e.call(ctx, func(ctx context.Context, a *api) error {
		return a.Drain(ctx, &fleet.DrainPayload{Token: a.token, Host: host})
	})
	return err
}

// observe updates the report from a state of the fleet. drained holds the names
// of the hosts that were counted before.
func (w *waveReport) observe(s *fleet.FleetState, drained map[string]bool) {
	for _, h := range s.Hosts {
		if h.Pool == w.pool && h.Reason == "operator" && !drained[h.Name] {
			drained[h.Name] = true
			w.drainedHosts++
		}
	}
	for _, p := range s.Pools {
		if p.Name == w.pool {
			w.maxOut, w.budget = max(w.maxOut, p.Out), p.Budget
		}
	}
}

// noneOut reports whether all hosts of the pool are in service.
func (w *waveReport) noneOut(s *fleet.FleetState) bool {
	for _, p := range s.Pools {
		if p.Name == w.pool {
			return p.Out == 0
		}
	}
	return false
}

func (e *env) printDemoReport(r *demoReport) error {
	if e.format == formatJSON {
		return writeJSON(e.stdout, struct {
			User     string `json:"user"`
			Answered int64  `json:"answered"`
			NotRun   int64  `json:"notrun"`
			Unknown  int64  `json:"unknown"`
			Wrong    int64  `json:"wrong"`
			Jobs     int    `json:"jobs"`
			Hosts    int    `json:"hosts"`
			Out      int    `json:"out"`
			Budget   int    `json:"budget"`
			Took     string `json:"took"`
		}{
			r.user, r.counts.answered, r.counts.notRun, r.counts.unknown, r.counts.wrong, r.jobs,
			r.wave.drainedHosts, r.wave.maxOut, r.wave.budget, r.wave.took.String(),
		})
	}
	fmt.Fprintf(e.stdout, "\n== %s\n", r.user)
	fmt.Fprintf(e.stdout, "work: %d answered, %d not run, %d unknown, %d wrong answers\n",
		r.counts.answered, r.counts.notRun, r.counts.unknown, r.counts.wrong)
	fmt.Fprintf(e.stdout, "jobs: %d submitted, followed to their end and fetched\n", r.jobs)
	fmt.Fprintf(e.stdout, "wave: %d hosts of %s drained and rebooted in %s, at most %d out at once, budget %d, %d orders refused by the budget\n\n",
		r.wave.drainedHosts, r.wave.pool, r.wave.took, r.wave.maxOut, r.wave.budget, r.wave.refusedDrains)
	_, err := fmt.Fprint(e.stdout, r.burn)
	return err
}

// operatorEnv returns an env whose commands call the fleet's entries with an
// operator's token and write to standard error with the user's name as a prefix.
func (f *demoFleet) operatorEnv(e *env) *env {
	urls := make([]string, len(f.entries))
	for i, x := range f.entries {
		urls[i] = "http://" + x.operatorAddr
	}
	getenv := func(name string) string {
		if name == tokenVar {
			return demoToken
		}
		return os.Getenv(name)
	}
	return &env{
		stdout: e.stdout, stderr: prefixWriter{e.stderr, f.user.name + ": "}, getenv: getenv, poll: e.poll,
		entryURLs: strings.Join(urls, ","), format: formatText,
	}
}

// prefixWriter writes a prefix before each line.
type prefixWriter struct {
	w      io.Writer
	prefix string
}

// Write writes the prefix and b, which must be one line.
func (p prefixWriter) Write(b []byte) (int, error) {
	if _, err := p.w.Write(append([]byte(p.prefix), b...)); err != nil {
		return 0, err
	}
	return len(b), nil
}
