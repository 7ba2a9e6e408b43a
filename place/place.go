// Package place chooses the endpoint for a request.
//
// Choose is a pure function over what a node knows of the endpoints. Load
// pattern: many nodes choose at once by lagging knowledge of each other, and an
// engine that has just started looks best to all of them. Choose keeps one of
// the best endpoints more than nodes choose within the time that news takes, at
// most half of all, draws two of them and takes the better one.
package place

import (
	"math/rand/v2"
	"sort"
)

const (
	farPenalty   = 0.02 // of an endpoint in another data centre
	stalePenalty = 3.0  // of one whose load is known only late
	failPenalty  = 1.5  // of an endpoint all of whose recent requests failed
	queuePenalty = 2.0  // of each slot's worth of requests that would wait
	tokenWeight  = 1.0  // of KV-cache memory against slots
	promptScale  = 4000 // prompt tokens, read in about half a second, that weigh as much as all slots
)

// Shares of an engine's memory that are given out by expected lengths. What is
// left absorbs answers that become longer than expected.
const (
	RoomNew      = 0.95 // to generations that can come back later
	RoomReturned = 1.05 // to those that have been turned away before
	RoomUrgent   = 1.0  // to the most urgent, which are short
)

// Candidate is an endpoint as this node knows it.
type Candidate struct {
	ID       string
	Near     bool // in this node's data centre
	Stale    bool // the other nodes' requests there are known only seconds late
	Slots    int
	Requests int     // running or waiting there, from all nodes
	Memory   int     // KV-cache memory, tokens; 0 for a plain service
	Tokens   int     // KV-cache memory that the requests are expected to need
	Prompt   int     // prompt tokens that wait to be read
	Failing  float64 // share of recent requests that failed, in [0, 1]
}

// Need is what the request takes.
type Need struct {
	Tokens int
}

// Score returns how bad it is to give the request to c; lower is better.
func Score(n Need, c Candidate) float64 {
	slots := float64(max(c.Slots, 1))
	load := float64(c.Requests+1) / slots
	score := load
	if load > 1 {
		score += queuePenalty * (load - 1)
	}
	if c.Memory > 0 {
		used := float64(c.Tokens+n.Tokens) / float64(c.Memory)
		score += tokenWeight * used
		if used > 1 {
			score += queuePenalty * (used - 1)
		}
	}
	score += float64(c.Prompt) / promptScale
	if !c.Near {
		score += farPenalty
	}
	if c.Stale {
		score += stalePenalty
	}
	return score + failPenalty*c.Failing
}

// Choose returns the index of the endpoint to use, or false if there is none.
// Rivals is the number of nodes that choose before this node hears of it.
func Choose(n Need, list []Candidate, rivals int, r *rand.Rand) (int, bool) {
	if len(list) == 0 {
		return 0, false
	}
	scores := make([]float64, len(list))
	order := make([]int, len(list))
	for i, c := range list {
		scores[i] = Score(n, c)
		order[i] = i
	}
	sort.Slice(order, func(a, b int) bool { return scores[order[a]] < scores[order[b]] })
	keep := max(1, min(rivals+1, len(list)/2))
	a, b := r.IntN(keep), r.IntN(keep)
	return order[min(a, b)], true
}

// Fits reports whether c has a slot and memory for the request, up to a share
// of its memory.
func Fits(n Need, c Candidate, share float64) bool {
	return c.Requests < c.Slots && (c.Memory == 0 || float64(c.Tokens+n.Tokens) <= share*float64(c.Memory))
}
