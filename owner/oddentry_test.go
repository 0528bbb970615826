package owner

import (
	"context"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"shallotpaddle/advice"
	"shallotpaddle/plat"
)

// newReader returns an owner that reads items from the store.
func newReader(items ...plat.Item) *Owner {
	return New(Params{
		Pool: "a", Clock: quartz.NewReal(), Log: &log.Logger{Level: log.PanicLevel}, Stats: NewStats(metrics.NewRegistry()), Advice: advice.New(quartz.NewReal()),
		Proven: func() bool { return true }, ProvenAt: func() time.Duration { return 0 }, FormerEnded: func() bool { return true }, Settled: func() {}, ReadPlan: func(context.Context) (PoolPlan, error) { return PoolPlan{}, nil },
		Store: Store{List: func(_ context.Context, prefix string) ([]plat.Item, int64, error) {
			var out []plat.Item
			for _, it := range items {
				if strings.HasPrefix(it.Key, prefix) {
					out = append(out, it)
				}
			}
			return out, 100, nil
		}},
	})
}

// oddDocuments are values that can't be read.
var oddDocuments = map[string]string{
	"empty": "", "invalid UTF-8": "\xff", "another type": "7", "nested": strings.Repeat("[", 20_000), "nested and closed": strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
	"1e400": "1e400",
}

// TWICE: one odd entry in the stored list of workers made the owner forget all of them, and
// the runs that they may have.
func TestOddRosterEntry(t *testing.T) {
	for name, odd := range map[string]string{
		"another type": `7`, "no id": `{"addr":"10.0.0.1:80"}`, "born 1e400": `{"id":"w","born":1e400}`, "born past int64": `{"id":"w","born":9223372036854775808}`,
	} {
		for _, list := range []string{odd + `,{"id":"x"},{"id":"y"}`, `{"id":"x"},` + odd + `,{"id":"y"}`, `{"id":"x"},{"id":"y"},` + odd} {
			o := newReader(plat.Item{Key: rosterKey("a"), Value: []byte("[" + list + "]"), Rev: 7})
			require.NoError(t, o.readRoster(t.Context()))
			require.Equal(t, []string{"x", "y"}, slices.Sorted(maps.Keys(o.hosts)), name)
			require.True(t, o.endsUnread, "%s: a worker may have ends of earlier runs", name)
			require.Equal(t, int64(7), o.roster.rev)
		}
	}
	for name, value := range oddDocuments {
		o := newReader(plat.Item{Key: rosterKey("a"), Value: []byte(value), Rev: 7})
		require.NoError(t, o.readRoster(t.Context()), name)
		require.True(t, o.endsUnread, name)
	}
	o := newReader(plat.Item{Key: rosterKey("a"), Value: []byte(`[{"id":"x","addr":"10.0.0.1:80","new":[1]}]`), Rev: 7})
	require.NoError(t, o.readRoster(t.Context()))
	require.False(t, o.endsUnread)
}

// TWICE: a job stored under the key of another one was added under its own ID as well.
func TestOddJobDocument(t *testing.T) {
	const good = `{"id":"5c0e7a21d94b36f8","queue":"q","steps":[{"n":1}]}`
	items := []plat.Item{{Key: JobKey("a", "5c0e7a21d94b36f8"), Value: []byte(good), Rev: 1}, {Key: JobKey("a", "00000000000000ff"), Value: []byte(good), Rev: 2}}
	for name, value := range oddDocuments {
		items = append(items, plat.Item{Key: JobKey("a", strings.ReplaceAll(name, " ", "-")), Value: []byte(value), Rev: 3})
	}
	o := newReader(items...)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := o.loadState(ctx)
	require.NoError(t, err)
	require.Equal(t, []string{"5c0e7a21d94b36f8"}, slices.Sorted(maps.Keys(o.jobs)))
	require.Len(t, o.openJobs, 1)
}

// A stored clock that can't be read begins anew, and is written over.
func TestOddClock(t *testing.T) {
	for name, value := range oddDocuments {
		o := newReader()
		o.applyAges(agesRead{[]plat.Item{{Key: agesKey("a"), Value: []byte(value), Rev: 7}}})
		require.Equal(t, int64(7), o.agesDoc.rev, name)
		require.Less(t, o.ages.Reading(o.Clock.Now()), time.Minute, name)
		require.False(t, o.writtenBefore(1, o.Clock.Now()), name)
	}
}
