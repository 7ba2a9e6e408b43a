package retry

import (
	"sync"
	"time"
)

// Limit is the maximum number of retries that all nodes together may send to a
// service: in each window at most Ratio times the new requests plus Burst.
type Limit struct {
	Ratio  float64       // retries for each new request
	Burst  float64       // retries in a window, whatever the number of new requests
	Window time.Duration // length of the sliding window
}

const (
	bucketCount = 20  // buckets of one window
	limitMargin = 0.8 // fraction of the limit that the nodes use, as their windows do not coincide
)

// Limiter enforces one node's part of a Limit for one service. It may be used by
// several goroutines.
type Limiter struct {
	limit        Limit
	start        time.Time // buckets are counted from here, as the wall clock may jump
	mu           sync.Mutex
	newestBucket int64 // counted from start; the arrays are indexed by it modulo bucketCount
	requests     [bucketCount]int
	retries      [bucketCount]int
}

// NewLimiter returns the window of a node that has just started.
func NewLimiter(now time.Time, l Limit) *Limiter {
	return &Limiter{limit: l, start: now}
}

// advance clears the buckets that have left the window at the time now, and
// returns the index of the newest one.
func (w *Limiter) advance(now time.Time) int {
	bucket := int64(now.Sub(w.start)) * bucketCount / int64(w.limit.Window)
	if bucket-w.newestBucket >= bucketCount {
		w.requests, w.retries = [bucketCount]int{}, [bucketCount]int{}
		w.newestBucket = bucket
	}
	for w.newestBucket < bucket {
		w.newestBucket++
		w.requests[w.newestBucket%bucketCount] = 0
		w.retries[w.newestBucket%bucketCount] = 0
	}
	return int(w.newestBucket % bucketCount)
}

// AddRequest counts a new request, one that is not a retry.
func (w *Limiter) AddRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.advance(now)]++
}

// Allow reports whether one more retry is within this node's part of the limit,
// and counts it if so. The burst is divided by the number of nodes that may be
// running, so that the limit holds for their sum also when they cannot
// communicate.
func (w *Limiter) Allow(now time.Time, nodes int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.advance(now)
	if w.available(nodes) < 1 {
		return false
	}
	w.retries[i]++
	return true
}

// Available returns how many more retries this node's part of the limit allows at
// present. It is negative if the part has shrunk below the retries made.
func (w *Limiter) Available(now time.Time, nodes int) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return w.available(nodes)
}

// available returns how many more retries are allowed. The caller holds the
// mutex and has called advance.
func (w *Limiter) available(nodes int) float64 {
	requests, retries := 0, 0
	for j := range bucketCount {
		requests += w.requests[j]
		retries += w.retries[j]
	}
	return limitMargin*(w.limit.Ratio*float64(requests)+w.limit.Burst/float64(max(nodes, 1))) - float64(retries)
}
