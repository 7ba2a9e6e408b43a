package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/retry"
	"pgregory.net/rapid"
)

// TestRetriesAreBounded checks that, in any order of requests and failures, there
// are at most as many retries as a tenth of the requests plus the initial budget.
func TestRetriesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retry.New()
		requests, retries := 0, 0
		for _, failed := range rapid.SliceOfN(rapid.Bool(), 0, 2000).Draw(t, "failures") {
			b = b.WithRequest()
			requests++
			var ok bool
			for ok = failed; ok; {
				if b, ok = b.WithRetry(); ok {
					retries++
				}
			}
		}
		if float64(retries) > 0.1*float64(requests)+10.001 {
			t.Fatalf("%d retries of %d requests", retries, requests)
		}
	})
}

func TestJitter(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		d := retry.Jitter(r, time.Second)
		qt.Assert(t, d >= time.Second/2 && d <= time.Second, qt.IsTrue)
	}
	qt.Assert(t, retry.Jitter(r, 0), qt.Equals, time.Duration(0))
}
