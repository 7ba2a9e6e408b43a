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

// prefixBonus is how much free memory, as a part of the whole, an endpoint may
// lack and still be chosen because it has the prompt's prefix in its cache.
const prefixBonus = 0.25

// Grants places to queued requests until none fits any more.
func (sh *Shard) fill(now time.Time, epoch uint64, weigh spec.Weigh, endpoints []spec.Endpoint) (*Shard, []kernel.Effect) {
	if sh.queue.Len() == 0 || !sh.settled(now, endpoints) {
		return sh, nil
	}
	next := sh
	var effects []kernel.Effect
	misses := 0
	for itr := sh.queue.Iterator(); !itr.Done() && misses < lookahead; {
		at, w, _ := itr.Next()
		e, ok := next.pick(now, safety(weigh), endpoints, w.ask)
		if !ok {
			misses++
			continue
		}
		g := granted{ask: w.ask, entry: w.entry, endpoint: e.Name, addr: e.Addr, share: w.share, charged: w.charged, seen: now}
		next = next.withoutWaiting(w.ask.GetRequest()).withGranted(g).withPace(w.priority)
		next.virtual = max(next.virtual, at.start)
		effects = append(effects, next.grantEffect(epoch, w.ask.GetRequest()))
	}
	return next, effects
}

// Returns the endpoints whose hosts are not leaving.
func (b *Book) usable(endpoints []spec.Endpoint) []spec.Endpoint {
	if len(b.leaving) == 0 {
		return endpoints
	}
	kept := make([]spec.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		addr, err := netip.ParseAddrPort(e.Addr)
		if err != nil || !b.leaving[addr.Addr().String()] {
			kept = append(kept, e)
		}
	}
	return kept
}

// Reports whether a new owner knows what runs already: every engine has
// reported its load, or the entry nodes have had time to report their requests.
func (sh *Shard) settled(now time.Time, endpoints []spec.Endpoint) bool {
	if now.Sub(sh.since) >= settleTime {
		return true
	}
	for _, e := range endpoints {
		if u, _ := sh.used.Get(e.Name); e.Memory > 0 && !u.reported {
			return false
		}
	}
	return true
}

// Returns what an endpoint holds, with what a new owner does not know by name.
func (sh *Shard) load(now time.Time, endpoint string) usage {
	u, _ := sh.used.Get(endpoint)
	if now.Sub(sh.since) < learnTime {
		u.slots += u.strange
		u.mean += float64(u.stranger)
	}
	return u
}

// Returns the message that gives a granted request its place.
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

// Picks the endpoint with the largest part of its capacity free, with a bonus
// for the one that should have the prompt's prefix in its cache.
func (sh *Shard) pick(now time.Time, safety float64, endpoints []spec.Endpoint, a *wire.Ask) (spec.Endpoint, bool) {
	n := sh.need(a, 0)
	favourite := cachedAt(endpoints, a.GetPrefix())
	best, bestScore, found := spec.Endpoint{}, 0.0, false
	for _, e := range endpoints {
		u := sh.load(now, e.Name)
		if now.Before(u.rest) || avoided(a, e.Name) || !fits(u, e, n, safety) {
			continue
		}
		score := freePart(u, e)
		if e.Name == favourite {
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

// An idle endpoint takes any request, even one that is expected to need more
// than its memory.
func fits(u usage, e spec.Endpoint, n need, safety float64) bool {
	if u.slots >= e.Slots {
		return false
	}
	return e.Memory == 0 || u.slots == 0 || u.holds(e.Memory, n, safety)
}

func freePart(u usage, e spec.Endpoint) float64 {
	slots := 1 - float64(u.slots)/float64(e.Slots)
	if e.Memory == 0 {
		return slots
	}
	return min(slots, 1-u.mean/float64(e.Memory))
}

// Returns the endpoint that requests with a prefix prefer, which every owner
// computes alike.
func cachedAt(endpoints []spec.Endpoint, prefix uint64) string {
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
