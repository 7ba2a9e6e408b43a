// Package fleet keeps a node's view of the routing table and the endpoints:
// which endpoints there are, which are leaving, and what other nodes run on them.
//
// It is a plug-in of the kernel. A few nodes watch the platform's store. Changes
// spread from them by gossip: each node forwards new items to its neighbours,
// with the store revision that orders them, so that a node that cannot reach the
// store learns the same. Large items are announced, and each node fetches the newest
// version from one node at a time. Neighbours also compare digests (anti-entropy), which
// repairs lost messages. A node sends changes of its local usage at once to the
// nodes of its load group (LoadGroup), or at short intervals if the deployment is
// large.
//
// Invariants:
//   - The version of the table in force never decreases.
//   - Of two records of an endpoint, the one with the higher Version is kept; of two
//     routing tables, the one that the operator gave the higher number.
//   - An endpoint that said in a response that it is leaving is treated as leaving until
//     it has started again. One whose load report said so is treated as leaving until
//     the store holds a newer record of it.
//   - An endpoint that was leaving or gone in an earlier era of the store is treated as
//     leaving until its record changes in the new era, or for restoreSettleTime.
//   - The shares that the nodes have of an endpoint's rate limit add up to at most that
//     limit, if the nodes know the same members and have learned of the limit.
//   - The shares that the nodes have of what a cold endpoint can bear add up to at most that and
//     half of the allowed excess, also while nodes are cut off for up to coldMemberMemory.
//   - A stream that its caller may take up again begins at a version that this node knows to be
//     named by the store's record of versions (IsRecorded).
//   - A data centre is evacuated from the time at which this node learns the item that says so
//     until it learns that item's removal.
//   - An item that cannot be decoded yields no endpoint and does not affect the
//     other items.
package fleet

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/owner"
	"github.com/plantaindeck/plantaindeck/queue"
	"github.com/plantaindeck/plantaindeck/table"
)

const (
	digestInterval       = time.Second            // between two digests sent to a neighbour
	wantTimeout          = 500 * time.Millisecond // time after a Want before the next may be sent
	digestSettleTime     = 300 * time.Millisecond // time after a new item in which digests may differ because items are in transit
	maxMismatches        = 3                      // differing digests in a row after which a neighbour is sent a Want even if items are in transit
	maxForwardedItems    = 64                     // new items of a list of the whole store that are forwarded; if there are more, none are and the digests spread them
	minFailureChange     = 5                      // smallest change of an endpoint's failures that is worth a message, tenths of a request
	minRebuildItems      = 256                    // lowest number of changed items at which the endpoint lists are rebuilt rather than updated
	restoreSettleTime    = 6 * time.Second        // after which a restored record is believed: three missed heartbeats of its writer, and the time until the store removes it
	leaveReportTTL       = 2 * time.Minute        // time for which the report of an endpoint that is not listed is remembered, since its record may come back
	tombstoneTTL         = time.Minute            // time for which a removal is remembered, since older updates may still arrive
	usageIntervalPerNode = 100 * time.Millisecond // between two full Usages, for each known node
	usageTTLIntervals    = 10                     // a node's usage is stale after this many intervals between full Usages
	changesInterval      = 200 * time.Millisecond // between two Usages with changes in a large deployment
	largeUsageInterval   = 5 * time.Second        // between two full Usages in a large deployment
)

var handle kernel.Handle[*View]

func init() {
	handle = kernel.Register(kernel.Plugin[*View]{
		Name: "fleet",
		Rank: 25,
		Init: func(kernel.Config) *View { return &View{} },
		Step: step,
	})
}

// Of returns the View in s.
func Of(s kernel.State) *View {
	return handle.Of(s)
}

// Endpoint is one run of a server process. A restarted process is another
// endpoint.
type Endpoint struct {
	ID          string
	Service     string
	Addr        string
	Centre      string // data centre
	Slots       int    // requests that it can run at once
	Leaving     bool
	Version     string        // of its software
	StartMillis int64         // start of the process, Unix milliseconds by its host's clock
	ColdFor     time.Duration // time for which it stays cold from the writing of its record on; 0 if it is not cold
	hash        uint64        // hash of ID, which decides the load group that prefers the endpoint
}

// View is the state of the plug-in: what this node knows of the routing table,
// the endpoints and their usage. It is immutable.
type View struct {
	table         *table.Table // in force; nil before the first one
	era           int64        // highest era of the store that any item states
	records       records
	large         largeItems
	services      map[string][]Endpoint    // by service, each list sorted by id
	complete      bool                     // every item of the store has been learned
	completeAt    time.Time                // when that was known first
	digestSentAt  time.Time                // when this node last sent its digest to the neighbours
	updatedAt     time.Time                // when a new item last arrived
	wantSentAt    time.Time                // when this node last sent a Want
	mismatches    map[string]int           // differing digests in a row, by neighbour
	contactAt     time.Time                // when the store last responded to this node
	contactLostAt time.Time                // when the store first failed to serve this node after contactAt; zero if it has not
	contactSentAt time.Time                // when this node last told the other nodes of its contact
	standbysAt    time.Time                // when this node last told the standbys of its contact
	announcedAt   time.Time                // when this node, as a reader of the store, last announced the routing table to all members, or found that it need not
	announceNext  Version                  // of the routing table at announcedAt, which is announced next
	lastContact   time.Time                // when the store last responded to any node, as far as known
	contacts      map[string]time.Time     // when the store last responded to each other node that reads it, as far as known
	localUsage    map[string]EndpointUsage // what this node runs, by endpoint
	usageSentAt   time.Time                // when this node last sent a full Usage
	localPooled   map[string]uint32        // retries of this node from the pool of its load group in the last window, by service
	sentPooled    map[string]uint32        // localPooled as of the last Usage sent
	sentUsage     map[string]EndpointUsage // the local usage as of the last changes sent to the load group, by endpoint
	changesSentAt time.Time                // when changes of the local usage were last sent
	group         LoadGroup                // of this node
	peers         map[string]peerUsage     // by node
	spentPools    map[string]spentPool     // by node
	remoteUsage   map[string]EndpointUsage // sum over peers, by endpoint
	leaveReports  map[string]leaveReport   // by endpoint
	limits        map[string]rateLimit     // by endpoint
	shares        map[string]RateShare     // of the limits that count and of what cold endpoints can bear, by endpoint
	limitedCount  int                      // endpoints that have a rate limit
	startedAt     time.Time                // when this node's first Tick came; zero before
	run           uint32                   // number of this process, another one than that of the node's former process; odd, 0 before the first Tick
	cold          map[string]coldState     // by endpoint
	coldCount     int                      // cold endpoints whose services bound the requests to them
	self          string                   // id of this node
	sharers       []string                 // sorted ids of the nodes that divide the slots of brittle endpoints, this one included
	evacuated     map[string]Version       // items that evacuate data centres, by data centre
	recorded      map[string][]string      // versions that the store's records name, by service
	localWaiting  waitingList              // this node's requests that wait for room
	waitingSentAt time.Time                // when the load group was last told of localWaiting
	waitingSent   bool                     // some requests waited then
	freed         map[string]queue.Flow    // load freed by the other nodes of the load group, by service
}

// peerUsage is what one other node runs.
type peerUsage struct {
	receivedAt time.Time
	sameCentre bool // the node is in this node's data centre
	uses       map[string]EndpointUsage
	pooled     map[string]uint32 // retries from the pool of the load group in the last window, by service
	run        uint32            // number of the process that sent the usage; 0 if unknown
	waiting    waitingList       // requests that wait there
}

// EndpointUsage is the usage of one endpoint by one or more nodes, with the outcomes of
// recent requests. The outcomes are decayed counts in tenths of a request. In the usage
// of other nodes, the outcomes and Unreachable cover only nodes of this node's data
// centre.
type EndpointUsage struct {
	Requests      int // requests that run or wait on it
	Tokens        int // KV cache that the requests are expected to need, tokens
	PendingPrompt int // prompt tokens that are not prefilled yet
	Successes     int // recent requests that succeeded, tenths
	Failures      int // recent requests that failed, tenths
	Unreachable   int // nodes whose last connection to it failed a moment ago
	Brittle       int // nodes to which it said in its last response that it is brittle
	Full          int // nodes of which it rejected a request a moment ago while it was brittle
	Slow          int // sum of the slow factors that SlowNodes nodes measured, hundredths
	SlowNodes     int
	Prefill       int // sum of the prefill rates that PrefillNodes nodes measured, tokens per second
	PrefillNodes  int
}

// differs reports whether the difference between u and the usage sent before is
// worth a message. Any change of what runs is. A change of the outcomes is worth
// one only if the failures rose or fell by minFailureChange or more, and one of the speeds
// only if it is large.
func (u EndpointUsage) differs(sent EndpointUsage) bool {
	change := u.Failures - sent.Failures
	u.Successes, u.Failures, sent.Successes, sent.Failures = 0, 0, 0, 0
	if !speedChanged(u.Slow, sent.Slow) && !speedChanged(u.Prefill, sent.Prefill) {
		u = u.withSpeed(sent)
	}
	return u != sent || change >= minFailureChange || -change >= minFailureChange
}

// Era returns the highest era of the store that this node has learned of.
func (v *View) Era() int64 { return v.era }

// Table returns the routing table in force, or nil before the first one.
func (v *View) Table() *table.Table { return v.table }

// TableUpdatedAt returns when this node received the last change of the routing table,
// or the zero time if it has none.
func (v *View) TableUpdatedAt() time.Time {
	r, _ := v.records.get(tableItem)
	return r.receivedAt
}

// Ready reports whether the node has a routing table and has learned of every
// item of the store, so that it can serve callers.
func (v *View) Ready() bool { return v.table != nil && v.complete }

// Endpoints returns the endpoints of a service, including those that are leaving,
// sorted by id. The caller must not change the slice.
func (v *View) Endpoints(service string) []Endpoint { return v.services[service] }

// Endpoint returns the endpoint with the given id, and whether it is known and
// has not been removed.
func (v *View) Endpoint(id string) (Endpoint, bool) {
	r, ok := v.records.get(endpointPrefix + id)
	if !ok || r.item.GetRemoved() || r.endpoint.ID == "" {
		return Endpoint{}, false
	}
	return v.withReport(r), true
}

// EndpointsAt returns the known endpoints with an address, including those that are leaving.
// Of two, one has ended and its address is used again.
func (v *View) EndpointsAt(addr string) []Endpoint {
	var list []Endpoint
	for _, endpoints := range v.services {
		for _, e := range endpoints {
			if e.Addr == addr {
				list = append(list, e)
			}
		}
	}
	return list
}

// SettledAddrs returns the addresses of the known endpoints that take connections at any time: they are
// neither leaving, cold nor in an evacuated data centre.
func (v *View) SettledAddrs(now time.Time) []string {
	var addrs []string
	for _, endpoints := range v.services {
		for _, e := range endpoints {
			if !e.Leaving && !v.IsCold(now, e) && !v.IsEvacuated(e) {
				addrs = append(addrs, e.Addr)
			}
		}
	}
	slices.Sort(addrs)
	return addrs
}

// GoneAt returns when an endpoint that reported itself as leaving will be gone, or
// the zero time if that is unknown.
func (v *View) GoneAt(id string) time.Time { return v.leaveReports[id].goneAt }

// RemoteUsage returns the remote usage of an endpoint: what other nodes run on it
// according to the messages that they sent.
func (v *View) RemoteUsage(id string) EndpointUsage { return v.remoteUsage[id] }

// PeerCount returns the number of other nodes whose usage is known.
func (v *View) PeerCount() int { return len(v.peers) }

// LoadGroup returns the load group of this node.
func (v *View) LoadGroup() LoadGroup { return v.group }

// SlotShare returns how many requests this node may run on an endpoint at once if the nodes of
// its load group divide the slots. Load pattern: nodes that learn of each other's requests some
// milliseconds late all use the same free slot, and the endpoint must reject all but one.
func (v *View) SlotShare(e Endpoint) int {
	nodes := len(v.sharers)
	if nodes == 0 {
		return e.Slots
	}
	share := e.Slots / nodes
	if owner.InTopN(e.ID, v.self, e.Slots%nodes, v.sharers) {
		share++
	}
	return share
}

// LastStoreContact returns when the store last responded to any node, as far as this
// node knows.
func (v *View) LastStoreContact() time.Time { return v.lastContact }

// EndpointIDs returns the sorted ids of the known endpoints that have not been removed.
func (v *View) EndpointIDs() []string { return v.EndpointIDsBefore(math.MaxInt64) }

// EndpointIDsBefore is EndpointIDs for the endpoints whose records are of eras before
// the given one.
func (v *View) EndpointIDsBefore(era int64) []string {
	var ids []string
	for _, r := range v.records.all() {
		if r.endpoint.ID != "" && !r.item.GetRemoved() && r.item.GetEra() < era {
			ids = append(ids, r.endpoint.ID)
		}
	}
	sort.Strings(ids)
	return ids
}
