package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/place"
	"github.com/plantaindeck/plantaindeck/simnet"
	"github.com/plantaindeck/plantaindeck/wire"
)

// evacuate makes all nodes of a network learn that a data centre is evacuated.
func evacuate(n *simnet.Network, centre string, revision int64) {
	n.Step(0, kernel.ItemsLearned{Items: []*wire.Item{fleet.EvacuationItem(centre, fleet.Version{Revision: revision})}})
	n.Run(evacuationSpread)
}

const evacuationSpread = time.Second // until all nodes have learned it

// TestEvacuatedCentre guards against each path by which a request could still reach an endpoint
// of an evacuated data centre.
func TestEvacuatedCentre(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{4, 100, 400} {
		n := startNetwork(t, nodes, 72)
		s := newSimServer(0)
		first, _ := fleet.Of(n.State(0)).Endpoint(fleet.Of(n.State(0)).EndpointIDs()[0])
		evacuate(n, first.Centre, 10_000)
		view, now := fleet.Of(n.State(0)), n.Now()
		name := func(path string) string { return fmt.Sprintf("%d nodes, %s", nodes, path) }
		inCentre := func(e fleet.Endpoint) bool { return e.Centre == first.Centre }
		t.Run(name("choice"), func(t *testing.T) {
			list := s.usableEndpoints(now, view, selection{service: engineService})
			qt.Assert(t, len(list) > 0, qt.IsTrue)
			qt.Assert(t, slices.ContainsFunc(list, inCentre), qt.IsFalse)
		})
		t.Run(name("migration targets"), func(t *testing.T) {
			sel := selection{service: engineService, centre: first.Centre, need: place.Need{Tokens: 100}, maxFill: place.MaxFillRetried}
			list, _ := s.fittingCandidates(now, view, sel)
			qt.Assert(t, len(list) > 0, qt.IsTrue)
			qt.Assert(t, slices.ContainsFunc(list, inCentre), qt.IsFalse)
		})
		t.Run(name("continuations and drops"), func(t *testing.T) {
			qt.Assert(t, s.usage.takeCall(now, view, first.ID), qt.IsFalse)
			qt.Assert(t, s.usage.closedFor(now, view, first) > maxRest, qt.IsTrue)
		})
		t.Run(name("copies of what runs there"), func(t *testing.T) {
			qt.Assert(t, s.usage.closedForCopies(now, view, first), qt.Equals, time.Duration(0))
			qt.Assert(t, s.usage.takeCopyCall(now, view, first.ID), qt.IsTrue)
		})
		t.Run(name("reports"), func(t *testing.T) {
			probed := 0
			for i := range nodes {
				list := enginesToProbe(fleet.Of(n.State(i)), member.Of(n.State(i)), 1)
				probed += len(list)
				qt.Assert(t, slices.ContainsFunc(list, inCentre), qt.IsFalse)
			}
			qt.Assert(t, probed > 0, qt.IsTrue)
		})
		t.Run(name("carried connections"), func(t *testing.T) {
			o, detail := carryObstacle(view, &wire.Carry{Endpoint: first.ID, Addr: first.Addr}, 0)
			qt.Assert(t, o, qt.Equals, wire.Obstacle_ENDING)
			qt.Assert(t, detail, qt.Contains, "evacuated")
			o, _ = carryObstacle(view, &wire.Carry{Endpoint: first.ID, Addr: first.Addr, Started: true}, 0)
			qt.Assert(t, o, qt.Equals, wire.Obstacle_NONE)
		})
		t.Run(name("all data centres"), func(t *testing.T) {
			qt.Assert(t, s.restOfAll(now, view, "model", nil) < evacuatedRest, qt.IsTrue)
			for i, id := range fleet.Of(n.State(0)).EndpointIDs()[:3] {
				e, _ := view.Endpoint(id)
				evacuate(n, e.Centre, 10_001+int64(i))
			}
			rest := s.restOfAll(n.Now(), fleet.Of(n.State(0)), "model", nil)
			qt.Assert(t, rest, qt.Equals, evacuatedRest)
			qt.Assert(t, retryAfterRest(rest), qt.Equals, evacuatedRetry)
			qt.Assert(t, describeRest(rest), qt.Contains, "evacuated")
		})
	}
}

// TestFewCentresLeft guards against a choice in a large service that draws only endpoints of
// evacuated data centres and finds none.
func TestFewCentresLeft(t *testing.T) {
	n := startNetwork(t, 12, 300)
	s, view := newSimServer(0), fleet.Of(n.State(0))
	for i, id := range view.EndpointIDs()[:2] {
		e, _ := view.Endpoint(id)
		evacuate(n, e.Centre, 10_000+int64(i))
	}
	for range 100 {
		qt.Assert(t, len(s.usableEndpoints(n.Now(), fleet.Of(n.State(0)), selection{service: engineService})) > 0, qt.IsTrue)
	}
}
