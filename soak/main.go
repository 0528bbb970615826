// Command soak runs entries of the program as processes against stand-ins of the users'
// platform, injects faults from outside in the order that a seed gives, and checks from
// what callers and workers see that the promises of docs/PROOF.md hold.
//
// Usage: soak -seed N -for D -processes N -log DIR
//
// It exits with 0 if every promise held, 1 if one was broken or the soak was interrupted, 2
// for wrong arguments.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// Exit statuses.
const (
	exitOK = iota
	exitBroken
	exitUsage
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	var opt Options
	f := flag.NewFlagSet("soak", flag.ContinueOnError)
	f.SetOutput(stderr)
	f.Uint64Var(&opt.Seed, "seed", 1, "`number` that gives the schedule of faults and the load")
	f.DurationVar(&opt.For, "for", 20*time.Second, "`time` for which there are faults")
	f.DurationVar(&opt.Gap, "gap", 700*time.Millisecond, "mean `pause` between the begins of two faults")
	f.IntVar(&opt.Entries, "processes", 3, "`number` of entries")
	f.IntVar(&opt.Workers, "workers", 8, "`number` of workers")
	f.Float64Var(&opt.Rate, "rate", 6, "jobs handed in per second, on average")
	f.DurationVar(&opt.Settle, "settle", 40*time.Second, "longest `time` from the last fault until all jobs must have ended")
	f.BoolVar(&opt.Odd, "odd", false, "also leave odd entries among those of the workers")
	f.BoolVar(&opt.Split, "split", true, "also split pools between two groups of entries")
	f.BoolVar(&opt.Restart, "restart", true, "also restart workers under their IDs and cut them off soon after")
	f.BoolVar(&opt.Crowd, "crowd", true, "also send crowds of clients that are not trusted")
	f.BoolVar(&opt.Spaces, "spaces", true, "also configure workspaces, and change their keys, quotas and loads")
	f.StringVar(&opt.Program, "program", "", "`path` of the program; built unless given")
	f.StringVar(&opt.Dir, "log", "", "`directory` for logs and the report; a temporary one unless given")
	if err := f.Parse(args); err != nil {
		return exitUsage
	}
	if f.NArg() > 0 || opt.Entries < 1 || opt.Workers < 2 || opt.For <= 0 || opt.Gap <= 0 || opt.Rate <= 0 {
		fmt.Fprintln(stderr, "soak: wrong arguments; see -help")
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	r, err := soak(ctx, opt, stdout)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitBroken
	}
	r.writeText(stdout)
	if len(r.Violations) > 0 || r.Interrupted {
		return exitBroken
	}
	return exitOK
}

// soak runs one soak and saves its report. It shows its progress if stdout is a terminal.
func soak(ctx context.Context, opt Options, stdout io.Writer) (*Report, error) {
	logrus.SetLevel(logrus.ErrorLevel) // the fault proxy logs each connection
	logrus.SetOutput(io.Discard)       // and each that it can't open
	if opt.Dir == "" {
		dir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return nil, fmt.Errorf("soak: %w", err)
		}
		opt.Dir = dir
		fmt.Fprintln(stdout, "logs:", dir)
	}
	if err := os.MkdirAll(opt.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	if opt.Program == "" {
		opt.Program = filepath.Join(opt.Dir, "shallotpaddle")
		if out, err := exec.CommandContext(ctx, "go", "build", "-o", opt.Program, "shallotpaddle").CombinedOutput(); err != nil {
			return nil, fmt.Errorf("soak: build: %w: %s", err, out)
		}
	}
	progress := func(Report) {}
	if file, ok := stdout.(*os.File); ok {
		if info, err := file.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
			progress = func(r Report) { fmt.Fprintf(stdout, "\r\033[K%s", r.line()) }
			defer fmt.Fprintln(stdout)
		}
	}
	s, err := New(opt)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	r := s.Run(ctx, progress)
	return &r, r.save(opt.Dir)
}
