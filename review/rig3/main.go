// Command rig3 plays the scripts of the third review. It serves stand-ins of the users' platform and
// of the workers on loopback addresses, starts the entries with the command of the deploy file, and
// judges what its clients and workers see.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	held = iota
	broken
	notRun
)

// maxTime is how long a case may take.
const maxTime = 110 * time.Second

// cases are the cases by name. A case returns the text of what broke the rule, empty if it held.
var cases = map[string]func(ctx context.Context, r *rig) (string, error){
	"pending":  pending,
	"takeover": takeover,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD PROGRAM")
		return notRun
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "rig3: no such case")
		return notRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxTime)
	defer cancel()
	r, err := newRig(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig3:", err)
		return notRun
	}
	defer r.close()
	text, err := play(ctx, r)
	switch {
	case err == nil && ctx.Err() != nil:
		err = errors.New("the case took too long")
		fallthrough
	case err != nil:
		r.record("could not run: %v", err)
		return notRun
	case text != "":
		r.record("BROKEN %s", text)
		return broken
	}
	r.record("held")
	return held
}
