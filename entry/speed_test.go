package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/table"
)

// generationOn returns a generation of a timed route, placed on an engine with the given
// pending prompt.
func generationOn(s *Server, now time.Time, pending int) *generation {
	service := &table.Service{Name: "model", Engine: &table.Engine{Slots: 24, Memory: 34000, TokensPerEvent: 4}}
	rr := &routedRequest{service: service, route: &table.Route{LatencyObjective: time.Second}, req: &Request{PromptTokens: 1000}}
	return &generation{server: s, routed: rr, promptPending: true, placedAt: now, pendingAtPlacement: pending}
}

// run gives the generation its events on an engine: the first after the given time, the
// others with the given gap.
func run(s *Server, view *fleet.View, now time.Time, id string, first, gap time.Duration) time.Time {
	g, seg := generationOn(s, now, 3500), &segment{endpoint: fleet.Endpoint{ID: id}}
	now = now.Add(first)
	for range 60 {
		g.measure(now, view, seg)
		seg.events++
		now = now.Add(gap)
	}
	return now
}

// TestEnginesAreMeasured fails if events of generations do not show which engine is slow.
func TestEnginesAreMeasured(t *testing.T) {
	view := fleet.Of(startNetwork(t, 4, 3).State(0))
	s := &Server{usage: newUsageTracker()}
	start := time.Unix(1e9, 0)
	var now time.Time
	for range 3 {
		for id, factor := range map[string]time.Duration{"a": 2, "b": 2, "c": 5} {
			now = run(s, view, start, id, factor*250*time.Millisecond, factor*15*time.Millisecond)
		}
		start = now
	}
	now = start
	slow, rate := s.usage.speedOf(now, "c", fleet.EndpointUsage{})
	qt.Assert(t, slow > 1.8 && slow < 2.6, qt.IsTrue, qt.Commentf("%.2f", slow))
	qt.Assert(t, rate > 2500 && rate < 5000, qt.IsTrue, qt.Commentf("%.0f", rate))
	slow, _ = s.usage.speedOf(now, "c", fleet.EndpointUsage{Slow: 600, SlowNodes: 3})
	qt.Assert(t, slow > 1.9 && slow < 2.2, qt.IsTrue, qt.Commentf("mean with other nodes: %.2f", slow))
	slow, rate = s.usage.speedOf(now, "unknown", fleet.EndpointUsage{})
	qt.Assert(t, slow+rate, qt.Equals, 0.0)
}
