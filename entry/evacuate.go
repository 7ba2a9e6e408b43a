package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/move"
	"github.com/plantaindeck/plantaindeck/place"
	"github.com/plantaindeck/plantaindeck/relay"
	"github.com/plantaindeck/plantaindeck/wait"
)

const (
	copyTimeout        = 2500 * time.Millisecond // for both copies of a migration together; exceeds the notice period, as an engine may run a little longer
	dropCopyTimeout    = time.Second
	retryCheckInterval = 50 * time.Millisecond // between two looks at whether the retry budget allows a migration
)

// segment is the part of a generation that runs on one engine. Its fields are
// guarded by the server's mutex.
type segment struct {
	endpoint          fleet.Endpoint
	response          *relay.Response
	startedAt         time.Time
	firstEventAt      time.Time     // when the first event from this engine arrived
	events            int           // received from this engine
	gapsFrom          time.Time     // arrival of the event from which the next sample of gaps counts
	gapEvents         int           // since then
	grown             int           // KV cache in the usage beyond the expected one of the generation, tokens
	eventsBefore      int           // sent to the caller before this segment
	expectedEvents    int           // of the whole generation
	movedTo           *destination  // where the generation continues when this segment ends; nil while that is not decided
	evacuating        bool          // an evacuation of the generation has been started
	firstCopiesTime   time.Duration // from the notice until the first copies of all generations on the engine have passed its link
	finalCopyFraction float64       // in [0, 1): spreads the final copies of the engine's generations over the rest of the notice period
	copyable          bool          // its engine can copy it
	planned           bool          // the plan of the evacuation chose it
	ended             bool
}

// destination is the engine on which a generation continues from a copy of its
// KV cache. No field changes any more once done is closed.
type destination struct {
	endpoint fleet.Endpoint
	copy     CacheCopy
	counted  bool // the continuation has been counted against the endpoint's rate limit
	done     chan struct{}
	err      error // not nil if there is no copy to continue from
}

// startSegment records that an engine has accepted the generation. It starts
// the evacuation at once if the engine has been reported leaving or removed in
// the meantime.
func (g *generation) startSegment(resp *relay.Response) *segment {
	s := g.server
	seg := &segment{
		endpoint:       g.endpoint,
		response:       resp,
		startedAt:      time.Now(),
		eventsBefore:   g.events,
		expectedEvents: g.expectedEvents(),
	}
	view := s.view()
	endpoint, listed := view.Endpoint(g.endpoint.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	g.current = seg
	if !listed || endpoint.Leaving {
		s.startEvacuation([]*generation{g}, view.RemoteUsage(g.endpoint.ID).Requests, view.GoneAt(g.endpoint.ID))
	}
	return seg
}

func (g *generation) endSegment(seg *segment) {
	s := g.server
	s.mu.Lock()
	defer s.mu.Unlock()
	g.current = nil
	seg.ended = true
	if seg.grown > 0 {
		s.usage.add(time.Now(), seg.endpoint.ID, usage{tokens: -seg.grown})
		seg.grown = 0
	}
}

// recordEvent counts an event from the engine. The first one shows that the
// engine has prefilled the prompt.
func (g *generation) recordEvent(seg *segment) {
	s, now := g.server, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.routed.isTimed() && g.placement == nil {
		// What else runs on an engine that another node chose is not known here.
		g.measure(now, s.view(), seg)
	}
	if seg.events == 0 {
		seg.firstEventAt = now
	}
	seg.events++
	g.grow(now, seg)
	if g.promptPending {
		g.promptPending = false
		g.changeUsage(now, seg.endpoint.ID, usage{prompt: -g.prompt})
	}
}

// expectedEvents returns the expected number of events of the whole generation.
func (g *generation) expectedEvents() int {
	tokensPerEvent := 1
	if e := g.routed.service.Engine; e != nil && e.TokensPerEvent > 0 {
		tokensPerEvent = e.TokensPerEvent
	}
	return g.routed.expectedOutput() / tokensPerEvent
}

// Evacuate starts the evacuation of the generations on an endpoint that is
// leaving or gone. The time goneAt is when it will be gone; zero if unknown.
func (s *Server) Evacuate(id string, goneAt time.Time) {
	remoteRequests := s.view().RemoteUsage(id).Requests
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*generation
	for g := range s.generations {
		if seg := g.current; seg != nil && seg.endpoint.ID == id && !seg.evacuating {
			list = append(list, g)
		}
	}
	s.startEvacuation(list, remoteRequests, goneAt)
}

// startEvacuation starts a goroutine for each of the generations, which run on
// one leaving engine. The mutex is held.
func (s *Server) startEvacuation(list []*generation, remoteRequests int, goneAt time.Time) {
	if s.closed {
		return
	}
	now := time.Now()
	noticedAt := move.NoticeTime(now, goneAt)
	sinceNotice := now.Sub(noticedAt)
	candidates := make([]move.CopyCandidate, len(list))
	for i, g := range list {
		candidates[i] = g.copyCandidate()
	}
	firstCopiesTime := move.FirstCopiesTime(candidates, remoteRequests, sinceNotice)
	chosen := move.PlanCopies(candidates, remoteRequests, sinceNotice, s.rand.Float64())
	for i, g := range list {
		seg := g.current
		seg.evacuating = true
		seg.firstCopiesTime, seg.finalCopyFraction = firstCopiesTime, s.rand.Float64()
		seg.planned = chosen[i]
		seg.copyable = g.routed.service.Engine != nil && g.routed.service.Engine.SupportsMigration
		s.tasks.Go(func() { s.evacuateGeneration(g, seg, noticedAt) })
	}
}

// copyCandidate describes the generation for the plan of an evacuation. Its copy
// grows with the prompt and the tokens generated so far. The mutex is held.
func (g *generation) copyCandidate() move.CopyCandidate {
	e := g.routed.service.Engine
	if e == nil || e.LinkMbps <= 0 {
		return move.CopyCandidate{}
	}
	events := g.current.eventsBefore + g.current.events
	bits := float64(g.routed.req.PromptTokens+events*max(e.TokensPerEvent, 1)) * float64(e.TokenBytes) * 8
	return move.CopyCandidate{Tokens: g.tokens, CopyTime: time.Duration(bits / e.LinkMbps * float64(time.Microsecond))}
}

// evacuateGeneration carries out the decisions on one generation until it has
// been migrated, is left on its engine or has ended.
func (s *Server) evacuateGeneration(g *generation, seg *segment, noticedAt time.Time) {
	var avoid []string
	for failedCopies := 0; g.ctx.Err() == nil; {
		state, left := s.evacuationState(g, seg, time.Now(), noticedAt)
		if left {
			return
		}
		state.FailedCopies = failedCopies
		switch a := move.Decide(state).(type) {
		case move.Stay:
			s.metrics.recordEvacuation("stayed")
			s.record("stay", g.routed.req, seg.endpoint.ID, fmt.Sprintf("the engine is leaving; it has sent %d events, and the generation is expected to end in %s", state.Events, state.Remaining.Round(time.Millisecond)))
			return
		case move.Wait:
			if !wait.For(g.ctx, a.For) {
				return
			}
		case move.Copy:
			target, ok := s.reserveTarget(time.Now(), g, seg, avoid)
			if !ok {
				s.record("stay", g.routed.req, seg.endpoint.ID, "the engine is leaving; no other engine of its version has room")
				return
			}
			if s.migrate(g, seg, target, noticedAt) {
				return
			}
			avoid = append(avoid, target.ID)
			failedCopies++
		}
	}
}

// evacuationState describes a generation on a leaving engine for the decision
// on it. It reports true when the generation has ended or left the engine.
func (s *Server) evacuationState(g *generation, seg *segment, now, noticedAt time.Time) (move.Generation, bool) {
	view := s.view()
	s.mu.Lock()
	defer s.mu.Unlock()
	if seg.ended || seg.movedTo != nil {
		return move.Generation{}, true
	}
	state := move.Generation{
		Events:      seg.events,
		SinceNotice: now.Sub(noticedAt),
		Copyable:    seg.copyable && s.usage.closedForCopies(now, view, seg.endpoint) == 0,
		Planned:     seg.planned,
		LateCopyAt:  move.LateCopyTime(seg.finalCopyFraction),
	}
	state.Remaining = move.RemainingTime(seg.events, max(seg.expectedEvents-seg.eventsBefore, 0), now.Sub(seg.firstEventAt))
	return state, false
}

// reserveTarget chooses the engine that a generation migrates to, adds the memory that the
// generation needs to its usage, and counts the continuation against its rate limit: a
// random one with room, if possible in the data centre of the leaving engine, as copies to
// other data centres take twice as long. The choice is random so that nodes that migrate
// generations at the same time do not all choose the engine with the least load.
func (s *Server) reserveTarget(now time.Time, g *generation, seg *segment, avoid []string) (fleet.Endpoint, bool) {
	view := s.view()
	s.mu.Lock()
	defer s.mu.Unlock()
	var near, far []fleet.Endpoint
	endpoints, candidates := s.fittingCandidates(now, view, selection{
		service: g.routed.service,
		centre:  seg.endpoint.Centre,
		need:    place.Need{Tokens: g.tokens},
		maxFill: place.MaxFillRetried,
		version: &seg.endpoint.Version,
		avoid:   append(avoid, seg.endpoint.ID),
	})
	for i, e := range endpoints {
		if candidates[i].SameCentre {
			near = append(near, e)
		} else {
			far = append(far, e)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return fleet.Endpoint{}, false
	}
	target := near[s.rand.IntN(len(near))]
	s.usage.takeCall(now, view, target.ID)
	s.usage.add(now, target.ID, usage{tokens: g.tokens})
	return target, true
}

// setDestination sets where a generation continues when its segment on the
// leaving engine ends. It reports false if the segment has ended already.
func (s *Server) setDestination(g *generation, seg *segment, dest *destination) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if seg.ended {
		return false
	}
	seg.movedTo = dest
	s.metrics.recordEvacuation("moved")
	s.record("move", g.routed.req, seg.endpoint.ID, fmt.Sprintf("the engine is leaving; after %d events the generation continues on %s, from version %s to %s", seg.eventsBefore+seg.events, dest.endpoint.ID, seg.endpoint.Version, dest.endpoint.Version))
	return true
}

// migrate copies a generation to the engine that was reserved for it, and ends the
// reservation: first while it continues to run, then, after it has been stopped, what
// was added since. An engine with a rate limit gets only the call for the final copy, which
// then takes longer. migrate reports false if the first copy failed and the generation
// still runs on its engine.
func (s *Server) migrate(g *generation, seg *segment, target fleet.Endpoint, noticedAt time.Time) bool {
	defer s.addUsage(target.ID, usage{tokens: -g.tokens})
	ctx, cancel := context.WithTimeout(g.ctx, copyTimeout)
	defer cancel()
	id := g.routed.req.ID
	var first CacheCopy
	if !s.isRateLimited(seg.endpoint.ID) {
		var ok bool
		if first, ok = s.copyRunning(ctx, g, seg, target, noticedAt); !ok {
			return false
		}
	}
	if !s.takeCopyCall(time.Now(), seg.endpoint.ID) {
		s.record("copy-failed", g.routed.req, target.ID, "the engine takes no requests now, so the final copy was not asked for")
		return false
	}
	if !s.awaitRetryBudget(ctx, g, noticedAt) {
		s.record("stay", g.routed.req, seg.endpoint.ID, "the engine is leaving; the retry budget does not allow to continue on another one")
		s.dropCopy(g, seg.endpoint, first)
		return true
	}
	dest := &destination{endpoint: target, counted: true, done: make(chan struct{})}
	defer close(dest.done)
	// The destination must be set before the final copy, which stops the
	// generation: the engine then ends the stream.
	if !s.setDestination(g, seg, dest) {
		s.dropCopy(g, seg.endpoint, first)
		return true
	}
	began := time.Now()
	dest.copy, dest.err = s.cfg.Dialect.Copy(ctx, seg.endpoint.Addr, target.Addr, id, true)
	s.record("copied", g.routed.req, target.ID, fmt.Sprintf("the final copy completed after %s", time.Since(began).Round(time.Millisecond)))
	s.heedNotice(time.Now(), seg.endpoint, refusalNotice(dest.err))
	if dest.err == nil {
		return true
	}
	s.record("copy-failed", g.routed.req, target.ID, dest.err.Error())
	if dest.copy.Name != "" {
		// The generation has been stopped, but its KV cache is still on the leaving
		// engine, where it can continue.
		dest.endpoint, dest.counted, dest.err = seg.endpoint, false, nil
	}
	return true
}

// copyRunning makes the first copy of a generation while it runs, waits until the time for
// its final copy has come, and returns the copy. It reports false if the copy failed.
func (s *Server) copyRunning(ctx context.Context, g *generation, seg *segment, target fleet.Endpoint, noticedAt time.Time) (CacheCopy, bool) {
	first, err := s.cfg.Dialect.Copy(ctx, seg.endpoint.Addr, target.Addr, g.routed.req.ID, false)
	s.heedNotice(time.Now(), seg.endpoint, refusalNotice(err))
	if err != nil {
		if g.ctx.Err() == nil {
			s.metrics.recordEvacuation("copy-failed")
			s.record("copy-failed", g.routed.req, target.ID, err.Error())
		}
		return CacheCopy{}, false
	}
	s.record("copied", g.routed.req, target.ID, fmt.Sprintf("the first copy from %s to %s completed %s after the notice", seg.endpoint.Centre, target.Centre, time.Since(noticedAt).Round(time.Millisecond)))
	wait.For(ctx, move.FinalCopyDelay(time.Since(noticedAt), seg.firstCopiesTime, seg.finalCopyFraction))
	s.awaitIdleLinks(ctx, g, seg, target, noticedAt)
	return first, true
}

// awaitRetryBudget counts the continuation of a generation on another engine as a retry,
// and waits until the budget allows it or the time for the final copy has passed. It must
// be allowed before the generation is stopped.
func (s *Server) awaitRetryBudget(ctx context.Context, g *generation, noticedAt time.Time) bool {
	for !s.allowRetry(g.routed) {
		if move.TooLateToStop(time.Since(noticedAt)) || !wait.For(ctx, retryCheckInterval) {
			return false
		}
	}
	return true
}

// awaitIdleLinks copies what is new of a generation, while it continues to run, until a
// copy shows that no other copies are in its way, or the time for the final copy has come.
func (s *Server) awaitIdleLinks(ctx context.Context, g *generation, seg *segment, target fleet.Endpoint, noticedAt time.Time) {
	for ctx.Err() == nil && s.takeCopyCall(time.Now(), seg.endpoint.ID) {
		began := time.Now()
		_, err := s.cfg.Dialect.Copy(ctx, seg.endpoint.Addr, target.Addr, g.routed.req.ID, false)
		s.heedNotice(time.Now(), seg.endpoint, refusalNotice(err))
		if err != nil || !move.CopyAgain(time.Since(began), time.Since(noticedAt)) {
			return
		}
	}
}

// dropCopy asks the engine from which an unused copy was made to free it, unless there is
// none or the engine takes no requests: the copy then lapses by itself.
func (s *Server) dropCopy(g *generation, source fleet.Endpoint, c CacheCopy) {
	if c.Name == "" || !s.takeCall(time.Now(), source.ID) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(g.ctx), dropCopyTimeout)
	defer cancel()
	if err := s.cfg.Dialect.Drop(ctx, c); err != nil {
		s.heedNotice(time.Now(), source, refusalNotice(err))
		s.record("drop-failed", g.routed.req, "", err.Error())
	}
}
