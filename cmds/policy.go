package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"

	"github.com/google/subcommands"

	"shallotpaddle/check"
	"shallotpaddle/hosts"
	"shallotpaddle/platform"
)

// errFindings is returned when a configuration has errors or warnings.
var errFindings = errors.New("the configuration has errors or warnings")

func newPolicy(e *env) subcommands.Command {
	var inForce, fleet string
	c := &command{
		env: e, name: "check", minArgs: 1, maxArgs: maxPolicyArgs,
		usage:    "policy check FILE [-against FILE] [-hosts FILE] [-format text|json]",
		synopsis: "show every fault of a configuration of the platform, and what it would change",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&inForce, "against", inForce, "`file` with the version in force")
			f.StringVar(&fleet, "hosts", fleet, "`file` with the fleet service's list of hosts")
			f.StringVar(&e.format, "format", e.format, "the same as -o")
		},
	}
	c.run = func(_ context.Context, args []string) error {
		// Flags may follow the file's name.
		f := flag.NewFlagSet("shallotpaddle policy check", flag.ContinueOnError)
		c.SetFlags(f)
		if err := f.Parse(args[1:]); errors.Is(err, flag.ErrHelp) {
			return nil
		} else if err != nil {
			return fmt.Errorf("%w: %w", ErrUsage, err)
		}
		if f.NArg() > 0 {
			return fmt.Errorf("%w: shallotpaddle %s", ErrUsage, c.usage)
		}
		if err := e.checkFormat(); err != nil {
			return err
		}
		return e.checkPolicy(args[0], inForce, fleet)
	}
	return &commandGroup{
		env: e, name: "policy", synopsis: "check configurations of the platform",
		commands: []subcommands.Command{c},
	}
}

// maxPolicyArgs is the file with each flag and its value after it.
const maxPolicyArgs = 13

func readDraft(file string) (*check.Draft, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUsage, err)
	}
	d, err := platform.DecodeDraft(b)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrInvalid, file, err)
	}
	return d, nil
}

func readHosts(file string) ([]hosts.Host, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUsage, err)
	}
	list, err := platform.DecodeHosts(b)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrInvalid, file, err)
	}
	return list, nil
}

// checkPolicy checks a configuration. The files with the version in force and with the hosts are
// optional.
func (e *env) checkPolicy(file, inForce, fleet string) error {
	d, err := readDraft(file)
	if err != nil {
		return err
	}
	list := d.Check()
	if fleet != "" {
		all, err := readHosts(fleet)
		if err != nil {
			return err
		}
		list = append(list, d.CheckFleet(check.SizeOf(all))...)
	}
	if inForce != "" {
		old, err := readDraft(inForce)
		if err != nil {
			return err
		}
		if len(old.Faults) > 0 {
			return fmt.Errorf("%w: %s: %s: %s", ErrInvalid, inForce, old.Faults[0].Place, old.Faults[0].Text)
		}
		list = append(list, d.Against(old)...)
	}
	if err := e.printFindings(file, list); err != nil {
		return err
	}
	if slices.ContainsFunc(list, func(f check.Finding) bool { return f.Severity != check.Note }) {
		return errFindings
	}
	return nil
}

func (e *env) printFindings(file string, list []check.Finding) error {
	if e.format == formatJSON {
		return writeJSON(e.stdout, struct {
			File     string          `json:"file"`
			Findings []check.Finding `json:"findings"`
		}{file, append([]check.Finding{}, list...)})
	}
	for _, f := range list {
		fmt.Fprintf(e.stdout, "%s: %s: %s\n", f.Severity, f.Place, f.Text)
	}
	if len(list) == 0 {
		fmt.Fprintf(e.stdout, "%s: ok\n", file)
	}
	return nil
}
