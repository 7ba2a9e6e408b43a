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

// TestPoolOutlivesReports guards against retries from the pool of a load group that the other
// nodes forget within the window of the limit, so that the pool is used twice.
func TestPoolOutlivesReports(t *testing.T) {
	const window = 10 * time.Second
	const taken = 5
	for _, nodes := range []int{4, 27, 87} {
		events := map[string]func(n *simnet.Network, i int){
			"contact with the store": func(n *simnet.Network, i int) {
				for range 15 {
					n.Step(i, kernel.ItemsLearned{})
					n.Run(100 * time.Millisecond)
				}
			},
			"leaving endpoint": func(n *simnet.Network, i int) {
				n.Step(i, kernel.LeaveReported{Endpoint: "e", StartMillis: 1})
			},
			"restart": func(n *simnet.Network, i int) { n.Restart(i) },
			"end":     func(n *simnet.Network, i int) { n.Kill(i) },
			"end and restart": func(n *simnet.Network, i int) {
				n.Kill(i)
				n.Run(3 * time.Second)
				n.Restart(i)
			},
		}
		for name, event := range events {
			t.Run(fmt.Sprintf("%d nodes, %s", nodes, name), func(t *testing.T) {
				n := network(t, nodes)
				n.Step(0, kernel.ItemsLearned{Items: []*wire.Item{tableItem(t, 1, 1), endpointItem(t, "e", false, 2)}, Complete: true})
				n.Run(7 * time.Second) // a large deployment sends full Usages every 5 s
				var group []int
				for i := range nodes {
					if view(n, 0).LoadGroup().Nodes()[0] == view(n, i).LoadGroup().Nodes()[0] {
						group = append(group, i)
					}
				}
				taker := group[1]
				n.Step(taker, kernel.LocalUsageReported{Pooled: map[string]uint32{"s": taken}})
				n.Run(time.Second)
				assertPooled := func(want int) {
					t.Helper()
					for _, i := range group {
						if i == taker {
							continue
						}
						_, _, pooled := view(n, i).GroupRetries(n.Now(), window, "s", simnet.ID(i))
						qt.Assert(t, pooled, qt.Equals, want, qt.Commentf("node %d", i))
					}
				}
				assertPooled(taken)
				event(n, taker)
				for range 10 {
					n.Run(500 * time.Millisecond)
					assertPooled(taken)
				}
				if n.Up(taker) {
					n.Step(taker, kernel.LocalUsageReported{})
				}
				n.Run(window + 7*time.Second)
				assertPooled(0)
			})
		}
	}
}
