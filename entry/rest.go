package entry

import (
	"context"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/relay"
)

// maxRest is the longest time for which an endpoint is sent nothing because it asked for
// that. A process that wants no requests for longer is better replaced.
const maxRest = 5 * time.Minute

// RetryAfterError reports a Retry-After that cannot be used as it is.
type RetryAfterError struct {
	Text string // as the endpoint sent it
	Used time.Duration
}

// Error gives the value and what is used in its place.
func (e *RetryAfterError) Error() string {
	return fmt.Sprintf("Retry-After %q is not a number of seconds from 0 to %.0f; %s is used", e.Text, maxRest.Seconds(), e.Used)
}

// restTime returns how long an endpoint wants no requests, given the Retry-After of its
// refusal. With a *RetryAfterError the time is 0 if the text is no positive number, and
// maxRest if it is too large.
func restTime(text string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil && !errors.Is(err, strconv.ErrRange), math.IsNaN(seconds), seconds < 0:
		return 0, &RetryAfterError{Text: text}
	case seconds > maxRest.Seconds():
		return maxRest, &RetryAfterError{Text: text, Used: maxRest}
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// notice is what an endpoint says in any of its responses about requests to come.
type notice struct {
	leaving    bool
	retryAfter string // of a refusal; empty for none
}

// refusalNotice returns the notice in the error of a call to an endpoint.
func refusalNotice(err error) notice {
	var refused *relay.RefusedError
	if !errors.As(err, &refused) {
		return notice{}
	}
	return notice{leaving: refused.Leaving, retryAfter: refused.RetryAfter}
}

// heedNotice makes this node heed what an endpoint said at the time now. It returns how long
// the endpoint wants no requests.
func (s *Server) heedNotice(now time.Time, e fleet.Endpoint, n notice) time.Duration {
	if n.leaving {
		s.cfg.Daemon.Post(context.Background(), kernel.LeaveReported{Endpoint: e.ID, StartMillis: e.StartMillis})
	}
	if n.retryAfter == "" {
		return 0
	}
	rest, err := restTime(n.retryAfter)
	if err != nil {
		s.recordEndpoint("rest-invalid", e.ID, err.Error())
	}
	if rest == 0 {
		return 0
	}
	s.mu.Lock()
	s.usage.setRest(e.ID, now.Add(rest))
	s.mu.Unlock()
	s.metrics.rests.Inc()
	s.recordEndpoint("rest", e.ID, fmt.Sprintf("it refused a request and gets none for %s", rest))
	return rest
}

// isResting reports whether an endpoint wants no requests from this node now.
func (s *Server) isResting(now time.Time, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usage.restLeft(now, id) > 0
}

// restOfAll returns the time until the first endpoint of a service, of one version unless
// that is nil, takes requests from this node again, or 0 if one that is not leaving takes
// them now, or there is none.
func (s *Server) restOfAll(now time.Time, view *fleet.View, service string, version *string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var first time.Duration
	for _, e := range view.Endpoints(service) {
		if e.Leaving || version != nil && e.Version != *version {
			continue
		}
		left := s.usage.closedFor(now, view, e)
		if left == 0 {
			return 0
		}
		if first == 0 || left < first {
			first = left
		}
	}
	return first
}
