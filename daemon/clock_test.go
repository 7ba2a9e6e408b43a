package daemon

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestClockIncident(t *testing.T) {
	wall := time.Unix(1_800_000_000, 0)
	before := clockReading{monotonic: time.Minute, wall: wall}
	for _, test := range []struct {
		name            string
		monotonic, wall time.Duration // since before
		kind            string
		detail          string
	}{
		{"regular", 100 * time.Millisecond, 100 * time.Millisecond, "", ""},
		{"busy", 300 * time.Millisecond, 300 * time.Millisecond, "", ""},
		{"frozen", 3 * time.Second, 3 * time.Second, "stalled", "the process did not run for 3s"},
		{"clock forward", 100 * time.Millisecond, 5100 * time.Millisecond, "clock-step", "the wall clock jumped by 5s against the monotonic clock: it was set or the host was suspended"},
		{"clock back", 100 * time.Millisecond, -2900 * time.Millisecond, "clock-step", "the wall clock jumped by -3s against the monotonic clock: it was set or the host was suspended"},
		{"frozen and clock back", 2 * time.Second, 0, "stalled", "the process did not run for 2s"},
	} {
		t.Run(test.name, func(t *testing.T) {
			kind, detail := clockIncident(before, clockReading{monotonic: before.monotonic + test.monotonic, wall: wall.Add(test.wall)})
			qt.Assert(t, kind, qt.Equals, test.kind)
			qt.Assert(t, detail, qt.Equals, test.detail)
		})
	}
}
