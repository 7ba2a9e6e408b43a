// Package guess predicts how long answers will become, from those that have
// ended.
//
// A Lengths is a histogram of output lengths over logarithmic buckets. Older
// answers count less, so it follows a change of the work. It answers how much
// remains of an answer that has come so far already: with heavy tails, the
// longer an answer runs the more of it remains. It holds no list of answers,
// and its size is fixed.
package guess

import "math"

const (
	buckets   = 32   // up to about 2^16 tokens, two buckets for each doubling
	perDouble = 2.0  // buckets for each doubling of a length
	decay     = 0.99 // weight of the earlier answers after one more
	prior     = 4.0  // weight of what is assumed without experience
	priorMean = 256  // tokens
)

// Lengths is what is known of the lengths of one kind of answer. It is
// immutable; its zero value knows nothing.
type Lengths struct {
	counts [buckets]float32
}

func bucketOf(tokens int) int {
	if tokens < 1 {
		return 0
	}
	return min(buckets-1, int(math.Log2(float64(tokens))*perDouble))
}

// Returns the length that stands for a bucket, its geometric middle.
func middle(bucket int) float64 {
	return math.Exp2((float64(bucket) + 0.5) / perDouble)
}

// With returns what is known after one more answer of a length.
func (l Lengths) With(tokens int) Lengths {
	for i := range l.counts {
		l.counts[i] *= decay
	}
	l.counts[bucketOf(tokens)]++
	return l
}

// Weight returns how many recent answers count.
func (l Lengths) Weight() float64 {
	total := 0.0
	for _, c := range l.counts {
		total += float64(c)
	}
	return total
}

// Remaining returns the mean and the variance of the tokens that follow the
// first tokens of an answer.
func (l Lengths) Remaining(tokens int) (mean, variance float64) {
	weight, sum, squares := 0.0, 0.0, 0.0
	add := func(w, length float64) {
		rest := max(0, length-float64(tokens))
		weight += w
		sum += w * rest
		squares += w * rest * rest
	}
	for i := bucketOf(tokens); i < buckets; i++ {
		if m := middle(i); m > float64(tokens) {
			add(float64(l.counts[i]), m)
		}
	}
	// Without experience, half as much again as what has come, and not less than
	// the usual length.
	add(prior/(1+l.Weight()), float64(tokens)+max(priorMean, float64(tokens)/2))
	mean = sum / weight
	return mean, max(0, squares/weight-mean*mean)
}
