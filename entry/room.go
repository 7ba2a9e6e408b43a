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

// waitForRoom waits for an engine with room for the generation, in the order of the queue,
// and reserves it.
func (g *generation) waitForRoom() (fleet.Endpoint, bool) {
	s, rr := g.server, g.routed
	sel := selection{
		service:  rr.service,
		centre:   s.cfg.Centre,
		need:     place.Need{Tokens: g.tokens},
		maxFill:  rr.maxFill(),
		version:  g.version,
		recorded: rr.route.Resumable,
		avoid:    rr.tried,
		use:      g.usageOnEngine(),
		timed:    rr.isTimed(),
	}
	if sel.timed {
		g.prefixes = promptPrefixes(rr.req)
		sel.prefixes = g.prefixes
	}
	sel = s.withinGroup(sel)
	began := time.Now()
	defer func() { s.metrics.recordRoomWait(rr.route.Kind, time.Since(began)) }()
	until := began.Add(rr.roomWait())
	w := s.joinQueue(began, g)
	defer s.leaveQueue(w)
	var wake <-chan struct{}
	if w != nil {
		until, wake = w.until, w.wake
	}
	for looks := 0; ; looks++ {
		if now := time.Now(); !s.maySend(now, rr, g.events) {
			g.lastErr = &StoppingError{}
			if w != nil {
				s.recordWait(rr, w, now.Sub(began), g.lastErr.Error())
			}
			return fleet.Endpoint{}, false
		}
		sel.need.Timing = g.timing(time.Now(), s.view().Table())
		e, c, ok := s.reserveInTurn(time.Now(), s.view(), sel, w)
		if ok {
			g.prompt = sel.use.withoutCached(c).prompt
			g.pendingAtPlacement = c.PendingPrompt + g.prompt
			s.recordPlacement(rr, e, c, place.FirstEvent(sel.need, c))
		} else if e, g.placement, ok = s.askPlacement(g.ctx, rr, sel); ok {
			g.prompt = sel.use.prompt
		}
		if ok {
			if g.placedAt = time.Now(); looks > 0 && w != nil {
				s.recordWait(rr, w, g.placedAt.Sub(began), "placed on "+e.ID)
			}
			s.rooms.addHeld(g.placedAt, rr, g.tokens)
			return e, true
		}
		if g.version != nil && !serves(s.view(), rr.service.Name, *g.version) {
			g.lastErr = errors.Errorf("no engine runs version %s, which began the stream", *g.version)
			return fleet.Endpoint{}, false
		}
		now := time.Now()
		if sel.recorded && g.version == nil && s.lacksRecord(now, s.view(), rr.service.Name) {
			g.lastErr = &UnrecordedError{Service: rr.service.Name}
			return fleet.Endpoint{}, false
		}
		if rest := s.restOfAll(now, s.view(), rr.service.Name, g.version); rest > 0 && rest > until.Sub(now) {
			g.rest = rest
			g.lastErr = errors.Errorf("no engine takes requests %s", describeRest(rest))
			return fleet.Endpoint{}, false
		}
		if s.awaitSilent(g.ctx, rr, g.lastErr) {
			sel.avoid = nil
			continue
		}
		var why shed
		ended := w == nil && !now.Before(until)
		if w != nil {
			why, ended = s.whyShed(now, s.view(), w, looks == 0)
		}
		if !ended && wait.ForSignal(g.ctx, wake, roomCheckInterval) {
			continue
		}
		if w != nil {
			s.recordWait(rr, w, time.Since(began), cmp.Or(why.cause, "the request has ended"))
		}
		s.record("no-room", rr.req, "", s.describeFullness(time.Now(), s.view(), sel))
		if why.wait > 0 {
			s.metrics.rejectedEarly.Inc()
			s.record("reject", rr.req, "", why.cause)
			g.rejected = why.wait
		}
		g.lastErr = errors.New("no engine has room")
		return fleet.Endpoint{}, false
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

// roomWait returns how long a request waits for room at least before it is shed. A retry
// of the caller waits longer, as another retry would gain nothing.
func (rr *routedRequest) roomWait() time.Duration {
	if rr.isCallerRetry() {
		return max(rr.route.LatencyObjective, minRoomWait)
	}
	return max(rr.route.LatencyObjective/roomWaitDivisor, minRoomWait)
}
