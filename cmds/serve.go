package cmds

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/coder/quartz"
	"github.com/google/subcommands"

	"shallotpaddle/conf"
	"shallotpaddle/daemon"
)

func newServe(e *env) subcommands.Command {
	var file string
	return &command{
		env: e, name: "serve", minArgs: 0, maxArgs: 0,
		usage:    "serve -c FILE",
		synopsis: "run an entry until SIGTERM; a second one cuts the graceful stop short",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&file, "c", "", "settings `file`")
		},
		run: func(ctx context.Context, _ []string) error { return e.serve(ctx, file) },
	}
}

func (e *env) serve(ctx context.Context, file string) error {
	if file == "" {
		return fmt.Errorf("%w: shallotpaddle serve -c FILE", ErrUsage)
	}
	set, err := conf.Load(file)
	if err != nil {
		return settingsError(err)
	}
	if mb := set.Limits().MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(float64(mb) * (1 << 20) * heapShare))
	}
	d, err := daemon.New(set, daemon.NewLogger(e.stderr, set.Log().Level), quartz.NewReal())
	if err != nil {
		return err
	}
	stop, now, release := stopSignals(ctx)
	defer release()
	return d.Run(stop, now)
}

// stopSignals returns a context that is cancelled by the first SIGTERM or
// interrupt, for a graceful stop, and one that is cancelled by the second, for an
// immediate one. release stops the handling of signals and cancels both.
func stopSignals(ctx context.Context) (stop, now context.Context, release func()) {
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGTERM, os.Interrupt)
	stop, cancelStop := context.WithCancel(ctx)
	now, cancelNow := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		for _, cancel := range []func(){cancelStop, cancelNow} {
			select {
			case <-ch:
				cancel()
			case <-done:
				return
			}
		}
	}()
	return stop, now, func() {
		signal.Stop(ch)
		close(done)
		cancelStop()
		cancelNow()
	}
}
