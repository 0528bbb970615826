package once

import (
	"context"
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/stretchr/testify/require"

	"shallotpaddle/plat"
)

// TestMain fixes the seed of the property tests, so that each run has the same
// result.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// memory is an in-memory key-value store for tests that use one goroutine at a
// time.
type memory struct {
	rev         int64
	items       map[string]plat.Item
	ignoresRevs bool // accepts a write with any previous revision
}

func newMemory() *memory { return &memory{items: map[string]plat.Item{}} }

func (m *memory) put(key string, value []byte, prev int64) (int64, error) {
	if m.items[key].Rev != prev && !m.ignoresRevs {
		return 0, plat.ErrConflict
	}
	m.rev++
	m.items[key] = plat.Item{Key: key, Value: value, Rev: m.rev}
	return m.rev, nil
}

func (m *memory) remove(key string, prev int64) error {
	it, ok := m.items[key]
	if !ok {
		return plat.ErrNotFound
	}
	if it.Rev != prev {
		return plat.ErrConflict
	}
	delete(m.items, key)
	return nil
}

func (m *memory) get(key string) (plat.Item, error) {
	it, ok := m.items[key]
	if !ok {
		return it, plat.ErrNotFound
	}
	return it, nil
}

func (m *memory) list(prefix string) []plat.Item {
	var out []plat.Item
	for k, it := range m.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, it)
		}
	}
	return out
}

func (m *memory) bytes() int {
	n := 0
	for _, it := range m.items {
		n += len(it.Value)
	}
	return n
}

// fault is the fault injected into one call.
type fault int

const (
	none       fault = iota
	refuse           // refused, nothing written
	lostBefore       // answer lost, nothing written
	lostAfter        // answer lost, written
	delayed          // answer lost, written later
	expire           // as lostAfter, and the caller's ctx ends
	faults
)

// faulty returns a store that calls next for the fault of each call, and passes
// delayed writes to late.
func (m *memory) faulty(next func(ctx context.Context, write bool) fault, late func(func())) Store {
	write := func(ctx context.Context, do func() error) error {
		switch next(ctx, true) {
		case refuse:
			return plat.ErrUnavailable
		case lostBefore:
			return plat.ErrUnknown
		case delayed:
			late(func() { _ = do() })
			return plat.ErrUnknown
		case lostAfter, expire:
			_ = do()
			return plat.ErrUnknown
		}
		return do()
	}
	read := func(ctx context.Context) error {
		if f := next(ctx, false); f != none {
			return plat.ErrUnknown
		}
		return nil
	}
	return Store{
		Get: func(ctx context.Context, key string) (plat.Item, error) {
			if err := read(ctx); err != nil {
				return plat.Item{}, err
			}
			return m.get(key)
		},
		Put: func(ctx context.Context, key string, value []byte, prev int64, _ string) (rev int64, err error) {
			err = write(ctx, func() (err error) { rev, err = m.put(key, value, prev); return err })
			return rev, err
		},
		Delete: func(ctx context.Context, key string, prev int64) error {
			return write(ctx, func() error { return m.remove(key, prev) })
		},
		List: func(ctx context.Context, prefix string) ([]plat.Item, int64, error) {
			if err := read(ctx); err != nil {
				return nil, 0, err
			}
			return m.list(prefix), m.rev, nil
		},
	}
}

// scripted returns a store that injects the faults of script into its writes,
// in order, each once.
func (m *memory) scripted(script *[]fault) Store {
	return m.faulty(func(_ context.Context, write bool) fault {
		if !write || len(*script) == 0 {
			return none
		}
		f := (*script)[0]
		*script = (*script)[1:]
		return f
	}, func(func()) {})
}

// commitInline makes a log commit in the caller's goroutine.
func commitInline(l *Log, ctx func() context.Context) {
	l.sleep = func(context.Context, time.Duration) {}
	l.requestCommit = func() {
		for range 50 {
			if l.queueLen() == 0 || ctx().Err() != nil {
				return
			}
			_ = l.flush(ctx())
		}
	}
}

func testClock(t *testing.T) *quartz.Mock { return quartz.NewMock(t).WithLogger(quartz.NoOpLogger) }

func testLedger(t *testing.T, s Store, entry string) *Ledger {
	l := NewLedger(s, testClock(t), entry, "1")
	commitInline(l.log, t.Context)
	require.NoError(t, l.Open(t.Context()))
	return l
}
