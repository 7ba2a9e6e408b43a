package speed_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/speed"
)

var start = time.Unix(1e9, 0)

// learn returns the estimates of engines with the given factors after they ran
// generations for 3 s, and the baseline.
func learn(factors []float64) ([]speed.Estimate, speed.Baseline, time.Time) {
	r := rand.New(rand.NewPCG(4, 1))
	list := make([]speed.Estimate, len(factors))
	var b speed.Baseline
	now := start
	for range 75 {
		now = now.Add(40 * time.Millisecond)
		for i, f := range factors {
			noise := 0.7 + 0.6*r.Float64()
			running := 1 + r.IntN(24)
			gap := time.Duration(4 * f * noise * (7 + 0.12*float64(running)) * float64(time.Millisecond))
			list[i] = list[i].WithGap(now, b, gap, 4, running)
			if r.IntN(10) == 0 {
				list[i] = list[i].WithPrefill(now, b, time.Duration(3000*f*noise/7000*float64(time.Second)), 3000)
			}
		}
		b = speed.Median(now, list)
	}
	return list, b, now
}

func assertNear(t *testing.T, got, want, tolerance float64) {
	t.Helper()
	qt.Assert(t, got > want*(1-tolerance) && got < want*(1+tolerance), qt.IsTrue, qt.Commentf("got %.2f, want %.2f", got, want))
}

// TestSpeedsAreLearned fails if the number of running generations or the noise of single
// events hides the difference between engines.
func TestSpeedsAreLearned(t *testing.T) {
	factors := []float64{0.6, 1, 1.6, 0.6, 1, 1.6, 1}
	list, b, now := learn(factors)
	for i, f := range factors {
		assertNear(t, list[i].Slow(now, b), f, 0.15)
		assertNear(t, list[i].PrefillRate(now, b), 7000/f, 0.25)
	}
}

// TestOutlierChangesLittle fails if one stalled event makes an engine count as slow.
func TestOutlierChangesLittle(t *testing.T) {
	list, b, now := learn([]float64{1, 1, 1})
	now = now.Add(40 * time.Millisecond)
	for _, e := range []speed.Estimate{list[0], {}} {
		before := e.Slow(now, b)
		if before == 0 {
			before = 1
		}
		assertNear(t, e.WithGap(now, b, 3*time.Second, 4, 5).Slow(now, b), before, 0.35)
	}
}

// TestOldSamplesAreForgotten fails if an engine that was slow once is avoided for ever.
func TestOldSamplesAreForgotten(t *testing.T) {
	list, b, now := learn([]float64{1, 1, 2})
	qt.Assert(t, list[2].Slow(now, b) > 1.5, qt.IsTrue)
	assertNear(t, list[2].Slow(now.Add(25*time.Second), b), 1, 0.1)
	later := now.Add(speed.TTL)
	qt.Assert(t, list[2].Slow(later, b), qt.Equals, 0.0)
	qt.Assert(t, list[2].PrefillRate(later, b), qt.Equals, 0.0)
	qt.Assert(t, speed.Median(later, list), qt.Equals, speed.Baseline{})
}

// TestUnknown fails if a speed is assumed that no sample shows.
func TestUnknown(t *testing.T) {
	var e speed.Estimate
	var b speed.Baseline
	qt.Assert(t, e.Slow(start, b), qt.Equals, 0.0)
	qt.Assert(t, e.PrefillRate(start, b), qt.Equals, 0.0)
	qt.Assert(t, b.TokenTime(24), qt.Equals, time.Duration(0))
	qt.Assert(t, e.WithPrefill(start, b, time.Millisecond, 20).PrefillRate(start, b), qt.Equals, 0.0)
}
