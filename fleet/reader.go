package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/owner"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	storeReaders           = 2                      // nodes that watch the store; in a deployment of up to maxMeshNodes, of each data centre
	minContactInterval     = 600 * time.Millisecond // lower limit of the time between two messages that tell the other nodes of a contact with the store
	contactIntervalPerNode = 5 * time.Millisecond   // lower limit of the contact interval, for each owner
	minContactTTL          = 2 * time.Second        // lower limit of the time without a known contact after which a reader is replaced
	contactTTLIntervals    = 3                      // lower limit of the contact TTL, in contact intervals
	storeStandbys          = 40                     // nodes of the highest ranks, which are told of contacts every minContactInterval; if three quarters of all nodes lose power, all of these do with a chance of 1 in 100,000
	takeoverStagger        = 25 * time.Millisecond  // between the turns of two nodes that try to replace a reader, when all try once
	laterTakeoverStagger   = 100 * time.Millisecond // the same after that
	takeoverTurn           = 200 * time.Millisecond // for which a node tries; longer than its checks of ReadsStore are apart
	contactMemory          = 30 * time.Second       // after which the contact of another node is forgotten
	readDelay              = 60 * time.Millisecond
	standbyReadDelay       = 400 * time.Millisecond // well within the shortest notice period, 1.5 s
)

// ReadsStore reports whether this node should watch the store and forward changes to
// the others. So does a node that has not learned every item yet.
//
// Load pattern: each reader's watch returns with each change, and calls to the store cost
// the same whether it responds or not. So two nodes read for all. If the store no longer
// serves them, it may serve any of the others: these try in turn, in the order of their
// ranks, and those that it serves read until two nodes ranked before them do. So an outage
// for all nodes costs few calls at a time, and one for most nodes ends when the turn comes to
// one that is served. Readers that lose power tell nobody, and the next ones must have read a
// change before it is due: so the contact TTL of the standbys does not grow with the number of
// nodes. In a small deployment, where one more reader costs little, two of each
// data centre read, and so does every node without one ranked before it that is served.
func ReadsStore(s kernel.State, now time.Time) bool {
	v, m := Of(s), member.Of(s)
	if !v.complete {
		return true
	}
	ttl := contactTTL(m)
	// Members on hold count: while a deployment starts, most members are, and every node
	// would take itself for one of few.
	nodes := m.UsableIDs()
	rank := owner.Rank(readerKey, m.Self().GetId(), nodes)
	if len(nodes) <= maxMeshNodes {
		return owner.InTopN(readerKey, m.Self().GetId(), storeReaders, m.OwnersInCentre()) || now.Sub(v.coveredAt(m, nodes, rank, 1)) >= ttl
	}
	if rank < storeReaders {
		return true
	}
	if rank < storeStandbys {
		ttl = minContactTTL
	}
	uncovered := now.Sub(v.coveredAt(m, nodes, rank, storeReaders)) - ttl
	if uncovered < 0 {
		return false
	}
	return v.inContact(now, ttl) || hasTakeoverTurn(uncovered, rank-storeReaders, len(nodes)-storeReaders)
}

// hasTakeoverTurn reports whether the turn to try to replace a reader is that of the i-th of n
// nodes when no reader has been served for the given time. The turns of consecutive nodes
// overlap, and after the last node the first one follows again.
func hasTakeoverTurn(uncovered time.Duration, i, n int) bool {
	if begun := uncovered - time.Duration(i)*takeoverStagger; begun < takeoverTurn {
		return begun >= 0
	}
	cycle := time.Duration(n) * laterTakeoverStagger
	begun := uncovered - time.Duration(n)*takeoverStagger - time.Duration(i)*laterTakeoverStagger
	return begun >= 0 && begun%cycle < takeoverTurn
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

// coveredAt returns the last time at which count of the given nodes that are ranked before this
// one were known to be in contact with the store.
func (v *View) coveredAt(m *member.View, nodes []string, rank, count int) time.Time {
	var times []time.Time
	for id, at := range v.contacts {
		if m.Usable(id) && owner.Rank(readerKey, id, nodes) < rank {
			times = append(times, at)
		}
	}
	if len(times) < count {
		return v.completeAt // they may not have had the time to tell this node
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[count-1]
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

// contactTTL returns the time without a contact after which a reader is replaced by a node that
// is no standby.
func contactTTL(m *member.View) time.Duration {
	return max(minContactTTL, contactTTLIntervals*contactInterval(m))
}

// inContact reports whether the store served this node's last read, less than ttl ago.
func (v *View) inContact(now time.Time, ttl time.Duration) bool {
	return v.contactLostAt.IsZero() && now.Sub(v.contactAt) < ttl
}

// loseContact records that the store did not serve this node, and tells the other nodes if they
// may count on this one.
func (v *View) loseContact(now time.Time, m *member.View) (*View, []kernel.Effect) {
	if !v.inContact(now, contactTTL(m)) {
		return v, nil
	}
	next := *v
	next.contactLostAt = now
	return &next, next.sendContact(now, m)
}

// tellContact tells the other nodes that the store responded to this one, if that is due. The
// standbys are told more often in a deployment so large that its contact interval is longer.
func (v *View) tellContact(now time.Time, m *member.View) []kernel.Effect {
	interval := contactInterval(m)
	switch age := now.Sub(v.contactAt); {
	case !v.contactLostAt.IsZero() || age >= interval:
		return nil
	case now.Sub(v.contactSentAt) >= interval:
		v.contactSentAt, v.standbysAt = now, now
		return v.sendContact(now, m)
	case age < minContactInterval && now.Sub(v.standbysAt) >= minContactInterval:
		v.standbysAt = now
		standbys := owner.Top(readerKey, storeStandbys, m.UsableIDs())
		return v.sendUsage(m, standbys, &wire.Usage{Changes: true, Contact: v.contactAge(now, m)})
	}
	return nil
}

// sendContact tells the other nodes when the store last responded to this one.
func (v *View) sendContact(now time.Time, m *member.View) []kernel.Effect {
	return v.sendUsage(m, m.Owners(), &wire.Usage{Changes: true, Contact: v.contactAge(now, m)})
}

// statedContact returns when the store last responded to this node as the others are told it.
// After a failure that is at least contactTTL before the failure, so that they do not wait
// for that time.
func (v *View) statedContact(m *member.View) time.Time {
	if stale := v.contactLostAt.Add(-contactTTL(m)); !v.contactLostAt.IsZero() && stale.Before(v.contactAt) {
		return stale
	}
	return v.contactAt
}

// contactAge returns the time since the statedContact in the form of a Usage: milliseconds
// plus 1, or 0 for never.
func (v *View) contactAge(now time.Time, m *member.View) uint32 {
	if v.contactAt.IsZero() {
		return 0
	}
	return uint32(now.Sub(v.statedContact(m)).Milliseconds()) + 1
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
