package admit

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/owner"
	"github.com/plantaindeck/plantaindeck/spec"
	"github.com/plantaindeck/plantaindeck/wire"
)

// prefixBonus is added to the free fraction of the endpoint that should have
// the prompt's prefix in its KV cache. That endpoint is chosen even if another
// one has up to this much more of its capacity free.
const prefixBonus = 0.25

// grantQueued grants queued requests, in the order of the queue, until the
// queue ends or maxSkipped requests fit no endpoint. A new owner grants nothing
// before it is settled.
func (sh *Shard) grantQueued(now time.Time, epoch uint64, weights spec.Weights, endpoints []spec.Endpoint) (*Shard, []kernel.Effect) {
	if sh.queue.Len() == 0 || !sh.settled(now, endpoints) {
		return sh, nil
	}
	next := sh
	var effects []kernel.Effect
	skipped := 0
	for itr := sh.queue.Iterator(); !itr.Done() && skipped < maxSkipped; {
		at, q, _ := itr.Next()
		e, ok := next.pickEndpoint(now, safetyMargin(weights), endpoints, q.ask)
		if !ok {
			skipped++
			continue
		}
		g := grantedRequest{ask: q.ask, entry: q.entry, endpoint: e.Name, addr: e.Addr, share: q.share, charged: q.charged, lastReported: now}
		next = next.withoutQueued(q.ask.GetRequest()).withGranted(g).withGrantCounted(q.priority)
		next.virtualTime = max(next.virtualTime, at.start)
		effects = append(effects, next.grantEffect(epoch, q.ask.GetRequest()))
	}
	return next, effects
}

// usable returns the endpoints whose hosts are not leaving.
func (t *ShardTable) usable(endpoints []spec.Endpoint) []spec.Endpoint {
	if len(t.leavingHosts) == 0 {
		return endpoints
	}
	kept := make([]spec.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		addr, err := netip.ParseAddrPort(e.Addr)
		if err != nil || !t.leavingHosts[addr.Addr().String()] {
			kept = append(kept, e)
		}
	}
	return kept
}

// settled reports whether a new owner may grant. It knows what is running once
// every engine has reported its load, or after settleTimeout, within which the
// entry nodes report their running requests.
func (sh *Shard) settled(now time.Time, endpoints []spec.Endpoint) bool {
	if now.Sub(sh.firstSeen) >= settleTimeout {
		return true
	}
	for _, e := range endpoints {
		if u, _ := sh.endpointUsage.Get(e.Name); e.Memory > 0 && !u.reported {
			return false
		}
	}
	return true
}

// effectiveUsage returns the usage of an endpoint. For a new owner it includes
// the load that the endpoint reported beyond the known grants.
func (sh *Shard) effectiveUsage(now time.Time, endpoint string) usage {
	u, _ := sh.endpointUsage.Get(endpoint)
	if now.Sub(sh.firstSeen) < unknownLoadTTL {
		u.slots += u.unknownRequests
		u.memoryMean += float64(u.unknownMemory)
	}
	return u
}

// grantEffect returns the effect that sends a request's grant to its entry node.
func (sh *Shard) grantEffect(epoch uint64, request string) kernel.Effect {
	g, _ := sh.granted.Get(request)
	return kernel.Send{To: g.entry, Frame: &wire.Frame{Body: &wire.Frame_Grant{Grant: &wire.Grant{
		Request:  request,
		Endpoint: g.endpoint,
		Addr:     g.addr,
		Service:  sh.service,
		Shard:    uint32(sh.index),
		Number:   g.number,
		Epoch:    epoch,
	}}}}
}

// pickEndpoint returns the endpoint, among those where the request fits, with
// the largest fraction of its capacity free. The endpoint that should have the
// prompt's prefix in its KV cache gets prefixBonus. It reports false if the
// request fits none.
func (sh *Shard) pickEndpoint(now time.Time, margin float64, endpoints []spec.Endpoint, a *wire.Ask) (spec.Endpoint, bool) {
	m := sh.expectedMemory(a, 0)
	preferred := preferredEndpoint(endpoints, a.GetPrefix())
	best, bestScore, found := spec.Endpoint{}, 0.0, false
	for _, e := range endpoints {
		u := sh.effectiveUsage(now, e.Name)
		if now.Before(u.backoffUntil) || avoided(a, e.Name) || !fits(u, e, m, margin) {
			continue
		}
		score := freeFraction(u, e)
		if e.Name == preferred {
			score += prefixBonus
		}
		if !found || score > bestScore {
			best, bestScore, found = e, score, true
		}
	}
	return best, found
}

func avoided(a *wire.Ask, endpoint string) bool {
	for _, name := range a.GetAvoid() {
		if name == endpoint {
			return true
		}
	}
	return false
}

// fits reports whether an endpoint with usage u has a slot and memory for one
// more request that is expected to hold m. An idle endpoint accepts any request,
// even one that is expected to need more than its memory.
func fits(u usage, e spec.Endpoint, m memoryEstimate, margin float64) bool {
	if u.slots >= e.Slots {
		return false
	}
	return e.Memory == 0 || u.slots == 0 || u.hasMemory(e.Memory, m, margin)
}

// freeFraction returns the fraction of an endpoint's slots or memory that is
// free, whichever is smaller.
func freeFraction(u usage, e spec.Endpoint) float64 {
	slots := 1 - float64(u.slots)/float64(e.Slots)
	if e.Memory == 0 {
		return slots
	}
	return min(slots, 1-u.memoryMean/float64(e.Memory))
}

// preferredEndpoint returns the endpoint that requests with this prompt prefix
// prefer, or "" if prefix is 0. Every owner of the shard computes the same one.
func preferredEndpoint(endpoints []spec.Endpoint, prefix uint64) string {
	if prefix == 0 {
		return ""
	}
	names := make([]string, len(endpoints))
	for i, e := range endpoints {
		names[i] = e.Name
	}
	first, _ := owner.Pick(strconv.FormatUint(prefix, 16), names)
	return first
}
