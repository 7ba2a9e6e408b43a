package place

import (
	"time"

	"github.com/plantaindeck/plantaindeck/speed"
)

// Timing is what a request needs of an engine's speed. The zero value asks for nothing.
type Timing struct {
	Prompt      int           // own prompt, tokens
	TimeLeft    time.Duration // until the objective for the first event; 0 if there is none or it has passed
	UrgentLimit time.Duration // of the expected time to the first event, so that more urgent requests meet their objective there; 0 for none
	MaxGap      time.Duration // objective for the time between events; 0 for none
}

// FirstEvent returns the expected time to the first event of a request at c, or 0 if the
// prefill rate is unknown.
func FirstEvent(n Need, c Candidate) time.Duration {
	if c.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(c.PendingPrompt+max(n.Prompt-c.CachedPrompt, 0)) / c.PrefillRate * float64(time.Second))
}

// fitsTime reports whether c is expected to meet the request's objective for the first event
// and to leave room for more urgent requests. An engine without pending prompts fits any
// request: otherwise a prompt that is too long for the objective would never be served.
func fitsTime(n Need, c Candidate) bool {
	if n.TimeLeft <= 0 || c.PendingPrompt == 0 {
		return true
	}
	first := FirstEvent(n, c)
	return first <= n.TimeLeft && (n.UrgentLimit == 0 || first <= n.UrgentLimit)
}

// prefillCost returns the part of the score for prompts that are prefilled before the
// request's first event.
func prefillCost(n Need, c Candidate) float64 {
	if c.PrefillRate <= 0 {
		return float64(c.PendingPrompt) / fullLoadPromptTokens
	}
	return float64(FirstEvent(n, c)) / float64(fullLoadPrefill)
}

// SlowGap reports whether the expected time between events exceeds the request's objective.
// Such an engine is chosen only if no other fits.
func SlowGap(n Need, c Candidate) bool { return n.MaxGap > 0 && c.Gap > n.MaxGap }

// AssumeMedian gives the candidates of unknown speed the median of the others. Load pattern:
// engines that have just started have no samples, and would else be judged by another scale.
func AssumeMedian(candidates []Candidate) {
	var rates, factors []float64
	for _, c := range candidates {
		if c.PrefillRate > 0 {
			rates = append(rates, c.PrefillRate)
		}
		if c.SlowFactor > 0 {
			factors = append(factors, c.SlowFactor)
		}
	}
	rate, factor := speed.MedianOf(rates), speed.MedianOf(factors)
	for i := range candidates {
		if c := &candidates[i]; c.PrefillRate == 0 {
			c.PrefillRate = rate
		}
		if c := &candidates[i]; c.SlowFactor == 0 {
			c.SlowFactor = factor
		}
	}
}
