package retry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/retry"
)

var limit = retry.Limit{Ratio: 0.2, Burst: 56, Window: 10 * time.Second}

// TestLimitSharedByNodes checks that the retries of all nodes stay within the
// limit in any window, though the nodes do not communicate and each makes all
// retries that it is allowed.
func TestLimitSharedByNodes(t *testing.T) {
	start := time.Now()
	for _, nodes := range []int{1, 4, 33} {
		limiters := make([]*retry.Limiter, nodes)
		for i := range limiters {
			limiters[i] = retry.NewLimiter(start, limit)
		}
		var requests, retries []time.Duration
		for at := time.Duration(0); at < 40*time.Second; at += 50 * time.Millisecond {
			l := limiters[int(at/(50*time.Millisecond))%nodes]
			l.AddRequest(start.Add(at))
			requests = append(requests, at)
			for l.Allow(start.Add(at), nodes) {
				retries = append(retries, at)
			}
		}
		countFrom := func(list []time.Duration, from time.Duration) (n int) {
			for _, at := range list {
				if at >= from && at < from+limit.Window {
					n++
				}
			}
			return n
		}
		for from := time.Duration(0); from < 30*time.Second; from += 500 * time.Millisecond {
			allowed := limit.Ratio*float64(countFrom(requests, from)) + limit.Burst
			got := countFrom(retries, from)
			qt.Assert(t, float64(got) <= allowed, qt.IsTrue, qt.Commentf("%d nodes, from %s: %d retries, %f allowed", nodes, from, got, allowed))
		}
	}
}

func TestLimiterForgetsOldRetries(t *testing.T) {
	start := time.Now()
	l := retry.NewLimiter(start, limit)
	allowed := 0
	for l.Allow(start, 1) {
		allowed++
	}
	qt.Assert(t, allowed > 0, qt.IsTrue)
	qt.Assert(t, l.Allow(start.Add(5*time.Second), 1), qt.IsFalse)
	qt.Assert(t, l.Allow(start.Add(11*time.Second), 1), qt.IsTrue)
}
