package cmds

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/google/subcommands"

	"shallotpaddle/gen/fleet"
	"shallotpaddle/note"
)

// commandGroup is a command that has subcommands of its own; it implements
// subcommands.Command.
type commandGroup struct {
	env            *env
	name, synopsis string
	commands       []subcommands.Command
}

// Name returns the group's name.
func (g *commandGroup) Name() string { return g.name }

// Synopsis returns the one-line description of the group.
func (g *commandGroup) Synopsis() string { return g.synopsis }

// Usage returns the usage of each of the group's commands.
func (g *commandGroup) Usage() string {
	var b strings.Builder
	for _, c := range g.commands {
		b.WriteString(c.Usage())
	}
	return b.String()
}

// SetFlags adds the shared flags.
func (g *commandGroup) SetFlags(f *flag.FlagSet) { g.env.setFlags(f) }

// Execute runs one of the group's commands.
func (g *commandGroup) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c := g.env.commander(f, "shallotpaddle "+g.name)
	for _, cmd := range g.commands {
		c.Register(cmd, "")
	}
	return c.Execute(ctx)
}

func newNote(e *env) subcommands.Command {
	return &commandGroup{
		env: e, name: "note", synopsis: "check, apply and follow release notes",
		commands: []subcommands.Command{newNoteCheck(e), newNoteApply(e), newNoteStatus(e), newNoteList(e)},
	}
}

// readNote reads and parses a note, so that its errors are reported without a
// call to an entry.
func readNote(file string) ([]byte, *note.Note, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrUsage, err)
	}
	n, err := note.Parse(file, text)
	return text, n, err
}

// sendNote sends a note to an entry; with dryRun the entry only checks it. The
// same note is accepted only once, so the call is safe to repeat.
func (e *env) sendNote(ctx context.Context, file string, text []byte, dryRun bool) (*fleet.Accepted, []byte, error) {
	var res *fleet.Accepted
	body, err := e.call(ctx, func(ctx context.Context, a *api) (err error) {
		p := &fleet.ApplyPayload{Token: a.token, Dry: dryRun}
		res, err = a.Apply(ctx, p, io.NopCloser(bytes.NewReader(text)))
		return err
	})
	if errors.Is(err, ErrInvalid) {
		err = addFileName(file, err)
	}
	return res, body, err
}

// addFileName adds the note's file name to each line of an entry's error that
// begins with a position in the note; the entry knows the file as "note".
func addFileName(file string, err error) error {
	msg := strings.TrimPrefix(err.Error(), ErrInvalid.Error()+": ")
	lines := strings.Split(msg, "\n")
	for i, l := range lines {
		l = strings.TrimPrefix(l, "note:")
		if l != "" && l[0] >= '0' && l[0] <= '9' {
			lines[i] = file + ":" + l
		}
	}
	return invalidNoteError(strings.Join(lines, "\n"))
}

// invalidNoteError lists the errors that an entry found in a note, one on each
// line.
type invalidNoteError string

// Error returns the list.
func (e invalidNoteError) Error() string { return string(e) }

// Is reports whether target is ErrInvalid.
func (e invalidNoteError) Is(target error) bool { return target == ErrInvalid }

func (e *env) printLines(lines []string) {
	for _, l := range lines {
		fmt.Fprintln(e.stdout, l)
	}
}
