// Package retry limits retries, so that they do not multiply an overload.
//
// A Budget grows by a fraction with each new request and shrinks by one with
// each retry. While most requests succeed, the few that fail may be retried;
// when many fail, retries are at most that fraction of the new requests. A
// Limiter limits the retries that all nodes together send to a service, without
// messages between the nodes.
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	retriesPerRequest = 0.1 // added to the budget by each new request
	maxBudget         = 20  // retries that a budget can accumulate
	initialBudget     = 10  // retries that a node can make when it has just started
)

// Budget is the number of retries that may be made. It is immutable.
type Budget struct {
	available float64
}

// New returns the budget of a node that has just started.
func New() Budget {
	return Budget{available: initialBudget}
}

// WithRequest returns the budget after one more new request.
func (b Budget) WithRequest() Budget {
	return Budget{available: min(maxBudget, b.available+retriesPerRequest)}
}

// WithRetry returns the budget after one more retry. It reports false if the
// budget does not suffice, so that the retry must not be made.
func (b Budget) WithRetry() (Budget, bool) {
	if b.available < 1 {
		return b, false
	}
	return Budget{available: b.available - 1}, true
}

// Jitter returns a random duration between half of d and d, so that requests
// that failed together are not retried together.
func Jitter(r *rand.Rand, d time.Duration) time.Duration {
	if d <= 1 {
		return d
	}
	return d/2 + time.Duration(r.Int64N(int64(d/2)+1))
}
