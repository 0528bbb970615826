package bed

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime bounds the time of a case.
const maxRunTime = 115 * time.Second

// Run runs a case in its folder, the program's only argument, and exits. play returns what broke
// the rule, "" if it held. With TROUBLE=0 in the environment, trouble is false.
func Run(o Options, play func(b *Bed, trouble bool) (string, error)) {
	os.Exit(run(o, play))
}

func run(o Options, play func(b *Bed, trouble bool) (string, error)) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage:", os.Args[0], "FOLDER")
		return exitNotRun
	}
	rec, err := NewRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.Add("begin, with trouble: %t", trouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	b, err := start(rec, o)
	if err != nil {
		return notRun(rec, err)
	}
	defer func() { b.Close(os.Getenv("KEEP") != "") }()
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := play(b, trouble)
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			return notRun(rec, r.err)
		case !b.EntriesUp():
			return broken(rec, "a process of the program has ended by itself")
		case r.broken != "":
			return broken(rec, r.broken)
		}
	case s := <-stop:
		return notRun(rec, fmt.Errorf("ended by signal: %s", s))
	case <-time.After(maxRunTime - rec.Since()):
		return notRun(rec, fmt.Errorf("not done after %s", maxRunTime))
	}
	rec.Add("result: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// maxStarts is how often a deployment is started at most: another process may have taken one of its ports.
const maxStarts = 3

func start(rec *Record, o Options) (b *Bed, err error) {
	for range maxStarts {
		if b, err = New(rec, o); err == nil {
			return b, nil
		}
		rec.Add("start failed: %s", err)
		if b != nil {
			b.Close(os.Getenv("KEEP") != "")
		}
	}
	return nil, err
}

func broken(rec *Record, what string) int {
	rec.Add("result: the rule is broken: %s", what)
	fmt.Println("the rule is broken:", what)
	return exitBroken
}

func notRun(rec *Record, err error) int {
	rec.Add("result: could not run: %s", err)
	fmt.Fprintln(os.Stderr, "could not run:", err)
	return exitNotRun
}
