package fleet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/kernel"
)

// TestSharesKeepTheLimit checks that the shares of all nodes add up to the limit, and
// with their bursts to what an endpoint may get in any 4 s.
func TestSharesKeepTheLimit(t *testing.T) {
	for _, count := range []int{1, 4, 8, 24, 400} {
		var nodes []string
		for i := range count {
			nodes = append(nodes, fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250))
		}
		for _, limit := range []float64{0.25, 0.6, 1, 2.6, 4, 17, 300, 1e9} {
			var rate, burst float64
			for _, self := range nodes {
				share := shareOf(limit, "i-1", self, nodes)
				rate += share.Rate
				burst += float64(share.Burst)
				qt.Assert(t, share.Rate > 0, qt.Equals, share.Burst > 0)
			}
			qt.Assert(t, rate > 0.999*limit && rate < 1.001*limit, qt.IsTrue, qt.Commentf("%d nodes share %g of %g", count, rate, limit))
			qt.Assert(t, 4*rate+burst <= 1.5*4*limit+5, qt.IsTrue, qt.Commentf("%d nodes, limit %g, burst %g", count, limit, burst))
		}
	}
	qt.Assert(t, shareOf(0, "i-1", "a", []string{"a"}), qt.Equals, RateShare{Rate: minRateLimit, Burst: 2})
	qt.Assert(t, shareOf(5, "i-1", "gone", []string{"a"}), qt.Equals, RateShare{})
}

// TestSlotSharesAddUp checks that the nodes divide all slots of an endpoint and no more.
func TestSlotSharesAddUp(t *testing.T) {
	for _, count := range []int{1, 4, 8, 24} {
		v := &View{}
		for i := range count {
			v.sharers = append(v.sharers, fmt.Sprintf("10.0.0.%d:7000", 10+i))
		}
		for _, slots := range []int{1, 6, 24} {
			sum := 0
			for _, v.self = range v.sharers {
				sum += v.SlotShare(Endpoint{ID: "i-1", Slots: slots})
			}
			qt.Assert(t, sum, qt.Equals, slots)
		}
		v.self = "gone"
		qt.Assert(t, v.SlotShare(Endpoint{ID: "i-1", Slots: 0}), qt.Equals, 0)
	}
	qt.Assert(t, (&View{}).SlotShare(Endpoint{ID: "i-1", Slots: 6}), qt.Equals, 6)
}

// TestLimitAfterResponse checks which responses change a limit. Responses to requests
// that were sent before the limit was known neither raise nor lift it.
func TestLimitAfterResponse(t *testing.T) {
	known := time.Unix(1000, 0)
	before, after := known.Add(-time.Second), known.Add(time.Second)
	limited := rateLimit{startMillis: 7, number: 3, rate: 4, receivedAt: known}
	lifted := rateLimit{startMillis: 7, number: 4, lifted: true, receivedAt: known}
	for name, test := range map[string]struct {
		old     rateLimit
		report  kernel.LimitReported
		changed bool
	}{
		"named first":               {rateLimit{}, kernel.LimitReported{StartMillis: 7, Named: true, Rate: 4, SentAt: before}, true},
		"never named":               {rateLimit{}, kernel.LimitReported{StartMillis: 7, SentAt: after}, false},
		"named again":               {limited, kernel.LimitReported{StartMillis: 7, Named: true, Rate: 4.1, SentAt: after}, false},
		"lower":                     {limited, kernel.LimitReported{StartMillis: 7, Named: true, Rate: 3, SentAt: before}, true},
		"higher":                    {limited, kernel.LimitReported{StartMillis: 7, Named: true, Rate: 5, SentAt: after}, true},
		"higher, sent before":       {limited, kernel.LimitReported{StartMillis: 7, Named: true, Rate: 5, SentAt: before}, false},
		"lifted":                    {limited, kernel.LimitReported{StartMillis: 7, SentAt: after}, true},
		"lifted, sent before":       {limited, kernel.LimitReported{StartMillis: 7, SentAt: before}, false},
		"lifted again":              {lifted, kernel.LimitReported{StartMillis: 7, SentAt: after}, false},
		"named again after the end": {lifted, kernel.LimitReported{StartMillis: 7, Named: true, Rate: 4, SentAt: before}, true},
		"of an earlier process":     {limited, kernel.LimitReported{StartMillis: 6, Named: true, Rate: 1, SentAt: after}, false},
		"of a later process":        {limited, kernel.LimitReported{StartMillis: 8, Named: true, Rate: 9, SentAt: before}, true},
	} {
		t.Run(name, func(t *testing.T) {
			_, changed := test.old.after(test.report)
			qt.Assert(t, changed, qt.Equals, test.changed)
		})
	}
}

// TestStricterLimitCounts checks the order of changes that nodes have noticed at the same
// time.
func TestStricterLimitCounts(t *testing.T) {
	strict, loose := rateLimit{number: 2, rate: 2}, rateLimit{number: 2, rate: 5}
	lifted, next := rateLimit{number: 2, lifted: true}, rateLimit{number: 3, lifted: true}
	for _, test := range []struct{ newer, older rateLimit }{{strict, loose}, {loose, lifted}, {next, strict}, {rateLimit{startMillis: 1, number: 1, rate: 9}, next}} {
		qt.Assert(t, test.newer.replaces(test.older), qt.IsTrue)
		qt.Assert(t, test.older.replaces(test.newer), qt.IsFalse)
		qt.Assert(t, test.newer.replaces(test.newer), qt.IsFalse)
	}
}
