package fleet_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/simnet"
	"github.com/plantaindeck/plantaindeck/wire"
)

// TestEvacuationReachesAllNodes guards against nodes that go on sending to an evacuated data
// centre, or never again: one node learns the order and its end from the store, the others by
// gossip. An older copy of the order that arrives late changes nothing.
func TestEvacuationReachesAllNodes(t *testing.T) {
	at := func(era, revision int64) fleet.Version { return fleet.Version{Era: era, Revision: revision} }
	for _, nodes := range []int{4, 100, 400} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			n := network(t, nodes)
			e := fleet.Endpoint{ID: "i-1", Centre: "dc-x"}
			step := func(evacuated bool, item *wire.Item) {
				t.Helper()
				n.Step(0, kernel.ItemsLearned{Items: []*wire.Item{item}})
				reached := holdsOnAll(n, nodes, func(v *fleet.View) bool { return v.IsEvacuated(e) == evacuated })
				qt.Assert(t, reached, qt.IsTrue)
			}
			step(true, fleet.EvacuationItem("dc-x", at(0, 5)))
			step(true, fleet.EvacuationEndItem("dc-x", at(0, 4)))
			step(false, fleet.EvacuationEndItem("dc-x", at(0, 6)))
			step(false, fleet.EvacuationItem("dc-x", at(0, 5)))
			step(true, fleet.EvacuationItem("dc-x", at(1, 2)))
			n.Kill(1)
			n.Restart(1)
			n.Step(1, kernel.ItemsLearned{Items: []*wire.Item{tableItem(t, 1, 1)}})
			qt.Assert(t, n.RunUntil(joinTimeout, 10*time.Millisecond, func() bool { return view(n, 1).IsEvacuated(e) }), qt.IsTrue)
		})
	}
}

// TestEvacuationIsReported guards against orders that leave no trace in the log.
func TestEvacuationIsReported(t *testing.T) {
	var kinds []string
	n := simnet.New(simnet.Config{Nodes: 1, OnEffect: func(_ int, _ time.Time, f kernel.Effect) []kernel.Event {
		if r, ok := f.(kernel.Record); ok {
			kinds = append(kinds, r.Kind+" "+r.Detail)
		}
		return nil
	}})
	n.Step(0, kernel.ItemsLearned{Items: []*wire.Item{fleet.EvacuationItem("a", fleet.Version{Era: 1, Revision: 5}), fleet.EvacuationEndItem("a", fleet.Version{Era: 1, Revision: 6})}})
	qt.Assert(t, kinds, qt.DeepEquals, []string{"evacuate data centre a, era 1 revision 5", "evacuate-end data centre a, era 1 revision 6"})
}
