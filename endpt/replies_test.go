package endpt

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The replies of workers that are long gone used up the memory.
func TestOldRepliesAreForgotten(t *testing.T) {
	r, now := replies{last: map[string]time.Time{}}, time.Now()
	for i := range 1000 {
		now = now.Add(time.Second)
		r.add(fmt.Sprintf("10.0.0.%d:80", i), now)
		require.LessOrEqual(t, len(r.last), 2*int(repliesKept/time.Second))
	}
	require.True(t, r.since("10.0.0.999:80", now.Add(-time.Millisecond)))
	require.False(t, r.since("10.0.0.999:80", now))
	require.False(t, r.since("10.0.0.1:80", time.Time{}))
}
