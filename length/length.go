// Package length predicts the length of an output from the lengths of earlier
// ones.
//
// Lengths are counted in a histogram of logarithmic buckets. The weight of older
// outputs decays, so that predictions follow a change of the workload. The
// histogram predicts how many tokens remain of an output that already has some:
// with heavy-tailed lengths, the longer an output is, the more of it remains. No
// list of outputs is kept, and the size of a histogram is fixed.
package length

import "math"

const (
	bucketCount        = 32   // enough for about 2^16 tokens
	bucketsPerDoubling = 2.0  // buckets for each doubling of a length
	decay              = 0.99 // factor on the weight of the earlier outputs for each further one
	priorWeight        = 4.0  // weight of the assumed remaining length, in outputs
	minPriorTokens     = 256  // minimum of the assumed remaining length
)

// Histogram counts the lengths of one kind of output in logarithmic buckets. It
// is immutable; its zero value is empty.
type Histogram struct {
	counts [bucketCount]float32 // decayed number of outputs
}

func bucketOf(tokens int) int {
	if tokens < 1 {
		return 0
	}
	return min(bucketCount-1, int(math.Log2(float64(tokens))*bucketsPerDoubling))
}

// bucketMidpoint returns the length that represents a bucket, the geometric mean
// of its limits.
func bucketMidpoint(bucket int) float64 {
	return math.Exp2((float64(bucket) + 0.5) / bucketsPerDoubling)
}

// With returns the histogram with one more output of the given number of tokens.
func (h Histogram) With(tokens int) Histogram {
	for i := range h.counts {
		h.counts[i] *= decay
	}
	h.counts[bucketOf(tokens)]++
	return h
}

// Weight returns the decayed number of outputs.
func (h Histogram) Weight() float64 {
	total := 0.0
	for _, c := range h.counts {
		total += float64(c)
	}
	return total
}

// Remaining predicts how many more tokens an output will get that already has the
// given number of tokens, as a mean and a variance.
func (h Histogram) Remaining(tokens int) (mean, variance float64) {
	weight, sum, squares := 0.0, 0.0, 0.0
	add := func(w, length float64) {
		remaining := max(0, length-float64(tokens))
		weight += w
		sum += w * remaining
		squares += w * remaining * remaining
	}
	for i := bucketOf(tokens); i < bucketCount; i++ {
		if midpoint := bucketMidpoint(i); midpoint > float64(tokens) {
			add(float64(h.counts[i]), midpoint)
		}
	}
	// The prior assumes that half of the present length remains, and at least
	// minPriorTokens. Its weight falls with the number of outputs.
	add(priorWeight/(1+h.Weight()), float64(tokens)+max(minPriorTokens, float64(tokens)/2))
	mean = sum / weight
	return mean, max(0, squares/weight-mean*mean)
}
