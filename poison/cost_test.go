package poison_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/kernel"
)

// TestQuarantineCost checks that quarantines and reports of crashes take a small part of what
// the users allow a node for control.
func TestQuarantineCost(t *testing.T) {
	const (
		nodes       = 100
		quarantines = 10
		span        = 10 * time.Second
		maxRate     = 700 // bytes per second and node, a tenth of what the users allow
	)
	n := newNetwork(t, nodes)
	n.Run(span)
	sent := n.BytesSent
	n.Run(span)
	idle := n.BytesSent - sent
	for i := range 3 * quarantines {
		n.crash(i%nodes, []uint64{uint64(100 + i/3)})
	}
	for i := range uint64(quarantines) {
		qt.Assert(t, n.quarantined(100+i), qt.Equals, nodes)
	}
	sent = n.BytesSent
	n.Run(span)
	rate := float64(n.BytesSent-sent-idle) / span.Seconds() / nodes
	t.Logf("%d quarantines take %.0f bytes a second and node", quarantines, rate)
	qt.Assert(t, rate < maxRate, qt.IsTrue, qt.Commentf("%.0f bytes a second and node", rate))
	sent = n.BytesSent
	n.Step(3, kernel.EndpointCrashed{Endpoint: "i-last", StartMillis: 7, Requests: [][]uint64{{popular, 1, 2}, {popular, 3, 4}, {popular, 5, 6}, {popular, 7, 8}}})
	t.Logf("the report of a crash under 4 requests takes %d bytes for all nodes", n.BytesSent-sent)
}
