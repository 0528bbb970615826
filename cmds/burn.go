package cmds

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"shallotpaddle/burn"
	"shallotpaddle/gen/fleet"
)

func newBurn(e *env) subcommands.Command {
	var html bool
	return &command{
		env: e, name: "burn", minArgs: 0, maxArgs: 0,
		usage:    "burn [-html]",
		synopsis: "report service-level burn, buffer cost, roll-out time and moves",
		flags: func(f *flag.FlagSet) {
			f.BoolVar(&html, "html", false, "write a page with plots to the standard output")
		},
		run: func(ctx context.Context, _ []string) error { return e.printBurn(ctx, html) },
	}
}

func (e *env) printBurn(ctx context.Context, html bool) error {
	body, err := e.query(ctx, func(ctx context.Context, a *api) error {
		_, err := a.Burn(ctx, &fleet.BurnPayload{Token: a.token})
		return err
	})
	if err != nil {
		return err
	}
	var r burn.Report
	if err := json.Unmarshal(body, &r); err != nil {
		return fmt.Errorf("burn report: %w", err)
	}
	switch {
	case html:
		return burn.WriteHTML(e.stdout, r)
	case e.format == formatJSON:
		return writeIndentedJSON(e.stdout, body)
	}
	return burn.WriteText(e.stdout, r)
}
