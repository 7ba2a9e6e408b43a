package fleet_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/simnet"
	"github.com/plantaindeck/plantaindeck/wire"
)

// inForceTime is the shortest time within which a change of the configuration must be in force.
const inForceTime = 2 * time.Second

// TestTableReachesStoppingNodes guards against nodes that go on with an old routing table while
// they stop: callers still send requests on their open connections.
func TestTableReachesStoppingNodes(t *testing.T) {
	for _, nodes := range []int{4, 27, 87} {
		for name, newTable := range map[string]func(testing.TB, int64, int64) *wire.Item{"small": tableItem, "large": largeTable} {
			t.Run(fmt.Sprint(nodes, " nodes, ", name, " table"), func(t *testing.T) {
				n := network(t, nodes)
				n.Step(0, kernel.ItemsLearned{Items: []*wire.Item{newTable(t, 1, 1)}, Complete: true})
				n.Run(3 * time.Second)
				for i := 1; i < nodes; i += 2 {
					n.Step(i, kernel.Stopping{})
				}
				for version := int64(2); version < 6; version++ {
					n.Run(time.Second)
					n.Step(0, kernel.ItemsLearned{Items: []*wire.Item{newTable(t, version, version)}})
					n.Run(inForceTime)
					assertTable(t, n, nodes, version)
				}
			})
		}
	}
}

// TestTableReachesRestartedNodes guards against nodes that miss a change of the routing table
// while others stop and start again in turn.
func TestTableReachesRestartedNodes(t *testing.T) {
	const gap = 300 * time.Millisecond
	for _, nodes := range []int{4, 27, 87} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			n := network(t, nodes)
			version := int64(1)
			change := func() {
				n.Step(0, kernel.ItemsLearned{Items: []*wire.Item{largeTable(t, version, version)}, Complete: true})
			}
			change()
			n.Run(3 * time.Second)
			startedAt := make([]time.Duration, nodes)
			changedAt := n.Elapsed()
			for step := range 120 {
				for i := 1; i < nodes; i++ {
					switch step - 2*i {
					case 0:
						n.Step(i, kernel.Stopping{})
					case 10 + 5*(i%3):
						n.Kill(i)
					case 12 + 5*(i%3):
						n.Restart(i)
						startedAt[i] = n.Elapsed()
					}
				}
				if step%16 == 0 {
					version++
					change()
					changedAt = n.Elapsed()
				}
				n.Run(gap / 2)
				for i := range nodes {
					late := n.Elapsed() - max(changedAt, startedAt[i])
					qt.Assert(t, !n.Up(i) || tableVersion(n, i) == version || late < inForceTime, qt.IsTrue, qt.Commentf("node %d has version %d after %s", i, tableVersion(n, i), late))
				}
			}
		})
	}
}

// assertTable asserts that all running nodes have a version of the routing table.
func assertTable(t *testing.T, n *simnet.Network, nodes int, version int64) {
	t.Helper()
	for i := range nodes {
		if n.Up(i) {
			qt.Assert(t, tableVersion(n, i), qt.Equals, version, qt.Commentf("node %d", i))
		}
	}
}
