package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/owner"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	minRateLimit  = 0.25 // requests a second that are sent even to an endpoint that takes fewer, as only its responses tell when the limit ends
	minRateChange = 0.1  // smallest change of a limit, as a fraction of it, that is worth a message
	// All nodes together may send the requests of burstTime and burstSlack more at once. That
	// is half of the excess that is tolerated in any 4 s.
	burstTime    = time.Second
	burstSlack   = 2.5
	maxRateBurst = 1 << 20 // requests at once of a node, at an endpoint that states an enormous limit
)

// rateLimit is what an endpoint last said of the requests that it takes from all nodes
// together.
type rateLimit struct {
	startMillis int64     // start of the endpoint's process
	number      uint32    // of the change; a higher one replaces a lower one
	lifted      bool      // the endpoint stated a limit and states none any more
	rate        float64   // requests a second; 0 if lifted
	receivedAt  time.Time // when this node learned of it
}

// replaces reports whether l is newer than old. Of two changes that nodes have noticed
// at the same time, the stricter one counts.
func (l rateLimit) replaces(old rateLimit) bool {
	if c := cmp.Or(cmp.Compare(l.startMillis, old.startMillis), cmp.Compare(l.number, old.number)); c != 0 {
		return c > 0
	}
	return !l.lifted && (old.lifted || l.rate < old.rate)
}

// after returns the limit after a response of the endpoint, and whether that differs from
// l. Responses arrive out of order. One that raises or lifts the limit counts only if its
// request was sent after l was known, as it may be older than l otherwise.
func (l rateLimit) after(e kernel.LimitReported) (rateLimit, bool) {
	next := rateLimit{startMillis: e.StartMillis, number: 1, lifted: !e.Named, rate: e.Rate}
	if e.StartMillis > l.startMillis || l.number == 0 {
		return next, e.Named
	}
	if e.StartMillis < l.startMillis {
		return l, false
	}
	next.number = l.number + 1
	known := e.SentAt.After(l.receivedAt)
	switch {
	case !e.Named:
		return next, !l.lifted && known
	case l.lifted || e.Rate < l.rate*(1-minRateChange):
		return next, true
	}
	return next, e.Rate > l.rate*(1+minRateChange) && known
}

// RateShare is the part of an endpoint's rate limit that this node may use. It is zero
// if other nodes share the limit.
type RateShare struct {
	Rate  float64 // requests a second
	Burst int     // requests at once
}

// RateShare returns this node's share of the rate limit of an endpoint, and whether the
// endpoint has a limit.
func (v *View) RateShare(id string) (RateShare, bool) {
	share, limited := v.shares[id]
	return share, limited
}

// LimitedCount returns the number of endpoints that have a rate limit.
func (v *View) LimitedCount() int { return v.limitedCount }

// ChangesLimit reports whether a response says something new of an endpoint's rate limit.
func (v *View) ChangesLimit(e kernel.LimitReported) bool {
	_, changed := v.limits[e.Endpoint].after(e)
	return changed
}

// shareOf divides a limit among the nodes that may send requests to an endpoint. Load
// pattern: an overloaded endpoint takes a few requests a second, while tens of nodes place
// requests. A share of less than a request in the time for which a burst is judged cannot
// be kept, so only as many nodes as a burst may have requests get one, those with the
// highest rank for the endpoint.
func shareOf(rate float64, endpoint, self string, nodes []string) RateShare {
	rate = max(rate, minRateLimit)
	return divideRate(rate, rate*burstTime.Seconds()+burstSlack, endpoint, self, nodes)
}

// divideRate divides a rate and a burst of at least 1, as shareOf does.
func divideRate(rate, burst float64, endpoint, self string, nodes []string) RateShare {
	sharers := int(min(burst, float64(len(nodes))))
	if !slices.Contains(nodes, self) || !owner.InTopN(endpoint, self, sharers, nodes) {
		return RateShare{}
	}
	return RateShare{Rate: rate / float64(sharers), Burst: int(min(burst/float64(sharers), maxRateBurst))}
}

// sharersOf returns the nodes that may send requests to an endpoint with a rate limit: the
// load group that prefers it, or all members if there is none in its data centre. It
// returns nil if that is another group than the given one, this node's. The data centres that
// have members are those of occupied.
func sharersOf(e Endpoint, group LoadGroup, members []string, occupied map[string]bool) []string {
	switch {
	case group.Covers(e):
		return group.Nodes()
	case occupied[e.Centre]:
		return nil
	}
	return members
}

// centresOf returns the data centres of the given members. Load pattern: a whole data centre
// comes back cold, and a search among 400 members for each of its endpoints at each Tick would
// take several percent of a core.
func centresOf(m *member.View, members []string) map[string]bool {
	centres := map[string]bool{}
	for _, id := range members {
		if p, ok := m.Get(id); ok {
			centres[p.Member.GetCentre()] = true
		}
	}
	return centres
}

// divideLimits computes this node's shares of the limits that count, and of what cold endpoints
// can bear. An endpoint whose record was removed keeps its limit, as it may still run. Members
// on hold count: they serve callers, and while only some nodes kept them from being owners, the
// shares would add up to more than the limit.
func (v *View) divideLimits(now time.Time, m *member.View) {
	v.shares, v.limitedCount, v.coldCount = nil, 0, 0
	if len(v.limits) == 0 && len(v.cold) == 0 {
		return
	}
	members := m.UsableIDs()
	group := loadGroupAmong(m, members)
	occupied := centresOf(m, members)
	for id, l := range v.limits {
		e, listed := v.Endpoint(id)
		if l.lifted || listed && e.StartMillis != l.startMillis {
			continue
		}
		if v.shares == nil {
			v.shares = map[string]RateShare{}
		}
		v.shares[id] = shareOf(l.rate, id, m.Self().GetId(), sharersOf(e, group, members, occupied))
	}
	v.limitedCount = len(v.shares)
	if len(v.cold) > 0 {
		v.divideCold(now, m)
	}
}

// setLimit stores a limit and returns the effect that reports it.
func (v *View) setLimit(now time.Time, m *member.View, id string, l rateLimit, source string) kernel.Effect {
	l.receivedAt = now
	v.limits = kernel.CloneMap(v.limits)
	v.limits[id] = l
	v.divideLimits(now, m)
	detail := fmt.Sprintf("change %d by %s: it states no limit any more", l.number, source)
	if !l.lifted {
		share := v.shares[id]
		detail = fmt.Sprintf("change %d by %s: it takes %g requests a second from all nodes together, %.2f a second and %d at once from this one", l.number, source, l.rate, share.Rate, share.Burst)
	}
	return kernel.Record{Kind: "limit", Endpoint: id, Detail: detail}
}

// recordLimit stores what an endpoint said of its limit to this node, and tells all other
// nodes at once if that is new.
func (v *View) recordLimit(now time.Time, m *member.View, e kernel.LimitReported) (*View, []kernel.Effect) {
	l, changed := v.limits[e.Endpoint].after(e)
	if !changed {
		return v, nil
	}
	next := *v
	effect := next.setLimit(now, m, e.Endpoint, l, "its response")
	u := &wire.Usage{Changes: true, Contact: next.contactAge(now, m), Limits: []*wire.Limit{l.wire(e.Endpoint)}}
	return &next, append(next.sendUsage(m, m.Owners(), u), effect)
}

// mergeLimits stores the limits that another node sent, if they are newer.
func (v *View) mergeLimits(now time.Time, m *member.View, list []*wire.Limit) []kernel.Effect {
	var effects []kernel.Effect
	for _, w := range list {
		l := rateLimit{startMillis: w.GetBorn(), number: w.GetNumber(), lifted: w.GetLifted(), rate: w.GetRate()}
		if _, listed := v.Endpoint(w.GetEndpoint()); listed && l.replaces(v.limits[w.GetEndpoint()]) {
			effects = append(effects, v.setLimit(now, m, w.GetEndpoint(), l, "another node"))
		}
	}
	return effects
}

func (l rateLimit) wire(id string) *wire.Limit {
	return &wire.Limit{Endpoint: id, Born: l.startMillis, Number: l.number, Lifted: l.lifted, Rate: l.rate}
}

// addLimits adds the limits to a Usage.
func (v *View) addLimits(u *wire.Usage) {
	for _, id := range slices.Sorted(maps.Keys(v.limits)) {
		u.Limits = append(u.Limits, v.limits[id].wire(id))
	}
}

// expireLimits drops the limits of endpoints that are not listed, and those that were
// lifted, once older messages can no longer arrive.
func (v *View) expireLimits(now time.Time) {
	for id, l := range v.limits {
		_, listed := v.Endpoint(id)
		if (!listed || l.lifted) && now.Sub(l.receivedAt) >= tombstoneTTL {
			v.limits = maps.Clone(v.limits)
			delete(v.limits, id)
		}
	}
}
