package entry

import (
	"context"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
)

// maxColdTime bounds the cold time that a response may state; a longer one is a mistake.
const maxColdTime = time.Hour

// ColdTimeError reports a cold time that cannot be used.
type ColdTimeError struct {
	Text string // as the endpoint sent it
}

// Error gives the value.
func (e *ColdTimeError) Error() string {
	return fmt.Sprintf("cold time %q is not a number of milliseconds; it is ignored", e.Text)
}

// parseColdTime returns how much longer an endpoint stays cold, as it states in milliseconds.
func parseColdTime(text string) (time.Duration, error) {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(ms) || ms < 0 {
		return 0, &ColdTimeError{Text: text}
	}
	return time.Duration(min(ms, float64(maxColdTime.Milliseconds())) * float64(time.Millisecond)), nil
}

// heedCold tells the kernel how much longer an endpoint stays cold, as it stated in its response
// to a request sent at sentAt, if that is new. The text is empty if the response does not say.
// Load pattern: a data centre comes back with cold endpoints, which look empty to all nodes at
// once and crash under more than a few requests a second.
func (s *Server) heedCold(now time.Time, e fleet.Endpoint, text string, sentAt time.Time) {
	if text == "" {
		return
	}
	left, err := parseColdTime(text)
	if err != nil {
		s.recordEndpoint("cold-invalid", e.ID, err.Error())
		return
	}
	report := kernel.ColdReported{Endpoint: e.ID, StartMillis: e.StartMillis, Left: left, SentAt: sentAt}
	if s.view().ChangesCold(now, report) {
		s.cfg.Daemon.Post(context.Background(), report)
	}
}

// takeCrashCheck reports whether an endpoint takes a connection that finds out whether it has
// crashed. On a cold endpoint, the connection counts against this node's share.
func (s *Server) takeCrashCheck(now time.Time, e fleet.Endpoint) bool {
	return !s.view().IsCold(now, e) || s.takeCall(now, e.ID)
}
