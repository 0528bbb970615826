package cmds

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"shallotpaddle/gen/fleet"
)

func newNoteStatus(e *env) subcommands.Command {
	var rev int64
	return &command{
		env: e, name: "status", minArgs: 0, maxArgs: 0,
		usage:    "note status [-rev N]",
		synopsis: "tell how far a revision has come",
		flags: func(f *flag.FlagSet) {
			f.Int64Var(&rev, "rev", 0, "`revision` to ask for; 0 is the newest")
		},
		run: func(ctx context.Context, _ []string) error { return e.printStatus(ctx, rev) },
	}
}

// noteStatus fetches the status of a revision, decoded and as JSON; 0 is the
// newest.
func (e *env) noteStatus(ctx context.Context, rev int64) (*fleet.Status2, []byte, error) {
	var res *fleet.Status2
	body, err := e.query(ctx, func(ctx context.Context, a *api) (err error) {
		res, err = a.Status(ctx, &fleet.StatusPayload{Token: a.token, Rev: rev})
		return err
	})
	return res, body, err
}

func (e *env) printStatus(ctx context.Context, rev int64) error {
	s, body, err := e.noteStatus(ctx, rev)
	if err != nil {
		return err
	}
	if e.format == formatJSON {
		return writeIndentedJSON(e.stdout, body)
	}
	if s.Accepted != nil {
		fmt.Fprintf(e.stdout, "accepted %s\n", *s.Accepted)
	}
	fmt.Fprintln(e.stdout, describeStatus(s))
	return nil
}
