package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/relay"
)

// ReplacedError says that an engine is not known to be the process that its record describes.
type ReplacedError struct {
	Endpoint string
	Recorded int64 // start of the recorded process, Unix milliseconds
	Started  int64 // start of the process that answers; 0 if that could not be found out
	Err      error // why not; nil if it could
}

// Error names both processes, or the cause.
func (e *ReplacedError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("it could not be confirmed that endpoint %s is still the recorded process, started at %d: %v", e.Endpoint, e.Recorded, e.Err)
	}
	return fmt.Sprintf("endpoint %s is a process started at %d, not the recorded one, started at %d", e.Endpoint, e.Started, e.Recorded)
}

// Unwrap returns the cause.
func (e *ReplacedError) Unwrap() error { return e.Err }

// endReplaced gives up the engine of the next attempt if its process is not the one that its record
// describes, so that its version is not known. It reports whether it did. Load pattern: engines are
// upgraded in place, under their ids, while the store is away or has not passed their new records on
// yet, and streams of the engines that end go on at those that have started again.
//
// An engine is asked before each attempt that continues a stream, which is rare. One at which a stream
// begins that its caller may take up is asked only while its record may be out of date. An engine that
// gives no answer is not used while this node does not read the store. A copy proves its process, as it
// ends with it.
func (g *generation) endReplaced(now time.Time) bool {
	rr, e := g.routed, g.endpoint
	unread := g.server.storeUnread(now)
	if rr.service.Engine == nil || g.copyFrom != nil || g.version == nil && (!rr.route.Resumable || !unread && !g.server.lostConnection(e)) {
		return false
	}
	err := g.server.confirmProcess(g.ctx, e)
	var unreached *relay.NotSentError // the attempt will not reach the engine either
	if err == nil || err.Started == 0 && (!unread || errors.As(err.Err, &unreached)) {
		return false
	}
	g.lastErr = &relay.NotSentError{Addr: e.Addr, Err: err}
	rr.tried = append(rr.tried, e.ID)
	g.removeUsage(e.ID)
	g.server.record("attempt-failed", rr.req, e.ID, g.lastErr.Error())
	return true
}

// storeUnread reports whether this node does not read the store, so that records may be out of date.
func (s *Server) storeUnread(now time.Time) bool {
	return fleet.StoreSilent(s.cfg.Daemon.State(), now) || s.cfg.StoreFailing != nil && s.cfg.StoreFailing()
}

// lostConnection reports whether the last connections to an endpoint failed, so that its process may
// have been replaced.
func (s *Server) lostConnection(e fleet.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, known := s.usage.endpoints[e.ID]
	return known && st.connectFailures > 0
}

// confirmProcess asks an engine when its process started. It returns an error if that is not the
// process which the engine's record describes, or is not known.
func (s *Server) confirmProcess(ctx context.Context, e fleet.Endpoint) *ReplacedError {
	unknown := func(err error) *ReplacedError {
		return &ReplacedError{Endpoint: e.ID, Recorded: e.StartMillis, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if !s.awaitEndCheck(ctx, e) {
		return unknown(fmt.Errorf("it takes no call now"))
	}
	n, err := s.cfg.Dialect.Leaving(ctx, e)
	switch {
	case err != nil:
		s.heedNotice(time.Now(), e, refusalNotice(err))
		return unknown(err)
	case n.StartMillis == 0:
		return unknown(fmt.Errorf("its report does not say when it started"))
	case n.StartMillis != e.StartMillis:
		return &ReplacedError{Endpoint: e.ID, Recorded: e.StartMillis, Started: n.StartMillis}
	}
	return nil
}
