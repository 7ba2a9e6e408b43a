package fakes

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/plantaindeck/plantaindeck/wait"
)

// EngineConfig describes a model engine.
type EngineConfig struct {
	Addr    string
	Name    string
	Memory  int           // KV-cache memory, tokens
	Slots   int           // sequences in one batch
	Fencing bool          // refuse commands with an old fencing token
	Speed   float64       // how many times faster than the stated costs; 0 means 1
	Lag     time.Duration // age of load reports and cache events
	Models  []string      // loaded at the start, as model or model:adapter
	Weights string        // address of the weight store; empty for none
	Seed    uint64
}

// Costs of one step of the batch, before Speed.
const (
	stepBase      = 12 * time.Millisecond
	stepSequence  = 400 * time.Microsecond // for each sequence that decodes
	stepPrefill   = 20 * time.Microsecond  // for each prompt token
	prefillChunk  = 512                    // prompt tokens in one step
	cachedPrompts = 64                     // prefixes kept
)

const (
	orphanTimeout = 10 * time.Second // a generation without a reader is cancelled
	keepFinished  = 60 * time.Second // a finished generation can be resumed
)

// EngineFaults is what an engine does wrong for the time being.
type EngineFaults struct {
	Pause  time.Duration `json:"pause"`  // stop decoding once for this long
	Stall  time.Duration `json:"stall"`  // hold one stream's tokens back for this long
	Drop   int           `json:"drop"`   // requests to run without an answer
	Cut    int           `json:"cut"`    // streams to break
	CutAt  int           `json:"cutat"`  // break a stream after this many tokens
	Refuse int           `json:"refuse"` // requests to refuse with 503
}

// EngineCounts is what an engine has done since it started.
type EngineCounts struct {
	Started   int `json:"started"` // generations that ran
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	Preempted int `json:"preempted"`
	Tokens    int `json:"tokens"`
	Commands  int `json:"commands"` // commands carried out
}

// Engine is a model engine that batches continuously.
//
// A batch makes one token for each of its sequences in each step, and a step
// takes longer the larger the batch is. Sequences hold memory for their prompt
// and their output; when it is full, the engine preempts the sequence of the
// lowest priority that came last, which computes its tokens anew later.
type Engine struct {
	*Server
	cfg  EngineConfig
	mu   sync.Mutex
	cond *sync.Cond

	generations map[string]*generation // by generation id
	requests    map[string]*generation // by request id
	tombstones  map[string]bool        // request ids cancelled before they came
	waiting     []*generation
	running     []*generation
	prefixes    []uint64 // recently used, oldest first
	cacheEvents []cacheEvent
	cacheSeq    int
	counter     int
	counts      EngineCounts
	faults      EngineFaults
	leaving     bool
	reports     []loadReport      // recent, oldest first
	loaded      map[string]string // version by model
	role        string
	token       int64 // highest fencing token seen
	applied     []appliedCommand
	killed      bool
}

// generation is one answer in the making.
type generation struct {
	id       string
	request  string
	priority int
	seq      int
	prompt   int
	prefix   uint64
	echo     string // text of each token; empty for words of the engine's
	length   int    // tokens that it will have
	tokens   int    // tokens that it has
	computed int    // prompt and output tokens in memory
	readers  int
	idle     time.Time // when the last reader left
	finished time.Time
	state    genState
}

type genState string

const (
	genWaiting   genState = "waiting"
	genRunning   genState = "running"
	genDone      genState = "done"
	genCancelled genState = "cancelled"
)

// loadReport is an engine's load at one time.
type loadReport struct {
	at        time.Time
	Running   int  `json:"running"`
	Waiting   int  `json:"waiting"`
	Used      int  `json:"used"`
	Memory    int  `json:"memory"`
	Preempted int  `json:"preempted"`
	Leaving   bool `json:"leaving"`
}

type cacheEvent struct {
	at     time.Time
	Seq    int    `json:"seq"`
	Op     string `json:"op"` // stored or removed
	Prefix uint64 `json:"prefix,string"`
}

// StartEngine starts an engine.
func StartEngine(cfg EngineConfig) (*Engine, error) {
	if cfg.Speed == 0 {
		cfg.Speed = 1
	}
	e := &Engine{
		cfg:         cfg,
		generations: map[string]*generation{},
		requests:    map[string]*generation{},
		tombstones:  map[string]bool{},
		loaded:      map[string]string{},
		role:        "serve",
	}
	e.cond = sync.NewCond(&e.mu)
	for _, m := range cfg.Models {
		e.loaded[m] = ""
	}
	var err error
	e.Server, err = start(cfg.Addr, e.serve, e.work)
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

// Counts returns what the engine has done.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Reclaim gives notice that the engine will be taken away: it takes no new
// work, and its load reports say so.
func (e *Engine) Reclaim() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Drives the batch until ctx ends.
func (e *Engine) work(ctx context.Context) {
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

// idlePeriod is the wait of an engine with nothing to do.
const idlePeriod = time.Millisecond

// Makes one step and returns its cost.
func (e *Engine) step(now time.Time) time.Duration {
	e.report(now)
	e.dropOrphans(now)
	e.admit()
	if len(e.running) == 0 {
		return time.Duration(float64(idlePeriod) * e.cfg.Speed)
	}
	cost := stepBase
	budget := prefillChunk
	decoding := make([]*generation, 0, len(e.running))
	for _, g := range e.running {
		missing := g.prompt + g.tokens - g.computed
		if missing == 0 {
			decoding = append(decoding, g)
			continue
		}
		chunk := min(missing, budget)
		budget -= chunk
		g.computed += chunk
		cost += time.Duration(chunk) * stepPrefill
		if g.computed == g.prompt+g.tokens {
			e.cachePrefix(now, g.prefix)
		}
	}
	for _, g := range decoding {
		if g.state != genRunning || !e.makeRoom(g) {
			continue
		}
		g.tokens++
		g.computed++
		e.counts.Tokens++
		cost += stepSequence
		if g.tokens >= g.length {
			e.finish(g, genDone, now)
		}
	}
	e.cond.Broadcast()
	return cost
}

// Moves waiting sequences into the batch while their tokens fit.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Slots {
		best := 0
		for i, g := range e.waiting {
			if before(g, e.waiting[best]) {
				best = i
			}
		}
		g := e.waiting[best]
		if len(e.running) > 0 && e.used()+g.prompt+g.tokens+1 > e.cfg.Memory {
			return
		}
		e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
		g.state = genRunning
		if g.computed == 0 && g.tokens == 0 && e.cached(g.prefix) {
			g.computed = g.prompt * 3 / 4
		}
		e.running = append(e.running, g)
		if g.tokens == 0 {
			e.counts.Started++
		}
	}
}

// Reports whether a goes before b.
func before(a, b *generation) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	return a.seq < b.seq
}

// Returns the memory that running sequences hold or are about to.
func (e *Engine) used() int {
	n := 0
	for _, g := range e.running {
		n += g.prompt + g.tokens
	}
	return n
}

// Preempts others until one more token of g fits. It reports false when g
// itself was preempted.
func (e *Engine) makeRoom(g *generation) bool {
	for e.used()+1 > e.cfg.Memory && len(e.running) > 1 {
		worst := e.running[0]
		for _, other := range e.running {
			if before(worst, other) {
				worst = other
			}
		}
		e.remove(worst)
		worst.state = genWaiting
		worst.computed = 0
		e.waiting = append(e.waiting, worst)
		e.counts.Preempted++
		if worst == g {
			return false
		}
	}
	return true
}

func (e *Engine) remove(g *generation) {
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

func (e *Engine) finish(g *generation, state genState, now time.Time) {
	e.remove(g)
	g.state = state
	g.finished = now
	if state == genDone {
		e.counts.Finished++
	} else {
		e.counts.Cancelled++
	}
}

// Cancels generations that nobody reads, and forgets old ones.
func (e *Engine) dropOrphans(now time.Time) {
	for id, g := range e.generations {
		over := g.state == genDone || g.state == genCancelled
		switch {
		case over && now.Sub(g.finished) > keepFinished:
			delete(e.generations, id)
			delete(e.requests, g.request)
		case !over && g.readers == 0 && now.Sub(g.idle) > orphanTimeout:
			e.finish(g, genCancelled, now)
		}
	}
}

func (e *Engine) cached(prefix uint64) bool {
	for _, p := range e.prefixes {
		if p == prefix {
			return prefix != 0
		}
	}
	return false
}

func (e *Engine) cachePrefix(now time.Time, prefix uint64) {
	if prefix == 0 {
		return
	}
	kept := make([]uint64, 0, cachedPrompts+1)
	for _, p := range e.prefixes {
		if p != prefix {
			kept = append(kept, p)
		}
	}
	if len(kept) == len(e.prefixes) {
		e.cacheEvent(now, "stored", prefix)
	}
	kept = append(kept, prefix)
	for len(kept) > cachedPrompts {
		e.cacheEvent(now, "removed", kept[0])
		kept = kept[1:]
	}
	e.prefixes = kept
}

const (
	cacheGap        = 10   // every so many events one is never published
	maxCacheHistory = 4096 // events kept for readers
)

func (e *Engine) cacheEvent(now time.Time, op string, prefix uint64) {
	e.cacheSeq++
	if e.cacheSeq%cacheGap == 0 {
		return
	}
	e.cacheEvents = append(e.cacheEvents, cacheEvent{at: now, Seq: e.cacheSeq, Op: op, Prefix: prefix})
	if len(e.cacheEvents) > maxCacheHistory {
		e.cacheEvents = e.cacheEvents[1:]
	}
}

const reportPeriod = 50 * time.Millisecond

func (e *Engine) report(now time.Time) {
	if n := len(e.reports); n > 0 && now.Sub(e.reports[n-1].at) < reportPeriod {
		return
	}
	e.reports = append(e.reports, loadReport{
		at:        now,
		Running:   len(e.running),
		Waiting:   len(e.waiting),
		Used:      e.used(),
		Memory:    e.cfg.Memory,
		Preempted: e.counts.Preempted,
		Leaving:   e.leaving,
	})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.cfg.Lag {
		e.reports = e.reports[1:]
	}
}

func (e *Engine) newID() string {
	e.counter++
	return fmt.Sprintf("%s.%x.%d", e.cfg.Name, e.cfg.Seed, e.counter)
}
