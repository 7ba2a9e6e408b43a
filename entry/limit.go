package entry

import (
	"context"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
	"golang.org/x/time/rate"
)

// noShareWait is how long a caller is asked to wait when other nodes share the rate limit
// of an endpoint: it is likely to come back to another node.
const noShareWait = 400 * time.Millisecond

// RateLimitError reports a rate limit that cannot be used.
type RateLimitError struct {
	Text string // as the endpoint sent it
}

// Error gives the value.
func (e *RateLimitError) Error() string {
	return fmt.Sprintf("rate limit %q is not a number of requests a second; it is ignored", e.Text)
}

// parseRateLimit returns the rate, in requests a second, that an endpoint states.
func parseRateLimit(text string) (float64, error) {
	r, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(r) || math.IsInf(r, 0) || r < 0 {
		return 0, &RateLimitError{Text: text}
	}
	return r, nil
}

// heedRateLimit tells the kernel of the rate limit that an endpoint stated in its response
// to a request sent at sentAt, if that is new. An empty text stands for no limit.
func (s *Server) heedRateLimit(e fleet.Endpoint, text string, sentAt time.Time) {
	report := kernel.LimitReported{Endpoint: e.ID, StartMillis: e.StartMillis, Named: text != "", SentAt: sentAt}
	if report.Named {
		r, err := parseRateLimit(text)
		if err != nil {
			s.recordEndpoint("limit-invalid", e.ID, err.Error())
			return
		}
		report.Rate = r
	}
	if s.view().ChangesLimit(report) {
		s.metrics.limits.Inc()
		s.cfg.Daemon.Post(context.Background(), report)
	}
}

// limiterOf returns the limiter that keeps this node's share of an endpoint's rate limit,
// or nil if the endpoint has no limit.
func (t *usageTracker) limiterOf(now time.Time, view *fleet.View, id string) *rate.Limiter {
	share, limited := view.RateShare(id)
	if !limited {
		return nil
	}
	st := t.stats(id)
	if st.limiter == nil {
		st.limiter = rate.NewLimiter(rate.Limit(share.Rate), share.Burst)
	}
	if st.limiter.Limit() != rate.Limit(share.Rate) || st.limiter.Burst() != share.Burst {
		st.limiter.SetLimitAt(now, rate.Limit(share.Rate))
		st.limiter.SetBurstAt(now, share.Burst)
	}
	return st.limiter
}

// limitWait returns how long an endpoint takes no request from this node because of its
// rate limit.
func (t *usageTracker) limitWait(now time.Time, view *fleet.View, id string) time.Duration {
	l := t.limiterOf(now, view, id)
	if l == nil {
		return 0
	}
	missing := 1 - l.TokensAt(now)
	switch {
	case missing <= 0:
		return 0
	case l.Burst() == 0:
		return noShareWait
	}
	return max(time.Duration(missing/float64(l.Limit())*float64(time.Second)), time.Nanosecond)
}

// closedFor returns how much longer an endpoint takes no request from this node.
func (t *usageTracker) closedFor(now time.Time, view *fleet.View, e fleet.Endpoint) time.Duration {
	if view.IsEvacuated(e) {
		return evacuatedRest
	}
	return t.closedForCopies(now, view, e)
}

// closedForCopies is closedFor for the calls that copy a generation which runs on the endpoint.
// They are made although its data centre is evacuated.
func (t *usageTracker) closedForCopies(now time.Time, view *fleet.View, e fleet.Endpoint) time.Duration {
	return max(t.restLeft(now, e.ID), t.limitWait(now, view, e.ID), t.brittleWait(now, view, e))
}

// takeCall counts a call of this node against an endpoint's rate limit. It reports false
// if the endpoint takes no call now.
func (t *usageTracker) takeCall(now time.Time, view *fleet.View, id string) bool {
	if e, listed := view.Endpoint(id); listed && view.IsEvacuated(e) {
		return false
	}
	return t.takeCopyCall(now, view, id)
}

// takeCopyCall is takeCall for the calls of closedForCopies.
func (t *usageTracker) takeCopyCall(now time.Time, view *fleet.View, id string) bool {
	if t.restLeft(now, id) > 0 {
		return false
	}
	l := t.limiterOf(now, view, id)
	return l == nil || l.AllowN(now, 1)
}

// takeCall reports whether an endpoint takes a call from this node now, and counts the
// call. Calls that are reserved with a choice are counted by usageTracker.takeCall then.
func (s *Server) takeCall(now time.Time, id string) bool {
	view := s.view()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usage.takeCall(now, view, id)
}

// takeCopyCall is takeCall for the calls that copy a generation which runs on the endpoint.
func (s *Server) takeCopyCall(now time.Time, id string) bool {
	view := s.view()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usage.takeCopyCall(now, view, id)
}

// isRateLimited reports whether an endpoint has a rate limit.
func (s *Server) isRateLimited(id string) bool {
	_, limited := s.view().RateShare(id)
	return limited
}
