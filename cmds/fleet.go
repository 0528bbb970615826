package cmds

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"slices"

	"github.com/google/subcommands"

	"shallotpaddle/gen/fleet"
)

func newFleet(e *env) subcommands.Command {
	var pool string
	var outOnly bool
	return &command{
		env: e, name: "fleet", minArgs: 0, maxArgs: 0,
		usage:    "fleet [-pool NAME] [-out]",
		synopsis: "show pools, entries and hosts",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&pool, "pool", "", "show only this `pool` and its hosts")
			f.BoolVar(&outOnly, "out", false, "show only hosts that are out of service or not healthy")
		},
		run: func(ctx context.Context, _ []string) error { return e.printFleet(ctx, pool, outOnly) },
	}
}

func (e *env) printFleet(ctx context.Context, pool string, outOnly bool) error {
	var res *fleet.FleetState
	body, err := e.query(ctx, func(ctx context.Context, a *api) (err error) {
		res, err = a.Show(ctx, &fleet.ShowPayload{Token: a.token})
		return err
	})
	if err != nil {
		return err
	}
	if e.format == formatJSON {
		return writeIndentedJSON(e.stdout, body)
	}
	return e.printFleetState(res, pool, outOnly)
}

func (e *env) printFleetState(s *fleet.FleetState, pool string, outOnly bool) error {
	fmt.Fprintf(e.stdout, "revision %d\n\n", s.Rev)
	t := newListing(e.stdout, "pool", "hosts", "out", "budget", "slots", "busy", "waiting", "owner")
	for _, p := range s.Pools {
		if pool == "" || pool == p.Name {
			t.row(p.Name, p.Hosts, p.Out, p.Budget, p.Slots, p.Busy, p.Waiting, p.Owner)
		}
	}
	if err := t.flush(); err != nil {
		return err
	}
	fmt.Fprintln(e.stdout)
	t = newListing(e.stdout, "entry", "dc", "rev", "heartbeat age")
	for _, entry := range s.Entries {
		t.row(entry.Name, entry.Dc, entry.Rev, entry.Age)
	}
	if err := t.flush(); err != nil {
		return err
	}
	fmt.Fprintln(e.stdout)
	t = newListing(e.stdout, "host", "dc", "rack", "pool", "next", "reason", "phase", "healthy", "busy", "slots")
	slices.SortFunc(s.Hosts, func(a, b *fleet.HostState) int { return cmp.Compare(a.Name, b.Name) })
	for _, h := range s.Hosts {
		if (pool != "" && h.Pool != pool) || (outOnly && inService(h)) {
			continue
		}
		t.row(h.Name, h.Dc, h.Rack, h.Pool, h.Next, h.Reason, h.Phase, h.Healthy, h.Busy, h.Slots)
	}
	return t.flush()
}

// inService reports whether a host is healthy, in service and not about to leave
// it.
func inService(h *fleet.HostState) bool {
	return h.Healthy && h.Next == "" && (h.Reason == "" || h.Reason == "in-service")
}
