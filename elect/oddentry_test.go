package elect_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A count of elections that can't be read, or is out of range, made the next term the first
// or a negative one: its run numbers were lower than those that the workers have seen.
func TestOddTermKey(t *testing.T) {
	const elections = 40
	for name, value := range map[string]string{
		"empty": "", "invalid UTF-8": "\xff", "another type": `"7"`, "nested": strings.Repeat("[", 20_000), "1e400": "1e400", "1.5": "1.5",
		"-1": "-1", "largest int64": "9223372036854775807", "past int64": "9223372036854775808", "null": "null", "0": "0",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer time.Sleep(5 * time.Second) // lets calls under way end
				defer cancel()
				el := newElection()
				for range elections {
					el.kv.Put("seat/term/p", []byte("7"))
				}
				rev := el.kv.Put("seat/term/p", []byte(value))
				el.startEntry(ctx, "e", []string{"p", "q"})
				time.Sleep(3 * time.Second)
				el.mu.Lock()
				defer el.mu.Unlock()
				require.Empty(t, el.faults)
				require.Equal(t, 1, el.termsHeld["q"]["e"].Number, "the others are elected as usual")
				got := el.termsHeld["p"]["e"]
				require.Greater(t, got.Number, elections)
				require.LessOrEqual(t, int64(got.Number), rev+1)
			})
		})
	}
}

// Guard: odd keys of entries and of other pools' leaders don't keep a pool from its leader.
func TestOddElectionKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(5 * time.Second) // lets calls under way end
		defer cancel()
		el := newElection()
		for i, value := range []string{"", "\xff", "[7]", `{"cores":1e400}`, `{"cores":1e300}`, `{"cores":-1}`, strings.Repeat("[", 20_000), "null"} {
			for _, prefix := range []string{"seat/", "seat/node/", "seat/lead/odd", "seat/node/odd", "seat/else/"} {
				el.kv.Put(prefix+string(rune('a'+i)), []byte(value))
			}
		}
		el.startEntry(ctx, "e", []string{"p"})
		time.Sleep(20 * time.Second)
		el.mu.Lock()
		defer el.mu.Unlock()
		require.Contains(t, el.termsHeld["p"], "e")
		require.Empty(t, el.faults)
	})
}
