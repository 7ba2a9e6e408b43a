package daemon

import (
	"fmt"
	"time"
)

const (
	stallThreshold     = 500 * time.Millisecond // shortest time between two ticks that counts as a stall; five tick intervals
	clockStepThreshold = 500 * time.Millisecond // smallest jump of the wall clock that is recorded
)

// clockReading holds the monotonic and the wall clock of the host, read at the
// same moment.
type clockReading struct {
	monotonic time.Duration // since Daemon.Run began
	wall      time.Time
}

// readClocks splits now, as returned by time.Now, into its two clocks. The
// monotonic reading counts from start.
func readClocks(start, now time.Time) clockReading {
	return clockReading{monotonic: now.Sub(start), wall: now.Round(0)}
}

// clockIncident compares the clocks at two successive ticks, and returns the
// kind and the detail of the trace entry to record if the process stalled or the
// wall clock jumped in between. A stall hides a jump. The kind is empty if
// neither happened.
func clockIncident(before, after clockReading) (kind, detail string) {
	elapsed := after.monotonic - before.monotonic
	if elapsed >= stallThreshold {
		return "stalled", fmt.Sprintf("the process did not run for %s", elapsed.Round(time.Millisecond))
	}
	if clockStep := after.wall.Sub(before.wall) - elapsed; clockStep.Abs() >= clockStepThreshold {
		return "clock-step", fmt.Sprintf("the wall clock jumped by %s against the monotonic clock: it was set or the host was suspended", clockStep.Round(time.Millisecond))
	}
	return "", ""
}
