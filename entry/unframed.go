package entry

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/relay"
	"github.com/plantaindeck/plantaindeck/wait"
)

// confirmEnd returns an error if a response that has ended is not known to be complete, as it ended
// with its connection and the endpoint's process may have ended too. Load pattern: processes are
// killed while they send responses without a length, whose connections the kernel closes properly.
func (s *Server) confirmEnd(ctx context.Context, e fleet.Endpoint, resp *relay.Response) error {
	if !resp.UntilClose {
		return nil
	}
	if !s.awaitEndCheck(ctx, e) {
		return &relay.UnframedError{Addr: e.Addr, Err: errors.New("the endpoint takes no connection that could show it")}
	}
	return s.cfg.Relay.ConfirmEnd(ctx, e.Addr)
}

// awaitEndCheck waits until an endpoint takes a connection that shows whether its process is
// running, and reports whether it does. The connection counts as a request on a rate-limited and on
// a cold endpoint, ahead of those that wait, but not as one that an endpoint may want none of. On a
// brittle one it takes the slot of the response, which is still reserved. An endpoint in an
// evacuated data centre, which may be lost at any moment, gets none.
func (s *Server) awaitEndCheck(ctx context.Context, e fleet.Endpoint) bool {
	delay, ok := s.reserveConnection(time.Now(), e)
	return ok && wait.For(ctx, delay) && !s.view().IsEvacuated(e)
}

// reserveConnection counts a connection without a request against an endpoint's rate limit, and
// returns after which time it may be made. It reports false if there is none for this node.
func (s *Server) reserveConnection(now time.Time, e fleet.Endpoint) (time.Duration, bool) {
	view := s.view()
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.usage.limiterOf(now, view, e.ID)
	if l == nil {
		return 0, true
	}
	r := l.ReserveN(now, 1)
	return r.DelayFrom(now), r.OK()
}

// holdsResponse reports whether a part of a body that ends with its connection holds the head of
// another response. Load pattern: servers that stutter answer a request twice on its connection, the
// second time late. A whole head counts if it has the id of a request, which all answers of a server
// echo. In a stream it also counts at the start of a line, as no event has such a line. One that the
// body cuts off counts, as its id may be missing.
func (s *Server) holdsResponse(part []byte, stream bool) bool {
	for h := range relay.Heads(part) {
		if h.Cut || stream && h.LineStart || s.cfg.Dialect.RequestID(h.Header) != "" {
			return true
		}
	}
	return false
}

// readWhole reads the whole body of a response, whose memory the caller releases.
func (s *Server) readWhole(ctx context.Context, e fleet.Endpoint, resp *relay.Response) ([]byte, error) {
	body, err := s.bodies.read(resp)
	if err != nil {
		return nil, err
	}
	if resp.UntilClose && s.holdsResponse(body, false) {
		err = &relay.SecondResponseError{Addr: e.Addr}
	} else {
		err = s.confirmEnd(ctx, e, resp)
	}
	if err != nil {
		s.bodies.release(body)
		return nil, err
	}
	return body, nil
}

// unframedEnd returns io.EOF if the segment of a stream that has ended with its connection is
// complete, and another error if it is not known to be. A final copy ends the segment as well.
func (g *generation) unframedEnd(seg *segment, resp *relay.Response) error {
	s := g.server
	s.mu.Lock()
	moved := seg.movedTo != nil
	s.mu.Unlock()
	if seg.events == 0 || moved {
		return io.ErrUnexpectedEOF // a complete answer has an event
	}
	if err := s.confirmEnd(g.ctx, seg.endpoint, resp); err != nil {
		return err
	}
	return io.EOF
}
