package entry

import (
	"math"
	"time"

	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/speed"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	gapSampleTime    = 50 * time.Millisecond  // shortest time of a sample of gaps; events that arrive in one read have no gap between them
	baselineInterval = 250 * time.Millisecond // between two computations of a service's medians
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
