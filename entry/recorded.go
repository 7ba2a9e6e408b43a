package entry

import (
	"fmt"
	"slices"
	"time"

	"github.com/plantaindeck/plantaindeck/fleet"
)

// recordWait is the time for which no engine may run a version that the store's record names before
// requests that need one are rejected at once. Load pattern: in a release the last engines of the
// recorded version leave in the moment in which the record of the next one is written, which takes a
// few round trips. If the store accepts no writes, waiting longer gains nothing.
const recordWait = 500 * time.Millisecond

// UnrecordedError reports that no stream can begin at a service that its caller may take up again.
type UnrecordedError struct {
	Service string
	Version string // of the endpoint that was chosen; empty if none was
}

// Error names the version, or says that the record names none that is in use.
func (e *UnrecordedError) Error() string {
	if e.Version == "" {
		return fmt.Sprintf("the store's record of service %q names no version that an engine runs", e.Service)
	}
	return fmt.Sprintf("the store's record of service %q does not name version %q yet", e.Service, e.Version)
}

// runsRecorded reports whether an endpoint of a service that is not leaving runs a version that the
// store's record names.
func runsRecorded(view *fleet.View, service string) bool {
	return slices.ContainsFunc(view.Endpoints(service), func(e fleet.Endpoint) bool { return !e.Leaving && view.IsRecorded(e) })
}

// lacksRecord reports whether no endpoint of a service has run a version that the store's record names
// for recordWait, as far as requests have found out.
func (s *Server) lacksRecord(now time.Time, view *fleet.View, service string) bool {
	runs := runsRecorded(view, service)
	s.mu.Lock()
	defer s.mu.Unlock()
	since, lacks := s.unrecordedSince[service]
	switch {
	case runs:
		delete(s.unrecordedSince, service)
	case !lacks:
		s.unrecordedSince[service] = now
	}
	return !runs && lacks && now.Sub(since) >= recordWait
}

// endUnrecorded gives up the endpoint of the next attempt if the generation would begin a stream
// there that its caller may take up again, and the store's record does not name the endpoint's
// version. It reports whether it did.
func (g *generation) endUnrecorded(view *fleet.View) bool {
	if g.version != nil || !g.routed.route.Resumable || view.IsRecorded(g.endpoint) {
		return false
	}
	g.lastErr = &UnrecordedError{Service: g.endpoint.Service, Version: g.endpoint.Version}
	g.removeUsage(g.endpoint.ID)
	g.server.record("attempt-failed", g.routed.req, g.endpoint.ID, g.lastErr.Error())
	return true
}
