package cmds

import (
	"context"
	"fmt"
	"slices"

	"github.com/google/subcommands"

	"shallotpaddle/gen/fleet"
)

func newExplain(e *env) subcommands.Command {
	return &command{
		env: e, name: "explain", minArgs: 2, maxArgs: 2,
		usage:    "explain host|job|pool NAME",
		synopsis: "show the decisions that concern a host, job or pool, with their causes",
		run:      func(ctx context.Context, args []string) error { return e.explain(ctx, args[0], args[1]) },
	}
}

func (e *env) explain(ctx context.Context, kind, name string) error {
	if !slices.Contains([]string{"host", "job", "pool"}, kind) {
		return fmt.Errorf("%w: explain %s: want host, job or pool", ErrUsage, kind)
	}
	var res *fleet.ExplainResult
	body, err := e.query(ctx, func(ctx context.Context, a *api) (err error) {
		res, err = a.Explain(ctx, &fleet.ExplainPayload{Token: a.token, Kind: kind, Name: name})
		return err
	})
	if err != nil {
		return err
	}
	if e.format == formatJSON {
		return writeIndentedJSON(e.stdout, body)
	}
	if len(res.Events) == 0 {
		fmt.Fprintf(e.stderr, "no decision about %s %s is remembered\n", kind, name)
		return nil
	}
	t := newListing(e.stdout, "time", "entry", "what", "cause", "figure", "limit")
	for _, ev := range res.Events {
		t.row(ev.Time, ev.Entry, ev.What, ev.Cause, ev.Figure, ev.Limit)
	}
	return t.flush()
}
