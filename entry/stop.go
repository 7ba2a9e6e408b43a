package entry

import (
	"fmt"
	"time"

	"github.com/plantaindeck/plantaindeck/member"
)

// lateAcceptTime is how long a stopping node still accepts long requests if no
// other node serves.
const lateAcceptTime = 2500 * time.Millisecond

// Drain begins the stop of the node: every response must have ended by deadline.
// From now on the server rejects requests that may last longer, if another node
// serves. If none does, as when all nodes are replaced in quick succession, it
// accepts them for lateAcceptTime more: many will end in time. It carries no further
// connections for other nodes.
func (s *Server) Drain(now, deadline time.Time) {
	s.cfg.Carrier.Drain()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopDeadline, s.lateAcceptUntil = deadline, now.Add(lateAcceptTime)
}

// RecordUnfinished records the generations that are cut off when the node ends.
func (s *Server) RecordUnfinished() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for g := range s.generations {
		endpoint := ""
		if g.current != nil {
			endpoint = g.current.endpoint.ID
		}
		s.record("broken", g.routed.req, endpoint, fmt.Sprintf("the node stopped %s after the request arrived", time.Since(g.routed.req.Arrived).Round(time.Millisecond)))
	}
}

// otherNodeServes reports whether another node serves callers.
func (s *Server) otherNodeServes() bool {
	m := member.Of(s.cfg.Daemon.State())
	for _, p := range m.Serving() {
		if p.GetId() != m.Self().GetId() {
			return true
		}
	}
	return false
}
