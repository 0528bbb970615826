package owner

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

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
				Pool: "a", Clock: quartz.NewReal(), Log: &log.Logger{Level: log.PanicLevel}, Stats: NewStats(metrics.NewRegistry()),
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
