package cmds

import (
	"context"
	"flag"
	"fmt"
	"slices"

	"github.com/google/subcommands"

	"shallotpaddle/gen/fleet"
)

// maxLinesPerNote is the number of changes shown of each note without -all.
const maxLinesPerNote = 5

func newNoteList(e *env) subcommands.Command {
	var all bool
	return &command{
		env: e, name: "list", minArgs: 0, maxArgs: 0,
		usage:    "note list [-all]",
		synopsis: "list the accepted release notes that are remembered, newest last",
		flags: func(f *flag.FlagSet) {
			f.BoolVar(&all, "all", false, "show every change of each note")
		},
		run: func(ctx context.Context, _ []string) error { return e.listNotes(ctx, all) },
	}
}

func (e *env) listNotes(ctx context.Context, all bool) error {
	var res *fleet.NotesResult
	body, err := e.query(ctx, func(ctx context.Context, a *api) (err error) {
		res, err = a.Notes(ctx, &fleet.NotesPayload{Token: a.token})
		return err
	})
	if err != nil {
		return err
	}
	if e.format == formatJSON {
		return writeIndentedJSON(e.stdout, body)
	}
	t := newListing(e.stdout, "rev", "note", "operator", "time", "change")
	for _, n := range res.Notes {
		lines := truncateLines(n.Lines, all)
		t.row(n.Rev, n.Note, stringOrEmpty(n.Operator), stringOrEmpty(n.Time), lines[0])
		for _, l := range lines[1:] {
			t.row(" ", " ", " ", " ", l)
		}
	}
	return t.flush()
}

// truncateLines returns at least one line and, unless all is set, at most
// maxLinesPerNote lines and one that counts the rest.
func truncateLines(lines []string, all bool) []string {
	if len(lines) == 0 {
		return []string{""}
	}
	if all || len(lines) <= maxLinesPerNote {
		return lines
	}
	return append(slices.Clone(lines[:maxLinesPerNote]), fmt.Sprintf("and %d more", len(lines)-maxLinesPerNote))
}
