package entry

import (
	"fmt"
	"strconv"
	"time"

	"github.com/plantaindeck/plantaindeck/fleet"
)

const (
	brittleCheck   = 20 * time.Millisecond  // after which a slot of a brittle endpoint may have become free
	brittleTTL     = 10 * time.Second       // for which an endpoint counts as brittle after its last response that said so
	minFullRest    = 500 * time.Millisecond // for which a brittle endpoint that has rejected a request gets none
	maxFullRest    = 5 * time.Second
	fullRestMargin = 2.0 // by which the nodes together stay below the rejections that the endpoint survives
	slotWaitShare  = 2   // a request to a plain service waits for a slot for the latency objective divided by this
)

// BrittleError reports a statement of brittleness that cannot be used.
type BrittleError struct {
	Text string // as the endpoint sent it
}

// Error gives the value.
func (e *BrittleError) Error() string {
	return fmt.Sprintf("%q is not a number of requests; the endpoint is taken to survive none", e.Text)
}

// parseBrittle returns how many requests a brittle endpoint survives to reject in a second. With
// a *BrittleError it is 0.
func parseBrittle(text string) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, &BrittleError{Text: text}
	}
	return n, nil
}

// brittleness is what an endpoint has said to this node about the requests that it rejects for
// want of room. Load pattern: an endpoint falls over when it has to reject many requests in a
// second. Requests that the nodes place at the same time, their retries and those that wait in
// its queue add up to more than it has room for, while each node sees only a part of them. So the
// nodes divide the slots of a brittle endpoint, and after a rejection it gets no requests from any
// node for a while.
type brittleness struct {
	statedAt  time.Time // when a response last said so; zero if the last one did not
	since     time.Time // when this node learned it
	fullUntil time.Time // until then it gets no requests from this node
}

// states reports whether the endpoint counts as brittle by what it has said to this node.
func (b brittleness) states(now time.Time) bool {
	return !b.statedAt.IsZero() && now.Sub(b.statedAt) < brittleTTL
}

// full reports whether the endpoint has rejected a request of this node a moment ago.
func (b brittleness) full(now time.Time) bool { return now.Before(b.fullUntil) }

// withStatement returns the brittleness after a response that said that the endpoint is
// brittle. If the response was a rejection, it rests so long that the given number of nodes,
// which all do so, get fewer rejections than it survives.
func (b brittleness) withStatement(now time.Time, survives int, rejected bool, nodes int) brittleness {
	if !b.states(now) {
		b.since = now
	}
	b.statedAt = now
	if rejected {
		rest := maxFullRest
		if survives > 0 {
			rest = time.Duration(fullRestMargin * float64(nodes) / float64(survives) * float64(time.Second))
		}
		b.fullUntil = now.Add(min(max(rest, minFullRest), maxFullRest))
	}
	return b
}

// withoutStatement returns the brittleness after a response that did not say so to a request
// sent at sentAt. Responses overtake each other, so that one to an earlier request is ignored.
func (b brittleness) withoutStatement(sentAt time.Time) brittleness {
	if sentAt.Before(b.since) {
		return b
	}
	return brittleness{}
}

// heedBrittle notes what a response to a request sent at sentAt says about the brittleness of
// the endpoint.
func (s *Server) heedBrittle(now time.Time, e fleet.Endpoint, v Verdict, sentAt time.Time) {
	survives, err := 0, error(nil)
	if v.Brittle != "" {
		survives, err = parseBrittle(v.Brittle)
	}
	nodes := max(len(s.view().LoadGroup().Nodes()), 1)
	s.mu.Lock()
	st := s.usage.stats(e.ID)
	before := st.brittle
	if v.Brittle == "" {
		st.brittle = before.withoutStatement(sentAt)
	} else {
		st.brittle = before.withStatement(now, survives, v.NotRun && !v.Leaving, nodes)
	}
	after := st.brittle
	began := after.states(now) && !before.states(now)
	s.usage.changed = s.usage.changed || began || after.full(now) != before.full(now)
	s.mu.Unlock()
	switch {
	case began && err != nil:
		s.recordEndpoint("brittle-invalid", e.ID, err.Error())
	case began:
		s.recordEndpoint("brittle", e.ID, fmt.Sprintf("it survives to reject %d requests in a second and gets no more than it has slots", survives))
	case before.states(now) && !after.states(now):
		s.recordEndpoint("brittle-end", e.ID, "it does not say that it is brittle any more")
	}
	if after.full(now) && !before.full(now) {
		s.recordEndpoint("full", e.ID, fmt.Sprintf("it is brittle, rejected a request, and gets none for %s", after.fullUntil.Sub(now).Round(time.Millisecond)))
	}
}

// isBrittle reports whether an endpoint has said to any node that it is brittle.
func (t *usageTracker) isBrittle(now time.Time, view *fleet.View, id string) bool {
	st, known := t.endpoints[id]
	return known && st.brittle.states(now) || view.RemoteUsage(id).Brittle > 0
}

// brittleWait returns how long an endpoint takes no request from this node because it is
// brittle: while this node's share of its slots is in use, while it is full, and as long as nodes whose usage this
// one does not know place requests there.
func (t *usageTracker) brittleWait(now time.Time, view *fleet.View, e fleet.Endpoint) time.Duration {
	if !t.isBrittle(now, view, e.ID) {
		return 0
	}
	remote := view.RemoteUsage(e.ID)
	local, full := 0, time.Duration(0)
	if st, known := t.endpoints[e.ID]; known {
		local = st.requests
		full = max(st.brittle.fullUntil.Sub(now), 0)
	}
	switch {
	case full > 0:
		return full
	case remote.Full > 0:
		return minFullRest
	case !view.LoadGroup().Covers(e):
		return maxFullRest
	case local >= view.SlotShare(e) || local+remote.Requests >= e.Slots:
		return brittleCheck
	}
	return 0
}

// slotWait returns how long a request to a plain service may wait for a slot of a brittle
// endpoint.
func (rr *routedRequest) slotWait() time.Duration {
	return max(rr.route.LatencyObjective/slotWaitShare, minRoomWait)
}
