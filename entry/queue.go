package entry

import (
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/place"
	"github.com/plantaindeck/plantaindeck/queue"
	"github.com/plantaindeck/plantaindeck/table"
	"github.com/plantaindeck/plantaindeck/trace"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	maxWoken              = 4                      // generations of a service that look for room at once when a place may have become free
	maxReportedWaiting    = 8                      // generations of a service that the kernel is told of
	waitingReportInterval = 100 * time.Millisecond // between two reports while generations wait
	firstEventWeight      = 1.0 / 16               // of a new sample in the expected time to the first event
	continuedAge          = 5                      // a generation that its caller has a part of is ordered as if it had waited its objective times this, which counts as starving
	retryAfterPart        = 3                      // Retry-After is at most the caller's time left divided by this
)

// roomQueue holds the generations that wait for room at this node, and what the forecast
// of their waiting times needs. Load pattern: in a burst, hundreds of generations wait at
// a node, and each place that is freed must go to the one that needs it first.
type roomQueue struct {
	mu         sync.Mutex
	services   map[string]*serviceQueue
	reportedAt time.Time // when the kernel was last told of waiting generations
	reported   bool      // some waited then
}

// serviceQueue holds the generations that wait for room on the engines of a service.
type serviceQueue struct {
	waiters     map[*waiter]bool
	freed       queue.Flow               // load that this node has freed on engines that stay
	uses        map[string]*workspaceUse // by workspace
	shortUntil  time.Time                // until then the shares of workspaces count
	firstEvents map[int]time.Duration    // expected time from the placement to the first event, by priority
}

// waiter is a generation that waits for room.
type waiter struct {
	service   string
	workspace string
	request   queue.Request
	useful    time.Time     // latest start that is of use to the caller, late or not
	until     time.Time     // until when it waits whatever the forecast says
	fresh     bool          // it has not run, so that it may be rejected
	wake      chan struct{} // receives when a place may have become free
}

// service returns the queue of a service. The mutex is held.
func (q *roomQueue) service(name string) *serviceQueue {
	sq, ok := q.services[name]
	if !ok {
		sq = &serviceQueue{waiters: map[*waiter]bool{}, firstEvents: map[int]time.Duration{}, uses: map[string]*workspaceUse{}}
		if q.services == nil {
			q.services = map[string]*serviceQueue{}
		}
		q.services[name] = sq
	}
	return sq
}

// length returns the number of generations that wait at this node.
func (q *roomQueue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, sq := range q.services {
		n += len(sq.waiters)
	}
	return n
}

// wake lets the first generations that wait for the service look for room again, or those
// of each service if the name is empty. The others look at the latest after
// roomCheckInterval: waking all of them at each change costs more than it gains, since
// rarely more than a few places become free at once.
func (q *roomQueue) wake(now time.Time, service string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, sq := range q.services {
		if service == "" || name == service {
			for _, w := range sq.first(now, maxWoken) {
				select {
				case w.wake <- struct{}{}:
				default: // it has been woken already
				}
			}
		}
	}
}

// first returns the first n generations in their order. The mutex is held.
func (sq *serviceQueue) first(now time.Time, n int) []*waiter {
	shares := sq.shares(now)
	list := slices.SortedFunc(maps.Keys(sq.waiters), func(a, b *waiter) int {
		return queue.Compare(now, a.current(shares), b.current(shares))
	})
	return list[:min(n, len(list))]
}

// report returns the first waiting generations of each service for the kernel, their number
// in all, and whether a report about them is due.
func (q *roomQueue) report(now time.Time) (list []*wire.Waiting, total uint32, due bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, sq := range q.services {
		total += uint32(len(sq.waiters))
		shares := sq.shares(now)
		for _, w := range sq.first(now, maxReportedWaiting) {
			list = append(list, fleet.EncodeWaiting(now, name, w.workspace, w.current(shares)))
		}
	}
	due = total > 0 && now.Sub(q.reportedAt) >= waitingReportInterval || (total > 0) != q.reported
	if due {
		q.reportedAt, q.reported = now, total > 0
	}
	return list, total, due
}

// addFreed records that a generation has freed its place, and wakes those that wait.
func (q *roomQueue) addFreed(now time.Time, service string, tokens int) {
	q.mu.Lock()
	sq := q.service(service)
	sq.freed = sq.freed.Add(now, queue.Load{Requests: 1, Tokens: float64(tokens)})
	q.mu.Unlock()
	q.wake(now, service)
}

// notifyFreed records that a generation no longer runs on an engine. Places on engines that
// leave are of no use to others, and an engine that refused the generation gave it none.
func (s *Server) notifyFreed(g *generation, id string) {
	s.rooms.addHeld(time.Now(), g.routed, -g.tokens)
	if e, ok := s.view().Endpoint(id); ok && !e.Leaving && g.events > 0 {
		s.rooms.addFreed(time.Now(), e.Service, g.tokens)
	}
}

// addFirstEvent records how long a generation took from its placement to its first event.
func (q *roomQueue) addFirstEvent(service string, priority int, took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	sq := q.service(service)
	if old, known := sq.firstEvents[priority]; known {
		took = old + time.Duration(float64(took-old)*firstEventWeight)
	}
	sq.firstEvents[priority] = took
}

// firstEvent returns the expected time from the placement of a generation to its first
// event, 0 if that is unknown. At most half of the objective is returned, since a request
// with less time to wait would not be placed ahead of others.
func (q *roomQueue) firstEvent(service string, priority int, objective time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return min(q.service(service).firstEvents[priority], objective/2)
}

// joinQueue adds the generation to the queue of its service. It returns nil if the
// generation does not queue: its route has no objective, or its service no engines.
func (s *Server) joinQueue(now time.Time, g *generation) *waiter {
	rr := g.routed
	objective := rr.route.LatencyObjective
	if rr.route.Kind != table.KindStream || objective <= 0 || rr.service.Engine == nil {
		return nil
	}
	name := rr.service.Name
	prefill := s.rooms.firstEvent(name, rr.priority, objective)
	r := queue.Request{ID: rr.req.ID, Priority: rr.priority, Arrived: rr.firstArrival(), Objective: objective, Tokens: g.tokens, Prompt: rr.req.PromptTokens}
	if g.version != nil {
		r.Arrived = now.Add(-continuedAge * objective)
	}
	r.Start = r.Arrived.Add(objective - prefill)
	w := &waiter{service: name, workspace: rr.workspace, request: r, until: now.Add(rr.roomWait()), fresh: !rr.mayHaveRun && g.version == nil, wake: make(chan struct{}, 1)}
	if w.fresh {
		w.until = later(w.until, r.Start)
		w.useful = later(w.until, rr.deadline.Add(-prefill-time.Duration(rr.expectedOutput())*timePerToken))
	}
	s.rooms.mu.Lock()
	defer s.rooms.mu.Unlock()
	s.rooms.service(name).waiters[w] = true
	return w
}

// leaveQueue removes a generation from its queue and lets the others look for room, since
// one of them may be the next.
func (s *Server) leaveQueue(w *waiter) {
	if w == nil {
		return
	}
	s.rooms.mu.Lock()
	delete(s.rooms.service(w.service).waiters, w)
	s.rooms.mu.Unlock()
	s.rooms.wake(time.Now(), w.service)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// firstArrival returns when the request arrived or, if the caller seems to have come back
// after it was refused, when it arrived first: the caller's timeout is then that much
// shorter than the route's.
func (rr *routedRequest) firstArrival() time.Time {
	if rr.req.LastEventID == "" && rr.isCallerRetry() {
		return rr.req.Arrived.Add(rr.req.CallerTimeout - rr.route.Timeout)
	}
	return rr.req.Arrived
}

// waiting returns the request of w as it is ordered now, the others that wait for its
// service at this node and at the other nodes of the load group, and an estimate of the
// number of further ones that those have not told of.
func (s *Server) waiting(now time.Time, view *fleet.View, w *waiter) (own queue.Request, others []queue.Request, more int) {
	others, more = view.GroupWaiting(now, w.service)
	s.rooms.mu.Lock()
	defer s.rooms.mu.Unlock()
	sq := s.rooms.service(w.service)
	shares := sq.shares(now)
	for other := range sq.waiters {
		if other != w {
			others = append(others, other.current(shares))
		}
	}
	return w.current(shares), others, more
}

// reserveInTurn is reserveEndpoint for a generation that waits in the queue, unless w is
// nil: it takes a place only if the requests ahead leave it one. The queue is read only if
// there is a place, since all waiting generations look for one at short intervals.
func (s *Server) reserveInTurn(now time.Time, view *fleet.View, sel selection, w *waiter) (fleet.Endpoint, place.Candidate, bool) {
	if w == nil {
		return s.reserveEndpoint(now, view, sel)
	}
	rooms := s.freeRooms(now, view, sel)
	if len(rooms) == 0 {
		return fleet.Endpoint{}, place.Candidate{}, false
	}
	own, others, _ := s.waiting(now, view, w)
	d := queue.Turn(now, own, others, rooms)
	if !d.Go {
		return fleet.Endpoint{}, place.Candidate{}, false
	}
	if d.Reserved != "" {
		sel.avoid = append(sel.avoid[:len(sel.avoid):len(sel.avoid)], d.Reserved)
	}
	return s.reserveEndpoint(now, view, sel)
}

// countAhead returns the number of requests, as far as this node knows them, that go
// before w.
func (s *Server) countAhead(now time.Time, view *fleet.View, w *waiter) int {
	own, others, _ := s.waiting(now, view, w)
	return len(queue.Ahead(now, own, others))
}

// freeRooms returns what the engines have free in which a generation fits.
func (s *Server) freeRooms(now time.Time, view *fleet.View, sel selection) []queue.Room {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, candidates := s.fittingCandidates(now, view, sel)
	rooms := make([]queue.Room, len(candidates))
	for i, c := range candidates {
		rooms[i] = queue.Room{Endpoint: c.ID, Slots: c.Slots - c.Requests, Tokens: math.MaxInt}
		if c.Memory > 0 {
			rooms[i].Tokens = int(sel.maxFill*float64(c.Memory)) - c.Tokens
		}
	}
	return rooms
}

// forecast returns how long w is expected to wait for room, or false if too few places
// have been freed of late to tell. Half of the requests that other nodes have not told of
// count as ahead, as large as w, since nothing is known of their order.
func (s *Server) forecast(now time.Time, view *fleet.View, w *waiter) (time.Duration, bool) {
	request, others, more := s.waiting(now, view, w)
	ahead := queue.Load{}.Plus(queue.Ahead(now, request, others)...)
	ahead.Requests += float64(more) / 2
	ahead.Tokens += float64(more*w.request.Tokens) / 2
	s.rooms.mu.Lock()
	own, known := s.rooms.service(w.service).freed.PerSecond(now)
	s.rooms.mu.Unlock()
	group, groupKnown := view.GroupFreed(w.service).PerSecond(now)
	if !known && !groupKnown {
		return 0, false
	}
	return queue.Wait(ahead, w.request, queue.Load{Requests: own.Requests + group.Requests, Tokens: own.Tokens + group.Tokens}), true
}

// shed is why a generation stops waiting for room.
type shed struct {
	cause string
	wait  time.Duration // that the forecast expects; 0 for none
}

// whyShed returns why a waiting generation without room must not wait on, or false if it
// may. It waits at least until its latest start, unless the forecast at arrival says that
// it would get room only when that is of no use. After that it waits while the forecast
// says that it will get room in time to be of use.
func (s *Server) whyShed(now time.Time, view *fleet.View, w *waiter, arrival bool) (shed, bool) {
	isLate := !now.Before(w.until)
	if !isLate && !arrival {
		return shed{}, false
	}
	if !w.fresh {
		return shed{cause: "the time to wait for room is over"}, isLate
	}
	expected, known := s.forecast(now, view, w)
	if isLate || known && now.Add(expected).After(w.request.Start) {
		s.rooms.recordShortage(now, w.service)
	}
	switch {
	case known && now.Add(expected).After(w.useful):
		return shed{cause: fmt.Sprintf("room is expected in %s, of use only within %s", expected.Round(time.Millisecond), w.useful.Sub(now).Round(time.Millisecond)), wait: max(expected, time.Millisecond)}, true
	case !known && isLate:
		return shed{cause: "the latest start has passed without a forecast"}, true
	}
	return shed{}, false
}

// recordWait records the end of a wait for room.
func (s *Server) recordWait(rr *routedRequest, w *waiter, waited time.Duration, end string) {
	ahead := s.countAhead(time.Now(), s.view(), w)
	s.cfg.Daemon.Record(trace.Entry{Kind: "wait", Request: rr.req.ID, Workspace: rr.workspace, Routine: true, Detail: fmt.Sprintf("waited %s for room, with %d requests ahead at last: %s", waited.Round(time.Millisecond), ahead, end)})
}

// rejectError returns the error for a request that would get room too late, in the given
// time. Retry-After is that time, with jitter of as much, since the requests ahead have
// got room by then and those that were rejected together must not come back together.
func (s *Server) rejectError(now time.Time, rr *routedRequest, expected time.Duration) *apierr.Error {
	after := max(min(s.addJitter(expected), rr.deadline.Sub(now)/retryAfterPart), time.Millisecond)
	return apierr.NotRun(http.StatusServiceUnavailable, apierr.CodeUnavailable, "no endpoint of %q accepted the request: no engine has room, and room is expected in %s", rr.service.Name, expected.Round(time.Millisecond)).WithRetryAfter(after)
}
