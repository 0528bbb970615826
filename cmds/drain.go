package cmds

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"shallotpaddle/gen/fleet"
)

func newDrain(e *env) subcommands.Command {
	var undo bool
	return &command{
		env: e, name: "drain", minArgs: 1, maxArgs: 1,
		usage:    "drain [-undo] HOST",
		synopsis: "take a host out of service within its pool's availability budget",
		flags: func(f *flag.FlagSet) {
			f.BoolVar(&undo, "undo", false, "put the host back into service")
		},
		run: func(ctx context.Context, args []string) error { return e.drain(ctx, args[0], undo) },
	}
}

func (e *env) drain(ctx context.Context, host string, undo bool) error {
	body, err := e.call(ctx, func(ctx context.Context, a *api) error {
		if undo {
			return a.Undrain(ctx, &fleet.UndrainPayload{Token: a.token, Host: host})
		}
		return a.Drain(ctx, &fleet.DrainPayload{Token: a.token, Host: host})
	})
	if err != nil {
		return err
	}
	if e.format == formatJSON {
		return writeIndentedJSON(e.stdout, body)
	}
	if undo {
		fmt.Fprintf(e.stdout, "%s goes back into service\n", host)
		return nil
	}
	fmt.Fprintf(e.stdout, "%s drains; see: shallotpaddle explain host %s\n", host, host)
	return nil
}
