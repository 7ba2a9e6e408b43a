package entry

import (
	"fmt"
	"math"
	"time"

	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/place"
	"github.com/plantaindeck/plantaindeck/speed"
	"github.com/plantaindeck/plantaindeck/table"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	gapSampleTime    = 50 * time.Millisecond  // shortest time of a sample of gaps; events that arrive in one read have no gap between them
	baselineInterval = 250 * time.Millisecond // between two computations of a service's medians
	growthStep       = 64                     // tokens; about half a second of a generation
	urgentShare      = 2                      // a less urgent prompt may take this part of the most urgent routes' objective
	minIdleSlow      = 125                    // hundredths; an engine on which this node runs nothing is reported only if it is this slow, to save bytes
)

// serviceBaseline is the baseline of a service's engines, as this node measured them.
type serviceBaseline struct {
	speed.Baseline
	at time.Time // when it was computed
}

// isTimed reports whether engines are measured and chosen by expected times for the request.
func (rr *routedRequest) isTimed() bool {
	return rr.route != nil && rr.service.Engine != nil && (rr.route.LatencyObjective > 0 || rr.route.GapObjective > 0)
}

// baseline returns the medians of a service's engines.
func (t *usageTracker) baseline(now time.Time, service string) speed.Baseline {
	b, known := t.baselines[service]
	if known && now.Sub(b.at) < baselineInterval {
		return b.Baseline
	}
	var list []speed.Estimate
	for _, st := range t.endpoints {
		if st.service == service {
			list = append(list, st.speed)
		}
	}
	b = serviceBaseline{speed.Median(now, list), now}
	t.baselines[service] = b
	return b.Baseline
}

// running returns the number of requests on an endpoint from all nodes.
func (t *usageTracker) running(view *fleet.View, id string) int {
	n := view.RemoteUsage(id).Requests
	if st, ok := t.endpoints[id]; ok {
		n += st.requests
	}
	return n
}

// measure takes the samples that an event of the generation gives: of the prefill rate at the
// first event after a placement, else of the time between events. Call it before the event
// is counted. The mutex is held.
func (g *generation) measure(now time.Time, view *fleet.View, seg *segment) {
	t, service := g.server.usage, g.routed.service
	st := t.stats(seg.endpoint.ID)
	st.service = service.Name
	switch since := now.Sub(seg.gapsFrom); {
	case seg.events == 0:
		if g.promptPending {
			st.speed = st.speed.WithPrefill(now, t.baseline(now, service.Name), now.Sub(g.placedAt), g.pendingAtPlacement)
			st.addPrefixes(now, g.prefixes)
		}
		seg.gapsFrom, seg.gapEvents = now, 0
	default:
		seg.gapEvents++
		if since < gapSampleTime {
			return
		}
		tokens := seg.gapEvents * max(service.Engine.TokensPerEvent, 1)
		st.speed = st.speed.WithGap(now, t.baseline(now, service.Name), since, tokens, t.running(view, seg.endpoint.ID))
		seg.gapsFrom, seg.gapEvents = now, 0
	}
}

// grow adds to the usage what the generation holds beyond its expected KV cache. Load
// pattern: generations that outlive their expected output would fill an engine that looks
// half empty, until it preempts some. The mutex is held.
func (g *generation) grow(now time.Time, seg *segment) {
	if !g.routed.isTimed() {
		return
	}
	produced := (seg.eventsBefore + seg.events) * max(g.routed.service.Engine.TokensPerEvent, 1)
	beyond := g.routed.req.PromptTokens + produced - g.tokens
	if beyond <= seg.grown {
		return
	}
	// In steps, as each change of the usage is sent to the load group.
	grown := (beyond + growthStep - 1) / growthStep * growthStep
	g.server.usage.add(now, seg.endpoint.ID, usage{tokens: grown - seg.grown})
	seg.grown = grown
}

// addSpeed adds what this node measured of an engine to the message for the load group.
func (t *usageTracker) addSpeed(now time.Time, st *endpointStats, u *wire.Use) {
	if !st.speed.Known(now) {
		return
	}
	b := t.baseline(now, st.service)
	u.Slow = uint32(math.Round(st.speed.Slow(now, b) * 100))
	u.Prefill = uint32(math.Round(st.speed.PrefillRate(now, b)))
}

// speedOf returns the slow factor and the prefill rate of an engine, each the mean of what
// this node and others measured, or 0 if none did.
func (t *usageTracker) speedOf(now time.Time, id string, remote fleet.EndpointUsage) (slow, rate float64) {
	slowNodes, rateNodes := remote.SlowNodes, remote.PrefillNodes
	slow, rate = float64(remote.Slow)/100, float64(remote.Prefill)
	if st, ok := t.endpoints[id]; ok {
		b := t.baseline(now, st.service)
		if own := st.speed.Slow(now, b); own > 0 {
			slow, slowNodes = slow+own, slowNodes+1
		}
		if own := st.speed.PrefillRate(now, b); own > 0 {
			rate, rateNodes = rate+own, rateNodes+1
		}
	}
	return slow / float64(max(slowNodes, 1)), rate / float64(max(rateNodes, 1))
}

// slowFactors returns the largest and the median slow factor of the engines that this node
// has measured, or 0 if it has measured none.
func (s *Server) slowFactors(now time.Time) (slowest, median float64) {
	view := s.view()
	s.mu.Lock()
	defer s.mu.Unlock()
	var factors []float64
	for id, st := range s.usage.endpoints {
		if !st.speed.Known(now) {
			continue
		}
		if f, _ := s.usage.speedOf(now, id, view.RemoteUsage(id)); f > 0 {
			factors = append(factors, f)
			slowest = max(slowest, f)
		}
	}
	return slowest, speed.MedianOf(factors)
}

// addSpeeds sets the speeds of the engines. Those that nobody has measured count as the
// median of the others.
func (t *usageTracker) addSpeeds(now time.Time, view *fleet.View, sel selection, candidates []place.Candidate) {
	for i := range candidates {
		c := &candidates[i]
		c.SlowFactor, c.PrefillRate = t.speedOf(now, c.ID, view.RemoteUsage(c.ID))
		if st, ok := t.endpoints[c.ID]; ok {
			c.CachedPrompt = st.cachedPrompt(now, sel.prefixes)
		}
	}
	place.AssumeMedian(candidates)
	b := t.baseline(now, sel.service.Name)
	for i := range candidates {
		c := &candidates[i]
		event := b.TokenTime(c.Requests+1) * time.Duration(max(sel.service.Engine.TokensPerEvent, 1))
		c.Gap = time.Duration(float64(event) * c.SlowFactor)
	}
}

// preferSteady removes the engines whose expected time between events exceeds the request's
// objective, unless all do.
func preferSteady(n place.Need, endpoints []fleet.Endpoint, candidates []place.Candidate) ([]fleet.Endpoint, []place.Candidate) {
	if n.MaxGap == 0 {
		return endpoints, candidates
	}
	var steady []fleet.Endpoint
	var kept []place.Candidate
	for i, c := range candidates {
		if !place.SlowGap(n, c) {
			steady, kept = append(steady, endpoints[i]), append(kept, c)
		}
	}
	if len(kept) == 0 {
		return endpoints, candidates
	}
	return steady, kept
}

// timing returns what the generation needs of an engine's speed. A generation whose caller
// has events has met its objective or missed it.
func (g *generation) timing(now time.Time, t *table.Table) place.Timing {
	rr := g.routed
	if !rr.isTimed() {
		return place.Timing{}
	}
	need := place.Timing{Prompt: rr.req.PromptTokens, MaxGap: rr.route.GapObjective}
	if rr.route.LatencyObjective > 0 && g.events == 0 && rr.req.LastEventID == "" {
		need.TimeLeft = max(rr.req.Arrived.Add(rr.route.LatencyObjective).Sub(now), 0)
	}
	if u, ok := t.MostUrgent(rr.service.Name); ok && u.Priority < rr.priority {
		need.UrgentLimit = u.LatencyObjective / urgentShare
	}
	return need
}

// describeSpeed describes for the log the speed by which an engine was chosen, if it is known.
func describeSpeed(c place.Candidate, first time.Duration) string {
	if c.PrefillRate == 0 && c.SlowFactor == 0 {
		return ""
	}
	return fmt.Sprintf(", the first event expected after %s (0s: unknown), speed factor %.2f", first.Round(time.Millisecond), c.SlowFactor)
}
