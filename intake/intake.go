// Package intake bounds what the clients of a node occupy: memory and connections, summed over all
// addresses that the node listens on and all phases of a request.
//
// Model. Each connection has a cost in bytes, which grows as a request arrives and falls when it has
// been answered. The Ledger holds the costs of all connections. A connection that needs more than is
// free gets it if others yield, and is rejected otherwise. Limits.Yield decides that; it is a pure
// function of the holders and the time.
//
// Invariants:
//   - The sum of the costs does not exceed Limits.Bytes, apart from connections that yield and have not
//     closed yet, which hold at most a part of it (yieldingShare).
//   - What connections cost beyond Limits.Small does not exceed Limits.Bulk together, unless only one
//     costs that much, so that large requests leave room for small ones.
//   - There are at most Limits.Conns connections, and maxYielding that yield.
//   - A request that an endpoint runs yields only if its client does not read the response, or has sent
//     more without waiting for it.
//
// Load pattern: clients that keep to no limit, or only to the letter. They send many heads or bodies
// at once, stop short of their end, and keep their connections open.
package intake

import (
	"cmp"
	"time"
)

const (
	yieldingShare = 4  // the connections that yield hold at most the part 1/yieldingShare of Limits.Bytes
	maxYielding   = 64 // connections that yield and have not closed yet
)

// Phase is what a connection does. The order of the phases is that in which connections yield.
type Phase int

// Phases of a connection.
const (
	Closing    Phase = iota // its last response has been written, and what its client still sends is discarded
	Receiving               // a part of a request has arrived
	Opened                  // nothing has arrived yet
	Sending                 // a part of a response is written and not accepted by the client yet
	Pipelining              // a request is served, and more has arrived behind it
	Idle                    // no byte has arrived since the last response
	Serving                 // a request has arrived; it never yields
)

// Limits bound what the connections of a node occupy together.
type Limits struct {
	Bytes int64         // cost of all connections
	Bulk  int64         // what connections cost beyond Small, together
	Small int64         // cost of a connection up to which a request counts as small
	Conns int           // connections
	Stall time.Duration // without progress after which a connection in the middle of something yields
}

// Holder is what one connection occupies.
type Holder struct {
	ID       uint64
	Phase    Phase
	Bytes    int64     // cost
	Since    time.Time // of the last progress
	Yielding bool      // it has been told to close
}

// bulk returns what h costs beyond a small request.
func (l Limits) bulk(h Holder) int64 { return max(h.Bytes-l.Small, 0) }

// mayYield reports whether h may close in favour of next at the time now. Idle connections of callers
// do not yield to a large request.
func (l Limits) mayYield(now time.Time, h, next Holder) bool {
	switch {
	case h.Yielding || h.Phase == Serving:
		return false
	case h.Phase == Idle:
		return l.bulk(next) == 0
	}
	return now.Sub(h.Since) >= l.Stall
}

// Yield decides whether the holder next, which replaces the one of its id among holders, has room at the
// time now, and which connections have to yield for it. Those that stall in the middle of a request or a
// response yield before idle ones, and among them the one with the longest stall first.
func (l Limits) Yield(now time.Time, holders []Holder, next Holder) (yield []uint64, ok bool) {
	t := l.sum(holders, next)
	if t.fits(l, next) {
		return nil, true
	}
	var candidates []Holder
	for _, h := range holders {
		if h.ID != next.ID && l.mayYield(now, h, next) {
			candidates = append(candidates, h)
		}
	}
	for len(candidates) > 0 && t.yielding < maxYielding {
		i := 0
		for j, h := range candidates {
			if before(h, candidates[i]) {
				i = j
			}
		}
		h := candidates[i]
		candidates[i] = candidates[len(candidates)-1]
		candidates = candidates[:len(candidates)-1]
		if t.conns <= l.Conns && t.bytes <= l.Bytes && l.bulk(h) == 0 {
			continue // only room for large requests is missing
		}
		if t.yieldingBytes+h.Bytes > l.Bytes/yieldingShare && t.yieldingBytes > 0 {
			break
		}
		yield = append(yield, h.ID)
		t.give(l, h)
		if t.fits(l, next) {
			return yield, true
		}
	}
	return nil, false
}

// before reports whether a yields before b.
func before(a, b Holder) bool {
	return cmp.Or(cmp.Compare(a.Phase, b.Phase), a.Since.Compare(b.Since), cmp.Compare(a.ID, b.ID)) < 0
}

// totals are the sums over holders that the limits bound.
type totals struct {
	bytes, bulk   int64
	bulkHolders   int // with a cost beyond Limits.Small
	conns         int
	yielding      int
	yieldingBytes int64
}

// sum returns the totals of holders, with next in place of the one of its id.
func (l Limits) sum(holders []Holder, next Holder) totals {
	var t totals
	for _, h := range holders {
		if h.ID != next.ID {
			t.add(l, h)
		}
	}
	t.add(l, next)
	return t
}

// add adds a holder.
func (t *totals) add(l Limits, h Holder) {
	if h.Yielding {
		t.yielding++
		t.yieldingBytes += h.Bytes
		return
	}
	t.conns++
	t.bytes += h.Bytes
	if b := l.bulk(h); b > 0 {
		t.bulk += b
		t.bulkHolders++
	}
}

// remove removes a holder.
func (t *totals) remove(l Limits, h Holder) {
	if h.Yielding {
		t.yielding--
		t.yieldingBytes -= h.Bytes
		return
	}
	t.conns--
	t.bytes -= h.Bytes
	if b := l.bulk(h); b > 0 {
		t.bulk -= b
		t.bulkHolders--
	}
}

// give makes a holder yield.
func (t *totals) give(l Limits, h Holder) {
	t.remove(l, h)
	h.Yielding = true
	t.add(l, h)
}

// fits reports whether the totals, which include next, are within the limits.
func (t *totals) fits(l Limits, next Holder) bool {
	large := l.bulk(next) > 0 && t.bulk > l.Bulk && t.bulkHolders > 1
	return t.conns <= l.Conns && t.bytes <= l.Bytes && !large
}
