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
	// heapShare is the share of the host's memory that is set as the Go runtime's
	// memory limit; the rest is for stacks, kernel buffers and the program itself.
	heapShare = 0.6
	// maxQueuedLogLines is the capacity of the log's write queue; lines that don't
	// fit are dropped.
	maxQueuedLogLines = 4096
)

func newNode(e *env) subcommands.Command {
	var file, level, metrics string
	return &command{
		env: e, name: "node", minArgs: 0, maxArgs: 0,
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
	// SIGHUP would end the process if it came before this, or while the entry stops.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
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
	debug.SetMemoryLimit(int64(float64(set.MemoryBytes) * heapShare))
	logger := daemon.NewLogger(e.stdout, level)
	logger.Writer = &log.AsyncWriter{Writer: logger.Writer, ChannelSize: maxQueuedLogLines, DiscardOnFull: true}
	stop, _, release := stopSignals(ctx)
	defer release()
	a := agent.New(set, metrics, quartz.NewReal(), logger)
	go reloadOnHangup(stop, hangups, a, file, logger)
	return a.Run(stop)
}

// reloadOnHangup reloads the settings at each SIGHUP. If they are invalid, the
// current ones stay in force.
func reloadOnHangup(ctx context.Context, hangups <-chan os.Signal, a *agent.Agent, file string, logger *log.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		set, err := platform.Load(file)
		if err != nil {
			logger.Error().Str("file", file).Err(err).Msg("settings not reloaded")
			continue
		}
		a.Reload(set)
	}
}
