package cmds

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

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
	var file, level, metrics string
	return &command{
		env: e, name: "node", min: 0, max: 0,
		usage:    "node [-settings FILE] [-metrics IP:PORT] [-log LEVEL]",
		synopsis: "run an entry on the users' platform until SIGTERM",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&file, "settings", "", "the platform's settings `file`; default from "+platform.SettingsVar)
			f.StringVar(&metrics, "metrics", "", "`IP:port` on which metrics are served besides the readiness address")
			f.StringVar(&level, "log", "info", "lowest `level` that is logged")
		},
		run: func(ctx context.Context, _ []string) error { return e.node(ctx, file, metrics, level) },
	}
}

func (e *env) node(ctx context.Context, file, metrics, level string) error {
	if file == "" {
		file = platform.SettingsPath(e.getenv)
	}
	set, err := platform.Load(file)
	if err != nil {
		return settingsError(err)
	}
	if metrics != "" {
		if _, err := netip.ParseAddrPort(metrics); err != nil {
			return fmt.Errorf("%w: -metrics %q is not IP:port", ErrUsage, metrics)
		}
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(float64(set.MemoryBytes) * memoryShare))
	logger := daemon.NewLogger(e.out, level)
	logger.Writer = &log.AsyncWriter{Writer: logger.Writer, ChannelSize: logLines, DiscardOnFull: true}
	stop, _, release := stopSignals(ctx)
	defer release()
	a := agent.New(set, metrics, quartz.NewReal(), logger)
	go reloadOnHangup(stop, a, file, logger)
	return a.Run(stop)
}

// reloadOnHangup reads the settings again at each SIGHUP. Settings with faults
// leave those in force as they are.
func reloadOnHangup(ctx context.Context, a *agent.Agent, file string, logger *log.Logger) {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGHUP)
	defer signal.Stop(ch)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ch:
		}
		set, err := platform.Load(file)
		if err != nil {
			logger.Error().Str("file", file).Err(err).Msg("settings not reloaded")
			continue
		}
		a.Reload(set)
	}
}
