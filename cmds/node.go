package cmds

import (
	"context"
	"flag"
	"runtime"
	"runtime/debug"

	"github.com/coder/quartz"
	"github.com/google/subcommands"
	"github.com/phuslu/log"

	"shallotpaddle/agent"
	"shallotpaddle/daemon"
	"shallotpaddle/platform"
)

const (
	// memoryShare is the part of the host's memory that the heap may take; the
	// rest is for stacks, buffers of the kernel and the program itself.
	memoryShare = 0.6
	// logLines is the number of log lines that may wait to be written; further
	// ones are dropped.
	logLines = 4096
)

func newNode(e *env) subcommands.Command {
	var file, level string
	return &command{
		env: e, name: "node", min: 0, max: 0,
		usage:    "node [-settings FILE] [-log LEVEL]",
		synopsis: "run an entry on the users' platform until SIGTERM",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&file, "settings", "", "the platform's settings `file`; default from "+platform.SettingsVar)
			f.StringVar(&level, "log", "info", "lowest `level` that is logged")
		},
		run: func(ctx context.Context, _ []string) error { return e.node(ctx, file, level) },
	}
}

func (e *env) node(ctx context.Context, file, level string) error {
	if file == "" {
		file = platform.SettingsPath(e.getenv)
	}
	set, err := platform.Load(file)
	if err != nil {
		return settingsError(err)
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(float64(set.Memory) * memoryShare))
	logger := daemon.NewLogger(e.out, level)
	logger.Writer = &log.AsyncWriter{Writer: logger.Writer, ChannelSize: logLines, DiscardOnFull: true}
	stop, _, release := stopSignals(ctx)
	defer release()
	return agent.New(set, quartz.NewReal(), logger).Run(stop)
}
