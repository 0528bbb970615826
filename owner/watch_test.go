package owner

import (
	"context"
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"shallotpaddle/advice"
	"shallotpaddle/plat"
)

// MIXED: while many jobs are expected, a watch that takes long is given up for a list of all
// jobs. In an entry that is slow itself, a watch takes long as well, and lists take too long
// to succeed. It hears of new jobs all the same, within the time in which they are to count
// as pending.
func TestSlowEntryHearsOfJobs(t *testing.T) {
	const visibleWithin = 3 * time.Second
	for _, slow := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			after := func(ctx context.Context, d time.Duration, items []plat.Item, err error) ([]plat.Item, int64, error) {
				select {
				case <-time.After(d):
					return items, 1, err
				case <-ctx.Done():
					return nil, 0, plat.ErrUnknown
				}
			}
			o := New(Params{
				Pool: "a", Clock: quartz.NewReal(), Log: &log.Logger{Level: log.PanicLevel}, Stats: NewStats(metrics.NewRegistry()), Advice: advice.New(quartz.NewReal()),
				Proven: func() bool { return true },
				Store: Store{
					Watch: func(ctx context.Context, _ string, _ int64, _ time.Duration) ([]plat.Item, int64, error) {
						return after(ctx, slow, []plat.Item{{Key: "job/a/1"}}, nil)
					},
					List: func(ctx context.Context, _ string) ([]plat.Item, int64, error) {
						return after(ctx, 1200*time.Millisecond, nil, plat.ErrUnknown)
					},
				},
			})
			o.jobsPerSecond.Store(math.Float64bits(100))
			begun := time.Now()
			go o.watchJobs(ctx, 0)
			select {
			case m := <-o.inbox:
				require.IsType(t, itemsWritten{}, m)
			case <-time.After(10 * visibleWithin):
			}
			require.Less(t, time.Since(begun), visibleWithin, "a watch takes %s", slow)
			cancel()
			close(o.done)
			synctest.Wait()
		})
	}
}

// UNASKED: the store's history is gone, and the entry is at its limit, so that a list of all jobs
// takes seconds. Subtasks of jobs that were cancelled long before started meanwhile.
func TestCancellationsAreHeardBeforeLongList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		perItem := 2 * time.Millisecond
		o := New(Params{
			Pool: "a", Clock: quartz.NewReal(), Log: &log.Logger{Level: log.PanicLevel}, Stats: NewStats(metrics.NewRegistry()), Advice: advice.New(quartz.NewReal()),
			Proven: func() bool { return true },
			Store: Store{
				Watch: func(context.Context, string, int64, time.Duration) ([]plat.Item, int64, error) {
					return nil, 0, plat.ErrCompacted
				},
				List: func(ctx context.Context, prefix string) ([]plat.Item, int64, error) {
					var out []plat.Item
					for i := range 2000 {
						key := JobKey("a", fmt.Sprintf("%016x", i))
						if i%20 == 0 {
							key = CancelKey("a", fmt.Sprintf("%016x", i))
						}
						if strings.HasPrefix(key, prefix) {
							out = append(out, plat.Item{Key: key, Rev: 1})
						}
					}
					o := time.NewTimer(time.Duration(len(out)) * perItem)
					defer o.Stop()
					select {
					case <-o.C:
						return out, 1, nil
					case <-ctx.Done():
						return nil, 0, ctx.Err()
					}
				},
			},
		})
		begun := time.Now()
		go o.watchJobs(ctx, 0)
		m, ok := (<-o.inbox).(itemsWritten)
		require.True(t, ok)
		require.Equal(t, 100, len(m.items))
		require.Less(t, time.Since(begun), time.Second)
		cancel()
		close(o.done)
		synctest.Wait()
	})
}

// Keys of cancellations written by earlier builds are read as well.
func TestSplitKey(t *testing.T) {
	for key, want := range map[string]bool{JobKey("a", "1f"): false, CancelKey("a", "1f"): true, FormerCancelKey("a", "1f"): true} {
		id, cancel := splitKey("a", key)
		require.Equal(t, "1f", id)
		require.Equal(t, want, cancel, key)
	}
}
