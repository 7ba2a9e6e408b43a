package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/relay"
)

// crashCheck finds out whether an endpoint whose connections broke has crashed.
type crashCheck struct {
	endpoint fleet.Endpoint
	lost     []*routedRequest // of this node, which ran there and are not known to be sound
}

// checkCrash starts a check whether an endpoint has crashed, after the connection of a
// request broke that is not known to be sound, or adds the request to the check that runs. A
// request that a quarantine has ended may still have crashed the endpoint, and explains it. An
// endpoint that is leaving ends as planned, so it is not checked, and neither is one in an
// evacuated data centre, as it gets no more connections.
func (s *Server) checkCrash(ctx context.Context, rr *routedRequest, e fleet.Endpoint, err error) {
	var lost *relay.LostError
	var carrier *relay.CarrierError
	if errors.As(err, &carrier) {
		return
	}
	if ctx.Err() != nil && !wasAborted(ctx) || !errors.As(err, &lost) || errors.Is(err, context.DeadlineExceeded) {
		return
	}
	if now, listed := s.view().Endpoint(e.ID); !listed || now.Leaving || s.view().IsEvacuated(now) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, running := s.crashChecks[e.ID]; running {
		c.lost = append(c.lost, rr)
		return
	}
	if s.closed {
		return
	}
	s.crashChecks[e.ID] = &crashCheck{endpoint: e, lost: []*routedRequest{rr}}
	s.tasks.Go(func() { s.runCrashCheck(context.WithoutCancel(ctx), e) })
}

// runCrashCheck reports an endpoint as crashed if nothing listens at its address any more.
func (s *Server) runCrashCheck(ctx context.Context, e fleet.Endpoint) {
	ended := s.cfg.Relay.HasEndedIf(ctx, e.Addr, func() bool { return s.takeCrashCheck(time.Now(), e) })
	s.mu.Lock()
	c := s.crashChecks[e.ID]
	delete(s.crashChecks, e.ID)
	s.mu.Unlock()
	if !ended {
		return
	}
	s.metrics.crashes.Inc()
	report := kernel.EndpointCrashed{Endpoint: e.ID, Service: e.Service, StartMillis: e.StartMillis}
	for _, rr := range c.lost {
		report.Requests, report.Own = append(report.Requests, rr.traits), append(report.Own, rr.ownTrait())
		s.record("crash", rr.req, e.ID, "the endpoint has crashed while it ran the request or began to answer it; traits: "+rr.describeHashes())
	}
	s.cfg.Daemon.Post(ctx, report)
}
