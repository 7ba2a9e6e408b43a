package entry

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/carry"
	"github.com/plantaindeck/plantaindeck/wait"
)

const (
	maxSilence   = 1500 * time.Millisecond // for which a sound endpoint may answer no connection
	silenceCheck = 100 * time.Millisecond  // between two attempts at endpoints that do not answer
)

// awaitSilent waits a moment after the last endpoint of a service has not answered, and lets the
// request try all endpoints again. It reports false if that is not worthwhile: the endpoints
// refused connections, or none has answered for longer than a sound one is silent. Load
// pattern: all endpoints of a small service stand still for a second, and requests with seconds
// left would be rejected at once.
func (s *Server) awaitSilent(ctx context.Context, rr *routedRequest, cause error) bool {
	var failure *carry.DialError
	if !errors.As(cause, &failure) || !failure.Silent || !s.silentBriefly(time.Now(), rr.tried) || !wait.For(ctx, silenceCheck) {
		return false
	}
	rr.tried = nil
	return true
}

// silentBriefly reports whether one of the endpoints answers no connections, but not for long.
func (s *Server) silentBriefly(now time.Time, ids []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(ids, func(id string) bool {
		st, known := s.usage.endpoints[id]
		return known && st.connectFailures > 0 && now.Sub(st.lostAt) < maxSilence
	})
}
