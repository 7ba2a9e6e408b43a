package retry

import (
	"math"
	"slices"
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
	bucketCount = 20                     // buckets of one window
	limitMargin = 0.8                    // fraction of the limit that the nodes use, as their windows do not coincide
	reportTime  = 500 * time.Millisecond // twice the time until the other nodes of the group have learned of a retry, so that what they have taken meanwhile is known as well
)

// Limiter enforces a Limit at one node for one service. It may be used by
// several goroutines.
type Limiter struct {
	limit        Limit
	start        time.Time // buckets are counted from here, as the wall clock may jump
	burstFrom    time.Time // from when on the node uses the burst
	mu           sync.Mutex
	newestBucket int64 // counted from start; the arrays are indexed by it modulo bucketCount
	requests     [bucketCount]int
	retries      [bucketCount]int
	unreported   []time.Time // of the retries from the pool in the last reportTime
	nodes        int         // as the last call of Allow stated
}

// NewLimiter returns a limiter that uses the burst from burstFrom on. Load pattern: engines
// fail while nodes are killed and start again. A node does not know how much of the burst its
// former process has used, so for a window after its start it must not use any.
func NewLimiter(now, burstFrom time.Time, limit Limit) *Limiter {
	return &Limiter{limit: limit, start: now, burstFrom: burstFrom}
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

// Share says how the burst of a Limit is divided among the nodes: half of it in equal
// parts, the other half as a pool for each group of nodes. Load pattern: an engine that
// leaves runs generations of a few nodes, which all need a retry at once, while most nodes
// need none. With equal parts only, those few cut off generations while most of the limit
// is unused.
type Share struct {
	Nodes   int // that may be running
	Group   int // of them that use a pool together, this one included
	Unknown int // other nodes of the group that have not reported lately; they count as having used their part of the pool
	Pooled  int // retries of the other nodes of the group from the pool in the last window, as reported
}

// half returns half of the parts of a burst that n of the nodes have.
func (s Share) half(burst float64, n int) float64 {
	return limitMargin / 2 * burst * float64(n) / float64(max(s.Nodes, s.Group, 1))
}

// Allow reports whether one more retry is within the limit, and counts it if so. The
// limit holds for the sum of all nodes also when they cannot communicate. Until a node's
// retries from the pool have been reported to its group, it makes at most its part of
// those that are left there.
func (l *Limiter) Allow(now time.Time, s Share) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := l.advance(now)
	l.nodes = s.Nodes
	own, pool := l.available(now, s)
	if own < 1 {
		l.unreported = slices.DeleteFunc(l.unreported, func(at time.Time) bool { return now.Sub(at) >= reportTime })
		taken := float64(len(l.unreported))
		if pool < 1 || taken >= max(1, (pool+taken)/float64(max(s.Group, 1))) {
			return false
		}
		l.unreported = append(l.unreported, now)
	}
	l.retries[i]++
	return true
}

// Available returns how many more retries the limit allows at present.
func (l *Limiter) Available(now time.Time, s Share) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	own, pool := l.available(now, s)
	return max(own, 0) + max(pool, 0)
}

// Pooled returns the number of retries from the pool in the last window.
func (l *Limiter) Pooled(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	own, _ := l.available(now, Share{Nodes: l.nodes, Group: 1})
	return int(math.Ceil(max(-own, 0)))
}

// available returns how many more retries this node's own part and the pool allow. The
// own part is negative by what has been taken from the pool. The caller holds the mutex
// and has called advance.
func (l *Limiter) available(now time.Time, s Share) (own, pool float64) {
	requests, retries := 0, 0
	for j := range bucketCount {
		requests += l.requests[j]
		retries += l.retries[j]
	}
	own = limitMargin*l.limit.Ratio*float64(requests) - float64(retries)
	if now.Before(l.burstFrom) {
		return own, 0
	}
	own += s.half(l.limit.Burst, 1)
	return own, s.half(l.limit.Burst, s.Group-s.Unknown) - float64(s.Pooled) + min(own, 0)
}
