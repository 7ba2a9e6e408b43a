package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/place"
)

func candidates(n int) []place.Candidate {
	list := make([]place.Candidate, n)
	for i := range list {
		list[i] = place.Candidate{ID: fmt.Sprint(i), SameCentre: true, Slots: 24, Memory: 30000, Requests: 6, Tokens: 18000}
	}
	return list
}

// maxOnOneEngine simulates nodes that place one request each before any of them
// learns of the others' choices, while one engine has just started. It returns
// the highest number of requests that one engine gets.
func maxOnOneEngine(nodes, peers int) int {
	r := rand.New(rand.NewPCG(3, 3))
	list := candidates(57)
	list[11].Requests, list[11].Tokens = 0, 0
	requests := map[int]int{}
	highest := 0
	for range nodes {
		i, _ := place.Choose(place.Need{Tokens: 3000}, list, peers, r)
		requests[i]++
		highest = max(highest, requests[i])
	}
	return highest
}

func TestNodesDoNotHerd(t *testing.T) {
	// Nodes that ignore their peers all choose the engine that has just started.
	qt.Assert(t, maxOnOneEngine(33, 0), qt.Equals, 33)
	qt.Assert(t, maxOnOneEngine(33, 32) <= 7, qt.IsTrue, qt.Commentf("%d on one engine", maxOnOneEngine(33, 32)))
}

func TestScore(t *testing.T) {
	base := candidates(1)[0]
	worse := func(name string, change func(c *place.Candidate)) {
		t.Run(name, func(t *testing.T) {
			c := base
			change(&c)
			qt.Assert(t, place.Score(place.Need{Tokens: 3000}, c) > place.Score(place.Need{Tokens: 3000}, base), qt.IsTrue)
		})
	}
	worse("more requests", func(c *place.Candidate) { c.Requests++ })
	worse("less memory", func(c *place.Candidate) { c.Tokens += 100 })
	worse("pending prompts", func(c *place.Candidate) { c.PendingPrompt += 100 })
	worse("another data centre", func(c *place.Candidate) { c.SameCentre = false })
	worse("failures", func(c *place.Candidate) { c.FailureRate = 0.1 })
}

func TestFits(t *testing.T) {
	c := place.Candidate{Slots: 2, Requests: 1, Memory: 10000, Tokens: 5000}
	for _, maxFill := range []float64{place.MaxFillNew, place.MaxFillRetried, place.MaxFillUrgent} {
		room := int(maxFill*10000) - 5000
		qt.Assert(t, place.Fits(place.Need{Tokens: room}, c, maxFill), qt.IsTrue)
		qt.Assert(t, place.Fits(place.Need{Tokens: room + 1}, c, maxFill), qt.IsFalse)
	}
	qt.Assert(t, place.MaxFillNew < place.MaxFillRetried, qt.IsTrue)
	c.Requests = 2
	qt.Assert(t, place.Fits(place.Need{Tokens: 1}, c, place.MaxFillUrgent), qt.IsFalse)
}

func TestChooseAmongNone(t *testing.T) {
	_, ok := place.Choose(place.Need{}, nil, 3, rand.New(rand.NewPCG(1, 1)))
	qt.Assert(t, ok, qt.IsFalse)
}

// BenchmarkChoose measures the cost of a choice among up to 730 endpoints, which
// has to stay low.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 57, 730} {
		list := candidates(n)
		r := rand.New(rand.NewPCG(1, 1))
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				place.Choose(place.Need{Tokens: 3000}, list, 32, r)
			}
		})
	}
}

// TestFitsByTime fails if a request is placed where it is expected to miss its objective or
// to make more urgent ones miss theirs, or if it is then placed nowhere for ever.
func TestFitsByTime(t *testing.T) {
	for _, test := range []struct {
		name   string
		timing place.Timing
		rate   float64
		want   bool
	}{
		{"in time", place.Timing{Prompt: 2000, TimeLeft: time.Second}, 6000, true},
		{"late", place.Timing{Prompt: 3000, TimeLeft: time.Second}, 6000, false},
		{"in the way of urgent ones", place.Timing{Prompt: 2000, TimeLeft: 4 * time.Second, UrgentLimit: 900 * time.Millisecond}, 6000, false},
		{"objective has passed", place.Timing{Prompt: 9000, UrgentLimit: time.Millisecond}, 6000, true},
		{"speed unknown", place.Timing{Prompt: 9000, TimeLeft: time.Second}, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := place.Candidate{Slots: 2, Memory: 30000, PendingPrompt: 4000, PrefillRate: test.rate}
			qt.Assert(t, place.Fits(place.Need{Tokens: 9000, Timing: test.timing}, c, 1), qt.Equals, test.want)
			c.PendingPrompt = 0
			qt.Assert(t, place.Fits(place.Need{Tokens: 9000, Timing: test.timing}, c, 1), qt.IsTrue)
		})
	}
}

// TestAssumeMedian fails if an engine without samples is judged by another scale than the
// others, or if a speed is assumed that no engine has shown.
func TestAssumeMedian(t *testing.T) {
	list := candidates(4)
	place.AssumeMedian(list)
	qt.Assert(t, list, qt.DeepEquals, candidates(4))
	list[0].PrefillRate, list[1].PrefillRate, list[2].PrefillRate, list[1].SlowFactor = 3000, 9000, 5000, 1.5
	place.AssumeMedian(list)
	qt.Assert(t, list[3].PrefillRate, qt.Equals, 5000.0)
	qt.Assert(t, list[3].SlowFactor, qt.Equals, 1.5)
}
