package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestBrittleness checks which responses make an endpoint brittle or full.
func TestBrittleness(t *testing.T) {
	at := time.Unix(1000, 0)
	b := brittleness{}.withStatement(at, 8, false, 4)
	qt.Assert(t, b.states(at), qt.IsTrue)
	qt.Assert(t, b.full(at), qt.IsFalse)
	qt.Assert(t, b.states(at.Add(brittleTTL)), qt.IsFalse)
	qt.Assert(t, b.withoutStatement(at.Add(-time.Millisecond)).states(at), qt.IsTrue)
	qt.Assert(t, b.withoutStatement(at).states(at), qt.IsFalse)
	for _, test := range []struct {
		survives, nodes int
		rest            time.Duration
	}{{8, 4, time.Second}, {1000, 4, minFullRest}, {1, 100, maxFullRest}, {0, 1, maxFullRest}} {
		b := brittleness{}.withStatement(at, test.survives, true, test.nodes)
		qt.Assert(t, b.fullUntil.Sub(at), qt.Equals, test.rest)
	}
	for _, text := range []string{"", "-1", "x", "1.5"} {
		_, err := parseBrittle(text)
		qt.Assert(t, err, qt.ErrorAs, new(*BrittleError))
	}
}
