package origin_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/origin"
	"github.com/plantaindeck/plantaindeck/simnet"
)

const (
	joinTimeout = 20 * time.Second
	settleTime  = 3 * time.Second         // from the start of a node until it takes the members that it knows for all
	askTime     = 20 * time.Millisecond   // in which a question is answered
	stopTime    = 8 * time.Second         // in which a stopping node hands over its records
	startTime   = 1500 * time.Millisecond // from the start of a node until the next ones stop
	aloneTime   = 1500 * time.Millisecond // in which a node that knows no other answers itself
)

// network is a simulated network that collects the answers to questions.
type network struct {
	*simnet.Network
	found map[string]kernel.OriginFound // by id of the question
	saved map[string][]int              // nodes that saved the origin of a stream, by its request, service and version
}

func newNetwork(t *testing.T, nodes int) *network {
	n := &network{found: map[string]kernel.OriginFound{}, saved: map[string][]int{}}
	n.Network = simnet.New(simnet.Config{Nodes: nodes, Centres: 3, Seed: 5, MinDelay: time.Millisecond, Jitter: 2 * time.Millisecond, OnEffect: func(node int, _ time.Time, f kernel.Effect) []kernel.Event {
		switch f := f.(type) {
		case kernel.OriginFound:
			n.found[f.Ask] = f
		case kernel.SaveOrigin:
			n.saved[f.Request+" "+f.Service+" "+f.Version] = append(n.saved[f.Request+" "+f.Service+" "+f.Version], node)
		}
		return nil
	}})
	joined := n.RunUntil(joinTimeout, 100*time.Millisecond, func() bool {
		for i := range nodes {
			if len(member.Of(n.State(i)).Owners()) != nodes {
				return false
			}
		}
		return true
	})
	qt.Assert(t, joined, qt.IsTrue)
	n.Run(settleTime)
	return n
}

// begin reports a stream at a node.
func (n *network) begin(node int, request string) {
	n.Step(node, kernel.StreamBegan{Request: request, Service: "model", Version: "v-" + request})
}

// ask asks at a node which software began a stream, and returns the answer.
func (n *network) ask(t *testing.T, node int, request string) kernel.OriginFound {
	t.Helper()
	ask := fmt.Sprintf("%d-%s-%s", node, request, n.Elapsed())
	n.Step(node, kernel.OriginAsked{Ask: ask, Request: request})
	n.Run(askTime)
	found, ok := n.found[ask]
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("no answer at node %d", node))
	return found
}

// assertKnown checks that a node learns which software began a stream.
func (n *network) assertKnown(t *testing.T, node int, request string) {
	t.Helper()
	found := n.ask(t, node, request)
	qt.Assert(t, found.Known, qt.IsTrue, qt.Commentf("%s at node %d", request, node))
	qt.Assert(t, found.Version, qt.Equals, "v-"+request)
	qt.Assert(t, found.Service, qt.Equals, "model")
}

// TestOriginOutlivesNodes checks that any node learns which software began a stream, also
// when the node that began it has ended, and while nodes are replaced one after another.
func TestOriginOutlivesNodes(t *testing.T) {
	for _, nodes := range []int{4, 24, 100} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			n := newNetwork(t, nodes)
			var requests []string
			for i := range 20 {
				requests = append(requests, fmt.Sprint("r", i))
				n.begin(0, requests[i])
			}
			n.Run(10 * time.Millisecond)
			n.Kill(0)
			for i, request := range requests {
				n.assertKnown(t, 1+i%(nodes-1), request)
			}
			n.Restart(0)
			n.Run(5 * time.Second)
			n.Kill(1)
			n.Restart(1)
			n.Run(5 * time.Second)
			for i, request := range requests {
				n.assertKnown(t, i%nodes, request)
			}
			held := 0
			for i := range nodes {
				held += origin.Of(n.State(i)).Len()
			}
			qt.Assert(t, held <= 3*len(requests), qt.IsTrue, qt.Commentf("%d records of %d streams", held, len(requests)))
		})
	}
}

// TestOriginIsForgotten checks that records are kept for a minute and dropped after two.
func TestOriginIsForgotten(t *testing.T) {
	n := newNetwork(t, 4)
	n.begin(0, "r")
	n.Run(time.Minute - time.Second)
	n.assertKnown(t, 1, "r")
	n.Run(2 * time.Minute)
	qt.Assert(t, n.ask(t, 1, "r").Known, qt.IsFalse)
	qt.Assert(t, origin.Of(n.State(0)).Len(), qt.Equals, 0)
}

// TestOriginUnknown checks that a question about a stream that nobody knows is answered.
func TestOriginUnknown(t *testing.T) {
	n := newNetwork(t, 4)
	qt.Assert(t, n.ask(t, 0, "r").Known, qt.IsFalse)
}

// TestRestartedNodeKnowsNoOther checks that streams which a node begins before it knows any
// other are known after its end, and that it asks others as soon as it knows them.
func TestRestartedNodeKnowsNoOther(t *testing.T) {
	for _, nodes := range []int{4, 24} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			n := newNetwork(t, nodes)
			n.begin(1, "before")
			n.Run(10 * time.Millisecond)
			n.Kill(0)
			n.Restart(0)
			n.begin(0, "after")
			n.Step(0, kernel.OriginAsked{Ask: "early", Request: "before"})
			n.Run(2 * time.Second)
			qt.Assert(t, n.found["early"].Known, qt.IsTrue)
			n.Kill(0)
			n.assertKnown(t, 2, "after")
		})
	}
	t.Run("alone", func(t *testing.T) {
		n := newNetwork(t, 1)
		n.Step(0, kernel.OriginAsked{Ask: "alone", Request: "r"})
		n.Run(aloneTime)
		found, ok := n.found["alone"]
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, found.Known, qt.IsFalse)
	})
}

// TestFirstOriginCounts checks that a stream keeps the version of its first event.
func TestFirstOriginCounts(t *testing.T) {
	n := newNetwork(t, 4)
	n.begin(0, "r")
	n.Run(10 * time.Millisecond)
	n.Step(0, kernel.StreamBegan{Request: "r", Service: "model", Version: "v-other"})
	n.Run(10 * time.Millisecond)
	for i := range 4 {
		n.assertKnown(t, i, "r")
	}
}

const (
	controlBudget   = 7000 // bytes a second that a node may send for control, at the design size
	frameOverhead   = 14   // bytes by which sessions lengthen each message
	streamsPerNode  = 5    // a second, at the design size
	costMeasureTime = 2 * time.Second
)

// TestOriginCost measures what the records of streams add to the traffic between nodes.
func TestOriginCost(t *testing.T) {
	n := newNetwork(t, 100)
	n.Run(10 * time.Second)
	sent := func() int { return n.BytesSent + frameOverhead*n.MessagesSent }
	start := sent()
	n.Run(costMeasureTime)
	idle := sent() - start
	start = sent()
	for i := range int(costMeasureTime.Seconds()) * streamsPerNode {
		for node := range 100 {
			n.Step(node, kernel.StreamBegan{Request: fmt.Sprintf("%08x%04x%04x", node, i, i), Service: "lode50a", Version: "v1.2"})
		}
		n.Run(time.Second / streamsPerNode)
	}
	cost := float64(sent()-start-idle) / 100 / costMeasureTime.Seconds()
	t.Logf("%.0f bytes a second and node for %d streams a second", cost, streamsPerNode)
	qt.Assert(t, cost < controlBudget, qt.IsTrue)
}

// stopAll makes nodes stop at the same time, ends each of them as soon as it has handed over its
// records, and starts them again.
func (n *network) stopAll(t *testing.T, nodes []int) {
	t.Helper()
	for _, i := range nodes {
		n.Step(i, kernel.Stopping{})
	}
	stopped := n.RunUntil(stopTime, 50*time.Millisecond, func() bool {
		for _, i := range nodes {
			if n.Up(i) && origin.Of(n.State(i)).HandedOver() {
				n.Kill(i)
			}
		}
		return !slices.ContainsFunc(nodes, n.Up)
	})
	qt.Assert(t, stopped, qt.IsTrue, qt.Commentf("nodes %v have not handed over their records", nodes))
	for _, i := range nodes {
		n.Restart(i)
	}
	n.Run(startTime)
}

// TestRollingRestartKeepsOrigins guards against streams that no node knows any more after all nodes
// have been restarted, in turn or several at a time, also if messages are lost.
func TestRollingRestartKeepsOrigins(t *testing.T) {
	for _, test := range []struct{ nodes, together int }{{2, 1}, {4, 1}, {4, 2}, {27, 1}, {27, 6}, {77, 16}} {
		t.Run(fmt.Sprintf("%d nodes, %d at a time", test.nodes, test.together), func(t *testing.T) {
			n := newNetwork(t, test.nodes)
			messages := 0
			n.Partition(func(from, to int) bool { messages++; return messages%20 == 0 })
			var requests []string
			for i := range 3 * test.nodes {
				requests = append(requests, fmt.Sprint("r", i))
				n.begin(i%test.nodes, requests[i])
			}
			n.Run(10 * time.Millisecond)
			var order []int
			for i := range test.nodes {
				order = append(order, i)
			}
			for group := range slices.Chunk(order, test.together) {
				n.stopAll(t, group)
			}
			n.Partition(nil)
			for i, request := range requests {
				n.assertKnown(t, i%test.nodes, request)
			}
		})
	}
}

// TestSilentHolderDelaysNoOthers guards against records that a stopping node never sends, as it sends
// those again and again that a node without answers does not confirm.
func TestSilentHolderDelaysNoOthers(t *testing.T) {
	const streams = 600
	n := newNetwork(t, 4)
	n.Partition(func(from, _ int) bool { return from == 0 })
	for i := range streams {
		n.begin(0, fmt.Sprint("r", i))
	}
	n.Run(10 * time.Millisecond)
	n.Partition(func(from, to int) bool { return from == 0 && to == 3 })
	n.Step(0, kernel.Stopping{})
	n.Run(4 * time.Second)
	qt.Assert(t, origin.Of(n.State(1)).Len(), qt.Equals, streams)
	qt.Assert(t, origin.Of(n.State(2)).Len(), qt.Equals, streams)
}

// TestOneNodeSavesStreams checks that few nodes save the origins of streams, each once, and that another one
// saves them if a writer ends, or starts again before it has saved them.
func TestOneNodeSavesStreams(t *testing.T) {
	const streams = 40
	for _, nodes := range []int{1, 4, 27, 77} {
		n := newNetwork(t, nodes)
		allSaved := func() bool {
			for i := range streams {
				if len(n.saved[fmt.Sprintf("r%d model v-r%d", i, i)]) == 0 {
					return false
				}
			}
			return true
		}
		for i := range streams {
			n.begin(i%nodes, fmt.Sprint("r", i))
		}
		n.Run(time.Second)
		qt.Assert(t, allSaved(), qt.IsTrue)
		former := map[int]bool{}
		for _, by := range n.saved {
			qt.Assert(t, by, qt.HasLen, 1)
			former[by[0]] = true
		}
		qt.Assert(t, len(former) <= 1+nodes/64, qt.IsTrue, qt.Commentf("%d of %d nodes save", len(former), nodes))
		if nodes == 1 {
			continue
		}
		for _, restart := range []bool{false, true} {
			clear(n.saved)
			for node := range former {
				if n.Kill(node); restart {
					n.Restart(node)
				}
			}
			qt.Assert(t, n.RunUntil(joinTimeout, time.Second, allSaved), qt.IsTrue, qt.Commentf("%d nodes, restart %t", nodes, restart))
			clear(former)
			for _, by := range n.saved {
				former[by[0]] = true
			}
		}
	}
}
