package carry

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the host started. Unlike the clock of time.Since, it also
// counts the time for which the host was suspended.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0 // not on Linux
	}
	return time.Duration(ts.Nano())
}
