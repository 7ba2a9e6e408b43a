// Package place chooses the endpoint for a request.
//
// Choose depends only on what a node knows of the endpoints and on a random
// source. Load pattern: many nodes choose at the same time with stale knowledge
// of each other's usage, and an engine that has just started looks best to all of
// them. To spread these choices, Choose draws two endpoints at random from the
// best ones and takes the better of the two. It draws from one endpoint more than
// the number of other nodes that choose within the delay of gossip, but from at
// most half of all.
package place

import (
	"math/rand/v2"
	"sort"
	"time"
)

// These are the terms of Score, in which all slots in use cost 1.
const (
	otherCentrePenalty   = 0.02                   // for an endpoint outside the data centre that the choice prefers
	stalePenalty         = 3.0                    // for an endpoint whose remote usage is stale
	failurePenalty       = 1.5                    // for an endpoint all of whose recent requests failed
	queuePenalty         = 2.0                    // for needing twice the slots or twice the memory; proportional to the excess
	memoryWeight         = 1.0                    // weight of the used fraction of the memory; that of the slots has 1
	fullLoadPromptTokens = 4000                   // pending prompt tokens that cost as much as all slots in use, if the prefill rate is unknown; prefill takes about half a second
	fullLoadPrefill      = 500 * time.Millisecond // expected time to the first event that costs as much
)

// Fractions of an engine's memory up to which generations are placed there,
// counted by their expected lengths. The memory left below 1 absorbs outputs
// that become longer than expected.
const (
	MaxFillNew     = 0.95 // generations whose callers can retry later
	MaxFillRetried = 1.05 // generations that have been rejected before, and those that migrate
	MaxFillUrgent  = 1.0  // generations of the most urgent priority, which are short
)

// Candidate is an endpoint as this node knows it.
type Candidate struct {
	ID            string
	SameCentre    bool          // in the data centre that the choice prefers
	Stale         bool          // the remote usage is known only seconds late
	Slots         int           // requests that it can run at once
	Requests      int           // running or waiting there, from all nodes
	Memory        int           // KV cache, tokens; 0 for a plain service
	Tokens        int           // KV cache that Requests are expected to need, tokens
	PendingPrompt int           // prompt tokens whose prefill is pending
	FailureRate   float64       // fraction of recent requests that failed, in [0, 1]
	PrefillRate   float64       // prompt tokens that it prefills in a second; 0 for unknown
	CachedPrompt  int           // tokens of the request's prompt that it need not prefill
	SlowFactor    float64       // time between events relative to the service's median engine; 0 for unknown
	Gap           time.Duration // expected between two events with one more generation; 0 for unknown
}

// Need is what a request needs of an endpoint.
type Need struct {
	Tokens int // KV cache that the request is expected to need, tokens
	Timing
}

// Score returns the cost of sending a request to c; lower is better. All slots
// in use cost 1.
func Score(n Need, c Candidate) float64 {
	slots := float64(max(c.Slots, 1))
	load := float64(c.Requests+1) / slots
	score := load
	if c.SlowFactor > 0 {
		score *= c.SlowFactor // its generations hold their slots for so much longer
	}
	if load > 1 {
		score += queuePenalty * (load - 1)
	}
	if c.Memory > 0 {
		used := float64(c.Tokens+n.Tokens) / float64(c.Memory)
		score += memoryWeight * used
		if used > 1 {
			score += queuePenalty * (used - 1)
		}
	}
	score += prefillCost(n, c)
	if !c.SameCentre {
		score += otherCentrePenalty
	}
	if c.Stale {
		score += stalePenalty
	}
	return score + failurePenalty*c.FailureRate
}

// Choose returns the index of the endpoint to use, or false if there are no
// candidates. Peers is the number of other nodes that choose before this node
// learns of their choice.
func Choose(n Need, candidates []Candidate, peers int, r *rand.Rand) (int, bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	scores := make([]float64, len(candidates))
	order := make([]int, len(candidates))
	for i, c := range candidates {
		scores[i] = Score(n, c)
		order[i] = i
	}
	sort.Slice(order, func(a, b int) bool { return scores[order[a]] < scores[order[b]] })
	kept := max(1, min(peers+1, len(candidates)/2))
	a, b := r.IntN(kept), r.IntN(kept)
	return order[min(a, b)], true
}

// Fits reports whether c has a free slot, whether the request fits into the
// fraction maxFill of its memory, and whether it fits by time.
func Fits(n Need, c Candidate, maxFill float64) bool {
	return c.Requests < c.Slots && fitsTime(n, c) && (c.Memory == 0 || float64(c.Tokens+n.Tokens) <= maxFill*float64(c.Memory))
}
