package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"

	"shallotpaddle/gen/fleet"
)

// Defaults of the flags -force-timeout and -effect-timeout.
const (
	defaultForceTimeout  = 30 * time.Second
	defaultEffectTimeout = 30 * time.Minute
)

// Values of the flag -wait.
const (
	waitNone   = "none"
	waitForce  = "force"
	waitEffect = "effect"
)

type applyCommand struct {
	*env
	waitFor                     string
	forceTimeout, effectTimeout time.Duration
}

func newNoteApply(e *env) subcommands.Command {
	a := &applyCommand{env: e}
	return &command{
		env: e, name: "apply", minArgs: 1, maxArgs: 1,
		usage:    "note apply [-wait none|force|effect] [-force-timeout D] [-effect-timeout D] FILE",
		synopsis: "apply a release note and wait until it is in force and has its full effect",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&a.waitFor, "wait", waitEffect, "wait until `state`: none, force (in force on every entry) or effect")
			f.DurationVar(&a.forceTimeout, "force-timeout", defaultForceTimeout, "longest wait until in force")
			f.DurationVar(&a.effectTimeout, "effect-timeout", defaultEffectTimeout, "longest wait from in force until full effect")
		},
		run: func(ctx context.Context, args []string) error { return a.run(ctx, args[0]) },
	}
}

func (a *applyCommand) run(ctx context.Context, file string) error {
	if !slices.Contains([]string{waitNone, waitForce, waitEffect}, a.waitFor) {
		return fmt.Errorf("%w: -wait %s: want none, force or effect", ErrUsage, a.waitFor)
	}
	text, _, err := readNote(file)
	if err != nil {
		return err
	}
	res, body, err := a.sendNote(ctx, file, text, false)
	if err != nil {
		return err
	}
	if a.format == formatText {
		a.printLines(res.Lines)
	}
	fmt.Fprintf(a.stderr, "note %s accepted as revision %d\n", res.Note, res.Rev)
	if a.waitFor != waitNone {
		body, err = a.awaitRevision(ctx, res.Rev)
	}
	if a.format == formatJSON && body != nil {
		return errors.Join(writeIndentedJSON(a.stdout, body), err)
	}
	return err
}

// awaitRevision waits until a revision is in force and, unless waitFor is
// waitForce, has its full effect. It returns the last status as JSON.
func (a *applyCommand) awaitRevision(ctx context.Context, rev int64) ([]byte, error) {
	p := &progress{env: a.env, rev: rev}
	body, err := p.waitUntil(ctx, a.forceTimeout, inForceOnAll)
	if err != nil || a.waitFor == waitForce {
		return body, err
	}
	return p.waitUntil(ctx, a.effectTimeout, func(s *fleet.Status2) bool { return s.Effect })
}

// inForceOnAll reports whether the revision is in force on every entry.
func inForceOnAll(s *fleet.Status2) bool {
	return s.Entries != nil && s.Entries.Total > 0 && s.Entries.Force >= s.Entries.Total
}

// progress polls a revision's status and prints a line whenever it changes.
type progress struct {
	*env
	rev      int64
	lastLine string
}

// waitUntil polls the revision's status until done returns true. It returns the
// last status as JSON, also with ErrTimeout.
func (p *progress) waitUntil(ctx context.Context, timeout time.Duration, done func(*fleet.Status2) bool) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	tick := time.NewTicker(p.poll)
	defer tick.Stop()
	var lastBody []byte
	for {
		s, body, err := p.noteStatus(ctx, p.rev)
		if err == nil {
			lastBody = body
			p.printIfChanged(describeStatus(s))
			if done(s) {
				return lastBody, nil
			}
		} else if ctx.Err() == nil {
			// The note was accepted already, so a failed status request is printed
			// and repeated.
			p.printIfChanged(err.Error())
		}
		select {
		case <-ctx.Done():
			return lastBody, fmt.Errorf("%w after %s: %s", ErrTimeout, timeout, p.lastLine)
		case <-tick.C:
		}
	}
}

func (p *progress) printIfChanged(line string) {
	if line != p.lastLine {
		fmt.Fprintln(p.stderr, line)
	}
	p.lastLine = line
}

// describeStatus summarizes a revision's status in one line.
func describeStatus(s *fleet.Status2) string {
	var b strings.Builder
	fmt.Fprintf(&b, "revision %d in force on %d of %d entries", s.Rev, s.Entries.Force, s.Entries.Total)
	if s.Times != nil && s.Times.Force != nil {
		fmt.Fprintf(&b, " after %s", *s.Times.Force)
	}
	switch {
	case s.Effect && s.Times != nil && s.Times.Effect != nil:
		fmt.Fprintf(&b, ", full effect after %s", *s.Times.Effect)
	case s.Effect:
		b.WriteString(", full effect")
	case len(s.Pending) > 0:
		fmt.Fprintf(&b, ", pending: %s", strings.Join(s.Pending, "; "))
	}
	return b.String()
}
