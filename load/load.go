// Package load generates load from a seed, sends it to a deployment or directly to
// engines, and measures what callers see.
//
// Arrivals follow a Poisson process and are drawn before the run, so that every
// policy gets the same requests at the same times. The load is open: requests are
// sent at their scheduled times whether or not earlier ones have ended,
// and latencies count from the scheduled time. A slow system therefore cannot hide
// its delay by holding back the next request.
package load

import (
	"math"
	"math/rand/v2"
	"time"
)

// Kind describes one kind of request of a mix. Lengths follow a log-normal
// distribution.
type Kind struct {
	Name         string
	Class        string  // class of the requests in the document
	Weight       float64 // fraction of the requests of the mix
	MedianPrompt int     // tokens
	MedianOutput int     // tokens
	Sigma        float64 // standard deviation of the logarithm of the output length; half of it for prompts
}

// Mix is a workload, made of several kinds of request.
type Mix struct {
	Name  string
	Kinds []Kind
}

// Omaheke and Kalamata are the mixes of the two example deployments. Lookups and
// questions are short; summaries and reports are long and have a heavy tail.
var (
	Omaheke = Mix{Name: "omaheke", Kinds: []Kind{
		{Name: "lookup", Class: "lookup", Weight: 0.8, MedianPrompt: 200, MedianOutput: 24, Sigma: 0.5},
		{Name: "summary", Class: "summary", Weight: 0.2, MedianPrompt: 1200, MedianOutput: 600, Sigma: 0.9},
	}}
	Kalamata = Mix{Name: "kalamata", Kinds: []Kind{
		{Name: "question", Class: "question", Weight: 0.6, MedianPrompt: 150, MedianOutput: 16, Sigma: 0.5},
		{Name: "report", Class: "report", Weight: 0.4, MedianPrompt: 1500, MedianOutput: 900, Sigma: 1.0},
	}}
)

const (
	maxLengthTokens = 16000 // limit of prompts and of outputs
	prefixCount     = 40    // number of distinct prefixes; prompts with the same prefix begin with the same text
	bytesPerToken   = 4     // of a prompt, as fake engines count it
)

// Arrival is one request of a plan.
type Arrival struct {
	At           time.Duration // scheduled time, from the start of the run
	Kind         int           // index in Mix.Kinds
	Workspace    int           // index in Plan.WorkspaceWeights
	PromptTokens int           // length of the prompt, tokens
	OutputTokens int           // length of the output, tokens
	Prefix       int           // number of the prefix, less than prefixCount
}

// Plan describes the arrivals of a run.
type Plan struct {
	Mix              Mix
	Rate             float64 // requests per second
	Duration         time.Duration
	WorkspaceWeights []float64 // weight of each workspace in the choice of the sender
	Seed             uint64
}

// Arrivals draws the arrivals of the plan, in the order of their times. The same
// plan always gives the same arrivals.
func (p Plan) Arrivals() []Arrival {
	r := rand.New(rand.NewPCG(p.Seed, 2))
	var arrivals []Arrival
	for at := interarrivalTime(r, p.Rate); at < p.Duration; at += interarrivalTime(r, p.Rate) {
		kind := pickWeighted(r, kindWeights(p.Mix.Kinds))
		k := p.Mix.Kinds[kind]
		arrivals = append(arrivals, Arrival{
			At:           at,
			Kind:         kind,
			Workspace:    pickWeighted(r, p.WorkspaceWeights),
			PromptTokens: drawLength(r, k.MedianPrompt, k.Sigma/2),
			OutputTokens: drawLength(r, k.MedianOutput, k.Sigma),
			Prefix:       r.IntN(prefixCount),
		})
	}
	return arrivals
}

// interarrivalTime draws the time to the next arrival of a Poisson process with the
// given rate, in requests per second.
func interarrivalTime(r *rand.Rand, rate float64) time.Duration {
	return time.Duration(r.ExpFloat64() / rate * float64(time.Second))
}

func kindWeights(kinds []Kind) []float64 {
	w := make([]float64, len(kinds))
	for i, k := range kinds {
		w[i] = k.Weight
	}
	return w
}

// pickWeighted draws an index of weights with a probability in proportion to its
// weight.
func pickWeighted(r *rand.Rand, weights []float64) int {
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

// drawLength draws a length in tokens from a log-normal distribution, limited to
// the range from 1 to maxLengthTokens.
func drawLength(r *rand.Rand, median int, sigma float64) int {
	n := float64(median) * math.Exp(r.NormFloat64()*sigma)
	return max(1, min(maxLengthTokens, int(n)))
}

// MeanOutputTokens returns the mean output length of the requests of the mix, in tokens.
// It ignores the limit maxLengthTokens.
func (m Mix) MeanOutputTokens() float64 {
	total, weight := 0.0, 0.0
	for _, k := range m.Kinds {
		total += k.Weight * float64(k.MedianOutput) * math.Exp(k.Sigma*k.Sigma/2)
		weight += k.Weight
	}
	return total / weight
}
