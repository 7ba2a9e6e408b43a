package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/owner"
)

const (
	storeReaders           = 2                      // nodes that watch the store; in a deployment of up to maxMeshNodes, of each data centre
	minContactInterval     = 600 * time.Millisecond // lower limit of the time between two messages that tell the other nodes of a contact with the store
	contactIntervalPerNode = 5 * time.Millisecond   // lower limit of the contact interval, for each owner
	minContactTTL          = 2 * time.Second        // lower limit of the time without a known contact after which a reader is replaced
	contactTTLIntervals    = 3                      // lower limit of the contact TTL, in contact intervals
	takeoverStagger        = 50 * time.Millisecond  // by which each node waits longer to replace a reader than the one ranked before it
	maxTakeoverRank        = 10                     // nodes from this rank on wait for takeoverTTLs contact TTLs instead
	takeoverTTLs           = 10                     // long, as all of them would make failing calls while the store is silent
	contactMemory          = 30 * time.Second       // after which the contact of another node is forgotten
	readDelay              = 60 * time.Millisecond
	standbyReadDelay       = 400 * time.Millisecond // well within the shortest notice period, 1.5 s
)

// ReadsStore reports whether this node should watch the store and forward changes to
// the others. So does a node that has not learned every item yet.
//
// Load pattern: each reader's watch returns with each change, and calls to the store cost
// the same whether it responds or not. So two nodes read for all, and if the store no
// longer responds to them, the nodes ranked after them take over one after another, until
// it responds to two: while it responds to nobody, that is only a few nodes. In a small
// deployment, where one more reader costs little, two of each data centre read.
func ReadsStore(s kernel.State, now time.Time) bool {
	v, m := Of(s), member.Of(s)
	if !v.complete {
		return true
	}
	ttl := contactTTL(m)
	// Members on hold count: while a deployment starts, most members are, and every node
	// would take itself for one of few.
	nodes := m.UsableIDs()
	if len(nodes) <= maxMeshNodes {
		return now.Sub(v.lastContact) >= ttl || owner.InTopN(readerKey, m.Self().GetId(), storeReaders, m.OwnersInCentre())
	}
	rank := owner.Rank(readerKey, m.Self().GetId(), nodes)
	if rank < storeReaders {
		return true
	}
	wait := ttl + time.Duration(rank)*takeoverStagger
	if rank >= maxTakeoverRank {
		wait = takeoverTTLs * ttl
	}
	return now.Sub(v.coveredAt(m, nodes, rank)) >= wait
}

// ReaderRank returns the place of this node in the order in which nodes become readers of the
// store, from 0 on.
func ReaderRank(s kernel.State) int {
	m := member.Of(s)
	return owner.Rank(readerKey, m.Self().GetId(), m.UsableIDs())
}

// ReadDelay returns how long this node waits after a watch of the store has returned before
// it begins the next one, so that the next returns several changes at once.
//
// Load pattern: when engines are replaced every few seconds, each change ends the watches of
// all readers. In a deployment of more than maxMeshNodes nodes, only the first reader asks
// again at once. The others are there for the case that it fails, and find most changes in
// one response.
func ReadDelay(s kernel.State) time.Duration {
	m := member.Of(s)
	if nodes := m.UsableIDs(); len(nodes) > maxMeshNodes && owner.Rank(readerKey, m.Self().GetId(), nodes) > 0 {
		return standbyReadDelay
	}
	return readDelay
}

// readerKey is the key by which the readers of the store are ranked.
const readerKey = "store"

// coveredAt returns the last time at which storeReaders of the given nodes that are ranked before
// this one were known to be in contact with the store.
func (v *View) coveredAt(m *member.View, nodes []string, rank int) time.Time {
	var times []time.Time
	for id, at := range v.contacts {
		if m.Usable(id) && owner.Rank(readerKey, id, nodes) < rank {
			times = append(times, at)
		}
	}
	covered := v.completeAt
	if len(times) >= storeReaders {
		slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
		if at := times[storeReaders-1]; at.After(covered) {
			covered = at
		}
	}
	return covered
}

// StoreSilent reports whether the store has responded to no node for some time, as far
// as this node knows.
func StoreSilent(s kernel.State, now time.Time) bool {
	v, m := Of(s), member.Of(s)
	return v.complete && now.Sub(v.lastContact) >= contactTTL(m)
}

// contactInterval returns the time between two messages in which a node tells the
// others that the store responded to it. It grows with the number of recipients.
func contactInterval(m *member.View) time.Duration {
	return max(minContactInterval, contactIntervalPerNode*time.Duration(len(m.Owners())))
}

// contactTTL returns the time without a contact after which a reader is replaced.
func contactTTL(m *member.View) time.Duration {
	return max(minContactTTL, contactTTLIntervals*contactInterval(m))
}

// recordContact stores when the store last responded to another node.
func (v *View) recordContact(now time.Time, from string, at time.Time) {
	if at.After(v.lastContact) {
		v.lastContact = at
	}
	v.contacts = kernel.CloneMap(v.contacts)
	v.contacts[from] = at
	maps.DeleteFunc(v.contacts, func(_ string, at time.Time) bool { return now.Sub(at) >= contactMemory })
}
