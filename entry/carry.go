package entry

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/peer"
	"github.com/plantaindeck/plantaindeck/wire"
)

// ServeStream carries a connection for another node, which has opened the stream.
func (s *Server) ServeStream(ctx context.Context, first *wire.Frame, st *peer.Stream) {
	s.cfg.Carrier.Serve(ctx, first.GetCarry(), st, s)
}

// CarryObstacle implements carry.Rules. It returns why this node must not connect to an endpoint for another node, with a
// detail for logs, or NONE. An endpoint that wants no requests from this node takes none from
// others through it either.
func (s *Server) CarryObstacle(now time.Time, c *wire.Carry) (wire.Obstacle, string) {
	rest := time.Duration(0)
	if !c.GetStarted() {
		s.mu.Lock()
		rest = s.usage.restLeft(now, c.GetEndpoint())
		s.mu.Unlock()
	}
	return carryObstacle(s.view(), c, rest)
}

// carryObstacle decides for CarryObstacle; the endpoint wants no requests from this node for
// rest.
func carryObstacle(view *fleet.View, c *wire.Carry, rest time.Duration) (wire.Obstacle, string) {
	listed := view.EndpointsAt(c.GetAddr())
	i := slices.IndexFunc(listed, func(e fleet.Endpoint) bool { return c.GetEndpoint() == "" || e.ID == c.GetEndpoint() })
	switch {
	case i < 0:
		return wire.Obstacle_ENDING, fmt.Sprintf("no endpoint %q is listed at %s", c.GetEndpoint(), c.GetAddr())
	case c.GetEndpoint() != "" && !c.GetStarted() && listed[i].Leaving: // a call that names no endpoint is no request
		return wire.Obstacle_ENDING, "the endpoint is leaving"
	case c.GetEndpoint() != "" && !c.GetStarted() && view.IsEvacuated(listed[i]):
		return wire.Obstacle_ENDING, "data centre " + listed[i].Centre + " is evacuated"
	case rest > 0:
		return wire.Obstacle_UNWANTED, fmt.Sprintf("the endpoint wants no requests for %s", rest.Round(time.Millisecond))
	}
	return wire.Obstacle_NONE, ""
}

// RestEndpoint implements carry.Rules. It makes this node send an endpoint nothing for a time, as it has asked for that in
// a response that this node carried.
func (s *Server) RestEndpoint(endpoint string, rest time.Duration) {
	rest = min(rest, maxRest)
	s.mu.Lock()
	s.usage.setRest(endpoint, time.Now().Add(rest))
	s.mu.Unlock()
	s.recordEndpoint("rest", endpoint, fmt.Sprintf("it refused a request that this node carried and gets none for %s", rest))
}
