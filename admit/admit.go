// Package admit implements admission control for the shards that this node
// owns: it queues their requests and grants them slots on endpoints.
//
// The owner of a shard is the only node that admits work to its endpoints, so
// it knows the memory that each request holds without waiting for the
// endpoints' load reports, which lag. Entry nodes report the running requests
// to the owner. After a change of owner, one report of each entry node is
// enough for the new owner to know all of them.
//
// Invariants:
//   - This node gives a request at most one grant at a time.
//   - This node's grants never exceed the slots of an endpoint, nor are they
//     expected to need more than its memory, unless a single one does.
//   - Of two queued requests that fit the same endpoints, the one of the
//     higher priority is granted first. Within a priority, workspaces use the
//     engines in proportion to their shares, charged by engine time and memory.
//   - Requests that have been queued for 20 s are granted before all others.
//
// While member lists differ, two nodes may own the same shard and admit to the
// same endpoints. That costs preemptions but runs no request twice, since an
// entry node uses one grant only.
package admit

import (
	"cmp"
	"maps"
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/length"
	"github.com/plantaindeck/plantaindeck/shard"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	maxQueueLen         = 5000                    // queued requests of one shard
	askTTL              = 6 * time.Second         // a queued request is dropped unless its entry node repeats the Ask within this time
	grantTTL            = 5 * time.Second         // a grant is dropped unless its entry node reports progress within this time
	minFailureBackoff   = time.Second             // time without grants to an endpoint after its first failure; doubles with each further one in a row
	maxFailureBackoff   = 30 * time.Second        // limit of the time without grants after failures
	leavingBackoff      = time.Minute             // time without grants to an endpoint after it reported that it is leaving
	maxSkipped          = 16                      // a pass over the queue stops after this many requests that fit no endpoint
	queueFullRetryAfter = 2 * time.Second         // retry delay advised when the queue is full
	settleTimeout       = 1200 * time.Millisecond // a new owner waits at most this long for load reports before it grants
	unknownLoadTTL      = 6 * time.Second         // a new owner counts load that belongs to no known grant for this long
)

var handle kernel.Handle[*ShardTable]

func init() {
	handle = kernel.Register(kernel.Plugin[*ShardTable]{
		Name: "admit",
		Rank: 40,
		Init: func(kernel.Config) *ShardTable { return &ShardTable{shards: map[string]*Shard{}} },
		Step: step,
	})
}

// Of returns the shard table in s.
func Of(s kernel.State) *ShardTable {
	return handle.Of(s)
}

// ShardTable holds the shards that this node owns or was asked about. It is
// immutable.
type ShardTable struct {
	shards       map[string]*Shard
	watched      []kernel.LoadTarget // engines whose load the driver reads
	leavingHosts map[string]bool     // IP addresses of hosts that are leaving
}

func (t *ShardTable) withShard(key string, sh *Shard) *ShardTable {
	next := *t
	next.shards = maps.Clone(t.shards)
	next.shards[key] = sh
	return &next
}

// shardOrNew returns a shard and its key. A shard that is not in the table is
// created but not added to it.
func (t *ShardTable) shardOrNew(now time.Time, service string, index uint32) (key string, sh *Shard) {
	key = shard.Key(service, int(index))
	sh, ok := t.shards[key]
	if !ok {
		sh = newShard(now, service, int(index))
	}
	return key, sh
}

// Shards returns the shards by key. The caller must not change the map.
func (t *ShardTable) Shards() map[string]*Shard {
	return t.shards
}

// Shard holds the queue and the grants of one shard. It is immutable.
type Shard struct {
	service         string
	index           int
	lastSeq         uint64                          // sequence number of the last queued request
	lastNumber      uint64                          // number of the last grant
	virtualTime     float64                         // latest virtual start time of a granted request
	accounts        *immutable.Map[string, account] // by workspace
	grantRates      *immutable.Map[int, grantRate]  // by priority, for those with queued requests
	firstSeen       time.Time                       // when this node received its first message about the shard
	queue           *immutable.SortedMap[position, queuedRequest]
	positions       *immutable.Map[string, position]         // in the queue, by request
	granted         *immutable.Map[string, grantedRequest]   // by request
	requestByNumber *immutable.Map[uint64, string]           // by the number of the grant
	endpointUsage   *immutable.Map[string, usage]            // by endpoint
	lengths         *immutable.Map[string, length.Histogram] // output lengths, by classKey and by workspaceKey
}

// position is the sort key of a request in the queue.
type position struct {
	priority int
	start    float64 // virtual start time
	seq      uint64
}

// byPosition orders the queue: higher priorities first, then earlier virtual
// start times, then earlier arrivals.
type byPosition struct{}

// Compare returns -1, 0 or 1 as a is before, at or after b in the queue.
func (byPosition) Compare(a, b position) int {
	if c := cmp.Compare(b.priority, a.priority); c != 0 {
		return c
	}
	if c := cmp.Compare(a.start, b.start); c != 0 {
		return c
	}
	return cmp.Compare(a.seq, b.seq)
}

// queuedRequest is a request that waits for a grant.
type queuedRequest struct {
	ask      *wire.Ask
	entry    string    // node that asked
	priority int       // of its class
	share    int       // of its workspace
	charged  float64   // expected cost, in output tokens, charged to its workspace
	arrived  time.Time // first Ask
	lastSeen time.Time // last Ask
	deadline time.Time
}

// grantedRequest is a request with a grant.
type grantedRequest struct {
	ask          *wire.Ask
	entry        string // node that asked, or that described the request to this owner
	endpoint     string
	addr         string // of the endpoint; empty if another owner granted the request
	number       uint64 // of the grant, unique within this node's incarnation
	memory       memoryEstimate
	share        int       // of its workspace; 0 if another owner granted it
	charged      float64   // expected cost, in output tokens, charged to its workspace
	tokens       int       // output tokens reported so far
	lastReported time.Time // last progress report, or the grant if there is none yet
}

// usage is the sum of the grants on one endpoint, and whether it may get more.
type usage struct {
	slots           int       // in use
	memoryMean      float64   // expected memory, tokens
	memoryVariance  float64   // of the expected memory, tokens squared
	failures        int       // failed requests in a row
	backoffUntil    time.Time // no grants before this time; zero if there was no backoff
	reported        bool      // the endpoint has reported its load to this owner
	unknownRequests int       // requests that the endpoint reported beyond the known grants
	unknownMemory   int       // memory that it reported beyond that of the known grants, tokens
}

func newShard(now time.Time, service string, index int) *Shard {
	return &Shard{
		service:         service,
		index:           index,
		firstSeen:       now,
		queue:           immutable.NewSortedMap[position, queuedRequest](byPosition{}),
		positions:       immutable.NewMap[string, position](nil),
		granted:         immutable.NewMap[string, grantedRequest](nil),
		requestByNumber: immutable.NewMap[uint64, string](nil),
		endpointUsage:   immutable.NewMap[string, usage](nil),
		lengths:         immutable.NewMap[string, length.Histogram](nil),
		accounts:        immutable.NewMap[string, account](nil),
		grantRates:      immutable.NewMap[int, grantRate](nil),
	}
}

// Waiting returns the number of queued requests.
func (sh *Shard) Waiting() int {
	return sh.queue.Len()
}

// Granted returns the number of requests with a grant.
func (sh *Shard) Granted() int {
	return sh.granted.Len()
}

// Used returns the slots that grants hold on an endpoint, and the memory that
// they are expected to hold, in tokens.
func (sh *Shard) Used(endpoint string) (slots, memory int) {
	u, _ := sh.endpointUsage.Get(endpoint)
	return u.slots, int(u.memoryMean)
}

func (sh *Shard) withUsage(endpoint string, update func(u usage) usage) *Shard {
	next := *sh
	u, _ := sh.endpointUsage.Get(endpoint)
	next.endpointUsage = sh.endpointUsage.Set(endpoint, update(u))
	return &next
}

func (sh *Shard) withGranted(g grantedRequest) *Shard {
	g.memory = sh.expectedMemory(g.ask, g.tokens)
	next := sh.withUsage(g.endpoint, func(u usage) usage {
		u.slots++
		u.memoryMean += g.memory.mean
		u.memoryVariance += g.memory.variance
		return u
	})
	next.lastNumber++
	g.number = next.lastNumber
	next.granted = next.granted.Set(g.ask.GetRequest(), g)
	next.requestByNumber = next.requestByNumber.Set(g.number, g.ask.GetRequest())
	return next
}

func (sh *Shard) withoutGranted(id string) *Shard {
	g, ok := sh.granted.Get(id)
	if !ok {
		return sh
	}
	next := sh.withUsage(g.endpoint, func(u usage) usage {
		u.slots--
		u.memoryMean -= g.memory.mean
		u.memoryVariance -= g.memory.variance
		return u
	})
	next.granted = next.granted.Delete(id)
	next.requestByNumber = next.requestByNumber.Delete(g.number)
	return next
}

func (sh *Shard) withProgress(g grantedRequest, tokens int, now time.Time) *Shard {
	old := g.memory
	g.memory = sh.expectedMemory(g.ask, tokens)
	g.tokens = tokens
	g.lastReported = now
	next := sh.withUsage(g.endpoint, func(u usage) usage {
		u.memoryMean += g.memory.mean - old.mean
		u.memoryVariance += g.memory.variance - old.variance
		return u
	})
	next.granted = next.granted.Set(g.ask.GetRequest(), g)
	return next
}

func (sh *Shard) withQueued(q queuedRequest) *Shard {
	q.charged = sh.expectedCost(q.ask)
	next, start := sh.withCharge(q.ask.GetWorkspace(), q.charged, q.share)
	next.lastSeq++
	at := position{priority: q.priority, start: start, seq: next.lastSeq}
	next.queue = sh.queue.Set(at, q)
	next.positions = sh.positions.Set(q.ask.GetRequest(), at)
	return next
}

func (sh *Shard) withoutQueued(id string) *Shard {
	at, ok := sh.positions.Get(id)
	if !ok {
		return sh
	}
	next := *sh
	next.queue = sh.queue.Delete(at)
	next.positions = sh.positions.Delete(id)
	return &next
}
