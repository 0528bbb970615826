package agent

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the start of the host, including the time for
// which the host was suspended. The clock of package time doesn't count that.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the clock exists on every kernel on which this program runs
	}
	return time.Duration(t.Nano())
}
