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
	defaultTimeout    = 60 * time.Second      // if neither the caller nor the route states one
	timePerToken      = 10 * time.Millisecond // of the output, on an engine with a typical batch
	prefillTime       = time.Second           // until the first token
	plainResponseTime = time.Second           // that a slow response of a plain service takes
)

// routedRequest is a request with its route, workspace and deadline.
type routedRequest struct {
	req          *Request
	route        *table.Route
	tableVersion int64 // of the table that the route is from
	service      *table.Service
	workspace    string
	priority     int // 0 is the most urgent
	deadline     time.Time
	mayHaveRun   bool     // an endpoint may have run the request
	tried        []string // ids of the endpoints that attempts were made at
	hash         uint64   // the same for requests that are alike
	traits       []uint64 // by which the request is known if it crashes endpoints
}

// routeRequest finds the route, the workspace of the key, the service and the
// deadline. While the node is stopping, it rejects requests that might not end
// in time.
func (s *Server) routeRequest(now time.Time, view *fleet.View, req *Request) (*routedRequest, *apierr.Error) {
	t := view.Table()
	host, _, _ := strings.Cut(req.Host, ":")
	route, ok := t.Match(host, req.Path)
	if !ok {
		return nil, apierr.NotRun(http.StatusNotFound, apierr.CodeNotFound, "no route for host %q and path %q", req.Host, req.Path)
	}
	rr := &routedRequest{req: req, route: route, tableVersion: t.Version(), priority: route.Priority}
	if t.NeedsKey(route) {
		w, ok := t.Identify(req.APIKey)
		if !ok {
			return nil, apierr.NotRun(http.StatusUnauthorized, apierr.CodeUnauthorized, "the key belongs to no workspace")
		}
		rr.workspace = w.Name
		if w.HasPriority {
			rr.priority = w.Priority
		}
	}
	rr.hash = requestHash(rr)
	rr.traits = traitsOf(rr)
	s.mu.Lock()
	point := s.rand.Float64()
	s.mu.Unlock()
	rr.service, ok = t.Service(route.Service(point))
	if !ok {
		return nil, apierr.NotRun(http.StatusServiceUnavailable, apierr.CodeNoService, "route %q names no known service", route.Name).WithRetryAfter(unavailableRetryAfter)
	}
	timeout := req.CallerTimeout
	if route.Timeout > 0 && (timeout == 0 || route.Timeout < timeout) {
		timeout = route.Timeout
	}
	if timeout == 0 {
		timeout = defaultTimeout
	}
	rr.deadline = req.Arrived.Add(timeout)
	if !s.maySend(now, rr, 0) {
		return nil, s.stoppingError()
	}
	return rr, nil
}

// likelyEnd returns when the response will probably have ended if the request is sent to an
// endpoint at the time now, given the number of its events that the caller has. It uses the limit
// of the output tokens rather than the expected number, as a request that is accepted while the
// node stops must end before the node does.
func (rr *routedRequest) likelyEnd(now time.Time, events int) time.Time {
	switch {
	case rr.route.Kind != table.KindStream:
		return now.Add(plainResponseTime)
	case rr.req.MaxOutputTokens == 0:
		return rr.deadline
	}
	tokens := rr.req.MaxOutputTokens
	if e := rr.service.Engine; e != nil {
		tokens -= events * max(e.TokensPerEvent, 1)
	}
	return now.Add(prefillTime + time.Duration(max(tokens, 0))*timePerToken)
}

// expectedOutput returns the expected number of output tokens.
func (rr *routedRequest) expectedOutput() int {
	if rr.req.ExpectedOutputTokens > 0 && (rr.req.MaxOutputTokens == 0 || rr.req.ExpectedOutputTokens < rr.req.MaxOutputTokens) {
		return rr.req.ExpectedOutputTokens
	}
	return rr.req.MaxOutputTokens
}
