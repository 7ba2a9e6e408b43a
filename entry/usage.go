package entry

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/place"
	"github.com/plantaindeck/plantaindeck/speed"
	"github.com/plantaindeck/plantaindeck/table"
	"github.com/plantaindeck/plantaindeck/wire"
	"golang.org/x/time/rate"
)

const (
	outcomeDecayTime      = 2 * time.Second        // time in which the weight of an outcome falls to 1/e
	minConnectBackoff     = 500 * time.Millisecond // after a failed connection; doubles with each further one
	maxConnectBackoff     = 4 * time.Second
	maxConcurrentChoosers = 3                      // other nodes that are assumed to choose before their usage is known here
	minUnreachable        = 2                      // other nodes of the data centre that cannot reach an endpoint, from which this node backs off too
	priorSuccesses        = 1.0                    // credited to every endpoint, so that a failure among few requests weighs less
	idleStatsTTL          = time.Minute            // from the end of its backoff until an unused endpoint is forgotten
	negligibleSuccesses   = 0.01                   // decayed count of successes below which an unused endpoint may be forgotten
	maxFullScan           = 64                     // endpoints of a service up to which a choice considers all
	outsideGroupDraws     = 16                     // random endpoints that a choice draws from larger services, to add those outside the load group
	outcomeScale          = 10                     // counts of outcomes are sent to other nodes in tenths
	outcomeReportInterval = 500 * time.Millisecond // between reports without a change of usage, as counts of outcomes decay
)

// usageTracker holds this node's local usage of each endpoint and the outcomes
// of its recent requests there.
type usageTracker struct {
	endpoints  map[string]*endpointStats
	baselines  map[string]serviceBaseline // of the engines' speeds, by service
	changed    bool                       // since the last report
	reportedAt time.Time                  // when the kernel was last given a report
}

// endpointStats is what the tracker holds of one endpoint.
type endpointStats struct {
	usage
	successes       float64 // decayed count of successes
	failures        float64 // decayed count of failures
	decayedAt       time.Time
	connectFailures int       // consecutive ones
	lostAt          time.Time // when the first of them happened
	backoffUntil    time.Time // until then the endpoint is chosen only if there is no other
	restUntil       time.Time // until then the endpoint wants no requests from this node
	brittle         brittleness
	speed           speed.Estimate
	prefixes        map[uint64]time.Time // when the endpoint last prefilled a prompt that began with these parts, by their hash
	service         string               // of the engine that speed describes
	limiter         *rate.Limiter        // keeps this node's share of the endpoint's rate limit; nil if it has had none
}

// toWire returns the message that tells other nodes of the usage and outcomes.
func (st *endpointStats) toWire(now time.Time, id string) *wire.Use {
	u := fleet.EndpointUsage{
		Requests:      max(st.requests, 0),
		Tokens:        max(st.tokens, 0),
		PendingPrompt: max(st.prompt, 0),
		Successes:     int(st.successes * outcomeScale),
		Failures:      int(st.failures * outcomeScale),
	}
	w := u.Wire(id)
	w.Unreachable = now.Before(st.backoffUntil)
	w.Brittle, w.Full = st.brittle.states(now), st.brittle.full(now)
	return w
}

// usage is what this node runs on an endpoint, or a change of that.
type usage struct {
	requests int
	tokens   int // KV cache that the requests are expected to need, in tokens
	prompt   int // pending prompt: tokens that the engine has not prefilled yet
}

func newUsageTracker() *usageTracker {
	return &usageTracker{endpoints: map[string]*endpointStats{}, baselines: map[string]serviceBaseline{}}
}

// stats returns the stats of an endpoint and creates them if there are none.
func (t *usageTracker) stats(id string) *endpointStats {
	st, ok := t.endpoints[id]
	if !ok {
		st = &endpointStats{}
		t.endpoints[id] = st
	}
	return st
}

func (t *usageTracker) add(now time.Time, id string, u usage) {
	st := t.stats(id)
	st.requests += u.requests
	st.tokens += u.tokens
	st.prompt += u.prompt
	st.decay(now)
	t.changed = true
}

// decay reduces the counts of outcomes exponentially with the time since the last
// call.
func (st *endpointStats) decay(now time.Time) {
	if age := now.Sub(st.decayedAt); age > 0 {
		factor := math.Exp(-float64(age) / float64(outcomeDecayTime))
		st.successes *= factor
		st.failures *= factor
		st.decayedAt = now
	}
}

// recordOutcome counts a request that succeeded or failed. It reports whether the endpoint
// is reachable again.
func (t *usageTracker) recordOutcome(now time.Time, id string, ok bool) bool {
	st := t.stats(id)
	st.decay(now)
	if !ok {
		st.failures++
		t.changed = true
		return false
	}
	back := st.connectFailures > 0
	st.successes++
	st.connectFailures, st.backoffUntil = 0, time.Time{}
	return back
}

// recordUnreachable counts a connection that failed, or broke before a response, and
// starts a backoff. It reports whether the endpoint counted as reachable before.
func (t *usageTracker) recordUnreachable(now time.Time, id string) bool {
	st := t.stats(id)
	if now.Before(st.backoffUntil) {
		return false // of several connections that fail together, only the first counts
	}
	t.changed = true
	first := st.connectFailures == 0
	if first {
		st.lostAt = now
	}
	st.backoffUntil = now.Add(min(minConnectBackoff<<st.connectFailures, maxConnectBackoff))
	st.connectFailures = min(st.connectFailures+1, 8)
	return first
}

// unreachableCount returns the number of endpoints whose last connection failed.
func (t *usageTracker) unreachableCount() int {
	n := 0
	for _, st := range t.endpoints {
		if st.connectFailures > 0 {
			n++
		}
	}
	return n
}

func (t *usageTracker) inBackoff(now time.Time, id string) bool {
	st, ok := t.endpoints[id]
	return ok && now.Before(st.backoffUntil)
}

// setRest records that an endpoint wants no requests from this node until the given
// time.
func (t *usageTracker) setRest(id string, until time.Time) {
	st := t.stats(id)
	if until.After(st.restUntil) {
		st.restUntil = until
	}
}

// restLeft returns how much longer an endpoint wants no requests from this node.
func (t *usageTracker) restLeft(now time.Time, id string) time.Duration {
	st, ok := t.endpoints[id]
	if !ok {
		return 0
	}
	return max(st.restUntil.Sub(now), 0)
}

// failureRate returns the fraction of an endpoint's recent requests that failed.
// It includes the requests of other nodes, whose outcomes remote holds.
func (t *usageTracker) failureRate(now time.Time, id string, remote fleet.EndpointUsage) float64 {
	successes, failures := float64(remote.Successes)/outcomeScale, float64(remote.Failures)/outcomeScale
	if st, ok := t.endpoints[id]; ok {
		st.decay(now)
		successes += st.successes
		failures += st.failures
	}
	return failures / (successes + failures + priorSuccesses)
}

func (s *Server) addUsage(id string, u usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage.add(time.Now(), id, u)
}

func (s *Server) recordOutcome(id string, ok bool) {
	s.mu.Lock()
	back := s.usage.recordOutcome(time.Now(), id, ok)
	s.mu.Unlock()
	if back {
		s.recordEndpoint("reachable", id, fmt.Sprintf("a request was served there again; %d endpoints are unreachable", s.unreachableCount()))
	}
}

func (s *Server) recordUnreachable(id string, cause error) {
	s.mu.Lock()
	first := s.usage.recordUnreachable(time.Now(), id)
	s.mu.Unlock()
	if first {
		s.recordEndpoint("unreachable", id, fmt.Sprintf("%v; %d endpoints are unreachable", cause, s.unreachableCount()))
	}
}

func (s *Server) unreachableCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usage.unreachableCount()
}

// hasFullBurst reports whether a new limiter would allow no more than the present one.
func (st *endpointStats) hasFullBurst(now time.Time) bool {
	return st.limiter == nil || st.limiter.TokensAt(now) >= float64(st.limiter.Burst())
}

// usageReport returns the report of the local usage for the kernel, or false if
// none is due.
func (s *Server) usageReport(now time.Time) (kernel.LocalUsageReported, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting, queued, due := s.rooms.report(now)
	if !s.usage.changed && !due && now.Sub(s.usage.reportedAt) < outcomeReportInterval {
		return kernel.LocalUsageReported{}, false
	}
	s.usage.changed, s.usage.reportedAt = false, now
	report := kernel.LocalUsageReported{Pooled: map[string]uint32{}, Waiting: waiting, Queued: queued}
	for service, l := range s.retryLimiters {
		if n := l.Pooled(now); n > 0 {
			report.Pooled[service] = uint32(n)
		}
	}
	for id, st := range s.usage.endpoints {
		st.decay(now)
		u := st.toWire(now, id)
		s.usage.addSpeed(now, st, u)
		if st.requests > 0 || st.tokens > 0 || u.Bad > 0 || u.Brittle || u.Slow >= minIdleSlow {
			report.Uses = append(report.Uses, u)
		} else if st.successes < negligibleSuccesses && now.Sub(st.backoffUntil) > idleStatsTTL && now.After(st.restUntil) && st.hasFullBurst(now) && !st.speed.Known(now) {
			delete(s.usage.endpoints, id)
		}
	}
	return report, true
}

// selection describes the endpoint that a request needs.
type selection struct {
	service  *table.Service
	centre   string // data centre that is preferred
	need     place.Need
	maxFill  float64        // fraction of an engine's memory within which the request must fit; 0 if it need not fit
	version  *string        // that the endpoint must run; nil for any
	recorded bool           // if version is nil, the store's record must name the endpoint's version
	avoid    []string       // ids of endpoints that are not chosen
	use      usage          // added to the usage of the endpoint that is chosen
	prefixes []promptPrefix // of the prompt
	timed    bool           // the choice considers the speeds of engines
	// groupOnly restricts the choice to endpoints of the load group and those that no group
	// covers according to covering, if that is not nil.
	groupOnly bool
	covering  *fleet.Covering
}

// reserveEndpoint chooses a usable endpoint, adds the request to its usage and counts it
// against the endpoint's rate limit, unless sel adds no request. The
// candidate holds the load and failures by which the endpoint was chosen. Load
// pattern: requests that arrive together must not all take the same free slot, so
// the choice and the addition are one step.
func (s *Server) reserveEndpoint(now time.Time, view *fleet.View, sel selection) (fleet.Endpoint, place.Candidate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	endpoints, candidates := s.fittingCandidates(now, view, sel)
	i, ok := place.Choose(sel.need, candidates, min(view.PeerCount(), maxConcurrentChoosers), s.rand)
	if !ok {
		return fleet.Endpoint{}, place.Candidate{}, false
	}
	if sel.use.requests > 0 {
		s.usage.takeCall(now, view, endpoints[i].ID)
	}
	s.usage.add(now, endpoints[i].ID, sel.use.withoutCached(candidates[i]))
	return endpoints[i], candidates[i], true
}

// fittingCandidates returns the usable endpoints in which the request fits, and
// the candidate that describes each. The mutex is held.
func (s *Server) fittingCandidates(now time.Time, view *fleet.View, sel selection) ([]fleet.Endpoint, []place.Candidate) {
	var endpoints []fleet.Endpoint
	var candidates []place.Candidate
	usable := slices.DeleteFunc(s.usableEndpoints(now, view, sel), func(e fleet.Endpoint) bool { return !sel.allows(view, e) })
	all := make([]place.Candidate, len(usable))
	for i, e := range usable {
		all[i] = s.candidate(now, view, sel.service, e, sel.centre)
	}
	if sel.timed {
		s.usage.addSpeeds(now, view, sel, all)
	}
	for i, e := range usable {
		c := all[i]
		maxFill := sel.maxFill
		if s.usage.isBrittle(now, view, e.ID) {
			maxFill = min(maxFill, place.MaxFillNew)
		}
		if maxFill == 0 || place.Fits(sel.need, c, maxFill) {
			endpoints = append(endpoints, e)
			candidates = append(candidates, c)
		}
	}
	return preferSteady(sel.need, endpoints, candidates)
}

// consideredEndpoints returns the endpoints that a choice considers: all those
// of a service or, if there are many, those of the load group and a few random
// others, so that the cost of a choice does not grow with the deployment. Only endpoints whose
// version the selection allows are considered. The mutex is held.
func (s *Server) consideredEndpoints(view *fleet.View, sel selection) []fleet.Endpoint {
	all := withoutEvacuated(view, view.Endpoints(sel.service.Name))
	if sel.version != nil || sel.recorded {
		all = slices.DeleteFunc(slices.Clone(all), func(e fleet.Endpoint) bool { return !sel.allowsVersion(view, e) })
	}
	if len(all) <= maxFullScan {
		return all
	}
	group := view.LoadGroup()
	list := make([]fleet.Endpoint, 0, maxFullScan)
	for _, e := range all {
		if group.Covers(e) {
			list = append(list, e)
		}
	}
	for range outsideGroupDraws {
		if e := all[s.rand.IntN(len(all))]; !group.Covers(e) {
			list = append(list, e)
		}
	}
	return list
}

// usableEndpoints returns the considered endpoints that are neither leaving, nor to be avoided, and
// take requests from this node now: those that are not in backoff or, if all are, those in backoff. The
// mutex is held.
func (s *Server) usableEndpoints(now time.Time, view *fleet.View, sel selection) []fleet.Endpoint {
	var ready, inBackoff []fleet.Endpoint
	for _, e := range s.consideredEndpoints(view, sel) {
		switch {
		case e.Leaving || slices.Contains(sel.avoid, e.ID) || s.usage.closedFor(now, view, e) > 0:
		case s.usage.inBackoff(now, e.ID) || view.RemoteUsage(e.ID).Unreachable >= minUnreachable:
			inBackoff = append(inBackoff, e)
		default:
			ready = append(ready, e)
		}
	}
	if len(ready) == 0 {
		return inBackoff
	}
	return ready
}

func (s *Server) candidate(now time.Time, view *fleet.View, svc *table.Service, e fleet.Endpoint, centre string) place.Candidate {
	remote := view.RemoteUsage(e.ID)
	c := place.Candidate{
		ID:            e.ID,
		SameCentre:    e.Centre == centre,
		Stale:         !view.LoadGroup().Covers(e),
		Slots:         e.Slots,
		Requests:      remote.Requests,
		Tokens:        remote.Tokens,
		PendingPrompt: remote.PendingPrompt,
		FailureRate:   s.usage.failureRate(now, e.ID, remote),
	}
	if st, ok := s.usage.endpoints[e.ID]; ok {
		c.Requests += st.requests
		c.Tokens += st.tokens
		c.PendingPrompt += st.prompt
	}
	if svc.Engine != nil {
		c.Memory = svc.Engine.Memory
	}
	return c
}
