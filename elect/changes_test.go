package elect_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"shallotpaddle/elect"
	"shallotpaddle/plat"
)

// logged is an elector with its log.
type logged struct {
	el *election

	mu           sync.Mutex
	buf          bytes.Buffer
	renew, grant error // with which these calls fail; nil if they are served
}

func (l *logged) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

// fail drops the log and makes renewals of the lease and requests for one fail from now on.
func (l *logged) fail(renew, grant error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buf.Reset()
	l.renew, l.grant = renew, grant
}

func (l *logged) errors() (renew, grant error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.renew, l.grant
}

// start starts an elector for pool a whose log is kept.
func (l *logged) start(ctx context.Context) {
	e := elect.New(elect.Params{
		Name: "n0", Cores: 1, Clock: quartz.NewReal(), SinceBoot: sinceBoot, TTL: ttl,
		Log: &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: l}},
		Store: elect.Store{
			List: l.el.kv.List, Watch: l.el.kv.Watch, Commit: l.el.kv.Commit, Get: l.el.kv.Get, Revoke: l.el.kv.Revoke,
			Grant: func(ctx context.Context, ttl time.Duration) (int64, error) {
				if _, err := l.errors(); err != nil {
					return 0, err
				}
				return l.el.kv.Grant(ctx, ttl)
			},
			Renew: func(ctx context.Context, lease int64) error {
				if err, _ := l.errors(); err != nil {
					return err
				}
				return l.el.kv.Renew(ctx, lease)
			},
		},
		Won: func(elect.Term) {}, Lost: func(elect.Term, string) {},
	})
	go e.Run(ctx)
	e.SetPools([]string{"a"})
}

// lines returns the lines of an event that were logged since the last call of fail.
func (l *logged) lines(event string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for line := range strings.Lines(l.buf.String()) {
		if strings.Contains(line, `"message":"`+event) {
			out = append(out, line)
		}
	}
	return out
}

// warned requires that each event was logged once, as a warning with the given parts.
func (l *logged) warned(t *testing.T, events map[string][]string) {
	for event, wants := range events {
		lines := l.lines(event)
		require.Len(t, lines, 1, event)
		for _, want := range append(wants, `"level":"warn"`) {
			require.Contains(t, lines[0], want, event)
		}
	}
}

// The record of an incident must tell since when an entry could not renew its lease, without a
// line for each try.
func TestFailedRenewalsAreLoggedOnce(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, el *election, _ []string) {
		l := &logged{el: el}
		l.start(ctx)
		time.Sleep(3 * time.Second)
		require.Len(t, l.lines("entry registered"), 1)
		require.Contains(t, l.lines("entry registered")[0], `"level":"info"`)
		require.Contains(t, l.lines("leadership won")[0], `"level":"info"`)
		require.Empty(t, l.lines("renew"))
		l.fail(plat.ErrUnknown, nil)
		time.Sleep(time.Second)
		failed := l.lines("renewing the lease failed")
		require.Len(t, failed, 1)
		for _, want := range []string{`"level":"warn"`, `"sinceRenewal":`, `"pools":1`} {
			require.Contains(t, failed[0], want)
		}
		l.fail(nil, nil)
		time.Sleep(300 * time.Millisecond)
		again := l.lines("renewals of the lease succeed again")
		require.Len(t, again, 1)
		require.Contains(t, again[0], `"away":`)
		require.Empty(t, l.lines("leadership lost"))
	})
}

// The lines on a lost election must be warnings and tell how old its last proof was.
func TestLostElectionIsWarnedOf(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, el *election, _ []string) {
		l := &logged{el: el}
		l.start(ctx)
		time.Sleep(3 * time.Second)
		l.fail(plat.ErrNotFound, plat.ErrUnavailable)
		time.Sleep(5 * time.Second)
		l.warned(t, map[string][]string{
			"requesting a lease failed": {`"sinceRenewal":`},
			"lease expired":             {`"sinceRenewal":`, `"pools":1`},
			"leadership lost":           {`"sinceRenewal":`, `"term":1`, `"fence":`},
		})
		l.fail(nil, nil)
		time.Sleep(5 * time.Second)
		l.warned(t, map[string][]string{
			"entry registered": {`"sinceRenewal":`, `"tries":`, `"away":`},
			"leadership won":   {`"term":2`},
		})
	})
}
