package length_test

import (
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/length"
	"pgregory.net/rapid"
)

// lengthsOf returns the histogram of n lengths that draw returns.
func lengthsOf(n int, draw func() int) length.Histogram {
	var l length.Histogram
	for range n {
		l = l.With(draw())
	}
	return l
}

func TestRemaining(t *testing.T) {
	t.Run("learns short outputs", func(t *testing.T) {
		l := lengthsOf(200, func() int { return 24 })
		mean, _ := l.Remaining(0)
		qt.Assert(t, mean > 16 && mean < 36, qt.IsTrue, qt.Commentf("%f", mean))
	})
	t.Run("follows a change of lengths", func(t *testing.T) {
		l := lengthsOf(200, func() int { return 24 })
		for range 400 {
			l = l.With(800)
		}
		mean, _ := l.Remaining(0)
		qt.Assert(t, mean > 500, qt.IsTrue, qt.Commentf("%f", mean))
	})
	t.Run("more remains of longer outputs", func(t *testing.T) {
		r := rand.New(rand.NewPCG(1, 1))
		l := lengthsOf(3000, func() int { return int(math.Exp(r.NormFloat64()*1.2 + 6)) })
		early, _ := l.Remaining(100)
		late, _ := l.Remaining(2000)
		qt.Assert(t, late > early, qt.IsTrue, qt.Commentf("%f %f", early, late))
	})
}

// TestRemainingIsSound checks that predictions from any lengths are finite and
// not negative.
func TestRemainingIsSound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l length.Histogram
		for _, n := range rapid.SliceOfN(rapid.IntRange(-1, 1<<20), 0, 50).Draw(t, "lengths") {
			l = l.With(n)
		}
		mean, variance := l.Remaining(rapid.IntRange(0, 1<<20).Draw(t, "tokens"))
		if !(mean >= 0 && variance >= 0) || math.IsInf(mean, 0) || math.IsInf(variance, 0) {
			t.Fatalf("mean %f variance %f", mean, variance)
		}
	})
}
