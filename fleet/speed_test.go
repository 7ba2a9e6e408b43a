package fleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/wire"
)

// TestSpeedsAreSummed fails if a node loses the speeds that others measured, or counts those
// of a node that no longer reports any.
func TestSpeedsAreSummed(t *testing.T) {
	n := network(t, 4)
	report := func(node int, slow, prefill uint32) {
		n.Step(node, kernel.LocalUsageReported{Uses: []*wire.Use{{Endpoint: "e", Requests: 1, Slow: slow, Prefill: prefill}}})
		n.Run(50 * time.Millisecond)
	}
	n.Step(0, kernel.LocalUsageReported{Uses: []*wire.Use{{Endpoint: "e", Requests: 1}}})
	n.Run(time.Second) // changes count only after a full message
	report(0, 150, 7000)
	report(1, 250, 0)
	qt.Assert(t, view(n, 2).RemoteUsage("e"), qt.Equals, fleet.EndpointUsage{Requests: 2, Slow: 400, SlowNodes: 2, Prefill: 7000, PrefillNodes: 1})
	report(0, 100, 4000)
	qt.Assert(t, view(n, 2).RemoteUsage("e"), qt.Equals, fleet.EndpointUsage{Requests: 2, Slow: 350, SlowNodes: 2, Prefill: 4000, PrefillNodes: 1})
	for i := range 2 {
		n.Step(i, kernel.LocalUsageReported{})
	}
	n.Run(time.Second)
	qt.Assert(t, view(n, 2).RemoteUsage("e"), qt.Equals, fleet.EndpointUsage{})
}
