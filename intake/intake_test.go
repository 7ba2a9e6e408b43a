package intake

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	start      = time.Unix(1_000_000, 0)
	testLimits = Limits{Bytes: 1000, Bulk: 600, Small: 100, Conns: 10, Stall: time.Second}
)

// holder returns a holder that has made no progress for a time at start.
func holder(id uint64, p Phase, n int64, stalled time.Duration) Holder {
	return Holder{ID: id, Phase: p, Bytes: n, Since: start.Add(-stalled)}
}

func TestYield(t *testing.T) {
	const long, short = 2 * time.Second, 100 * time.Millisecond
	var conns []Holder
	for i := range testLimits.Conns {
		conns = append(conns, holder(uint64(i+1), Idle, 1, time.Duration(i)*time.Second))
	}
	for name, test := range map[string]struct {
		holders []Holder
		next    Holder
		yield   []uint64
		ok      bool
	}{
		"room": {[]Holder{holder(1, Receiving, 500, long)}, holder(2, Receiving, 100, 0), nil, true},
		"stalled before progressing": {
			[]Holder{holder(1, Receiving, 500, short), holder(2, Receiving, 500, long)}, holder(3, Receiving, 100, 0), []uint64{2}, true},
		"the longest stall first": {
			[]Holder{holder(1, Receiving, 400, long), holder(2, Receiving, 400, 2*long), holder(3, Receiving, 200, long)}, holder(4, Receiving, 100, 0), []uint64{2}, true},
		"nobody stalls": {
			[]Holder{holder(1, Receiving, 500, short), holder(2, Receiving, 500, short)}, holder(3, Receiving, 100, 0), nil, false},
		"a request that runs stays": {
			[]Holder{holder(1, Serving, 1000, long)}, holder(2, Receiving, 100, 0), nil, false},
		"a response that is not read yields": {
			[]Holder{holder(1, Sending, 1000, long)}, holder(2, Receiving, 100, 0), []uint64{1}, true},
		"large requests share their part": {
			[]Holder{holder(1, Serving, 600, long)}, holder(2, Receiving, 300, 0), nil, false},
		"small ones have the rest": {
			[]Holder{holder(1, Serving, 600, long)}, holder(2, Receiving, 100, 0), nil, true},
		"one large request may have everything":  {nil, holder(1, Receiving, 1000, 0), nil, true},
		"idle connections give way to a new one": {conns, holder(11, Opened, 1, 0), []uint64{10}, true},
		"but not to a large request": {
			[]Holder{holder(1, Idle, 100, long), holder(2, Idle, 100, long)}, holder(3, Receiving, 900, 0), nil, false},
		"more than there is": {nil, holder(1, Receiving, 1001, 0), nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			yield, ok := testLimits.Yield(start, test.holders, test.next)
			qt.Check(t, ok, qt.Equals, test.ok)
			qt.Check(t, yield, qt.DeepEquals, test.yield)
		})
	}
}

// TestLedgerKeepsItsLimits checks the sums of a ledger while connections come, grow, stall and close at random.
func TestLedgerKeepsItsLimits(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		l, now := New(testLimits), start
		var open, closing []uint64
		for range 3000 {
			now = now.Add(time.Duration(r.IntN(300)) * time.Millisecond)
			var yield []uint64
			switch op := r.IntN(5); {
			case op == 0 || len(open) == 0:
				id, y, ok := l.Open(now, 20)
				if yield = y; ok {
					open = append(open, id)
				}
			case op == 1 && len(closing) > 0:
				l.Close(closing[0])
				closing = closing[1:]
			default:
				phases := []Phase{Receiving, Receiving, Idle, Serving, Sending}
				yield, _ = l.Set(now, open[r.IntN(len(open))], phases[r.IntN(len(phases))], int64(20+r.IntN(500)))
			}
			for _, id := range yield {
				closing = append(closing, id)
				for i, other := range open {
					if other == id {
						open = append(open[:i], open[i+1:]...)
						break
					}
				}
			}
			assertWithin(t, l)
		}
		for _, id := range append(open, closing...) {
			l.Close(id)
		}
		qt.Assert(t, l.Stats().Bytes, qt.Equals, int64(0))
		qt.Assert(t, l.totals, qt.Equals, totals{})
	}
}

// assertWithin checks that the holders of a ledger are within its limits and add up to its totals.
func assertWithin(t *testing.T, l *Ledger) {
	t.Helper()
	var sum totals
	var largest int64
	for _, h := range l.holders {
		sum.add(l.limits, h)
		if h.Yielding {
			largest = max(largest, h.Bytes)
		}
	}
	qt.Assert(t, sum, qt.Equals, l.totals)
	qt.Assert(t, sum.bytes <= l.limits.Bytes && sum.conns <= l.limits.Conns && sum.yielding <= maxYielding, qt.IsTrue)
	qt.Assert(t, sum.bulk <= l.limits.Bulk || sum.bulkHolders == 1, qt.IsTrue)
	qt.Assert(t, sum.yieldingBytes <= max(l.limits.Bytes/yieldingShare, largest), qt.IsTrue)
}

// TestLimitsFor checks that a host of any memory has room for the largest request of usual limits, and that
// the limits stay within what it has.
func TestLimitsFor(t *testing.T) {
	const largest = ConnCost + RequestCost + 8<<20
	for _, memory := range []int64{0, 88 << 20, 120 << 20, 189 << 20, 536 << 20, 804 << 20} {
		l := LimitsFor(memory, 4096)
		qt.Check(t, l.Bytes >= largest, qt.IsTrue)
		qt.Check(t, memory == 0 || l.Bytes < memory/2, qt.IsTrue)
		qt.Check(t, 2*l.Conns < 4096, qt.IsTrue)
		qt.Check(t, l.Bulk < l.Bytes, qt.IsTrue)
	}
}
