package cmds

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
)

func newNoteCheck(e *env) subcommands.Command {
	var local bool
	return &command{
		env: e, name: "check", minArgs: 1, maxArgs: 1,
		usage:    "note check [-local] FILE",
		synopsis: "show every fault of a release note, or what it would change",
		flags: func(f *flag.FlagSet) {
			f.BoolVar(&local, "local", false, "check the note by itself, without asking an entry")
		},
		run: func(ctx context.Context, args []string) error {
			return e.checkNote(ctx, args[0], local)
		},
	}
}

func (e *env) checkNote(ctx context.Context, file string, local bool) error {
	text, n, err := readNote(file)
	if err != nil {
		return err
	}
	if local {
		fmt.Fprintf(e.stderr, "note %s reads well; whether it fits the fleet was not asked\n", n.ID)
		return nil
	}
	res, body, err := e.sendNote(ctx, file, text, true)
	if err != nil {
		return err
	}
	if e.format == formatJSON {
		return writeIndentedJSON(e.stdout, body)
	}
	e.printLines(res.Lines)
	return nil
}
