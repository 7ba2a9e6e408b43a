// Package queue orders the requests that wait for room on a service's engines, decides
// when one of them may take a place, and forecasts how long it will wait.
//
// All functions are pure: they take the present time, what a node knows of its own
// waiting requests and of those of its load group, and the room that the engines have.
// Load pattern: in a burst, requests wait at many nodes at once. Each node that polled on
// its own would give a freed place to whichever request looked first, so that requests
// with time left displaced those whose objective was about to pass, and requests that had
// no chance waited as long as the others.
//
// Invariants:
//   - Less is a strict weak order at any one time.
//   - A request that has waited starvationFactor times its objective precedes all others
//     of its priority.
//   - Turn grants every request its place if nobody is ahead and an engine has room.
//   - What another node said more than MaxAge ago does not count.
package queue

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MaxAge is the age from which what another node said of its waiting requests does
	// not count, so that a dead node's requests do not hold up the others.
	MaxAge = 500 * time.Millisecond

	starvationFactor = 4   // a request that has waited its objective times this goes first
	equalShare       = 100 // hundredths of its equal share that a workspace may use without going last
)

// Request is a waiting request.
type Request struct {
	ID        string
	Priority  int           // 0 is the most urgent
	Arrived   time.Time     // for a caller that was refused before, when it first arrived
	Start     time.Time     // latest start that meets the objective
	Objective time.Duration // of the time to the first event
	Share     int           // use of the service by its workspace relative to an equal share, hundredths; 0 while there is no shortage
	Tokens    int           // KV cache that it is expected to need, tokens
	Prompt    int           // prompt tokens
	SeenAt    time.Time     // when another node's message about it arrived; zero for a request of this node
}

// isStarving reports whether the request has waited so long that it goes first.
func (r Request) isStarving(now time.Time) bool {
	return now.Sub(r.Arrived) >= starvationFactor*r.Objective
}

// isCurrent reports whether what is known of the request is recent.
func (r Request) isCurrent(now time.Time) bool {
	return r.SeenAt.IsZero() || now.Sub(r.SeenAt) <= MaxAge
}

// Less reports whether a goes before b at the time now.
func Less(now time.Time, a, b Request) bool { return Compare(now, a, b) < 0 }

// Compare is Less as a three-way comparison: negative if a goes before b.
func Compare(now time.Time, a, b Request) int {
	starvingA, starvingB := a.isStarving(now), b.isStarving(now)
	if c := cmp.Or(cmp.Compare(a.Priority, b.Priority), falseFirst(!starvingA, !starvingB)); c != 0 {
		return c
	}
	if starvingA {
		return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
	}
	return cmp.Or(
		falseFirst(now.After(a.Start), now.After(b.Start)),
		falseFirst(a.Share > equalShare, b.Share > equalShare),
		a.Start.Compare(b.Start),
		cmp.Compare(a.Share, b.Share),
		a.Arrived.Compare(b.Arrived),
		cmp.Compare(a.ID, b.ID),
	)
}

func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Sort sorts requests by their order at the time now.
func Sort(now time.Time, list []Request) {
	slices.SortFunc(list, func(a, b Request) int { return Compare(now, a, b) })
}

// Ahead returns those of the others that go before own, in no order.
func Ahead(now time.Time, own Request, others []Request) []Request {
	var ahead []Request
	for _, r := range others {
		if r.isCurrent(now) && Less(now, r, own) {
			ahead = append(ahead, r)
		}
	}
	return ahead
}

// Room is what an engine has free for requests.
type Room struct {
	Endpoint string
	Slots    int
	Tokens   int // KV cache
}

// Decision says whether a request may take a place.
type Decision struct {
	Go       bool
	Ahead    int    // requests that go before it
	Reserved string // engine that it must not take, as its room is kept for a larger request; empty for none
}

// Turn decides whether own may take a place now: whether an engine still has room for it
// once the requests ahead of it have taken theirs. For requests of one size that means
// that there are more free places than requests ahead. A request ahead that fits
// nowhere does not hold up smaller ones, except that the engine with the most free
// memory is reserved for the first in order until that request's latest start. Free holds
// the engines that suit own.
func Turn(now time.Time, own Request, others []Request, free []Room) Decision {
	ahead := Ahead(now, own, others)
	d := Decision{Ahead: len(ahead)}
	rooms := slices.Clone(free)
	if roomiest(rooms, own.Tokens) < 0 {
		return d
	}
	Sort(now, ahead)
	for i, r := range ahead {
		at := roomiest(rooms, r.Tokens)
		if at >= 0 {
			rooms[at].Slots--
			rooms[at].Tokens -= r.Tokens
			continue
		}
		if at = roomiest(rooms, 0); at < 0 {
			return d
		}
		if i == 0 && now.Before(r.Start) {
			d.Reserved = rooms[at].Endpoint
			rooms[at].Slots = 0
		}
	}
	d.Go = roomiest(rooms, own.Tokens) >= 0
	return d
}

// roomiest returns the index of the room with the most memory that has a slot and at least
// the given memory, or -1 if there is none.
func roomiest(rooms []Room, tokens int) int {
	best := -1
	for i, r := range rooms {
		if r.Slots > 0 && r.Tokens >= tokens && (best < 0 || r.Tokens > rooms[best].Tokens) {
			best = i
		}
	}
	return best
}

// Load is an amount of requests with the memory that they need.
type Load struct {
	Requests float64
	Tokens   float64
}

// Plus returns the sum of l and the requests of a list.
func (l Load) Plus(list ...Request) Load {
	for _, r := range list {
		l.Requests++
		l.Tokens += float64(r.Tokens)
	}
	return l
}

// Flow estimates the load that engines free in a second. It is a sum whose parts decay
// with their age. The zero Flow has seen nothing. It is immutable.
type Flow struct {
	sum   Load
	at    time.Time // up to which sum has decayed
	since time.Time // when the first part was added
}

const (
	flowDecayTime = 3 * time.Second // in which the weight of a part falls to 1/e
	minFlow       = 3               // decayed count of requests below which the flow is not known
)

// Add returns the flow with a load that was freed at the time now.
func (f Flow) Add(now time.Time, l Load) Flow {
	if f.since.IsZero() || now.Sub(f.at) > 10*flowDecayTime {
		return Flow{sum: l, at: now, since: now}
	}
	k := f.decay(now)
	f.sum = Load{Requests: f.sum.Requests*k + l.Requests, Tokens: f.sum.Tokens*k + l.Tokens}
	f.at = now
	return f
}

func (f Flow) decay(now time.Time) float64 {
	return math.Exp(-float64(max(now.Sub(f.at), 0)) / float64(flowDecayTime))
}

// PerSecond returns the load freed in a second, or false if too little was seen.
func (f Flow) PerSecond(now time.Time) (Load, bool) {
	k := f.decay(now)
	if f.since.IsZero() || f.sum.Requests*k < minFlow {
		return Load{}, false
	}
	// The weights of the parts add up to less than flowDecayTime while the flow is
	// younger than that. At least a second, as the first parts may have come together.
	age := max(now.Sub(f.since), time.Second)
	span := flowDecayTime.Seconds() * (1 - math.Exp(-float64(age)/float64(flowDecayTime)))
	return Load{Requests: f.sum.Requests * k / span, Tokens: f.sum.Tokens * k / span}, true
}

// Wait forecasts how long it takes until the load ahead of a request, and then the request
// itself, has got room, if the engines free perSecond: the longer of the times for the
// slots and for the memory.
func Wait(ahead Load, own Request, perSecond Load) time.Duration {
	total := ahead.Plus(own)
	seconds := 0.0
	if perSecond.Requests > 0 {
		seconds = total.Requests / perSecond.Requests
	}
	if perSecond.Tokens > 0 {
		seconds = max(seconds, total.Tokens/perSecond.Tokens)
	}
	return time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second))
}
