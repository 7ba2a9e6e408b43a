// Package load drives a deployment, or its engines directly, with seeded
// arrivals, and measures what callers see.
//
// Arrivals are drawn before the run, so that every policy meets the same
// requests at the same times. Latencies count from the time at which a request
// was meant to start, so that a slow system does not hide its delay by holding
// the next request back.
package load

import (
	"math"
	"math/rand/v2"
	"time"
)

// Kind is one kind of request of a mix.
type Kind struct {
	Name   string
	Class  string
	Weight float64 // part of the requests
	Prompt int     // median prompt length, tokens
	Output int     // median answer length, tokens
	Spread float64 // standard deviation of the lengths' logarithms
}

// Mix is a workload.
type Mix struct {
	Name  string
	Kinds []Kind
}

// The mixes of the two deployments. Lookups and questions are short, summaries
// and reports long with a heavy tail.
var (
	Omaheke = Mix{Name: "omaheke", Kinds: []Kind{
		{Name: "lookup", Class: "lookup", Weight: 0.8, Prompt: 200, Output: 24, Spread: 0.5},
		{Name: "summary", Class: "summary", Weight: 0.2, Prompt: 1200, Output: 600, Spread: 0.9},
	}}
	Kalamata = Mix{Name: "kalamata", Kinds: []Kind{
		{Name: "question", Class: "question", Weight: 0.6, Prompt: 150, Output: 16, Spread: 0.5},
		{Name: "report", Class: "report", Weight: 0.4, Prompt: 1500, Output: 900, Spread: 1.0},
	}}
)

const (
	maxOutput     = 16000 // tokens
	prefixes      = 40    // prompts share their start with others of their prefix
	bytesPerToken = 4
)

// Arrival is one request of a run.
type Arrival struct {
	At        time.Duration // from the start of the run
	Kind      int           // index into the mix
	Workspace int
	Prompt    int // tokens
	Output    int // tokens
	Prefix    int
}

// Plan describes the arrivals of a run.
type Plan struct {
	Mix        Mix
	Rate       float64 // requests a second
	Duration   time.Duration
	Workspaces []float64 // weight of each
	Seed       uint64
}

// Arrivals draws the arrivals of a plan.
func (p Plan) Arrivals() []Arrival {
	r := rand.New(rand.NewPCG(p.Seed, 2))
	var list []Arrival
	for at := gap(r, p.Rate); at < p.Duration; at += gap(r, p.Rate) {
		kind := pick(r, weights(p.Mix.Kinds))
		k := p.Mix.Kinds[kind]
		list = append(list, Arrival{
			At:        at,
			Kind:      kind,
			Workspace: pick(r, p.Workspaces),
			Prompt:    length(r, k.Prompt, k.Spread/2),
			Output:    length(r, k.Output, k.Spread),
			Prefix:    r.IntN(prefixes),
		})
	}
	return list
}

// Returns the time to the next arrival of a Poisson process.
func gap(r *rand.Rand, rate float64) time.Duration {
	return time.Duration(r.ExpFloat64() / rate * float64(time.Second))
}

func weights(kinds []Kind) []float64 {
	w := make([]float64, len(kinds))
	for i, k := range kinds {
		w[i] = k.Weight
	}
	return w
}

// Picks an index with the probability of its weight.
func pick(r *rand.Rand, weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	x := r.Float64() * total
	for i, w := range weights {
		x -= w
		if x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// Draws a length from a logarithmic normal distribution.
func length(r *rand.Rand, median int, spread float64) int {
	n := float64(median) * math.Exp(r.NormFloat64()*spread)
	return max(1, min(maxOutput, int(n)))
}

// Tokens returns the mean tokens of output of a request of the mix.
func (m Mix) Tokens() float64 {
	total, weight := 0.0, 0.0
	for _, k := range m.Kinds {
		total += k.Weight * float64(k.Output) * math.Exp(k.Spread*k.Spread/2)
		weight += k.Weight
	}
	return total / weight
}
