package fleet_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/queue"
	"github.com/plantaindeck/plantaindeck/wire"
)

// TestWaitingRequests guards against nodes that do not learn what waits at the others of
// their load group, that hold on to the requests of a dead node or of one where nothing
// waits any more, and against messages that cost too much.
func TestWaitingRequests(t *testing.T) {
	for _, nodes := range []int{4, 33, 87} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			n := network(t, nodes)
			n.Run(6 * time.Second) // changes count only after a full Usage, which a large deployment sends every 5 s
			group := view(n, 0).LoadGroup().Nodes()
			report := func(i int, waiting uint32) {
				e := kernel.LocalUsageReported{Queued: waiting}
				for range min(waiting, 8) {
					e.Waiting = append(e.Waiting, &wire.Waiting{Service: "s", Priority: 1, Start: 900, Age: 100, Tokens: 3000})
				}
				n.Step(i, e)
			}
			run := func(waiting uint32) {
				for range 12 {
					for i := range nodes {
						report(i, waiting)
					}
					n.Run(100 * time.Millisecond)
				}
			}
			list, _ := view(n, 0).GroupWaiting(n.Now(), "s")
			qt.Assert(t, list, qt.HasLen, 0)
			bytes := n.BytesSent
			run(0)
			idle := n.BytesSent - bytes
			run(20)
			cost := float64(n.BytesSent-bytes-2*idle) / 1.2 / float64(nodes)
			t.Logf("%.1f KB per second and node", cost/1000)
			qt.Check(t, cost < 3500, qt.IsTrue)
			list, more := view(n, 0).GroupWaiting(n.Now(), "s")
			qt.Assert(t, len(list)+more, qt.Equals, 20*(len(group)-1))
			qt.Assert(t, len(list) >= 2*(len(group)-1), qt.IsTrue)
			since := n.Now().Sub(list[0].SeenAt)
			qt.Assert(t, since < queue.MaxAge, qt.IsTrue)
			slack := list[0].Start.Sub(list[0].Arrived) // messages hold whole milliseconds
			qt.Assert(t, slack >= 998*time.Millisecond && slack <= 1002*time.Millisecond, qt.IsTrue)
			run(0)
			list, more = view(n, 0).GroupWaiting(n.Now(), "s")
			qt.Assert(t, len(list)+more, qt.Equals, 0)
			run(20)
			for i := 1; i < nodes; i++ {
				n.Kill(i)
			}
			n.Run(queue.MaxAge + 300*time.Millisecond)
			list, more = view(n, 0).GroupWaiting(n.Now(), "s")
			qt.Assert(t, len(list)+more, qt.Equals, 0)
		})
	}
}
