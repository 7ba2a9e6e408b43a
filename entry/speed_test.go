package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/place"
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

// TestTiming fails if a generation without an objective, or one that has passed it, is kept
// from engines by time, or if the most urgent ones limit themselves.
func TestTiming(t *testing.T) {
	shares := []table.Share{{Service: "model", Weight: 1}}
	routes := []table.Route{
		{Name: "check", Host: "h", Prefix: "/c/", Kind: table.KindStream, LatencyObjective: 1500 * time.Millisecond, Shares: shares},
		{Name: "draft", Host: "h", Prefix: "/d/", Kind: table.KindStream, LatencyObjective: 4 * time.Second, Priority: 2, Shares: shares},
	}
	tab, now := table.New(table.Config{Routes: routes}), time.Unix(1e9, 0)
	timing := func(route table.Route, age time.Duration, events int) place.Timing {
		g := generationOn(nil, now, 0)
		g.routed.route, g.routed.priority, g.events = &route, route.Priority, events
		g.routed.req.Arrived = now.Add(-age)
		return g.timing(now, tab)
	}
	qt.Assert(t, timing(routes[0], time.Second, 0), qt.Equals, place.Timing{Prompt: 1000, TimeLeft: 500 * time.Millisecond})
	qt.Assert(t, timing(routes[1], time.Second, 0), qt.Equals, place.Timing{Prompt: 1000, TimeLeft: 3 * time.Second, UrgentLimit: 750 * time.Millisecond})
	qt.Assert(t, timing(routes[1], 5*time.Second, 0).TimeLeft, qt.Equals, time.Duration(0))
	qt.Assert(t, timing(routes[1], time.Second, 3).TimeLeft, qt.Equals, time.Duration(0))
	qt.Assert(t, timing(table.Route{}, 0, 0), qt.Equals, place.Timing{})
}

// TestSteadyEnginesFirst fails if an engine whose events come too slowly is chosen while
// others fit, or if nothing is chosen when all are too slow.
func TestSteadyEnginesFirst(t *testing.T) {
	need := place.Need{Timing: place.Timing{MaxGap: 180 * time.Millisecond}}
	endpoints := []fleet.Endpoint{{ID: "a"}, {ID: "b"}}
	gaps := []place.Candidate{{Gap: 200 * time.Millisecond}, {Gap: 40 * time.Millisecond}}
	kept, _ := preferSteady(need, endpoints, gaps)
	qt.Assert(t, kept, qt.HasLen, 1)
	qt.Assert(t, kept[0].ID, qt.Equals, "b")
	kept, _ = preferSteady(need, endpoints[:1], gaps[:1])
	qt.Assert(t, kept, qt.HasLen, 1)
}

// TestLongGenerationGrows fails if a generation that outlives its expected output counts with
// its expected size only, or if its growth stays in the usage after its end.
func TestLongGenerationGrows(t *testing.T) {
	s := &Server{usage: newUsageTracker()}
	g, seg := generationOn(s, time.Unix(1e9, 0), 0), &segment{endpoint: fleet.Endpoint{ID: "a"}}
	g.tokens = 1100 // the prompt and 25 events
	tokensAfter := func(events int) int {
		seg.events = events
		g.grow(time.Unix(1e9, 0), seg)
		return s.usage.stats("a").tokens
	}
	qt.Assert(t, tokensAfter(25), qt.Equals, 0)
	qt.Assert(t, tokensAfter(26), qt.Equals, growthStep)
	qt.Assert(t, tokensAfter(25+growthStep/4), qt.Equals, growthStep)
	qt.Assert(t, tokensAfter(100), qt.Equals, 320)
	g.endSegment(seg)
	qt.Assert(t, s.usage.stats("a").tokens, qt.Equals, 0)
}

// TestCachedPartsAreCredited fails if an engine that has just run the first parts of a prompt
// counts as if it had to prefill them again, or is credited with parts of another prompt.
func TestCachedPartsAreCredited(t *testing.T) {
	now := time.Unix(1e9, 0)
	prefixes := func(tokens []int, parts ...string) []promptPrefix {
		return promptPrefixes(&Request{PromptTokens: 1000, PromptParts: parts, PartTokens: tokens})
	}
	var st endpointStats
	sizes := []int{300, 400, 500}
	st.addPrefixes(now, prefixes(sizes, "a", "b", "c"))
	qt.Assert(t, st.cachedPrompt(now, prefixes(sizes, "a", "b", "d")), qt.Equals, 700)
	qt.Assert(t, st.cachedPrompt(now, prefixes(sizes, "a", "b", "c")), qt.Equals, 1000)
	qt.Assert(t, st.cachedPrompt(now, prefixes(sizes, "b", "a", "c")), qt.Equals, 0)
	qt.Assert(t, st.cachedPrompt(now, prefixes(nil, "a", "b")), qt.Equals, 0)
	qt.Assert(t, st.cachedPrompt(now.Add(prefixTTL), prefixes(sizes, "a")), qt.Equals, 0)
	for i := range 2 * maxPrefixes {
		st.addPrefixes(now, []promptPrefix{{hash: uint64(i)}})
	}
	qt.Assert(t, len(st.prefixes) <= maxPrefixes, qt.IsTrue)
	qt.Assert(t, usage{prompt: 1000}.withoutCached(place.Candidate{CachedPrompt: 700}), qt.Equals, usage{prompt: 300})
}
