package cmds

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/google/subcommands"
)

func newVersion(e *env) subcommands.Command {
	return &command{
		env: e, name: "version", minArgs: 0, maxArgs: 0,
		usage:    "version",
		synopsis: "show the version of the program and of Go",
		run:      func(context.Context, []string) error { return e.printVersion() },
	}
}

func (e *env) printVersion() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		info = &debug.BuildInfo{}
	}
	v := struct {
		Version  string `json:"version"`
		Revision string `json:"revision"`
		Go       string `json:"go"`
	}{Version: info.Main.Version, Go: info.GoVersion}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v.Revision = s.Value
		}
	}
	if e.format == formatJSON {
		return writeJSON(e.stdout, v)
	}
	_, err := fmt.Fprintf(e.stdout, "shallotpaddle %s %s %s\n", v.Version, v.Revision, v.Go)
	return err
}
