// Package cmds implements the subcommands of the program, one in each file.
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
	ExitConflict    = 3 // note written against another revision, or a budget used up
	ExitNotAccepted = 4 // the change could not be accepted; nothing was changed
	ExitUnknown     = 5 // the change may or may not have been accepted
	ExitTimeout     = 6 // the change was accepted, but the wait for it timed out
)

var (
	// ErrUsage is returned for wrong arguments and unreadable files.
	ErrUsage = errors.New("usage")
	// ErrInvalid is returned for invalid settings or an invalid note.
	ErrInvalid = conf.ErrInvalid
	// ErrConflict is returned when the fleet's current state doesn't permit a
	// call: a note against another revision, or a budget used up.
	ErrConflict = errors.New("conflict")
	// ErrNotAccepted is returned when a call was not accepted and changed nothing.
	ErrNotAccepted = errors.New("not accepted")
	// ErrUnknown is returned when a change may or may not have been made.
	ErrUnknown = errors.New("unknown whether it was accepted")
	// ErrTimeout is returned when a wait ended before its condition was met.
	ErrTimeout = errors.New("timed out waiting")
)

// DefaultEntry is the base URL of the operators' API used when none is given.
const DefaultEntry = "http://127.0.0.1:8090"

// Environment variables that are used when a flag is not given.
const (
	entryVar = "SHALLOTPADDLE_ENTRY"
	tokenVar = "SHALLOTPADDLE_TOKEN"
)

// env holds the streams, the environment and the flags that all commands share.
type env struct {
	stdout, stderr io.Writer
	getenv         func(string) string
	// poll is the interval between status requests while waiting.
	poll time.Duration

	// entryURLs are base URLs of entries, separated by commas and tried in order.
	entryURLs string
	tokenFile string
	format    string // formatText or formatJSON
}

const (
	formatText   = "text"
	formatJSON   = "json"
	pollInterval = 200 * time.Millisecond
)

// Run runs the command line args, without the program's name, and returns the
// exit status.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return run(ctx, &env{stdout: stdout, stderr: stderr, getenv: os.Getenv, poll: pollInterval}, args)
}

func run(ctx context.Context, e *env, args []string) int {
	e.entryURLs, e.format = DefaultEntry, formatText
	if v := e.getenv(entryVar); v != "" {
		e.entryURLs = v
	}
	top := flag.NewFlagSet("shallotpaddle", flag.ContinueOnError)
	top.SetOutput(e.stderr)
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

// usageStatus returns the exit status for an error of the flag package; a
// request for help is no failure.
func usageStatus(err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	return ExitUsage
}

func (e *env) commands() []subcommands.Command {
	return []subcommands.Command{
		newServe(e), newNode(e), newDemo(e), newNote(e), newFleet(e), newDrain(e), newExplain(e), newBurn(e),
		newConfig(e), newPolicy(e), newVersion(e),
	}
}

// commander returns a commander with the help and flags commands.
func (e *env) commander(f *flag.FlagSet, name string) *subcommands.Commander {
	c := subcommands.NewCommander(f, name)
	c.Output, c.Error = e.stdout, e.stderr
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	return c
}

// setFlags adds the flags that all commands share; they may be given before the
// command's name or after it.
func (e *env) setFlags(f *flag.FlagSet) {
	f.StringVar(&e.entryURLs, "entry", e.entryURLs, "operators' `URLs` of entries, separated by commas; each is tried in turn")
	f.StringVar(&e.tokenFile, "token-file", e.tokenFile, "`file` with the operator's token; otherwise "+tokenVar)
	f.StringVar(&e.format, "o", e.format, "output `format`, text or json")
}

// command is one subcommand; it implements subcommands.Command.
type command struct {
	env            *env
	name, synopsis string
	// usage is the command line with its flags and arguments, without the
	// program's name.
	usage string
	// minArgs and maxArgs bound the number of positional arguments.
	minArgs, maxArgs int
	flags            func(*flag.FlagSet)
	run              func(ctx context.Context, args []string) error
}

// Name returns the command's name.
func (c *command) Name() string { return c.name }

// Synopsis returns the one-line description of the command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage returns the command line and the synopsis.
func (c *command) Usage() string {
	return fmt.Sprintf("shallotpaddle %s\n\t%s\n", c.usage, c.synopsis)
}

// SetFlags adds the shared flags and the command's own.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.SetOutput(c.env.stderr)
	c.env.setFlags(f)
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute checks the arguments, runs the command and prints its error.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.checkArgs(f)
	if err == nil {
		err = c.run(ctx, f.Args())
	}
	if err != nil {
		c.env.printError(err)
	}
	return subcommands.ExitStatus(exitStatus(err))
}

func (c *command) checkArgs(f *flag.FlagSet) error {
	if n := f.NArg(); n < c.minArgs || n > c.maxArgs {
		return fmt.Errorf("%w: shallotpaddle %s", ErrUsage, c.usage)
	}
	return c.env.checkFormat()
}

// checkFormat returns an error unless the output format is known.
func (e *env) checkFormat() error {
	if e.format != formatText && e.format != formatJSON {
		return fmt.Errorf("%w: -o %s: want text or json", ErrUsage, e.format)
	}
	return nil
}

// exitStatus returns the exit status for an error of this package.
func exitStatus(err error) int {
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

// printError writes an error to standard error, as JSON if the output format is JSON.
func (e *env) printError(err error) {
	if e.format != formatJSON {
		fmt.Fprintln(e.stderr, err)
		return
	}
	_ = writeJSON(e.stderr, struct {
		Error  string `json:"error"`
		Status int    `json:"status"`
	}{err.Error(), exitStatus(err)})
}

// token returns the operator's token from -token-file or the environment, or ""
// when there is none.
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
