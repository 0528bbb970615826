package aging_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"shallotpaddle/aging"
)

var begin = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)

const memory = 2 * time.Minute

func after(d time.Duration) time.Time { return begin.Add(d) }

// encoded returns the stored value of a clock.
func encoded(t require.TestingT, c *aging.Clock, now time.Time) []byte {
	b, err := c.Encode(now)
	require.NoError(t, err)
	return b
}

func TestOlder(t *testing.T) {
	c := aging.New(memory, begin)
	require.False(t, c.Older(1, 0, begin), "nothing is known")
	c.Note(10, after(time.Second))
	c.Note(20, after(time.Minute))
	require.True(t, c.Older(10, time.Minute, after(61*time.Second+time.Millisecond)))
	require.False(t, c.Older(10, time.Minute, after(61*time.Second-time.Millisecond)))
	require.False(t, c.Older(11, time.Minute, after(62*time.Second)), "written after the first mark")
	require.True(t, c.Older(11, time.Minute, after(2*time.Minute+time.Millisecond)))
	require.False(t, c.Older(21, 0, after(time.Hour)), "written after the last mark")
}

// The clock goes on where it was stored; what passed since is not counted.
func TestLoad(t *testing.T) {
	c := aging.New(memory, begin)
	c.Note(10, begin)
	stored := encoded(t, c, after(time.Minute))
	later := after(time.Hour)
	c = aging.New(memory, later)
	require.NoError(t, c.Load(stored, 11, later))
	require.Equal(t, time.Minute, c.Reading(later))
	require.False(t, c.Older(10, 61*time.Second, later))
	require.True(t, c.Older(10, 61*time.Second, later.Add(time.Second+time.Millisecond)))
	require.Equal(t, later.Add(-40*time.Second), c.Time(20*time.Second))
}

func TestLoadOddValue(t *testing.T) {
	for name, stored := range map[string]string{
		"empty": "", "another type": "7", "invalid UTF-8": "\xff", "1e400": `{"now":1e400}`,
		"negative": `{"now":-1,"marks":[]}`, "centuries": `{"now":9000000000000000,"marks":[]}`,
		"revision above the key's": `{"now":9,"marks":[[50,1]]}`, "mark in the future": `{"now":9,"marks":[[5,10]]}`,
		"revisions that fall": `{"now":9,"marks":[[5,1],[4,2]]}`, "readings that fall": `{"now":9,"marks":[[5,2],[6,1]]}`,
		"no revision": `{"now":9,"marks":[[0,1]]}`, "negative reading": `{"now":9,"marks":[[5,-1]]}`,
	} {
		c := aging.New(memory, begin)
		c.Note(3, begin)
		require.Error(t, c.Load([]byte(stored), 50, after(time.Minute)), name)
		require.Zero(t, c.Reading(after(time.Minute)), name)
		require.False(t, c.Older(1, 0, after(time.Hour)), name)
	}
}

// An age is never too high, and what is old enough under a process that lasts is known as such,
// whatever processes there were before. The values stay small.
func TestModelAges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, rev := time.Duration(0), int64(1)
		writtenAt := map[int64]time.Duration{} // by revision
		write := func() int64 {
			rev++
			writtenAt[rev] = now
			return rev
		}
		c := aging.New(memory, begin)
		stored, storedRev := encoded(t, c, begin), write()
		check := func() {
			for _, rev := range slices.Sorted(maps.Keys(writtenAt)) {
				age := time.Duration(rapid.Int64Range(0, int64(memory)).Draw(t, "age"))
				if c.Older(rev, age, after(now)) {
					require.LessOrEqual(t, age, now-writtenAt[rev])
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "pass"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				write()
			case 1:
				c.Note(rapid.Int64Range(1, rev).Draw(t, "rev"), after(now))
			case 2:
				c.Note(rev, after(now))
				stored, storedRev = encoded(t, c, after(now)), write()
				require.Less(t, len(stored), 400)
			default:
				c = aging.New(memory, after(now))
				require.NoError(t, c.Load(stored, storedRev, after(now)))
			}
			check()
		}
		for end := now + 3*memory; now < end; now += 10 * time.Second {
			c.Note(rev, after(now))
		}
		for _, rev := range slices.Sorted(maps.Keys(writtenAt)) {
			require.True(t, c.Older(rev, memory, after(now)))
		}
	})
}
