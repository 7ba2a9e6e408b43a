package entry

import (
	"fmt"
	"time"

	"github.com/plantaindeck/plantaindeck/member"
)

// lateAccept is the time after the start of a stop in which long requests are
// taken that no other node can take.
const lateAccept = 2500 * time.Millisecond

// Stop says that every answer must have ended at the given time. Requests that
// may last longer are refused from now on, if another node serves. While all
// nodes stop at once, as in a quick replacement of one after the other, they
// are taken for a little longer: many will be done in time.
func (s *Server) Stop(now, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until, s.lateUntil = until, now.Add(lateAccept)
}

// CutOff records the generations that are still running when the node ends.
func (s *Server) CutOff() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range s.runs {
		on := ""
		if r.open != nil {
			on = r.open.endpoint.ID
		}
		s.record("broken", r.life.req, on, fmt.Sprintf("the node stopped %s after the request came", time.Since(r.life.req.Arrived).Round(time.Millisecond)))
	}
}

// Reports whether another node serves callers.
func (s *Server) others() bool {
	m := member.Of(s.cfg.Daemon.State())
	for _, p := range m.Serving() {
		if p.GetId() != m.Self().GetId() {
			return true
		}
	}
	return false
}
