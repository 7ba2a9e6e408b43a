package poison_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/kernel"
)

// Traits of two requests that share the part of prompts "rare".
const (
	ownOfLost uint64 = 500 + iota
	ownOfHarmful
)

// lose reports that endpoints crashed one after another, each under one request that has a
// trait of its own and the part "rare".
func (n *network) lose(own ...uint64) {
	for i, o := range own {
		n.crashes++
		n.Step(i%n.nodes, kernel.EndpointCrashed{Endpoint: "e-" + string(rune('a'+n.crashes)), Service: "model", StartMillis: 7, Requests: [][]uint64{{o, rare}}, Own: []uint64{o}})
		n.Run(crashGap)
	}
}

// TestRetryIsNoFurtherEvidence guards against sound requests that are quarantined for a part of
// prompts which a harmful request and one that a fault ended have in common by chance: the
// harmful one ends further endpoints when it is retried.
func TestRetryIsNoFurtherEvidence(t *testing.T) {
	t.Run("one retry", func(t *testing.T) {
		n := newNetwork(t, 4)
		n.lose(ownOfLost, ownOfHarmful, ownOfHarmful)
		qt.Assert(t, n.quarantined(rare, other), qt.Equals, 0)
		qt.Assert(t, n.notified, qt.HasLen, 0)
	})
	t.Run("many retries", func(t *testing.T) {
		n := newNetwork(t, 4)
		n.lose(ownOfLost, ownOfHarmful, ownOfHarmful, ownOfHarmful, ownOfHarmful)
		qt.Assert(t, n.quarantined(rare, other), qt.Equals, 0)
		qt.Assert(t, n.quarantined(rare, ownOfHarmful), qt.Equals, 4)
	})
	t.Run("another request after retries", func(t *testing.T) {
		n := newNetwork(t, 4)
		n.lose(ownOfHarmful, ownOfHarmful, ownOfHarmful)
		qt.Assert(t, n.quarantined(rare, other), qt.Equals, 0)
		n.lose(ownOfLost)
		qt.Assert(t, n.quarantined(rare, other), qt.Equals, 4)
	})
	t.Run("third request", func(t *testing.T) {
		n := newNetwork(t, 4)
		n.lose(ownOfLost, ownOfHarmful, ownOfHarmful, other+1)
		qt.Assert(t, n.quarantined(rare, other), qt.Equals, 4)
	})
}
