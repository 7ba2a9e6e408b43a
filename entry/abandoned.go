package entry

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/wait"
)

const (
	abandonedTime    = 5 * time.Second         // for which an endpoint may still run a request that nobody waits for, and is down after a crash
	maxAbandonedRead = 1500 * time.Millisecond // for which an endpoint reads a prompt before it notices that nobody waits
)

// abandonedRequests are the requests without output that an endpoint may still run though nobody waits for them.
type abandonedRequests struct {
	endpoint fleet.Endpoint
	list     []abandonedRequest // oldest first
}

type abandonedRequest struct {
	lostRequest
	at time.Time // when its caller left, or its time ended
}

// wasAbandoned reports whether nobody waits for a request any more whose attempt failed with err.
func wasAbandoned(ctx context.Context, err error) bool {
	return ctx.Err() != nil && !wasAborted(ctx) && !wasStopped(ctx) || errors.Is(err, context.DeadlineExceeded)
}

// addAbandoned notes a request that an endpoint may still run. Load pattern: the callers of requests that crash
// endpoints leave while their prompts are being read, which endpoints notice only when they begin to answer.
func (s *Server) addAbandoned(now time.Time, rr *routedRequest, e fleet.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := incarnation{e.ID, e.StartMillis}
	l := s.abandoned[key]
	if s.closed || s.lostTraits+len(rr.traits) > maxLostTraits {
		return
	}
	if l == nil {
		l = &abandonedRequests{endpoint: e}
		s.abandoned[key] = l
		s.tasks.Go(func() { s.watchAbandoned(e) })
	}
	if len(l.list) == maxLost {
		s.lostTraits -= len(l.list[0].traits)
		l.list = l.list[1:]
	}
	s.lostTraits += len(rr.traits)
	l.list = append(l.list, abandonedRequest{newLostRequest(rr), now})
}

// takeAbandoned removes the abandoned requests of an endpoint and returns those that were abandoned after a time.
func (s *Server) takeAbandoned(e fleet.Endpoint, after time.Time) []lostRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := incarnation{e.ID, e.StartMillis}
	l := s.abandoned[key]
	if l == nil {
		return nil
	}
	delete(s.abandoned, key)
	var taken []lostRequest
	for _, r := range l.list {
		s.lostTraits -= len(r.traits)
		if r.at.After(after) {
			taken = append(taken, r.lostRequest)
		}
	}
	return taken
}

// forgetAbandoned drops the requests that an endpoint does not run any more, and reports whether some are left.
func (s *Server) forgetAbandoned(now time.Time, e fleet.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := incarnation{e.ID, e.StartMillis}
	l := s.abandoned[key]
	if l == nil {
		return false
	}
	l.list = slices.DeleteFunc(l.list, func(r abandonedRequest) bool {
		old := now.Sub(r.at) >= abandonedTime
		if old {
			s.lostTraits -= len(r.traits)
		}
		return old
	})
	if len(l.list) == 0 {
		delete(s.abandoned, key)
	}
	return len(l.list) > 0
}

// watchAbandoned reports an endpoint as crashed if its next process is listed while it may still have run requests
// that nobody waited for. It makes no connection, as callers that leave are common and crashes are not.
func (s *Server) watchAbandoned(e fleet.Endpoint) {
	for wait.For(s.ended, successorInterval) && s.forgetAbandoned(time.Now(), e) {
		view := s.view()
		if now, listed := view.Endpoint(e.ID); listed && now.Leaving && now.StartMillis == e.StartMillis {
			s.takeAbandoned(e, time.Now()) // its end is planned
			return
		}
		if hasSuccessor(view, e) {
			s.reportCrash(context.Background(), e, s.takeAbandoned(e, time.Time{}))
			return
		}
	}
}

// ReportAbandoned reports the requests of this node that an endpoint may have run, which has crashed as another node
// says. It does not wait.
func (s *Server) ReportAbandoned(now time.Time, endpoint string, startMillis int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.abandoned[incarnation{endpoint, startMillis}]
	if l == nil || s.closed {
		return
	}
	e := l.endpoint
	s.tasks.Go(func() { s.reportCrash(context.Background(), e, s.takeAbandoned(e, now.Add(-maxAbandonedRead))) })
}

// reportCrash tells the kernel that an endpoint has crashed under some requests.
func (s *Server) reportCrash(ctx context.Context, e fleet.Endpoint, lost []lostRequest) {
	if len(lost) == 0 {
		return
	}
	s.metrics.crashes.Inc()
	report := kernel.EndpointCrashed{Endpoint: e.ID, Service: e.Service, StartMillis: e.StartMillis}
	for _, l := range lost {
		report.Requests, report.Own = append(report.Requests, l.traits), append(report.Own, l.own)
		s.record("crash", &l.req, e.ID, "the endpoint has crashed while it ran the request or began to answer it; traits: "+describeHashes(l.req.PromptParts, l.traits))
	}
	s.cfg.Daemon.Post(ctx, report)
}
