// Package retry bounds how much repeated work may add to an overload.
//
// A Budget grows by a part of each fresh request and shrinks by one with each
// retry. While most requests succeed, the few that fail may be retried; when
// many fail, retries are at most that part of the fresh traffic, so they never
// multiply it.
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	share    = 0.1 // retries for each fresh request
	capacity = 20  // retries saved up
	initial  = 10  // retries of a node that has just started
)

// Budget is what is left for retries. It is immutable.
type Budget struct {
	left float64
}

// New returns the budget of a node that has just started.
func New() Budget {
	return Budget{left: initial}
}

// WithFresh returns the budget after one more fresh request.
func (b Budget) WithFresh() Budget {
	return Budget{left: min(capacity, b.left+share)}
}

// WithRetry returns the budget after a retry. It reports false, and no retry
// may be made, when too little is left.
func (b Budget) WithRetry() (Budget, bool) {
	if b.left < 1 {
		return b, false
	}
	return Budget{left: b.left - 1}, true
}

// Jitter returns a random time between half of d and d, so that requests that
// failed together do not come back together.
func Jitter(r *rand.Rand, d time.Duration) time.Duration {
	if d <= 1 {
		return d
	}
	return d/2 + time.Duration(r.Int64N(int64(d/2)+1))
}
