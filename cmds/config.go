package cmds

import (
	"context"
	"fmt"

	"github.com/google/subcommands"

	"shallotpaddle/conf"
)

func newConfig(e *env) subcommands.Command {
	check := &command{
		env: e, name: "check", minArgs: 1, maxArgs: 1,
		usage:    "config check FILE",
		synopsis: "show every fault of a settings file",
		run:      func(_ context.Context, args []string) error { return e.checkConfig(args[0]) },
	}
	return &commandGroup{
		env: e, name: "config", synopsis: "check settings files",
		commands: []subcommands.Command{check},
	}
}

func (e *env) checkConfig(file string) error {
	s, err := conf.Load(file)
	if err != nil {
		return settingsError(err)
	}
	if e.format == formatJSON {
		return writeJSON(e.stdout, struct {
			File string `json:"file"`
			Name string `json:"name"`
		}{file, s.Self().Name})
	}
	fmt.Fprintf(e.stdout, "%s: ok, entry %s in %s\n", file, s.Self().Name, s.Self().DC)
	return nil
}

// settingsError gives the error of an unreadable settings file the exit status
// of invalid settings.
func settingsError(err error) error {
	if exitStatus(err) == ExitUsage {
		return err
	}
	return fmt.Errorf("%w: %w", ErrUsage, err)
}
