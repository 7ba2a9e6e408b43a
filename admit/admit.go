// Package admit queues the requests of the shards that this node owns, and
// grants them places on endpoints.
//
// The owner of a shard is the only node that admits work to its endpoints, so
// it knows the memory that each request holds without waiting for the
// endpoints' reports, which lag. What it knows of running requests comes from
// the entry nodes and is complete again one report after a change of owner.
//
// Invariants:
//   - A request is granted at most one place by this node.
//   - The slots of an endpoint are never exceeded by this node's grants, nor
//     is its memory by the amounts that it expects them to need.
//   - Of two queued requests that fit the same endpoints, the one of the
//     higher priority goes first. Within a priority workspaces share the
//     engines in proportion to their shares, charged by engine time and memory.
//   - A request that has waited for 20 s goes before all that have not.
//
// A second owner of the same shard may exist for a time. Both then admit to
// the same endpoints; that costs preemptions and breaks no promise, since an
// entry node uses one place only.
package admit

import (
	"cmp"
	"maps"
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/plantaindeck/plantaindeck/guess"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/shard"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	maxQueue       = 5000                    // requests waiting in one shard
	entryTimeout   = 6 * time.Second         // a request that its entry node no longer repeats
	runningTimeout = 5 * time.Second         // a place that its entry node no longer reports
	failureHold    = time.Second             // first rest of an endpoint that failed
	maxFailureHold = 30 * time.Second        //
	leavingHold    = time.Minute             // rest of an endpoint that said it is leaving
	lookahead      = 16                      // queued requests considered behind one that does not fit
	overloadRetry  = 2 * time.Second         // advice to a request that is shed
	settleTime     = 1200 * time.Millisecond // a new owner waits for reports before it grants
	learnTime      = 6 * time.Second         // a new owner counts running requests that it does not know
)

var handle kernel.Handle[*Book]

func init() {
	handle = kernel.Register(kernel.Plugin[*Book]{
		Name: "admit",
		Rank: 40,
		Init: func(kernel.Config) *Book { return &Book{shards: map[string]*Shard{}} },
		Step: step,
	})
}

// Of returns the shards that this node owns in s.
func Of(s kernel.State) *Book {
	return handle.Of(s)
}

// Book holds the shards that this node owns or was asked about. It is
// immutable.
type Book struct {
	shards  map[string]*Shard
	watched []kernel.Target
	leaving map[string]bool // IP numbers of hosts that are leaving
}

func (b *Book) with(key string, sh *Shard) *Book {
	next := *b
	next.shards = maps.Clone(b.shards)
	next.shards[key] = sh
	return &next
}

// Returns a shard, which is new if this node has not heard of it.
func (b *Book) shard(now time.Time, service string, index uint32) (key string, sh *Shard) {
	key = shard.Key(service, int(index))
	sh, ok := b.shards[key]
	if !ok {
		sh = newShard(now, service, int(index))
	}
	return key, sh
}

// Shards returns the shards by key. The caller must not change the map.
func (b *Book) Shards() map[string]*Shard {
	return b.shards
}

// Shard is the queue and the places of one shard. It is immutable.
type Shard struct {
	service  string
	index    int
	seq      uint64                          // of the last queued request
	number   uint64                          // of the last grant
	virtual  float64                         // virtual time of the last grant
	accounts *immutable.Map[string, account] // by workspace
	paces    *immutable.Map[int, pace]       // of the priorities that queue
	since    time.Time                       // when this node first heard of the shard
	queue    *immutable.SortedMap[place, waiting]
	places   *immutable.Map[string, place] // place in the queue, by request
	granted  *immutable.Map[string, granted]
	numbers  *immutable.Map[uint64, string]        // request by the number of its grant
	used     *immutable.Map[string, usage]         // by endpoint
	lengths  *immutable.Map[string, guess.Lengths] // of answers, by class and by class and workspace
}

// place is a position in the queue.
type place struct {
	priority int
	start    float64 // virtual time
	seq      uint64
}

// byPlace orders the queue: higher priorities first, then earlier virtual times
// of their workspaces, then earlier arrivals.
type byPlace struct{}

// Compare orders two places.
func (byPlace) Compare(a, b place) int {
	if c := cmp.Compare(b.priority, a.priority); c != 0 {
		return c
	}
	if c := cmp.Compare(a.start, b.start); c != 0 {
		return c
	}
	return cmp.Compare(a.seq, b.seq)
}

// waiting is a queued request.
type waiting struct {
	ask      *wire.Ask
	entry    string // node that asked
	priority int    // of its class
	share    int    // of its workspace
	charged  float64
	arrived  time.Time
	seen     time.Time
	deadline time.Time
}

// granted is a request with a place.
type granted struct {
	ask      *wire.Ask
	entry    string
	endpoint string
	addr     string
	number   uint64
	need     need
	share    int // of its workspace; 0 if another owner granted it
	charged  float64
	tokens   int
	seen     time.Time
}

// usage is what the grants of one endpoint hold, and whether it may get more.
type usage struct {
	slots    int
	mean     float64 // expected memory, tokens
	variance float64
	failures int // in a row
	rest     time.Time
	reported bool // the endpoint has reported its load to this owner
	strange  int  // requests that run there and are unknown to a new owner
	stranger int  // memory that they hold, tokens
}

func newShard(now time.Time, service string, index int) *Shard {
	return &Shard{
		service:  service,
		index:    index,
		since:    now,
		queue:    immutable.NewSortedMap[place, waiting](byPlace{}),
		places:   immutable.NewMap[string, place](nil),
		granted:  immutable.NewMap[string, granted](nil),
		numbers:  immutable.NewMap[uint64, string](nil),
		used:     immutable.NewMap[string, usage](nil),
		lengths:  immutable.NewMap[string, guess.Lengths](nil),
		accounts: immutable.NewMap[string, account](nil),
		paces:    immutable.NewMap[int, pace](nil),
	}
}

// Waiting returns the number of queued requests.
func (sh *Shard) Waiting() int {
	return sh.queue.Len()
}

// Granted returns the number of requests with a place.
func (sh *Shard) Granted() int {
	return sh.granted.Len()
}

// Used returns the slots and the memory, in tokens, that grants hold on an
// endpoint.
func (sh *Shard) Used(endpoint string) (slots, memory int) {
	u, _ := sh.used.Get(endpoint)
	return u.slots, int(u.mean)
}

func (sh *Shard) withUsage(endpoint string, change func(u usage) usage) *Shard {
	next := *sh
	u, _ := sh.used.Get(endpoint)
	next.used = sh.used.Set(endpoint, change(u))
	return &next
}

func (sh *Shard) withGranted(g granted) *Shard {
	g.need = sh.need(g.ask, g.tokens)
	next := sh.withUsage(g.endpoint, func(u usage) usage {
		u.slots++
		u.mean += g.need.mean
		u.variance += g.need.variance
		return u
	})
	next.number++
	g.number = next.number
	next.granted = next.granted.Set(g.ask.GetRequest(), g)
	next.numbers = next.numbers.Set(g.number, g.ask.GetRequest())
	return next
}

func (sh *Shard) withoutGranted(id string) *Shard {
	g, ok := sh.granted.Get(id)
	if !ok {
		return sh
	}
	next := sh.withUsage(g.endpoint, func(u usage) usage {
		u.slots--
		u.mean -= g.need.mean
		u.variance -= g.need.variance
		return u
	})
	next.granted = next.granted.Delete(id)
	next.numbers = next.numbers.Delete(g.number)
	return next
}

func (sh *Shard) withProgress(g granted, tokens int, now time.Time) *Shard {
	old := g.need
	g.need = sh.need(g.ask, tokens)
	g.tokens = tokens
	g.seen = now
	next := sh.withUsage(g.endpoint, func(u usage) usage {
		u.mean += g.need.mean - old.mean
		u.variance += g.need.variance - old.variance
		return u
	})
	next.granted = next.granted.Set(g.ask.GetRequest(), g)
	return next
}

func (sh *Shard) withWaiting(w waiting) *Shard {
	w.charged = sh.expectedCost(w.ask)
	next, start := sh.withCharge(w.ask.GetWorkspace(), w.charged, w.share)
	next.seq++
	at := place{priority: w.priority, start: start, seq: next.seq}
	next.queue = sh.queue.Set(at, w)
	next.places = sh.places.Set(w.ask.GetRequest(), at)
	return next
}

func (sh *Shard) withoutWaiting(id string) *Shard {
	at, ok := sh.places.Get(id)
	if !ok {
		return sh
	}
	next := *sh
	next.queue = sh.queue.Delete(at)
	next.places = sh.places.Delete(id)
	return &next
}
