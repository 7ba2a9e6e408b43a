package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/place"
	"github.com/plantaindeck/plantaindeck/queue"
	"github.com/plantaindeck/plantaindeck/table"
)

// waitingGeneration returns a generation on a route with the given priority and objective
// that arrives at the time now.
func waitingGeneration(id string, now time.Time, priority int, objective time.Duration) *generation {
	route := &table.Route{Name: "r", Kind: table.KindStream, LatencyObjective: objective, Timeout: 20 * time.Second, Priority: priority}
	rr := &routedRequest{
		req:      &Request{ID: id, Arrived: now, PromptTokens: 3000, MaxOutputTokens: 100},
		route:    route,
		service:  engineService,
		priority: priority,
		deadline: now.Add(route.Timeout),
	}
	return &generation{routed: rr, tokens: 3100}
}

// TestTurnsOfANode guards against a request that takes the only free place while a more
// urgent one waits at the same node, and against places that stay empty after that.
func TestTurnsOfANode(t *testing.T) {
	n := startNetwork(t, 4, 2)
	view := fleet.Of(n.State(0))
	s := &Server{cfg: Config{Centre: member.Of(n.State(0)).Self().GetCentre()}, usage: newUsageTracker(), rand: rand.New(rand.NewPCG(1, 2))}
	now := time.Unix(1000, 0)
	for i, e := range view.Endpoints(engineService.Name) {
		s.usage.add(now, e.ID, usage{requests: 23 + i})
	}
	sel := selection{service: engineService, centre: s.cfg.Centre, need: place.Need{Tokens: 3100}, maxFill: place.MaxFillNew, use: usage{requests: 1, tokens: 3100}}
	draft := s.joinQueue(now, waitingGeneration("draft", now, 2, 4*time.Second))
	check := s.joinQueue(now, waitingGeneration("check", now.Add(time.Millisecond), 0, 1500*time.Millisecond))
	reserve := func(w *waiter) bool {
		_, _, ok := s.reserveInTurn(now, view, sel, w)
		return ok
	}
	qt.Assert(t, reserve(draft), qt.IsFalse)
	qt.Assert(t, s.countAhead(now, view, draft), qt.Equals, 1)
	qt.Assert(t, reserve(check), qt.IsTrue)
	s.leaveQueue(check)
	qt.Assert(t, draft.wake, qt.HasLen, 1)
	qt.Assert(t, reserve(draft), qt.IsFalse)
	s.usage.add(now, view.Endpoints(engineService.Name)[0].ID, usage{requests: -1})
	qt.Assert(t, reserve(draft), qt.IsTrue)
}

// TestShedding guards against a rejection while the forecast says that room comes in time
// or says nothing, and against a wait that cannot end well.
func TestShedding(t *testing.T) {
	now := time.Unix(1000, 0)
	begin := func(perSecond float64, others int, after time.Duration) (*Server, *waiter) {
		s := &Server{usage: newUsageTracker(), rand: rand.New(rand.NewPCG(1, 2))}
		for i := range others {
			s.rooms.service("model").waiters[&waiter{request: queue.Request{Priority: 1, Arrived: now, Objective: time.Hour, Tokens: 3100 + i}}] = true
		}
		w := s.joinQueue(now, waitingGeneration("w", now, 2, 4*time.Second))
		flow := queue.Flow{}
		for at := time.Duration(0); at < 6*time.Second; at += 100 * time.Millisecond {
			flow = flow.Add(now.Add(after+at-6*time.Second), queue.Load{Requests: perSecond / 10, Tokens: perSecond * 310})
		}
		s.rooms.service("model").freed = flow
		return s, w
	}
	for _, test := range []struct {
		name      string
		perSecond float64
		others    int
		after     time.Duration
		arrival   bool
		want      bool
		rejected  bool
	}{
		{"arrives, short queue", 5, 20, 0, true, false, false},
		{"arrives, hopeless queue", 5, 200, 0, true, true, true},
		{"arrives, nothing known", 0, 200, 0, true, false, false},
		{"waits on time in a hopeless queue", 5, 200, time.Second, false, false, false},
		{"late, short queue", 5, 20, 4 * time.Second, false, false, false},
		{"late, nothing known", 0, 20, 4 * time.Second, false, true, false},
		{"late, hopeless queue", 5, 200, 4 * time.Second, false, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, w := begin(test.perSecond, test.others, test.after)
			why, ended := s.whyShed(now.Add(test.after), &fleet.View{}, w, test.arrival)
			qt.Assert(t, ended, qt.Equals, test.want, qt.Commentf("%s", why.cause))
			qt.Assert(t, why.wait > 0, qt.Equals, test.rejected)
		})
	}
	t.Run("Retry-After", func(t *testing.T) {
		s, _ := begin(0, 0, 0)
		g := waitingGeneration("g", now, 2, 4*time.Second)
		for range 100 {
			err := s.rejectError(now, g.routed, 2*time.Second)
			qt.Assert(t, err.RetryAfter >= 2*time.Second && err.RetryAfter < 4*time.Second, qt.IsTrue)
			err = s.rejectError(now, g.routed, 15*time.Second)
			qt.Assert(t, err.RetryAfter, qt.Equals, g.routed.route.Timeout/3)
		}
	})
}

// TestCallerComesBack guards against a caller that loses its place by heeding Retry-After.
func TestCallerComesBack(t *testing.T) {
	now := time.Unix(1000, 0)
	g := waitingGeneration("g", now, 2, 4*time.Second)
	g.routed.req.CallerTimeout = 17 * time.Second
	s := &Server{}
	w := s.joinQueue(now, g)
	qt.Assert(t, w.request.Arrived, qt.Equals, now.Add(-3*time.Second))
	qt.Assert(t, w.request.Start, qt.Equals, now.Add(time.Second))
	qt.Assert(t, w.until, qt.Equals, now.Add(4*time.Second))
}

// TestShares guards against a workspace that keeps the others from a service under
// shortage, and against an order that depends on shares without one.
func TestShares(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &Server{}
	join := func(workspace string, arrived time.Time) *waiter {
		g := waitingGeneration(workspace, arrived, 2, 4*time.Second)
		g.routed.workspace = workspace
		return s.joinQueue(now, g)
	}
	large, small := join("large", now), join("small", now.Add(time.Millisecond))
	for w, tokens := range map[string]int{"large": 9000, "small": 3000} {
		s.rooms.addHeld(now.Add(-20*time.Second), &routedRequest{service: engineService, workspace: w}, tokens)
	}
	assertShares := func(now time.Time, first *waiter, share int) {
		sq := s.rooms.service("model")
		qt.Assert(t, sq.first(now, 1)[0], qt.Equals, first)
		qt.Assert(t, large.current(sq.shares(now)).Share, qt.Equals, share)
	}
	assertShares(now, large, 0)
	s.rooms.recordShortage(now, "model")
	assertShares(now, small, 150)
	assertShares(now.Add(shortageTime), large, 0)
}
