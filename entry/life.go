package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/table"
)

const (
	defaultWait = 60 * time.Second      // of a caller and a route that name no limit
	tokenTime   = 10 * time.Millisecond // of a token on an engine with a usual batch
	prefillTime = time.Second           // before the first token
	plainTime   = time.Second           // of a plain service's slower answers
)

// life is a request with what the table says of it.
type life struct {
	req       *Request
	route     *table.Route
	version   int64 // of the table that the route is from
	service   *table.Service
	workspace string
	priority  int
	deadline  time.Time
	sent      bool // an endpoint was handed the request and has not said that it did not run it
	tried     []string
}

// Finds the route and the holder of the key.
func (s *Server) admit(view *fleet.View, req *Request) (*life, *apierr.Error) {
	t := view.Table()
	host, _, _ := strings.Cut(req.Host, ":")
	route, ok := t.Match(host, req.Path)
	if !ok {
		return nil, apierr.NotRun(http.StatusNotFound, apierr.CodeNotFound, "no route for host %q and path %q", req.Host, req.Path)
	}
	l := &life{req: req, route: route, version: t.Version(), priority: route.Priority}
	if t.NeedsKey(route) {
		w, ok := t.Identify(req.Key)
		if !ok {
			return nil, apierr.NotRun(http.StatusUnauthorized, apierr.CodeUnauthorized, "the key belongs to no workspace")
		}
		l.workspace = w.Name
		if w.Ranked {
			l.priority = w.Priority
		}
	}
	s.mu.Lock()
	point := s.rand.Float64()
	until, lateUntil := s.until, s.lateUntil
	s.mu.Unlock()
	l.service, ok = t.Service(route.Service(point))
	if !ok {
		return nil, apierr.NotRun(http.StatusServiceUnavailable, apierr.CodeNoService, "route %q names no known service", route.Name).WithRetry(fullRetry)
	}
	wait := req.Wait
	if route.Timeout > 0 && (wait == 0 || route.Timeout < wait) {
		wait = route.Timeout
	}
	if wait == 0 {
		wait = defaultWait
	}
	l.deadline = req.Arrived.Add(wait)
	if !until.IsZero() && req.Arrived.Add(l.longest()).After(until) && (s.others() || req.Arrived.After(lateUntil)) {
		return nil, apierr.NotRun(http.StatusServiceUnavailable, apierr.CodeUnavailable, "this node is stopping").WithRetry(s.cfg.TTL)
	}
	return l, nil
}

// Returns how long the answer may take. Expected lengths are not good enough
// here: what is taken while the node stops must end before it does.
func (l *life) longest() time.Duration {
	if l.route.Kind != table.KindStream {
		return plainTime
	}
	return prefillTime + time.Duration(l.req.Output)*tokenTime
}

// Returns the expected number of output tokens.
func (l *life) output() int {
	if l.req.Hint > 0 && (l.req.Output == 0 || l.req.Hint < l.req.Output) {
		return l.req.Hint
	}
	return l.req.Output
}
