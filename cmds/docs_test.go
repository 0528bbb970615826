package cmds

import (
	"flag"
	"io"
	"os"
	"testing"

	"github.com/google/subcommands"
	"github.com/stretchr/testify/require"
)

// Every command and flag must be described in the manual pages.
func TestManual(t *testing.T) {
	shared := flag.NewFlagSet("", flag.ContinueOnError)
	(&env{}).setFlags(shared)
	top, err := os.ReadFile("../docs/man/shallotpaddle.md")
	require.NoError(t, err)
	shared.VisitAll(func(f *flag.Flag) { require.Contains(t, string(top), "`-"+f.Name) })
	for _, c := range (&env{stderr: io.Discard}).commands() {
		file := "shallotpaddle-" + c.Name() + ".md"
		require.Contains(t, string(top), file)
		page, err := os.ReadFile("../docs/man/" + file)
		require.NoError(t, err)
		all := []subcommands.Command{c}
		if g, ok := c.(*commandGroup); ok {
			all = g.commands
		}
		for _, c := range all {
			checkManual(t, string(page), c.(*command), shared)
		}
	}
}

func checkManual(t *testing.T, page string, c *command, shared *flag.FlagSet) {
	t.Helper()
	require.Contains(t, page, "shallotpaddle "+c.usage+"\n")
	own := flag.NewFlagSet("", flag.ContinueOnError)
	c.SetFlags(own)
	own.VisitAll(func(f *flag.Flag) {
		if shared.Lookup(f.Name) == nil {
			require.Contains(t, page, "`-"+f.Name, c.name)
		}
	})
}
