package fakes

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/plantaindeck/plantaindeck/wait"
)

// EngineConfig configures a model engine.
type EngineConfig struct {
	Addr        string
	Name        string        // first part of generation ids
	Memory      int           // size of the KV cache in tokens
	Slots       int           // maximum number of sequences in a batch
	Fencing     bool          // whether to reject a command whose fencing token is lower than that of an applied one
	Speed       float64       // factor by which steps are faster than their modelled cost; 0 means 1
	Lag         time.Duration // delay until load reports and cache events become visible
	Models      []string      // loaded at the start, as model or model:adapter; if empty, every model is served until a command loads one
	WeightsAddr string        // address of the weight store; empty for none
	Seed        uint64        // second part of generation ids
}

// Costs and limits of the batch. Costs are divided by EngineConfig.Speed.
const (
	stepBaseCost      = 12 * time.Millisecond
	decodeCost        = 400 * time.Microsecond // added for each sequence that decodes a token
	prefillTokenCost  = 20 * time.Microsecond  // added for each token that is prefilled
	maxPrefillTokens  = 512                    // in one step, over all sequences
	maxCachedPrefixes = 64                     // when exceeded, the least recently prefilled one is evicted
)

const (
	orphanTimeout = 10 * time.Second // how long a generation may be without a reader before it is cancelled
	endedTTL      = 60 * time.Second // how long an ended generation is kept, so that readers can resume it
)

// EngineFaults are the faults that an engine injects. Counts decrease as the
// faults occur; Pause and Stall apply once.
type EngineFaults struct {
	Pause          time.Duration `json:"pause"`  // additional duration of the next step of the batch
	Stall          time.Duration `json:"stall"`  // delay of the next read of any stream
	DropResponses  int           `json:"drop"`   // number of requests to run without a response
	CutStreams     int           `json:"cut"`    // number of streams to break
	CutAfterTokens int           `json:"cutat"`  // index of the token before which a stream breaks
	RefuseRequests int           `json:"refuse"` // number of requests to reject with 429
	CrashOn        string        `json:"crash"`  // the engine crashes when it begins to answer a prompt that contains this; empty for none
	CrashAfter     int           `json:"after"`  // number of tokens of that answer that leave it before
}

// EngineCounts counts events since an engine started.
type EngineCounts struct {
	Started   int `json:"started"` // admissions to the batch, except those of preempted generations that already have output
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	Preempted int `json:"preempted"`
	Tokens    int `json:"tokens"`   // output tokens
	Commands  int `json:"commands"` // applied commands
}

// Engine is a model engine with continuous batching.
//
// Each step of the batch prefills a limited number of tokens and decodes one token
// of each sequence that is fully prefilled. A step takes longer the more tokens it
// computes. Sequences hold memory for their prompt and their output; when the
// memory is full, the engine preempts the sequence with the lowest priority, the
// last to arrive among equals. A preempted sequence waits again and recomputes its
// tokens when it is admitted.
type Engine struct {
	*Server
	cfg  EngineConfig
	mu   sync.Mutex
	cond *sync.Cond // signals new output tokens, ended generations and Kill

	generations     map[string]*generation // by generation id; running, waiting or ended recently
	byRequestID     map[string]*generation // by request id; the latest of each
	tombstones      map[string]bool        // ids of requests that were cancelled before they arrived
	waiting         []*generation
	running         []*generation // sequences in the batch
	prefixes        []uint64      // cached prefixes by hash, least recently prefilled first
	cacheEvents     []cacheEvent  // oldest first
	lastCacheSeq    int
	generationCount int
	counts          EngineCounts
	faults          EngineFaults
	leaving         bool
	reports         []loadReport      // oldest first, from the one that is visible
	loaded          map[string]string // version by model
	role            string
	fencingToken    int64 // highest of an applied command
	appliedCommands []appliedCommand
	killed          bool // set by Kill, and ends all streams
}

// generation is one run of a request: a sequence of prompt and output tokens.
type generation struct {
	id             string
	requestID      string
	priority       int
	seq            int // order of arrival
	promptTokens   int
	prefixHash     uint64    // of the prompt's first bytes
	echoText       string    // text of each output token; empty for the texts of tokenText
	targetTokens   int       // number of output tokens after which it is done
	outputTokens   int       // output tokens so far
	computedTokens int       // prompt and output tokens in the KV cache
	readers        int       // open streams
	idleSince      time.Time // when a stream was closed last
	endedAt        time.Time // when it was done or cancelled
	state          genState
}

// genState is the state of a generation. Its text is sent to clients.
type genState string

const (
	genWaiting   genState = "waiting"
	genRunning   genState = "running"
	genDone      genState = "done"
	genCancelled genState = "cancelled"
)

// loadReport is the load of an engine at one time.
type loadReport struct {
	at        time.Time
	Running   int  `json:"running"`
	Waiting   int  `json:"waiting"`
	Used      int  `json:"used"`      // memory that running sequences hold, in tokens
	Memory    int  `json:"memory"`    // size of the KV cache in tokens
	Preempted int  `json:"preempted"` // preemptions since the engine started
	Leaving   bool `json:"leaving"`
}

// cacheEvent tells that a prefix was stored in or removed from the cache.
type cacheEvent struct {
	at         time.Time
	Seq        int    `json:"seq"`
	Op         string `json:"op"` // stored or removed
	PrefixHash uint64 `json:"prefix,string"`
}

// StartEngine starts an engine.
func StartEngine(cfg EngineConfig) (*Engine, error) {
	if cfg.Speed == 0 {
		cfg.Speed = 1
	}
	e := &Engine{
		cfg:         cfg,
		generations: map[string]*generation{},
		byRequestID: map[string]*generation{},
		tombstones:  map[string]bool{},
		loaded:      map[string]string{},
		role:        "serve",
	}
	e.cond = sync.NewCond(&e.mu)
	for _, m := range cfg.Models {
		e.loaded[m] = ""
	}
	var err error
	e.Server, err = startServer(cfg.Addr, e.serve, e.runBatch)
	return e, err
}

// Kill ends the engine as a crash would.
func (e *Engine) Kill() error {
	e.mu.Lock()
	e.killed = true
	e.cond.Broadcast()
	e.mu.Unlock()
	return e.Server.Kill()
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Counts returns the counts of events so far.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// AnnounceLeaving marks the engine as leaving: it rejects new requests and its load
// reports say that it is leaving.
func (e *Engine) AnnounceLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// runBatch runs one step of the batch after the other until ctx ends.
func (e *Engine) runBatch(ctx context.Context) {
	for {
		e.mu.Lock()
		pause := e.faults.Pause
		e.faults.Pause = 0
		cost := e.step(time.Now())
		e.mu.Unlock()
		if !wait.For(ctx, pause+time.Duration(float64(cost)/e.cfg.Speed)) {
			return
		}
	}
}

// idleInterval is the time between steps of an empty batch, whatever the speed.
const idleInterval = time.Millisecond

// step runs one step of the batch and returns its cost. e.mu must be held.
func (e *Engine) step(now time.Time) time.Duration {
	e.recordLoad(now)
	e.expireGenerations(now)
	e.admit()
	if len(e.running) == 0 {
		// runBatch divides by Speed.
		return time.Duration(float64(idleInterval) * e.cfg.Speed)
	}
	cost := stepBaseCost
	budget := maxPrefillTokens
	decoding := make([]*generation, 0, len(e.running))
	for _, g := range e.running {
		uncomputed := g.promptTokens + g.outputTokens - g.computedTokens
		if uncomputed == 0 {
			decoding = append(decoding, g)
			continue
		}
		chunk := min(uncomputed, budget)
		budget -= chunk
		g.computedTokens += chunk
		cost += time.Duration(chunk) * prefillTokenCost
		if g.computedTokens == g.promptTokens+g.outputTokens {
			e.cachePrefix(now, g.prefixHash)
		}
	}
	for _, g := range decoding {
		if g.state != genRunning || !e.makeRoom(g) {
			continue
		}
		g.outputTokens++
		g.computedTokens++
		e.counts.Tokens++
		cost += decodeCost
		if g.outputTokens >= g.targetTokens {
			e.end(g, genDone, now)
		}
	}
	e.cond.Broadcast()
	return cost
}

// admit moves waiting sequences into the batch, by priority, while there are free
// slots and their tokens fit into memory. An empty batch takes a sequence of any
// size. e.mu must be held.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Slots {
		best := 0
		for i, g := range e.waiting {
			if runsBefore(g, e.waiting[best]) {
				best = i
			}
		}
		g := e.waiting[best]
		if len(e.running) > 0 && e.usedTokens()+g.promptTokens+g.outputTokens+1 > e.cfg.Memory {
			return
		}
		e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
		g.state = genRunning
		if g.computedTokens == 0 && g.outputTokens == 0 && e.isCached(g.prefixHash) {
			// A cached prefix saves three quarters of the prefill.
			g.computedTokens = g.promptTokens * 3 / 4
		}
		e.running = append(e.running, g)
		if g.outputTokens == 0 {
			e.counts.Started++
		}
	}
}

// runsBefore reports whether a takes precedence over b: it has the higher
// priority, or arrived earlier with the same.
func runsBefore(a, b *generation) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	return a.seq < b.seq
}

// usedTokens returns the memory in tokens that running sequences hold, including
// the memory for tokens that they have yet to prefill.
func (e *Engine) usedTokens() int {
	n := 0
	for _, g := range e.running {
		n += g.promptTokens + g.outputTokens
	}
	return n
}

// makeRoom preempts sequences until one more token fits into memory or only one
// sequence runs. It reports false if it has preempted g itself.
func (e *Engine) makeRoom(g *generation) bool {
	for e.usedTokens()+1 > e.cfg.Memory && len(e.running) > 1 {
		victim := e.running[0]
		for _, other := range e.running {
			if runsBefore(victim, other) {
				victim = other
			}
		}
		e.dequeue(victim)
		victim.state = genWaiting
		victim.computedTokens = 0
		e.waiting = append(e.waiting, victim)
		e.counts.Preempted++
		if victim == g {
			return false
		}
	}
	return true
}

// dequeue removes g from the running and the waiting sequences.
func (e *Engine) dequeue(g *generation) {
	e.running = without(e.running, g)
	e.waiting = without(e.waiting, g)
}

func without(list []*generation, g *generation) []*generation {
	kept := make([]*generation, 0, len(list))
	for _, other := range list {
		if other != g {
			kept = append(kept, other)
		}
	}
	return kept
}

// end ends g in a final state, genDone or genCancelled.
func (e *Engine) end(g *generation, state genState, now time.Time) {
	e.dequeue(g)
	g.state = state
	g.endedAt = now
	if state == genDone {
		e.counts.Finished++
	} else {
		e.counts.Cancelled++
	}
}

// expireGenerations cancels generations that have had no reader for orphanTimeout
// and deletes those that ended longer than endedTTL ago.
func (e *Engine) expireGenerations(now time.Time) {
	for id, g := range e.generations {
		ended := g.state == genDone || g.state == genCancelled
		switch {
		case ended && now.Sub(g.endedAt) > endedTTL:
			delete(e.generations, id)
			delete(e.byRequestID, g.requestID)
		case !ended && g.readers == 0 && now.Sub(g.idleSince) > orphanTimeout:
			e.end(g, genCancelled, now)
		}
	}
}

func (e *Engine) isCached(prefix uint64) bool {
	for _, p := range e.prefixes {
		if p == prefix {
			return prefix != 0
		}
	}
	return false
}

// cachePrefix makes a prefix the most recently prefilled one of the cache, and
// evicts the least recently prefilled ones beyond maxCachedPrefixes.
func (e *Engine) cachePrefix(now time.Time, prefix uint64) {
	if prefix == 0 {
		return
	}
	kept := make([]uint64, 0, maxCachedPrefixes+1)
	for _, p := range e.prefixes {
		if p != prefix {
			kept = append(kept, p)
		}
	}
	if len(kept) == len(e.prefixes) {
		e.addCacheEvent(now, "stored", prefix)
	}
	kept = append(kept, prefix)
	for len(kept) > maxCachedPrefixes {
		e.addCacheEvent(now, "removed", kept[0])
		kept = kept[1:]
	}
	e.prefixes = kept
}

const (
	cacheGapInterval = 10   // in events; the last one of each interval is not published, so that readers see gaps in the sequence numbers
	maxCacheEvents   = 4096 // when exceeded, the oldest event is discarded
)

// addCacheEvent records that a prefix was stored or removed.
func (e *Engine) addCacheEvent(now time.Time, op string, prefix uint64) {
	e.lastCacheSeq++
	if e.lastCacheSeq%cacheGapInterval == 0 {
		return
	}
	e.cacheEvents = append(e.cacheEvents, cacheEvent{at: now, Seq: e.lastCacheSeq, Op: op, PrefixHash: prefix})
	if len(e.cacheEvents) > maxCacheEvents {
		e.cacheEvents = e.cacheEvents[1:]
	}
}

// reportInterval is the minimum time between two load reports.
const reportInterval = 50 * time.Millisecond

// recordLoad adds a load report every reportInterval and discards reports until
// the first is the latest that is at least EngineConfig.Lag old. Before there is
// one of that age, the first report is visible.
func (e *Engine) recordLoad(now time.Time) {
	if n := len(e.reports); n > 0 && now.Sub(e.reports[n-1].at) < reportInterval {
		return
	}
	e.reports = append(e.reports, loadReport{
		at:        now,
		Running:   len(e.running),
		Waiting:   len(e.waiting),
		Used:      e.usedTokens(),
		Memory:    e.cfg.Memory,
		Preempted: e.counts.Preempted,
		Leaving:   e.leaving,
	})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.cfg.Lag {
		e.reports = e.reports[1:]
	}
}

// newID returns the id of a new generation and counts it.
func (e *Engine) newID() string {
	e.generationCount++
	return fmt.Sprintf("%s.%x.%d", e.cfg.Name, e.cfg.Seed, e.generationCount)
}
