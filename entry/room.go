package entry

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/place"
	"github.com/plantaindeck/plantaindeck/wait"
)

const (
	roomCheckInterval = 30 * time.Millisecond
	roomWaitDivisor   = 8                      // a new request waits for room for the latency objective divided by this
	minRoomWait       = 100 * time.Millisecond // also if the route states no objective
	callerRetrySlack  = 200 * time.Millisecond // by which the caller's timeout of a first request may be below the route's, due to the caller's clock and the network
)

// waitForRoom waits a short time for an engine with room for the generation, and
// reserves it.
func (g *generation) waitForRoom() (fleet.Endpoint, bool) {
	s, rr := g.server, g.routed
	sel := selection{
		service: rr.service,
		centre:  s.cfg.Centre,
		need:    place.Need{Tokens: g.tokens},
		maxFill: rr.maxFill(),
		version: g.version,
		avoid:   rr.tried,
		use:     g.usageOnEngine(),
		timed:   rr.isTimed(),
	}
	if sel.timed {
		g.prefixes = promptPrefixes(rr.req)
		sel.prefixes = g.prefixes
	}
	sel = s.withinGroup(sel)
	began := time.Now()
	defer func() { s.metrics.recordRoomWait(rr.route.Kind, time.Since(began)) }()
	until := began.Add(rr.roomWait())
	for {
		sel.need.Timing = g.timing(time.Now(), s.view().Table())
		if e, c, ok := s.reserveEndpoint(time.Now(), s.view(), sel); ok {
			g.prompt = sel.use.withoutCached(c).prompt
			g.placedAt, g.pendingAtPlacement = time.Now(), c.PendingPrompt+g.prompt
			s.recordPlacement(rr, e, c, place.FirstEvent(sel.need, c))
			return e, true
		}
		if e, p, ok := s.askPlacement(g.ctx, rr, sel); ok {
			g.placement = p
			g.prompt, g.placedAt = sel.use.prompt, time.Time{} // the prompts pending at the engine are not known here
			return e, true
		}
		if g.version != nil && !serves(s.view(), rr.service.Name, *g.version) {
			g.lastErr = errors.Errorf("no engine runs version %s, which began the stream", *g.version)
			return fleet.Endpoint{}, false
		}
		now := time.Now()
		if rest := s.restOfAll(now, s.view(), rr.service.Name, g.version); rest > 0 && rest > until.Sub(now) {
			g.rest = rest
			g.lastErr = errors.Errorf("no engine takes requests %s", describeRest(rest))
			return fleet.Endpoint{}, false
		}
		if s.awaitSilent(g.ctx, rr, g.lastErr) {
			sel.avoid = nil
			continue
		}
		if !now.Before(until) || !wait.For(g.ctx, roomCheckInterval) {
			s.record("no-room", rr.req, "", s.describeFullness(time.Now(), s.view(), sel))
			g.lastErr = errors.New("no engine has room")
			return fleet.Endpoint{}, false
		}
	}
}

// describeFullness describes for the log how full the engines of a service are.
func (s *Server) describeFullness(now time.Time, view *fleet.View, sel selection) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	endpoints := view.Endpoints(sel.service.Name)
	leaving, evacuated := 0, len(endpoints)-len(withoutEvacuated(view, endpoints))
	for _, e := range endpoints {
		if e.Leaving {
			leaving++
		}
	}
	text := fmt.Sprintf("%d engines are listed, %d of them leaving, %d in evacuated data centres; the generation needs %d tokens within %.2f of an engine's memory", len(endpoints), leaving, evacuated, sel.need.Tokens, sel.maxFill)
	sel.maxFill, sel.avoid = 0, nil
	_, candidates := s.fittingCandidates(now, view, sel)
	if len(candidates) == 0 {
		return text
	}
	c := slices.MinFunc(candidates, func(a, b place.Candidate) int { return cmp.Compare(a.Tokens, b.Tokens) })
	return text + fmt.Sprintf("; the emptiest, %s, has %d of %d slots and %d of %d tokens in use%s", c.ID, c.Requests, c.Slots, c.Tokens, c.Memory, describeSpeed(c, place.FirstEvent(sel.need, c)))
}

// maxFill returns the fraction of an engine's memory up to which the request is
// placed there, or 0 for a service without engines. The fraction is larger for
// urgent requests and for retries of the caller.
func (rr *routedRequest) maxFill() float64 {
	switch {
	case rr.service.Engine == nil:
		return 0
	case rr.priority == 0:
		return place.MaxFillUrgent
	case rr.isCallerRetry():
		return place.MaxFillRetried
	}
	return place.MaxFillNew
}

// isCallerRetry reports whether the request is likely the caller's retry of one
// that was shed, as the caller waits for less time than the route allows, or takes up a
// stream again.
func (rr *routedRequest) isCallerRetry() bool {
	return rr.req.LastEventID != "" || rr.req.CallerTimeout > 0 && rr.req.CallerTimeout < rr.route.Timeout-callerRetrySlack
}

// roomWait returns how long a request waits for room before it is shed. A retry
// of the caller waits longer, as another retry would gain nothing.
func (rr *routedRequest) roomWait() time.Duration {
	if rr.isCallerRetry() {
		return max(rr.route.LatencyObjective, minRoomWait)
	}
	return max(rr.route.LatencyObjective/roomWaitDivisor, minRoomWait)
}
