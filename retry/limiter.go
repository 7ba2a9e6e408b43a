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

// NewLimiter returns the limiter of a node that has just started.
func NewLimiter(now time.Time, limit Limit) *Limiter {
	return &Limiter{limit: limit, start: now}
}

// advance clears the buckets that have left the window by now, and returns the
// index of the newest bucket.
func (l *Limiter) advance(now time.Time) int {
	bucket := int64(now.Sub(l.start)) * bucketCount / int64(l.limit.Window)
	if bucket-l.newestBucket >= bucketCount {
		l.requests, l.retries = [bucketCount]int{}, [bucketCount]int{}
		l.newestBucket = bucket
	}
	for l.newestBucket < bucket {
		l.newestBucket++
		l.requests[l.newestBucket%bucketCount] = 0
		l.retries[l.newestBucket%bucketCount] = 0
	}
	return int(l.newestBucket % bucketCount)
}

// AddRequest counts a new request, one that is not a retry.
func (l *Limiter) AddRequest(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[l.advance(now)]++
}

// Allow reports whether one more retry is within this node's part of the limit,
// and counts it if so. The burst is divided by the number of nodes that may be
// running, so that the limit holds for their sum also when they cannot
// communicate.
func (l *Limiter) Allow(now time.Time, nodes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := l.advance(now)
	if l.available(nodes) < 1 {
		return false
	}
	l.retries[i]++
	return true
}

// Available returns how many more retries this node's part of the limit allows at
// present. It is negative if the part has shrunk below the retries made.
func (l *Limiter) Available(now time.Time, nodes int) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	return l.available(nodes)
}

// available returns how many more retries are allowed. The caller holds the
// mutex and has called advance.
func (l *Limiter) available(nodes int) float64 {
	requests, retries := 0, 0
	for j := range bucketCount {
		requests += l.requests[j]
		retries += l.retries[j]
	}
	return limitMargin*(l.limit.Ratio*float64(requests)+l.limit.Burst/float64(max(nodes, 1))) - float64(retries)
}
