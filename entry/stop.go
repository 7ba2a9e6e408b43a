package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/table"
)

const (
	lateAcceptTime = 2500 * time.Millisecond // for which a stopping node takes more requests that may not end in time
	lateAcceptPart = 3                       // lateAcceptTime is at most the time of the stop divided by this
)

// stopPlan says which requests a stopping node takes. Its zero value is that of a node that does
// not stop.
type stopPlan struct {
	deadline  time.Time // when every response must have ended
	lateUntil time.Time // the end of lateAcceptTime
}

// newStopPlan returns the plan of a stop that begins now.
func newStopPlan(now, deadline time.Time) stopPlan {
	return stopPlan{deadline: deadline, lateUntil: now.Add(min(lateAcceptTime, deadline.Sub(now)/lateAcceptPart))}
}

// stopping reports whether the node stops.
func (p stopPlan) stopping() bool { return !p.deadline.IsZero() }

// allows reports whether a request may be sent to an endpoint at the time now, given the number of
// its events that the caller has. It may if its time limit ends before the stop. Of the others,
// those that will probably have ended by then may be sent if they are idempotent, or generations
// that arrived early in the stop; later ones would be cut off if their engine is slow. While no
// other node serves, as when all are replaced in quick succession, a rejection costs callers more:
// then every request may be sent early in the stop, as many will end in time, and later also
// generations that callers may take up again.
func (p stopPlan) allows(now time.Time, rr *routedRequest, events int, otherServes bool) bool {
	switch {
	case !p.stopping():
		return true
	case !now.Before(p.deadline):
		return false
	case !rr.deadline.After(p.deadline), !otherServes && !now.After(p.lateUntil):
		return true
	case rr.likelyEnd(now, events).After(p.deadline):
		return false
	case rr.route.Kind == table.KindStream:
		return !rr.req.Arrived.After(p.lateUntil) || !otherServes && rr.route.Retryable()
	}
	return rr.route.Retryable()
}

// StoppingError says that a request is not sent to an endpoint, or ends without its response,
// as the node stops.
type StoppingError struct {
	Ended bool // the time in which every response must have ended is over
}

// Error says that the node stops, or has stopped.
func (e *StoppingError) Error() string {
	if e.Ended {
		return "this node has stopped"
	}
	return "this node is stopping"
}

// isStopping reports whether an error is due to the stop of the node.
func isStopping(err error) bool {
	var stopping *StoppingError
	return errors.As(err, &stopping)
}

// wasStopped reports whether the end of the node has ended the context of a request.
func wasStopped(ctx context.Context) bool { return isStopping(context.Cause(ctx)) }

// Drain begins the stop of the node: every response must have ended by deadline.
// From now on the server sends endpoints only what a stopPlan allows, and rejects the rest if it
// has not run. It carries no further connections for other nodes.
func (s *Server) Drain(now, deadline time.Time) {
	s.cfg.Carrier.Drain()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop = newStopPlan(now, deadline)
}

// stopPlan returns the plan of the stop.
func (s *Server) stopPlan() stopPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stop
}

// maySend reports whether the stop of the node allows to send a request to an endpoint, see
// stopPlan.allows.
func (s *Server) maySend(now time.Time, rr *routedRequest, events int) bool {
	p := s.stopPlan()
	return !p.stopping() || p.allows(now, rr, events, s.otherNodeServes())
}

// begin counts a request, unless the server takes no more.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing {
		return false
	}
	s.active++
	return true
}

// CloseIfIdle reports whether no request is in flight and no connection is carried for another
// node. If so, the server rejects all requests from now on.
func (s *Server) CloseIfIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active > 0 || s.cfg.Carrier.Active() > 0 {
		return false
	}
	s.refusing = true
	return true
}

// End rejects all requests from now on, and ends those in flight: each gets its final response,
// and a stream that has begun is aborted.
func (s *Server) End() {
	s.mu.Lock()
	s.refusing = true
	s.mu.Unlock()
	s.endAll(&StoppingError{Ended: true})
}

// stoppingError returns the error for a request that has not run, as the node stops. By the
// Retry-After the lists that name this node have expired.
func (s *Server) stoppingError() *apierr.Error {
	return apierr.NotRun(http.StatusServiceUnavailable, apierr.CodeUnavailable, "%v", &StoppingError{}).WithRetryAfter(s.cfg.AddressTTL)
}

// otherNodeServes reports whether another node serves callers.
func (s *Server) otherNodeServes() bool {
	m := member.Of(s.cfg.Daemon.State())
	for _, p := range m.Serving() {
		if p.GetId() != m.Self().GetId() {
			return true
		}
	}
	return false
}
