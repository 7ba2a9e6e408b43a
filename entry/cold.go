package entry

import (
	"context"
	"time"

	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
)

// heedCold tells the kernel how much longer an endpoint stays cold, as it stated in its response
// to a request sent at sentAt, if that is new. The time is nil if the response does not say.
// Load pattern: a data centre comes back with cold endpoints, which look empty to all nodes at
// once and crash under more than a few requests a second.
func (s *Server) heedCold(now time.Time, e fleet.Endpoint, left *time.Duration, sentAt time.Time) {
	if left == nil {
		return
	}
	report := kernel.ColdReported{Endpoint: e.ID, StartMillis: e.StartMillis, Left: *left, SentAt: sentAt}
	if s.view().ChangesCold(now, report) {
		s.cfg.Daemon.Post(context.Background(), report)
	}
}

// takeCrashCheck reports whether an endpoint takes a connection that finds out whether it has
// crashed. On a cold endpoint, the connection counts against this node's share.
func (s *Server) takeCrashCheck(now time.Time, e fleet.Endpoint) bool {
	return !s.view().IsCold(now, e) || s.takeCall(now, e.ID)
}
