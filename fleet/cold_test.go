package fleet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/table"
)

// TestColdSharesKeepTheBound guards against shares that add up to more than half of the excess
// that a cold endpoint bears in any second.
func TestColdSharesKeepTheBound(t *testing.T) {
	for _, count := range []int{1, 4, 100, 400} {
		var nodes []string
		for i := range count {
			nodes = append(nodes, fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250))
		}
		for _, b := range []table.ColdBound{{PerSecond: 2, Excess: 1.5, Slack: 5}, {PerSecond: 40, Excess: 1.5, Slack: 5}, {PerSecond: 20, Excess: 1.2, Slack: 0}} {
			var rate, burst float64
			for _, self := range nodes {
				share := coldShareOf(b, "i-1", self, nodes)
				rate += share.Rate
				burst += float64(share.Burst)
			}
			qt.Assert(t, rate > 0.999*b.PerSecond && rate < 1.001*b.PerSecond, qt.IsTrue, qt.Commentf("%d nodes share %g of %g", count, rate, b.PerSecond))
			qt.Assert(t, burst > 0 && burst <= (b.Excess-1)/2*b.PerSecond+b.Slack/2, qt.IsTrue, qt.Commentf("%d nodes, burst %g", count, burst))
		}
	}
}

// TestColdAfterResponse guards against late responses that end the cold time of an endpoint, and
// against a message for each response.
func TestColdAfterResponse(t *testing.T) {
	now := time.Unix(1000, 0)
	cold := coldState{startMillis: 7, number: 2, until: now.Add(10 * time.Second), receivedAt: now.Add(-time.Second)}
	ended := coldState{startMillis: 7, number: 3, receivedAt: now.Add(-time.Second)}
	before, after := now.Add(-2*time.Second), now.Add(-time.Millisecond)
	for name, test := range map[string]struct {
		old     coldState
		report  kernel.ColdReported
		changed bool
	}{
		"first":                 {coldState{}, kernel.ColdReported{StartMillis: 7, Left: time.Second, SentAt: before}, true},
		"never cold":            {coldState{}, kernel.ColdReported{StartMillis: 7, SentAt: after}, false},
		"same end":              {cold, kernel.ColdReported{StartMillis: 7, Left: 10100 * time.Millisecond, SentAt: after}, false},
		"longer":                {cold, kernel.ColdReported{StartMillis: 7, Left: 20 * time.Second, SentAt: before}, true},
		"ended":                 {cold, kernel.ColdReported{StartMillis: 7, SentAt: after}, true},
		"ended, sent before":    {cold, kernel.ColdReported{StartMillis: 7, SentAt: before}, false},
		"cold again":            {ended, kernel.ColdReported{StartMillis: 7, Left: time.Second, SentAt: after}, true},
		"of an earlier process": {cold, kernel.ColdReported{StartMillis: 6, Left: time.Minute, SentAt: after}, false},
	} {
		t.Run(name, func(t *testing.T) {
			_, changed := test.old.after(now, test.report)
			qt.Assert(t, changed, qt.Equals, test.changed)
		})
	}
}
