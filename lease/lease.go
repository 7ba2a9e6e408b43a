// Package lease holds the state of placements between load groups. A node of one load group
// asks a node of another, the holder, to choose an endpoint there for one request. The holder
// counts the request in its own usage until the lease ends.
//
// Load pattern: nodes learn the load of endpoints outside their load group seconds late. All of
// them choose the same endpoints there, above all those that have just started and look empty.
// A node of the group that covers these endpoints knows what runs on them.
//
// Invariants:
//   - A lease ends once: with a Done of its asker, with the asker's death, or at the deadline
//     that the asker stated.
//   - Only the asker of a lease changes or ends it by a message.
//   - A message that arrives twice changes the usage once.
//
// The values are not safe for concurrent use.
package lease

import (
	"maps"
	"slices"
	"time"
)

// MaxAge is the time after the answer within which the asker sends the request, or asks again.
const MaxAge = 500 * time.Millisecond

// Use is what a request is expected to need of an endpoint.
type Use struct {
	Tokens int // KV cache, tokens
	Prompt int // pending prompt tokens; 0 once the first event has come
}

// Lease is an endpoint's place that a holder keeps for a request of another node.
type Lease struct {
	Asker       string // id of the node
	Incarnation uint64 // of the asker when it asked
	Endpoint    string
	Use         Use
	PlacedAt    time.Time
	Deadline    time.Time // that the asker stated
}

// Table holds the leases that a holder keeps for other nodes.
type Table struct {
	byID map[string]Lease // by the id of the placement
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{byID: map[string]Lease{}} }

// Len returns the number of leases.
func (t *Table) Len() int { return len(t.byID) }

// Get returns the lease of a placement.
func (t *Table) Get(id string) (Lease, bool) {
	l, ok := t.byID[id]
	return l, ok
}

// Add adds a lease. The id must be new.
func (t *Table) Add(id string, l Lease) { t.byID[id] = l }

// First notes the first event of a request. It returns the lease as it was, and false if the
// prompt was not pending or the asker has no such lease.
func (t *Table) First(id, asker string) (Lease, bool) {
	l, ok := t.byID[id]
	if !ok || l.Asker != asker || l.Use.Prompt == 0 {
		return Lease{}, false
	}
	next := l
	next.Use.Prompt = 0
	t.byID[id] = next
	return l, true
}

// End ends a lease and returns it, or false if the asker has no such lease.
func (t *Table) End(id, asker string) (Lease, bool) {
	l, ok := t.byID[id]
	if !ok || l.Asker != asker {
		return Lease{}, false
	}
	delete(t.byID, id)
	return l, true
}

// Recent is what a holder has placed at an endpoint a moment ago, of which the other nodes of its
// load group may not know.
type Recent struct {
	Requests int
	Tokens   int
}

// Recent returns what was placed since a time, by endpoint.
func (t *Table) Recent(since time.Time) map[string]Recent {
	list := map[string]Recent{}
	for _, l := range t.byID {
		if l.PlacedAt.After(since) {
			r := list[l.Endpoint]
			list[l.Endpoint] = Recent{Requests: r.Requests + 1, Tokens: r.Tokens + l.Use.Tokens}
		}
	}
	return list
}

// Expire ends the leases whose deadline has passed or whose asker is not alive any more with the
// incarnation in which it asked, and returns them in the order of their ids.
func (t *Table) Expire(now time.Time, alive func(asker string, incarnation uint64) bool) []Lease {
	var ended []Lease
	for _, id := range slices.Sorted(maps.Keys(t.byID)) {
		if l := t.byID[id]; !now.Before(l.Deadline) || !alive(l.Asker, l.Incarnation) {
			ended = append(ended, l)
			delete(t.byID, id)
		}
	}
	return ended
}
