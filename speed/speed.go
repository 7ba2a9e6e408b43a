// Package speed estimates how fast each engine of a service runs.
//
// An Estimate holds two decayed means of what a node measured on its own
// generations at one engine: the time per output token, normalised by the number of
// running generations, and the prefill rate. A Baseline holds the medians over the
// engines of a service. Every mean is shrunk towards the baseline with a prior
// weight, and every sample is clipped to a range around it, so that a single outlier
// changes little.
//
// Invariants:
//   - Estimates and Baselines are immutable values.
//   - An estimate without samples for TTL is unknown, and unknown values are 0.
//
// Load pattern: engines of one service differ in speed by more than a factor of two,
// and some become slow for less than a second at a time. Choices by the number of
// requests alone give slow engines as many generations as fast ones.
package speed

import (
	"math"
	"slices"
	"time"
)

// TTL is the time after the last sample in which an estimate is forgotten.
const TTL = 30 * time.Second

const (
	stepDecay     = 5 * time.Second  // time in which the weight of a sample of the time per token falls to 1/e
	prefillDecay  = 15 * time.Second // the same of the prefill rate; a node may send an engine one generation in many seconds
	stepPrior     = 8.0              // weight of the median time per token, in samples; an engine sends some 30 events a second for a generation
	prefillPrior  = 1.0              // weight of the median prefill time, in samples; there is one for each generation
	maxRatio      = 4.0              // samples are clipped to this many times the baseline, and to its inverse
	batchGrowth   = 1.0 / 60         // fraction by which a step is longer for each running generation
	minPromptSize = 500              // pending prompt tokens below which a time to the first event shows the latency of the network rather than the prefill rate
)

// mean is a decayed mean of samples.
type mean struct {
	sum, weight float64
	at          time.Time // of the last sample
}

func (m mean) known(now time.Time) bool { return m.weight > 0 && now.Sub(m.at) < TTL }

func (m mean) with(now time.Time, decay time.Duration, x, baseline float64) mean {
	if baseline > 0 {
		x = min(max(x, baseline/maxRatio), baseline*maxRatio)
	}
	if !m.known(now) {
		return mean{sum: x, weight: 1, at: now}
	}
	// Samples of concurrent generations may come slightly out of order.
	factor := math.Exp(-float64(max(now.Sub(m.at), 0)) / float64(decay))
	return mean{sum: m.sum*factor + x, weight: m.weight*factor + 1, at: now}
}

// value returns the mean, shrunk towards the baseline by the weight of the prior, or 0
// if it is unknown. The weight of the samples decays until now, so that the value
// returns to the baseline when no samples come.
func (m mean) value(now time.Time, decay time.Duration, baseline, prior float64) float64 {
	if !m.known(now) {
		return 0
	}
	if baseline == 0 {
		return m.sum / m.weight
	}
	factor := math.Exp(-float64(max(now.Sub(m.at), 0)) / float64(decay))
	return (m.sum*factor + prior*baseline) / (m.weight*factor + prior)
}

// Estimate is what a node has measured of one engine. Its zero value is unknown.
type Estimate struct {
	step    mean // seconds per token, as if one generation ran
	prefill mean // seconds per prompt token; times are averaged rather than rates, so that single fast prefills, of cached prompts, count less
}

// Baseline holds the medians over the engines of a service; 0 where no engine has samples.
type Baseline struct {
	step    float64 // seconds per token, as if one generation ran
	prefill float64 // seconds per prompt token
}

// Median returns the baseline of the given engines of a service.
func Median(now time.Time, engines []Estimate) Baseline {
	var steps, rates []float64
	for _, e := range engines {
		if e.step.known(now) {
			steps = append(steps, e.step.sum/e.step.weight)
		}
		if e.prefill.known(now) {
			rates = append(rates, e.prefill.sum/e.prefill.weight)
		}
	}
	return Baseline{step: MedianOf(steps), prefill: MedianOf(rates)}
}

// MedianOf returns the median of the values, the lower of the two in the middle, or 0 if
// there are none. It sorts the slice.
func MedianOf(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// load returns how much longer a step takes with the given number of running generations
// than with one.
func load(running int) float64 { return 1 + batchGrowth*float64(max(running-1, 0)) }

// WithGap returns the estimate with the time between two events of the given number of
// tokens, while the given number of generations ran on the engine.
func (e Estimate) WithGap(now time.Time, b Baseline, gap time.Duration, tokens, running int) Estimate {
	if gap <= 0 || tokens <= 0 {
		return e
	}
	e.step = e.step.with(now, stepDecay, gap.Seconds()/float64(tokens)/load(running), b.step)
	return e
}

// WithPrefill returns the estimate with the time from a placement to the first event,
// given the prompt tokens that were pending then, those of the generation included.
func (e Estimate) WithPrefill(now time.Time, b Baseline, took time.Duration, pending int) Estimate {
	if took <= 0 || pending < minPromptSize {
		return e
	}
	e.prefill = e.prefill.with(now, prefillDecay, took.Seconds()/float64(pending), b.prefill)
	return e
}

// Known reports whether the estimate has samples that are not forgotten.
func (e Estimate) Known(now time.Time) bool { return e.step.known(now) || e.prefill.known(now) }

// Slow returns the time per token relative to the baseline, or 0 if it is unknown.
func (e Estimate) Slow(now time.Time, b Baseline) float64 {
	if b.step == 0 {
		return 0
	}
	return e.step.value(now, stepDecay, b.step, stepPrior) / b.step
}

// PrefillRate returns the prompt tokens that the engine prefills in a second, or 0 if that
// is unknown.
func (e Estimate) PrefillRate(now time.Time, b Baseline) float64 {
	if perToken := e.prefill.value(now, prefillDecay, b.prefill, prefillPrior); perToken > 0 {
		return 1 / perToken
	}
	return 0
}

// TokenTime returns the time per token of the median engine with the given number of
// running generations, or 0 if it is unknown.
func (b Baseline) TokenTime(running int) time.Duration {
	return time.Duration(b.step * load(running) * float64(time.Second))
}
