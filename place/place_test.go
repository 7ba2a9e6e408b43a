package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

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
