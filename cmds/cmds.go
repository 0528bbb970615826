// Package cmds has the subcommands of the program, one a file.
package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"shallotpaddle/conf"
)

// Exit statuses of the program.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitUsage       = 2 // usage, settings or note invalid
	ExitConflict    = 3 // note written against another revision, or a budget is spent
	ExitNotAccepted = 4 // the system could not accept it; nothing has changed
	ExitUnknown     = 5 // may or may not have been accepted
	ExitTimeout     = 6 // accepted, and not yet done at the end of the wait
)

var (
	// ErrUsage is returned for wrong arguments.
	ErrUsage = errors.New("usage")
	// ErrInvalid is returned for settings or a note with faults.
	ErrInvalid = conf.ErrInvalid
	// ErrConflict is returned when the state of the fleet speaks against a call.
	ErrConflict = errors.New("conflict")
	// ErrNotAccepted is returned when nothing was changed.
	ErrNotAccepted = errors.New("not accepted")
	// ErrUnknown is returned when a change may or may not have been made.
	ErrUnknown = errors.New("unknown whether it was accepted")
	// ErrTimeout is returned when a wait ended before what it waited for.
	ErrTimeout = errors.New("timed out waiting")
)

// DefaultEntry is the operators' address used when none is given.
const DefaultEntry = "http://127.0.0.1:8090"

// Names of environment variables that stand in for flags.
const (
	entryVar = "SHALLOTPADDLE_ENTRY"
	tokenVar = "SHALLOTPADDLE_TOKEN"
)

// env is what commands share.
type env struct {
	out, err io.Writer
	getenv   func(string) string
	// poll is the interval between questions to an entry while waiting.
	poll time.Duration

	// entries are base URLs separated by commas, tried in order.
	entries   string
	tokenFile string
	format    string // formatText or formatJSON
}

const (
	formatText = "text"
	formatJSON = "json"
	pollEvery  = 200 * time.Millisecond
)

// Run carries out the command line args, without the program's name, and
// returns the exit status.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return run(ctx, &env{out: stdout, err: stderr, getenv: os.Getenv, poll: pollEvery}, args)
}

func run(ctx context.Context, e *env, args []string) int {
	e.entries, e.format = DefaultEntry, formatText
	if v := e.getenv(entryVar); v != "" {
		e.entries = v
	}
	top := flag.NewFlagSet("shallotpaddle", flag.ContinueOnError)
	top.SetOutput(e.err)
	e.setFlags(top)
	c := e.commander(top, "shallotpaddle")
	for _, cmd := range e.commands() {
		c.Register(cmd, "")
	}
	if err := top.Parse(args); err != nil {
		return usageStatus(err)
	}
	return int(c.Execute(ctx))
}

func usageStatus(err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	return ExitUsage
}

func (e *env) commands() []subcommands.Command {
	return []subcommands.Command{
		newServe(e), newNode(e), newDemo(e), newNote(e), newFleet(e), newDrain(e), newExplain(e), newBurn(e),
		newConfig(e), newVersion(e),
	}
}

func (e *env) commander(f *flag.FlagSet, name string) *subcommands.Commander {
	c := subcommands.NewCommander(f, name)
	c.Output, c.Error = e.out, e.err
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	return c
}

// setFlags adds the flags that all commands share; they may stand before the
// command or after it.
func (e *env) setFlags(f *flag.FlagSet) {
	f.StringVar(&e.entries, "entry", e.entries, "operators' `URLs` of entries, separated by commas; each is tried in turn")
	f.StringVar(&e.tokenFile, "token-file", e.tokenFile, "`file` with the operator's token; otherwise "+tokenVar)
	f.StringVar(&e.format, "o", e.format, "output `format`, text or json")
}

// command is one subcommand; its fields are what subcommands.Command asks for.
type command struct {
	env            *env
	name, synopsis string
	// usage is the line of arguments, without the program's name.
	usage string
	// min and max bound the number of arguments.
	min, max int
	flags    func(*flag.FlagSet)
	run      func(ctx context.Context, args []string) error
}

// Name returns the command's name.
func (c *command) Name() string { return c.name }

// Synopsis returns one line about the command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage returns the command's line of arguments.
func (c *command) Usage() string {
	return fmt.Sprintf("shallotpaddle %s\n\t%s\n", c.usage, c.synopsis)
}

// SetFlags adds the command's flags.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.SetOutput(c.env.err)
	c.env.setFlags(f)
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute runs the command and reports its error.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.check(f)
	if err == nil {
		err = c.run(ctx, f.Args())
	}
	if err != nil {
		c.env.report(err)
	}
	return subcommands.ExitStatus(status(err))
}

func (c *command) check(f *flag.FlagSet) error {
	if n := f.NArg(); n < c.min || n > c.max {
		return fmt.Errorf("%w: shallotpaddle %s", ErrUsage, c.usage)
	}
	if c.env.format != formatText && c.env.format != formatJSON {
		return fmt.Errorf("%w: -o %s: want text or json", ErrUsage, c.env.format)
	}
	return nil
}

func status(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrUsage), errors.Is(err, ErrInvalid):
		return ExitUsage
	case errors.Is(err, ErrConflict):
		return ExitConflict
	case errors.Is(err, ErrUnknown):
		return ExitUnknown
	case errors.Is(err, ErrNotAccepted):
		return ExitNotAccepted
	case errors.Is(err, ErrTimeout):
		return ExitTimeout
	}
	return ExitFailure
}

// report writes an error to the error stream, as JSON if that is asked for.
func (e *env) report(err error) {
	if e.format != formatJSON {
		fmt.Fprintln(e.err, err)
		return
	}
	_ = writeJSON(e.err, struct {
		Error  string `json:"error"`
		Status int    `json:"status"`
	}{err.Error(), status(err)})
}

// token returns the operator's token, or "" when there is none.
func (e *env) token() (string, error) {
	if e.tokenFile == "" {
		return e.getenv(tokenVar), nil
	}
	b, err := os.ReadFile(e.tokenFile)
	if err != nil {
		return "", fmt.Errorf("%w: -token-file: %w", ErrUsage, err)
	}
	return strings.TrimSpace(string(b)), nil
}
