package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/relay"
)

const (
	engineConnectTimeout = 300 * time.Millisecond // after which an engine counts as unreachable
	maxStreamAttempts    = 12                     // of one generation, refused ones included
	minLoggedPause       = 150 * time.Millisecond // between two events
	maxPrelude           = 16 << 10               // bytes of comments that are held back until the first event
)

// generation is a generation in flight and its stream to the caller.
type generation struct {
	server        *Server
	routed        *routedRequest
	out           ResponseWriter
	ctx           context.Context
	endpoint      fleet.Endpoint
	copyFrom      *CacheCopy     // from which the next attempt continues; nil for none
	movedTo       *destination   // set after a migration until the next attempt
	lastEventID   string         // of the last event that was sent to the caller
	lastEventAt   time.Time      // when that event arrived
	events        int            // sent to the caller
	tokens        int            // KV cache that the generation is expected to need, in tokens
	headerSent    bool           // the status and header were sent to the caller
	placement     *placement     // at the endpoint, if another node chose it; nil otherwise
	promptPending bool           // the usage tracker counts the prompt as pending
	prefixes      []promptPrefix // of its prompt, if the route is timed
	prompt        int            // tokens that the usage tracker counts while the prompt is pending
	placedAt      time.Time      // when the last place without a copy was reserved
	// pendingAtPlacement is the pending prompt of that engine then, this generation's included.
	pendingAtPlacement int
	header             http.Header // that the caller has, from the response that brought its first event
	prelude            []byte      // comments of the response that is being read, before the first event that the caller gets
	unnumbered         bool        // the caller has an event without an id, so that no engine can go on exactly after it
	attempts           int
	refusals           int
	sound              bool // one engine has sent minSoundEvents of its events, so that it crashes no engine that begins to answer it
	lastErr            error
	version            *string       // of the engines that made the events which the caller has; nil if it has none
	rejected           time.Duration // after which room is expected, when the forecast kept the generation from being placed; else 0
	rest               time.Duration // until the first engine takes requests again, when that kept the generation from being placed; else 0

	// Guarded by the server's mutex.
	current *segment // nil while no engine runs the generation
}

// serveStream serves a generation. It makes attempts until one has completed the
// stream, the caller has gone or no further attempt is possible.
func (s *Server) serveStream(ctx context.Context, rr *routedRequest, out ResponseWriter) *apierr.Error {
	g := &generation{server: s, routed: rr, out: out, ctx: ctx, lastEventID: rr.req.LastEventID, tokens: rr.req.PromptTokens + rr.expectedOutput()}
	if rr.req.LastEventID != "" {
		if fail := g.pinResumed(); fail != nil {
			return fail
		}
	}
	s.mu.Lock()
	s.generations[g] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.generations, g)
		s.mu.Unlock()
	}()
	for range maxStreamAttempts {
		if ctx.Err() != nil || !g.nextEndpoint() {
			break
		}
		if g.attempt() {
			return nil
		}
	}
	if g.headerSent {
		s.metrics.brokenStreams.Inc()
		s.record("broken", rr.req, g.endpoint.ID, g.breakReason(time.Now()))
		out.Abort()
		return nil
	}
	if g.rejected > 0 && !rr.mayHaveRun {
		return s.rejectError(time.Now(), rr, g.rejected)
	}
	if g.rest > 0 && !rr.mayHaveRun {
		return s.restError(rr, g.rest)
	}
	return s.finalError(ctx, rr, g.lastErr)
}

// breakReason returns why the stream was cut off at the time now.
func (g *generation) breakReason(now time.Time) string {
	switch {
	case wasStopped(g.ctx):
		return fmt.Sprintf("the node stopped %s after the request arrived", now.Sub(g.routed.req.Arrived).Round(time.Millisecond))
	case g.lastErr == nil:
		return "no endpoint can continue the stream"
	}
	return g.lastErr.Error()
}

// nextEndpoint reserves the endpoint of the next attempt and sets the copy to continue
// from: the destination of a migration, which has been counted as a retry, else, without a
// copy, an engine with room if the request has not run or the route allows retries. It reports false if no further attempt is possible.
func (g *generation) nextEndpoint() bool {
	s, rr := g.server, g.routed
	if g.unnumbered {
		g.lastErr = errors.Wrap(g.lastErr, "the caller has an event without an id, after which the stream cannot go on")
		return false
	}
	if dest := g.movedTo; dest != nil && g.takesContinuation(dest) {
		g.copyFrom, g.endpoint = &dest.copy, dest.endpoint
		g.movedTo = nil
		g.addUsage()
		return true
	}
	g.movedTo = nil
	if g.attempts+g.refusals > 0 && !s.allowRetry(rr) {
		g.lastErr = errors.New("the retry budget is exhausted")
		return false
	}
	g.copyFrom = nil
	if rr.mayHaveRun && (!rr.route.Retryable() || g.attempts >= rr.route.MaxAttempts) {
		return false
	}
	if g.attempts > 0 && !g.sound {
		s.holdSuspected(g.ctx, rr)
	}
	var ok bool
	g.endpoint, ok = g.waitForRoom()
	g.promptPending = ok
	return ok
}

// takesContinuation reports whether the destination of a migration takes the generation
// now, and counts the call against its rate limit.
func (g *generation) takesContinuation(dest *destination) bool {
	if dest.counted {
		return !g.server.isResting(time.Now(), dest.endpoint.ID) && !g.server.view().IsEvacuated(dest.endpoint)
	}
	return g.server.takeCall(time.Now(), dest.endpoint.ID)
}

// attempt makes one attempt at the endpoint that nextEndpoint reserved, and ends the
// reservation. It reports true when the response to the caller has ended or the caller
// has gone.
func (g *generation) attempt() bool {
	s, rr := g.server, g.routed
	if g.endUnrecorded(s.view()) || g.endReplaced(time.Now()) || g.endStalePlacement(time.Now()) {
		return false
	}
	rr.tried = append(rr.tried, g.endpoint.ID)
	defer g.removeUsage(g.endpoint.ID)
	a := s.newAttempt(rr, g.endpoint)
	a.LastEventID = g.lastEventID
	a.ContinueFrom = g.copyFrom
	resp, err := s.sendAttempt(g.ctx, a, engineConnectTimeout)
	if err != nil {
		return g.handleFailure(err)
	}
	defer resp.Close()
	g.attempts++
	rr.mayHaveRun = true
	if resp.Status != http.StatusOK {
		return g.passResponse(resp)
	}
	if err := g.checkMediaType(resp); err != nil {
		return g.rejectContinuation(err)
	}
	return g.relayEvents(resp)
}

// usageOnEngine returns the usage of a generation on its engine. The prompt counts
// as pending until the first event, unless the generation continues from a copy.
func (g *generation) usageOnEngine() usage {
	u := usage{requests: 1, tokens: g.tokens}
	if g.copyFrom == nil {
		u.prompt = g.routed.req.PromptTokens
	}
	return u
}

// addUsage adds a generation that continues from a copy to the usage of its
// engine.
func (g *generation) addUsage() {
	g.server.addUsage(g.endpoint.ID, g.usageOnEngine())
	g.server.rooms.addHeld(time.Now(), g.routed, g.tokens)
}

// removeUsage removes the generation from the usage of an engine.
func (g *generation) removeUsage(id string) {
	s := g.server
	defer s.notifyFreed(g, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	u := usage{requests: -1, tokens: -g.tokens}
	if g.promptPending {
		u.prompt = -g.prompt
		g.promptPending = false
	}
	g.changeUsage(time.Now(), id, u)
}

// handleFailure records an attempt that was refused, could not be sent or got no
// usable response. It reports true when the caller has gone.
func (g *generation) handleFailure(err error) bool {
	g.lastErr = err
	g.server.recordFailure(g.ctx, g.endpoint, err)
	var refused *relay.RefusedError
	var notSent *relay.NotSentError
	if errors.As(err, &refused) || errors.As(err, &notSent) {
		if refused != nil {
			g.refusals++
		}
	} else {
		g.attempts++
		g.routed.mayHaveRun = true
	}
	g.server.record("attempt-failed", g.routed.req, g.endpoint.ID, err.Error())
	g.checkCrash(err)
	return g.endIfCallerGone()
}

// endIfCallerGone reports whether the caller has gone. It then aborts a response that has begun, as a
// caller that has only closed its sending side still reads and would take it for a whole one.
func (g *generation) endIfCallerGone() bool {
	gone := callerGone(g.ctx)
	if gone && g.headerSent {
		g.out.Abort()
	}
	return gone
}

// passResponse sends the caller a response that is not a stream. It reports
// false if the generation needs another attempt instead. Such a response is no output: engines
// reject and fail requests without having begun to answer them.
func (g *generation) passResponse(resp *relay.Response) bool {
	s := g.server
	body, err := s.readWhole(g.ctx, g.endpoint, resp)
	if err != nil {
		g.lastErr = &relay.LostError{Addr: g.endpoint.Addr, Err: err}
		s.recordFailure(g.ctx, g.endpoint, g.lastErr)
		s.record("attempt-failed", g.routed.req, g.endpoint.ID, fmt.Sprintf("status %d, and its body: %v", resp.Status, g.lastErr))
		g.checkCrash(g.lastErr)
		return false
	}
	defer s.bodies.release(body)
	s.recordOutcome(g.endpoint.ID, resp.Status < http.StatusInternalServerError)
	if g.headerSent || resp.Status >= http.StatusInternalServerError && g.routed.route.Retryable() && g.attempts < g.routed.route.MaxAttempts {
		g.lastErr = errors.Errorf("endpoint %s responded with status %d", g.endpoint.ID, resp.Status)
		s.record("retry", g.routed.req, g.endpoint.ID, "the generation needs another attempt: "+g.lastErr.Error())
		return false
	}
	writeResponse(g.out, &bufferedResponse{status: resp.Status, header: s.cfg.Dialect.CallerHeader(resp.Header), body: body})
	return true
}

// relayEvents sends the events of a response to the caller until the stream ends
// or breaks. It reports true when the response to the caller has ended or the
// caller has gone.
func (g *generation) relayEvents(resp *relay.Response) bool {
	s := g.server
	seg := g.startSegment(resp)
	defer g.endSegment(seg)
	events := relay.NewEventReader(resp)
	g.prelude = nil
	numbered := 0                 // events of the segment that have an id, as those of an answer do and those of a failure may not
	joined := g.lastEventID == "" // no event precedes the segment, or its first one follows the last of those
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) && resp.UntilClose {
			err = g.unframedEnd(seg, resp)
		}
		if err == nil && resp.UntilClose && s.holdsResponse(event.Raw, true) {
			err = &relay.SecondResponseError{Addr: g.endpoint.Addr}
		}
		if err == nil && !joined && !event.IsComment() {
			err = checkFollows(event.ID, g.lastEventID)
			joined = true
		}
		if err == nil && !g.headerSent && event.IsComment() && len(g.prelude)+len(event.Raw) > maxPrelude {
			err = errors.Errorf("the response has more than %d bytes of comments before its first event", maxPrelude)
		}
		if err == nil && !event.IsComment() {
			g.recordEvent(seg)
		}
		if err == nil && event.ID != "" {
			numbered++
		}
		if err == nil && numbered == minSoundEvents || errors.Is(err, io.EOF) && !resp.UntilClose && numbered > 0 {
			g.reportSound()
		}
		if err == nil || errors.Is(err, io.EOF) && !g.headerSent {
			if writeErr := g.writeEvent(event, resp); writeErr != nil {
				g.out.Abort()
				return true
			}
		}
		if errors.Is(err, io.EOF) {
			if resp.UntilClose {
				s.record("unframed-end", g.routed.req, g.endpoint.ID, fmt.Sprintf("the stream ended with the engine's connection, after %d events from this engine", seg.events))
			}
			s.recordOutcome(g.endpoint.ID, true)
			return true
		}
		if err != nil {
			g.handleBreak(seg, err)
			return g.endIfCallerGone()
		}
	}
}

// writeEvent sends an event of a response to the caller. The first one is sent after the header of
// the same response and the comments before it: until then the attempt may fail, and the caller
// must get no part of a response that another attempt replaces.
func (g *generation) writeEvent(event relay.Event, resp *relay.Response) error {
	if !g.headerSent {
		if event.IsComment() && len(event.Raw) > 0 {
			g.prelude = append(g.prelude, event.Raw...)
			return nil
		}
		g.headerSent = true
		g.header = g.server.cfg.Dialect.CallerHeader(resp.Header)
		g.routed.req.headerFrom = g.endpoint.ID
		g.pin()
		g.out.Start(http.StatusOK, g.header, -1)
		if len(g.prelude) > 0 {
			if err := g.out.Write(g.prelude); err != nil {
				return err
			}
			g.prelude = nil
		}
	}
	g.unnumbered = g.unnumbered || event.ID == "" && !event.IsComment()
	if event.ID != "" {
		g.lastEventID = event.ID
		g.events++
		now := time.Now()
		req := g.routed.req
		if req.events = g.events; g.events == 1 {
			req.firstEventAt = now
			if g.copyFrom == nil && req.LastEventID == "" {
				g.server.rooms.addFirstEvent(g.routed.service.Name, g.routed.priority, now.Sub(g.placedAt))
			}
		}
		if pause := now.Sub(g.lastEventAt); g.events > 1 && pause > minLoggedPause {
			g.server.record("pause", g.routed.req, g.endpoint.ID, fmt.Sprintf("no event for %s before event %d, which is event %d from this engine", pause.Round(time.Millisecond), g.events, g.current.events))
		}
		g.lastEventAt = now
	}
	return g.out.Write(event.Raw)
}

// handleBreak handles a stream that ended early. If the generation is migrating,
// it waits until the final copy has completed or failed; otherwise it records a
// failure of the endpoint.
func (g *generation) handleBreak(seg *segment, err error) {
	s := g.server
	s.mu.Lock()
	dest := seg.movedTo
	s.mu.Unlock()
	g.lastErr = &relay.LostError{Addr: g.endpoint.Addr, Err: err}
	if dest != nil {
		select {
		case <-dest.done:
		case <-g.ctx.Done():
			return
		}
		if dest.err == nil {
			g.movedTo = dest
		}
		return
	}
	s.recordFailure(g.ctx, g.endpoint, g.lastErr)
	s.record("stream-broke", g.routed.req, g.endpoint.ID, fmt.Sprintf("after %d events from this engine: %v", seg.events, err))
	g.checkCrash(g.lastErr)
}

// checkCrash checks whether the engine has crashed that lost the generation, unless the
// generation is known to be sound. What the caller or earlier engines have of the stream does not
// show that: each of these engines may have crashed after its first event.
func (g *generation) checkCrash(err error) {
	if !g.sound {
		g.server.checkCrash(g.ctx, g.routed, g.endpoint, err)
	}
}

// reportSound records that an engine has answered the generation for longer than one that is about
// to crash, or has answered it whole.
func (g *generation) reportSound() {
	g.sound = true
	g.server.reportOutput(g.routed)
}
