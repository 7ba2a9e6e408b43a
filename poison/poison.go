// Package poison finds out which requests crash the endpoints that run them, and keeps
// requests like them from endpoints.
//
// It is a plug-in of the kernel. It knows a request by its traits, hashes of what others may
// have in common with it, such as the parts of its prompt, or the request itself when it comes
// again. When an endpoint crashes, each node tells all others the traits of its requests that
// ran there and had no output yet, also of those that nobody waits for any more. What the requests
// of several crashes share is quarantined: each node rejects requests that have it. Output clears the traits of a request, as those that
// crash endpoints never have any.
//
// Load pattern: requests that are alike in one trait only, or the same request again and again,
// come at all nodes. Each crashes the endpoint that runs it, which takes the requests of other
// callers with it, and several endpoints crash within a second. Sound requests share the other
// traits. Meanwhile endpoints crash for other causes too, alone or many at once.
//
// Invariants:
//   - A trait is suspected of a crash only if a request with it ran there without output, and no
//     request with it has had output since.
//   - Output at a node refutes only the crashes that the node knew, and quarantines that began before it.
//   - A process of an endpoint crashes once, however many nodes report it.
//   - A request that comes again is evidence against what it shares with others once, however
//     many endpoints crash under it.
//   - Of the traits that explain the same crashes, none is quarantined alone: a quarantine
//     holds all of those that one request has, and concerns requests that have them all.
//   - A quarantine is written to the platform's store, where it outlasts the nodes, and so are the
//     crashes that are evidence, with what is suspected of each and what no longer is.
//   - The memory is bounded by maxCrashes, maxRequests, maxTraits, maxCrashTraits, maxQuarantines
//     and maxEstablished.
package poison

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/owner"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	establishedTTL = time.Minute            // for which a trait is established at least after output
	joinTime       = 3 * time.Second        // after the start of a node in which it may not know which traits are established
	settleTime     = 150 * time.Millisecond // after the first report of a crash, in which the nodes report the requests that ran there
	judgeInterval  = time.Second            // between two judgements without a new crash
	crashTTL       = 5 * time.Minute        // for which a crash is evidence
	gossipInterval = time.Second            // between two messages with the quarantines, each to another neighbour
	minRestart     = time.Second            // between two crashes of an endpoint of which it is not known when its process started
	maxCrashes     = 64                     // that are evidence; older ones are dropped
	maxRequests    = 64                     // of one crash
	maxTraits      = 64                     // of one request that ran beside many others
	maxCrashTraits = 1 << 12                // of one crash, divided among its requests if that is more than maxTraits for each; requests with the most parts that the limits of callers allow have about 1,700
	maxEstablished = 1 << 14                // traits that had output in one establishedTTL
)

const (
	// JudgeTime is the time from a crash until it has been judged, in which a retry of a request
	// that Suspected tells is better held back.
	JudgeTime = settleTime + 3*kernel.TickInterval/2
	minHeld   = 2 // crashes from which a request is suspected
)

var handle kernel.Handle[*View]

func init() {
	handle = kernel.Register(kernel.Plugin[*View]{
		Name: "poison",
		Rank: 35,
		Init: func(kernel.Config) *View {
			return &View{outputs: immutable.NewMap[string, int](nil), recent: newTraits(), older: newTraits()}
		},
		Step: step,
	})
}

// Of returns the View in s.
func Of(s kernel.State) *View {
	return handle.Of(s)
}

// traitMap holds, for traits that requests with output had, when the last of them was at this node; zero if
// that was at another node or before this one started.
type traitMap = immutable.Map[uint64, time.Time]

// outputMap counts requests by service.
type outputMap = immutable.Map[string, int]

func newTraits() *traitMap { return immutable.NewMap[uint64, time.Time](nil) }

// View is the state of the plug-in: the crashes that are evidence, the quarantines, and the
// traits that had output lately. It is immutable.
type View struct {
	crashes     []crash // oldest first
	quarantines quarantines
	startedAt   time.Time  // first Tick; zero before
	outputs     *outputMap // requests that have had output at this node, by service
	recent      *traitMap  // had output at this node since rotatedAt
	older       *traitMap  // had output at this node in the establishedTTL before
	rotatedAt   time.Time  // when recent became older
	gossipAt    time.Time  // when a neighbour was last told the quarantines
	gossips     int        // messages with the quarantines so far
	judgedAt    time.Time  // when the evidence was last judged
	version     uint64     // of the crashes; changes whenever they do
}

// crash is the end of an endpoint's process while requests without output ran there.
type crash struct {
	endpoint    string
	service     string
	startMillis int64 // start of the process; 0 if unknown
	at          time.Time
	outputs     int                 // requests of the service that had had output at this node before
	requests    [][]uint64          // suspected traits of each request
	own         []uint64            // of each request, the trait that it shares only with its retries; 0 or missing if unknown
	named       map[uint64]struct{} // all of these suspected traits
	cleared     map[uint64]struct{} // traits that have had output since the crash
	established map[uint64]struct{} // traits that were established at another node which wrote the crash to the store
}

// withNamed returns the crash with the index of its traits.
func (c crash) withNamed() crash {
	c.named = map[uint64]struct{}{}
	for _, r := range c.requests {
		for _, t := range r {
			c.named[t] = struct{}{}
		}
	}
	return c
}

// names reports whether a request that ran there has a trait that is suspected.
func (c crash) names(t uint64) bool {
	_, ok := c.named[t]
	return ok
}

// ownTrait returns the trait that request i shares only with its retries, or 0 if it is unknown.
func (c crash) ownTrait(i int) uint64 {
	if i < len(c.own) {
		return c.own[i]
	}
	return 0
}

// withRequests returns the crash with further requests, of which it keeps at most maxRequests.
func (c crash) withRequests(report crash) crash {
	requests, own := slices.Clone(c.requests), make([]uint64, len(c.requests))
	copy(own, c.own)
	reported := c.withoutCleared(report.requests)
	for i := range reported[:min(len(reported), max(maxRequests-len(requests), 0))] {
		requests, own = append(requests, reported[i]), append(own, report.ownTrait(i))
	}
	c.requests, c.own = requests, own
	return truncated(c)
}

func step(now time.Time, s kernel.State, e kernel.Event) (*View, []kernel.Effect) {
	v, m := Of(s), member.Of(s)
	switch e := e.(type) {
	case kernel.Tick:
		return v.tick(now, m)
	case kernel.EndpointCrashed:
		if len(e.Requests) == 0 {
			return v, nil
		}
		report := truncated(crash{endpoint: e.Endpoint, service: e.Service, startMillis: e.StartMillis, requests: v.mostSuspect(e.Requests), own: e.Own})
		next, effects := v.addCrash(now, m, report)
		return next, append(effects, m.SendTo(m.Owners(), &wire.Frame{Body: &wire.Frame_Crash{Crash: report.wire()}})...)
	case kernel.OutputSeen:
		next, cleared, effects := v.withOutput(now, e).refute(now, m, refutation{traits: e.Traits, all: true})
		if len(cleared.traits) > 0 {
			effects = append(effects, m.SendTo(m.Owners(), cleared.frame())...)
		}
		return next, effects
	case kernel.QuarantinesRead:
		next, _, _, effects := v.merge(now, e.List)
		return next, effects
	case kernel.EvidenceRead:
		return v.WithEvidence(now, e.Evidence), nil
	case kernel.FrameReceived:
		switch body := e.Frame.GetBody().(type) {
		case *wire.Frame_Crash:
			report := decodeCrash(body.Crash)
			next, effects := v.addCrash(now, m, report)
			return next, append(effects, kernel.NotifyCrash{Endpoint: report.endpoint, StartMillis: report.startMillis})
		case *wire.Frame_Sound:
			next, _, effects := v.refute(now, m, decodeSound(body.Sound))
			return next, effects
		case *wire.Frame_Quarantines:
			next, merged, refuted, effects := v.merge(now, body.Quarantines.GetList())
			for _, set := range merged {
				effects = append(effects, save(now, m, set, next.quarantines[set])...)
			}
			if len(refuted.traits) > 0 {
				effects = append(effects, m.SendTo([]string{e.From}, refuted.frame())...)
			}
			return next, effects
		}
	}
	return v, nil
}

// tick judges and drops old evidence, and tells a neighbour of the quarantines.
func (v *View) tick(now time.Time, m *member.View) (*View, []kernel.Effect) {
	next := *v
	if v.startedAt.IsZero() {
		next.startedAt = now
	}
	if now.Sub(v.rotatedAt) >= establishedTTL {
		next.recent, next.older, next.rotatedAt = newTraits(), v.recent, now
	}
	if len(v.crashes) > 0 && now.Sub(v.crashes[0].at) >= crashTTL {
		next.crashes, next.version = v.crashes[1:], v.version+1
	}
	var effects []kernel.Effect
	if next.mustJudge(now) {
		effects = next.judge(now, m)
	}
	if len(next.quarantines) > 0 && now.Sub(v.gossipAt) >= gossipInterval {
		for set, q := range v.quarantines.sorted() {
			if !q.isActive(now) && q.isActive(v.gossipAt) {
				effects = append(effects, save(now, m, set, q)...)
			}
		}
		next.gossipAt, next.gossips = now, v.gossips+1
		next.quarantines = next.quarantines.without(now)
		if ids := m.Neighbours(); len(ids) > 0 {
			to := ids[v.gossips%len(ids)]
			effects = append(effects, kernel.Send{To: to, Frame: &wire.Frame{Body: &wire.Frame_Quarantines{Quarantines: next.quarantines.wire(now)}}})
		}
	}
	return &next, effects
}

// outputsOf returns the number of requests of a service that have had output at this node.
func (v *View) outputsOf(service string) int {
	n, _ := v.outputs.Get(service)
	return n
}

// withOutput returns the view after a request had output at this node.
func (v *View) withOutput(now time.Time, e kernel.OutputSeen) *View {
	next := *v
	next.outputs = v.outputs.Set(e.Service, v.outputsOf(e.Service)+1)
	for _, t := range e.Traits {
		if next.recent.Len() < maxEstablished {
			next.recent = next.recent.Set(t, now)
		}
	}
	return &next
}

// isJoining reports whether this node has just started.
func (v *View) isJoining(now time.Time) bool {
	return v.startedAt.IsZero() || now.Sub(v.startedAt) < joinTime
}

// isEstablished reports whether requests with a trait had output at this node lately.
func (v *View) isEstablished(t uint64) bool {
	_, ok := v.lastOutput(t)
	return ok
}

// lastOutput returns when the last request with an established trait had output at this node, or false if the
// trait is not established.
func (v *View) lastOutput(t uint64) (time.Time, bool) {
	if at, ok := v.recent.Get(t); ok {
		return at, true
	}
	return v.older.Get(t)
}

// ownTraits is the number of a request's first traits that name the request itself.
const ownTraits = 2

// mostSuspect returns the requests of a crash with the traits first that are kept if there are more than
// traitLimit: those of the request itself, those that are suspected of earlier crashes, those that are not
// established, and the established ones. Load pattern: the trait that crashes endpoints follows dozens of
// others, which sound requests share.
func (v *View) mostSuspect(requests [][]uint64) [][]uint64 {
	list := slices.Clone(requests[:min(len(requests), maxRequests)])
	limit := traitLimit(len(list))
	if !slices.ContainsFunc(list, func(traits []uint64) bool { return len(traits) > limit }) {
		return list
	}
	suspects := v.allSuspects() // looked up in a map, as requests may have thousands of traits
	rank := func(t uint64) int {
		switch {
		case v.isEstablished(t):
			return 2
		case suspects[t]:
			return 0
		}
		return 1
	}
	for i, traits := range list {
		if len(traits) <= limit {
			continue
		}
		ranks := map[uint64]int{}
		for _, t := range traits {
			ranks[t] = rank(t)
		}
		list[i] = slices.Clone(traits)
		slices.SortStableFunc(list[i][ownTraits:], func(a, b uint64) int { return cmp.Compare(ranks[a], ranks[b]) })
	}
	return list
}

// truncated returns a report with at most maxRequests requests, and with the first of each one's traits.
// Load pattern: a request with dozens of parts crashes endpoints that have answered none yet, so that
// nothing tells which of the parts are sound.
func truncated(c crash) crash {
	kept := c.requests[:min(len(c.requests), maxRequests)]
	limit := traitLimit(len(kept))
	var list [][]uint64
	for _, traits := range kept {
		list = append(list, traits[:min(len(traits), limit)])
	}
	c.requests = list
	return c.withNamed()
}

// traitLimit returns how many traits of each request of a crash are kept if n requests ran there.
func traitLimit(n int) int { return max(maxTraits, maxCrashTraits/max(n, 1)) }

// addCrash adds what one node reports of a crash. Requests whose quarantine has ended and that
// have just been on an endpoint that crashed are quarantined again at once.
func (v *View) addCrash(now time.Time, m *member.View, report crash) (*View, []kernel.Effect) {
	next := *v
	report.at, report.outputs = now, v.outputsOf(report.service)
	next.crashes, next.version = slices.Clone(v.crashes), v.version+1
	i := slices.IndexFunc(next.crashes, report.isSame)
	switch {
	case i >= 0:
		next.crashes[i] = next.crashes[i].withRequests(report)
	default:
		next.crashes = append(next.crashes, report)
		if len(next.crashes) > maxCrashes {
			next.crashes = next.crashes[1:]
		}
	}
	return &next, next.beginQuarantines(now, m, next.quarantines.relapsed(now, report.requests))
}

// mustJudge reports whether a crash has settled since the evidence was last judged, or output
// may have changed what it shows.
func (v *View) mustJudge(now time.Time) bool {
	return len(v.crashes) > 0 && (now.Sub(v.judgedAt) >= judgeInterval || slices.ContainsFunc(v.crashes, func(c crash) bool {
		return now.Sub(c.at) >= settleTime && v.judgedAt.Sub(c.at) < settleTime
	}))
}

// judge quarantines what the crashes show of which all nodes have reported their requests.
func (v *View) judge(now time.Time, m *member.View) []kernel.Effect {
	v.judgedAt = now
	settled := len(v.crashes)
	for settled > 0 && now.Sub(v.crashes[settled-1].at) < settleTime {
		settled--
	}
	e := evidence{
		crashes:       v.crashes[:settled],
		outputsOf:     v.outputsOf,
		isEstablished: v.isEstablished,
		joining:       v.isJoining(now),
	}
	return v.beginQuarantines(now, m, culprits(e, v.quarantines.active(now)))
}

// beginQuarantines begins the next quarantine of each of the sets.
func (v *View) beginQuarantines(now time.Time, m *member.View, sets []traitSet) []kernel.Effect {
	var effects []kernel.Effect
	for _, set := range sets {
		q := v.quarantines.next(now, set)
		v.quarantines = v.quarantines.with(set, q)
		effects = append(effects, save(now, m, set, q)...)
		effects = append(effects, notify(now, set, q, fmt.Sprintf("requests with it ran without output on endpoints that crashed, one of them %s", v.crashes[len(v.crashes)-1].endpoint))...)
	}
	return effects
}

// suspects reports whether a crash or a quarantine names a trait.
func (v *View) suspects(t uint64) bool {
	for set, q := range v.quarantines {
		if !q.lifted && set.hasAny([]uint64{t}) {
			return true
		}
	}
	return slices.ContainsFunc(v.crashes, func(c crash) bool { return c.names(t) })
}

// allSuspects returns the traits for which suspects reports true.
func (v *View) allSuspects() map[uint64]bool {
	all := map[uint64]bool{}
	for set, q := range v.quarantines {
		for _, t := range set.traits() {
			all[t] = all[t] || !q.lifted
		}
	}
	for _, c := range v.crashes {
		for t := range c.named {
			all[t] = true
		}
	}
	return all
}

// Suspected reports whether one of the traits, which is not established, is suspected of so
// many crashes that a retry may be the one that shows the cause.
func (v *View) Suspected(traits []uint64) bool {
	return len(v.crashes) >= minHeld && slices.ContainsFunc(traits, func(t uint64) bool {
		n := 0
		for _, c := range v.crashes {
			if c.names(t) {
				n++
			}
		}
		return n >= minHeld && !v.isEstablished(t)
	})
}

// save returns the effect that writes a quarantine to the platform's store, or removes it from
// there, if that falls to this node: one is enough.
func save(now time.Time, m *member.View, set traitSet, q quarantine) []kernel.Effect {
	if !owner.InTopN(string(set), m.Self().GetId(), 1, m.Owners()) {
		return nil
	}
	effect := kernel.SaveQuarantine{Traits: set.traits()}
	if q.isActive(now) {
		effect.Quarantine = q.wire(now, set)
	}
	return []kernel.Effect{effect}
}

// notify returns the effects that tell of a quarantine that has begun.
func notify(now time.Time, set traitSet, q quarantine, why string) []kernel.Effect {
	return []kernel.Effect{
		kernel.Record{Kind: "quarantine", Detail: fmt.Sprintf("number %d of %s, for %s: %s", q.number, set, q.until.Sub(now).Round(time.Second), why)},
		kernel.NotifyQuarantine{Traits: set.traits()},
	}
}

// wire returns the message for a crash. The message has no field for the own trait of a request,
// so that trait is sent twice, the first time before all others. Nodes that do not know this
// treat it as one trait.
func (c crash) wire() *wire.Crash {
	w := &wire.Crash{Endpoint: c.endpoint, Service: c.service, Born: c.startMillis}
	for i, traits := range c.requests {
		if own := c.ownTrait(i); own != 0 {
			traits = append([]uint64{own}, traits...)
		}
		w.Requests = append(w.Requests, &wire.Traits{Traits: traits})
	}
	return w
}

func decodeCrash(w *wire.Crash) crash {
	c := crash{endpoint: w.GetEndpoint(), service: w.GetService(), startMillis: w.GetBorn()}
	for _, r := range w.GetRequests() {
		traits, own := r.GetTraits(), uint64(0)
		if len(traits) > 1 && slices.Contains(traits[1:], traits[0]) {
			traits, own = traits[1:], traits[0]
		}
		c.requests, c.own = append(c.requests, traits), append(c.own, own)
	}
	return truncated(c)
}
