package entry

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/relay"
	"github.com/plantaindeck/plantaindeck/wait"
)

const (
	successorTime     = 10 * time.Second       // from a crash until the next process of the endpoint is listed, at most
	successorInterval = 100 * time.Millisecond // between two looks at the list
	maxLost           = 64                     // requests that one check reports
	maxLostTraits     = 1 << 16                // of the requests of all checks; with the parts of their prompts about 2 MB
)

// incarnation identifies a process of an endpoint.
type incarnation struct {
	id          string
	startMillis int64 // 0 if unknown
}

// crashCheck finds out whether an endpoint whose connections broke has crashed.
type crashCheck struct {
	endpoint fleet.Endpoint
	lost     []lostRequest // of this node, which ran there and are not known to be sound
}

// lostRequest is what a crash check keeps of a request, without its body.
type lostRequest struct {
	req    Request
	traits []uint64
	own    uint64
}

func newLostRequest(rr *routedRequest) lostRequest {
	l := lostRequest{req: *rr.req, traits: rr.traits, own: rr.ownTrait()}
	l.req.Body, l.req.Header = nil, nil
	return l
}

// checkCrash starts a check whether an endpoint has crashed, after the connection of a
// request broke that is not known to be sound, or adds the request to the check that runs. A
// request that a quarantine has ended may still have crashed the endpoint, and explains it; so may one whose
// caller has left or whose time has ended, which starts no check, as the end of its connection shows nothing. An
// endpoint that is leaving ends as planned, so it is not checked, and neither is one in an
// evacuated data centre, as it gets no more connections.
func (s *Server) checkCrash(ctx context.Context, rr *routedRequest, e fleet.Endpoint, err error) {
	var lost *relay.LostError
	var carrier *relay.CarrierError
	if errors.As(err, &carrier) {
		return
	}
	if wasStopped(ctx) || !errors.As(err, &lost) {
		return
	}
	if now, listed := s.view().Endpoint(e.ID); !listed || now.Leaving || s.view().IsEvacuated(now) {
		return
	}
	if wasAbandoned(ctx, err) {
		s.addAbandoned(time.Now(), rr, e)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := incarnation{e.ID, e.StartMillis}
	c, running := s.crashChecks[key]
	switch {
	case s.closed || s.lostTraits+len(rr.traits) > maxLostTraits || running && len(c.lost) == maxLost:
		return
	case running:
		s.lostTraits += len(rr.traits)
		c.lost = append(c.lost, newLostRequest(rr))
		return
	}
	s.lostTraits += len(rr.traits)
	s.crashChecks[key] = &crashCheck{endpoint: e, lost: []lostRequest{newLostRequest(rr)}}
	s.tasks.Go(func() { s.runCrashCheck(context.WithoutCancel(ctx), e) })
}

// runCrashCheck reports an endpoint as crashed if nothing listens at its address any more, or if it cannot be
// reached and its next process is listed soon after.
func (s *Server) runCrashCheck(ctx context.Context, e fleet.Endpoint) {
	began := time.Now()
	ended, unreached := s.cfg.Relay.HasEndedIf(ctx, e.Addr, func() bool { return s.takeCrashCheck(time.Now(), e) })
	if !ended && unreached {
		ended = s.awaitSuccessor(e)
	}
	key := incarnation{e.ID, e.StartMillis}
	s.mu.Lock()
	c := s.crashChecks[key]
	delete(s.crashChecks, key)
	for _, l := range c.lost {
		s.lostTraits -= len(l.traits)
	}
	s.mu.Unlock()
	if !ended {
		return
	}
	s.reportCrash(ctx, e, append(c.lost, s.takeAbandoned(e, began.Add(-maxAbandonedRead))...))
}

// awaitSuccessor reports whether another process of an endpoint that could not be reached is listed within
// successorTime. Load pattern: a request that is tried again crashes all endpoints of a small service, so that
// no node reaches any and each counts as cut off itself.
func (s *Server) awaitSuccessor(e fleet.Endpoint) bool {
	for end := time.Now().Add(successorTime); time.Now().Before(end) && wait.For(s.ended, successorInterval); {
		view := s.view()
		if now, listed := view.Endpoint(e.ID); listed && now.Leaving && now.StartMillis == e.StartMillis {
			return false
		}
		if hasSuccessor(view, e) {
			return true
		}
	}
	return false
}

// hasSuccessor reports whether a later process than that of an endpoint is listed under its id, or for its
// service at its address.
func hasSuccessor(view *fleet.View, e fleet.Endpoint) bool {
	if e.StartMillis == 0 {
		return false
	}
	if now, listed := view.Endpoint(e.ID); listed && now.StartMillis > e.StartMillis {
		return true
	}
	return slices.ContainsFunc(view.EndpointsAt(e.Addr), func(o fleet.Endpoint) bool {
		return o.Service == e.Service && o.StartMillis > e.StartMillis
	})
}
