package retry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/retry"
)

var limit = retry.Limit{Ratio: 0.2, Burst: 56, Window: 10 * time.Second}

// Whatever the nodes do, and though none hears of another, their repeats in
// any window stay within the limit that they share.
func TestWindowSharedByNodes(t *testing.T) {
	start := time.Now()
	for _, nodes := range []int{1, 4, 33} {
		windows := make([]*retry.Window, nodes)
		for i := range windows {
			windows[i] = retry.NewWindow(start, limit)
		}
		var fresh, repeats []time.Duration
		for at := time.Duration(0); at < 40*time.Second; at += 50 * time.Millisecond {
			w := windows[int(at/(50*time.Millisecond))%nodes]
			w.Fresh(start.Add(at))
			fresh = append(fresh, at)
			for w.Allow(start.Add(at), nodes) {
				repeats = append(repeats, at)
			}
		}
		within := func(list []time.Duration, from time.Duration) (n int) {
			for _, at := range list {
				if at >= from && at < from+limit.Window {
					n++
				}
			}
			return n
		}
		for from := time.Duration(0); from < 30*time.Second; from += 500 * time.Millisecond {
			most := limit.Ratio*float64(within(fresh, from)) + limit.Burst
			got := within(repeats, from)
			qt.Assert(t, float64(got) <= most, qt.IsTrue, qt.Commentf("%d nodes, from %s: %d repeats, %f allowed", nodes, from, got, most))
		}
	}
}

func TestWindowForgets(t *testing.T) {
	start := time.Now()
	w := retry.NewWindow(start, limit)
	n := 0
	for w.Allow(start, 1) {
		n++
	}
	qt.Assert(t, n > 0, qt.IsTrue)
	qt.Assert(t, w.Allow(start.Add(5*time.Second), 1), qt.IsFalse)
	qt.Assert(t, w.Allow(start.Add(11*time.Second), 1), qt.IsTrue)
}
