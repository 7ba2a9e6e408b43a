// Package member keeps the list of nodes by gossip, without a store and without
// heartbeats to a central server.
//
// The failure detector works as follows. Each node probes a few neighbours on a
// hash ring: successors in its own data centre and one in each of a few others. If
// a neighbour does not answer, other members are asked to probe it too, before it
// is suspected. A suspected member that does not refute the suspicion in time is
// declared dead. Every change is sent to the same neighbours.
//
// Invariants:
//   - A record of a higher incarnation replaces one of a lower incarnation;
//     within one incarnation the order is alive, suspect, leaving, dead.
//   - Only a member itself raises its incarnation.
//   - A member that is alive again after it was declared dead is not an owner for a
//     hold time, which doubles each time, so that a flapping member causes no
//     changes of ownership.
//
// The list of nodes that the platform provides (kernel.HostsListed) serves only as
// a list of nodes to contact. It may be stale, and so it never makes a member alive
// or dead.
package member

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	probeInterval      = time.Second            // between two probes of a neighbour
	directProbeTimeout = time.Second            // time without a response to a probe after which other members are asked to probe
	probeTimeout       = 2 * time.Second        // time without a response to a probe after which the member is suspected
	unresponsiveTime   = 500 * time.Millisecond // time without a response to a probe after which a neighbour counts as unresponsive
	recentDeathTime    = 10 * time.Second       // time after its death was learned for which a member counts as unresponsive
	suspicionTimeout   = 2 * time.Second        // time without a refutation after which a suspected member is declared dead
	maxTickGap         = 600 * time.Millisecond // between two Ticks; a longer gap means that this process was paused
	joinInterval       = 3 * time.Second        // between two pings to seeds and dead members
	startTime          = 5 * time.Second        // after the first list of nodes in which this node pings seeds more often
	syncInterval       = 3 * time.Second        // between two full exchanges with one member
	digestSettleTime   = 2 * time.Second        // time after a change in which digests may differ because updates are in transit
	deadTTL            = 2 * time.Hour          // time after which a dead member is forgotten
	minHold            = 4 * time.Second        // hold time when a member is alive again after it was declared dead once
	maxHold            = 2 * time.Minute        // limit of the hold time
	indirectProbers    = 2                      // members that are asked to probe a member that does not answer
)

var handle kernel.Handle[*View]

func init() {
	handle = kernel.Register(kernel.Plugin[*View]{
		Name: "member",
		Rank: 10,
		Init: newView,
		Step: step,
	})
}

// Of returns the member list in s.
func Of(s kernel.State) *View {
	return handle.Of(s)
}

// Peer is what this node knows of one member.
type Peer struct {
	Member    *wire.Member
	Since     time.Time // when this node learned the present record
	Flaps     int       // times that the member was alive again after it was declared dead
	HoldUntil time.Time // not an owner before this time; zero for no hold
}

// View is the state of the plug-in: the member list as this node knows it, and
// the probes under way. It is immutable.
type View struct {
	self            *wire.Member
	peers           map[string]Peer         // known members including this node, by id
	seeds           []*wire.Member          // nodes of the last kernel.HostsListed
	seedsAt         time.Time               // of the first list of nodes with another one; zero before
	probes          map[string]probe        // unanswered probes, by member
	relayed         map[uint64]relayedProbe // unanswered probes on behalf of others, by sequence number
	updates         []*wire.Member          // changed records, to be sent at the next Tick
	owners          []string                // sorted ids of the members that may be owners
	neighbours      []string                // ids of the members that this node probes
	digest          uint64                  // exclusive or of the hashes of all records
	digestChangedAt time.Time               // when digest last changed
	unsettled       []string                // sorted ids of the members that are not alive or that are on hold
	seq             uint64                  // last sequence number of a Ping; also seeds random choices
	lastTick        time.Time
	lastProbe       time.Time
	lastJoinPing    time.Time
	lastSync        map[string]time.Time // last full exchange, by member
}

// probe is a Ping that has not been answered yet.
type probe struct {
	sentAt   time.Time
	indirect bool // other members have been asked to probe too
}

// relayedProbe is a Ping that was sent on behalf of another member.
type relayedProbe struct {
	requester string
	seq       uint64 // of the requester's Probe
	sentAt    time.Time
}

func newView(cfg kernel.Config) *View {
	v := &View{
		self:     cfg.Self,
		peers:    map[string]Peer{cfg.Self.GetId(): {Member: cfg.Self}},
		probes:   map[string]probe{},
		relayed:  map[uint64]relayedProbe{},
		lastSync: map[string]time.Time{},
	}
	v.rebuildIndex(time.Time{})
	return v
}

// Self returns the record of this node.
func (v *View) Self() *wire.Member {
	return v.self
}

// Owners returns the sorted ids of the members that may be owners: those that are
// usable and not on hold. The caller must not change the slice.
func (v *View) Owners() []string {
	return v.owners
}

// OwnersInCentre returns the sorted ids of the owners in this node's data centre.
func (v *View) OwnersInCentre() []string { return v.InCentre(v.owners) }

// InCentre returns those of the members that are in this node's data centre.
func (v *View) InCentre(ids []string) []string {
	var list []string
	for _, id := range ids {
		if v.SameCentre(id) {
			list = append(list, id)
		}
	}
	return list
}

// SendTo returns the effects that send a frame to each of the nodes except this one.
func (v *View) SendTo(nodes []string, f *wire.Frame) []kernel.Effect {
	var effects []kernel.Effect
	for _, id := range nodes {
		if id != v.self.GetId() {
			effects = append(effects, kernel.Send{To: id, Frame: f})
		}
	}
	return effects
}

// UsableIDs returns the sorted ids of the usable members, those on hold included.
func (v *View) UsableIDs() []string {
	var ids []string
	for id, p := range v.peers {
		if usable(p) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// SameCentre reports whether a member is in this node's data centre.
func (v *View) SameCentre(id string) bool {
	p, ok := v.peers[id]
	return ok && p.Member.GetCentre() == v.self.GetCentre()
}

// Get returns what is known of a member, and whether it is known at all.
func (v *View) Get(id string) (Peer, bool) {
	p, ok := v.peers[id]
	return p, ok
}

// Len returns the number of known members, including this node and dead members.
func (v *View) Len() int {
	return len(v.peers)
}

// Digest returns a hash over the records of all known members, by which two nodes
// compare their lists.
func (v *View) Digest() uint64 {
	return v.digest
}

// Neighbours returns the ids of the members that this node probes. The caller must
// not change the slice.
func (v *View) Neighbours() []string {
	return v.neighbours
}

// Peers returns every known member, sorted by id.
func (v *View) Peers() []Peer {
	list := make([]Peer, 0, len(v.peers))
	for _, p := range v.peers {
		list = append(list, p)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Member.GetId() < list[j].Member.GetId() })
	return list
}

// Incarnation returns the incarnation of a member, or 0 if it is not known.
func (v *View) Incarnation(id string) uint64 {
	if id == v.self.GetId() {
		return v.self.GetIncarnation()
	}
	return v.peers[id].Member.GetIncarnation()
}

// Serving returns the members to which callers may be sent: those that are alive
// and have an address for callers, sorted by id.
func (v *View) Serving() []*wire.Member {
	var list []*wire.Member
	for _, p := range v.Peers() {
		if p.Member.GetState() == wire.State_ALIVE && p.Member.GetFront() != "" {
			list = append(list, p.Member)
		}
	}
	return list
}

// OthersServing returns the ids of the other members to which callers may be sent.
func (v *View) OthersServing() []string {
	var ids []string
	for id, p := range v.peers {
		if id != v.self.GetId() && p.Member.GetState() == wire.State_ALIVE && p.Member.GetFront() != "" {
			ids = append(ids, id)
		}
	}
	return ids
}

// Usable reports whether a member can be sent work: whether it is alive or only
// suspected.
func (v *View) Usable(id string) bool {
	p, ok := v.peers[id]
	return ok && usable(p)
}

func usable(p Peer) bool {
	s := p.Member.GetState()
	return s == wire.State_ALIVE || s == wire.State_SUSPECT
}

// replaces reports whether record a replaces record b of the same member.
func replaces(a, b *wire.Member) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetState() > b.GetState()
}

// Unresponsive returns the number of members that have not responded of late, as far as this node
// knows: neighbours that have not answered a probe for some time, and members that are suspected or
// have been declared dead in the last seconds.
func (v *View) Unresponsive(now time.Time) int {
	count := 0
	for id, p := range v.probes {
		if v.peers[id].Member.GetState() == wire.State_ALIVE && now.Sub(p.sentAt) >= unresponsiveTime {
			count++
		}
	}
	for _, id := range v.unsettled {
		switch p := v.peers[id]; p.Member.GetState() {
		case wire.State_SUSPECT:
			count++
		case wire.State_DEAD:
			if now.Sub(p.Since) < recentDeathTime {
				count++
			}
		}
	}
	return count
}

// rebuildIndex recomputes the lists and the digest that are derived from peers.
func (v *View) rebuildIndex(now time.Time) {
	v.owners = nil
	v.unsettled = nil
	oldDigest := v.digest
	v.digest = 0
	for id, p := range v.peers {
		v.digest ^= hashRecord(p.Member)
		if p.Member.GetState() != wire.State_ALIVE || !p.HoldUntil.IsZero() {
			v.unsettled = append(v.unsettled, id)
		}
		if usable(p) && !now.Before(p.HoldUntil) {
			v.owners = append(v.owners, id)
		}
	}
	sort.Strings(v.owners)
	sort.Strings(v.unsettled)
	if v.digest != oldDigest {
		v.digestChangedAt = now
	}
	v.neighbours = ringNeighbours(v.self, v.peers)
}

// hashRecord hashes a record's id together with its incarnation and state, so that
// equal changes to two members do not cancel each other out in the exclusive or of
// all hashes.
func hashRecord(m *wire.Member) uint64 {
	buf := make([]byte, 0, 64)
	buf = append(buf, m.GetId()...)
	buf = binary.LittleEndian.AppendUint64(buf, m.GetIncarnation())
	buf = append(buf, byte(m.GetState()))
	return xxhash.Sum64(buf)
}
