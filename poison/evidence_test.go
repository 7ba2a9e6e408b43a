package poison_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/poison"
	"github.com/plantaindeck/plantaindeck/wire"
)

// evidence returns what node writes to the store.
func (n *network) evidence(node int) *wire.Evidence {
	return poison.Of(n.State(node)).Evidence(n.Now())
}

// restartAll ends all nodes and starts them again after a time, each of which reads the evidence.
func (n *network) restartAll(t *testing.T, down time.Duration, e *wire.Evidence) {
	t.Helper()
	for i := range n.nodes {
		n.Kill(i)
	}
	n.Run(down)
	for i := range n.nodes {
		n.Restart(i)
		n.Step(i, kernel.EvidenceRead{Evidence: e})
	}
	n.awaitMembers(t)
}

// output reports output of a request at each node.
func (n *network) output(traits ...uint64) {
	for i := range n.nodes {
		n.Step(i, kernel.OutputSeen{Traits: traits})
	}
}

// TestEvidenceOutlastsAllNodes checks that crashes before all nodes ended count together with those after it, and
// that sound requests which ran there are not blamed for them.
func TestEvidenceOutlastsAllNodes(t *testing.T) {
	for _, nodes := range []int{1, 4, 27, 77} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			n := newNetwork(t, nodes)
			n.output(popular, rare)
			n.crash(0, []uint64{popular, bad, other})
			n.crash(nodes-1, []uint64{popular, bad, other + 1}, []uint64{popular, rare, other + 2})
			n.Run(time.Second)
			for i := range nodes {
				qt.Assert(t, poison.SameEvidence(n.evidence(0), n.evidence(i)), qt.IsTrue)
			}
			n.restartAll(t, time.Second, n.evidence(0))
			n.crash(nodes/2, []uint64{popular, bad, other + 3}, []uint64{popular, rare, other + 4})
			n.Run(gossipTime)
			qt.Assert(t, n.quarantined(popular, bad), qt.Equals, nodes)
			qt.Assert(t, n.quarantined(popular, rare), qt.Equals, 0)
			qt.Assert(t, n.quarantined(popular), qt.Equals, 0)
		})
	}
}

// TestKeptEvidence checks what a node takes over from the store.
func TestKeptEvidence(t *testing.T) {
	crashTwice := func(n *network) {
		n.crash(0, []uint64{bad, other})
		n.crash(0, []uint64{bad, other + 1})
	}
	crashAgain := func(n *network) { n.crash(0, []uint64{bad, other + 2}) }
	const started = time.Hour // by which the clock of the writer is ahead, or behind
	for _, test := range []struct {
		name        string
		change      func(e *wire.Evidence) // between its write and its read
		before      func(n *network)       // the nodes end
		after       func(n *network)       // they have read the evidence
		quarantined int
	}{
		{name: "unchanged", quarantined: 2},
		{name: "read twice", after: func(n *network) { n.Step(0, kernel.EvidenceRead{Evidence: n.evidence(1)}) }, quarantined: 2},
		{name: "cleared before", before: func(n *network) { n.output(bad) }},
		{name: "cleared after", after: func(n *network) { n.output(bad) }},
		{name: "cleared after and read again", after: func(n *network) {
			e := n.evidence(0)
			n.output(bad)
			n.Step(0, kernel.EvidenceRead{Evidence: e})
			n.Step(1, kernel.EvidenceRead{Evidence: e})
		}},
		{name: "expired", change: func(e *wire.Evidence) { e.Written -= (5 * time.Minute).Milliseconds() }},
		{name: "an odd age", change: func(e *wire.Evidence) { e.Crashes[0].Age = -1 << 62 }, quarantined: 2},
		{name: "written by a clock that is ahead", change: func(e *wire.Evidence) { e.Written += started.Milliseconds() }, quarantined: 2},
		{name: "without requests", change: func(e *wire.Evidence) {
			for _, c := range e.Crashes {
				c.Crash = nil
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := newNetwork(t, 2)
			crashTwice(n)
			if test.before != nil {
				test.before(n)
			}
			n.Run(spreadTime)
			e := n.evidence(0)
			if test.change != nil {
				test.change(e)
			}
			n.restartAll(t, time.Second, e)
			if test.after != nil {
				test.after(n)
			}
			n.Run(spreadTime)
			crashAgain(n)
			n.Run(gossipTime)
			qt.Assert(t, n.quarantined(bad), qt.Equals, test.quarantined)
		})
	}
}

// TestEvidenceOfNodesThatAreApart checks that the crashes which two nodes know each merge in the store.
func TestEvidenceOfNodesThatAreApart(t *testing.T) {
	n := newNetwork(t, 2)
	n.Partition(func(int, int) bool { return true })
	n.crash(0, []uint64{bad, other}, []uint64{rare, other + 5})
	n.crash(1, []uint64{bad, other + 1})
	n.Step(1, kernel.EndpointCrashed{Endpoint: "i-1", StartMillis: 7, Requests: [][]uint64{{bad, other + 2}}, Own: []uint64{other + 2}})
	merged := poison.Of(n.State(0)).WithEvidence(n.Now(), n.evidence(1)).Evidence(n.Now())
	qt.Assert(t, len(merged.GetCrashes()), qt.Equals, 2)
	qt.Assert(t, len(merged.GetCrashes()[0].GetCrash().GetRequests()), qt.Equals, 3)
	seen := poison.Of(n.State(1)).WithEvidence(n.Now(), merged).Evidence(n.Now())
	qt.Assert(t, poison.SameEvidence(seen, merged), qt.IsTrue)
	version := poison.Of(n.State(0)).WithEvidence(n.Now(), merged).EvidenceVersion()
	twice := poison.Of(n.State(0)).WithEvidence(n.Now(), merged).WithEvidence(n.Now(), merged)
	qt.Assert(t, twice.EvidenceVersion(), qt.Equals, version)
}

// TestEvidenceIsBounded checks that what one write takes is bounded, however many requests crashed with many
// endpoints, and that the latest crashes are kept.
func TestEvidenceIsBounded(t *testing.T) {
	n := newNetwork(t, 1)
	for i := range 100 {
		var requests [][]uint64
		for r := range 64 {
			traits := make([]uint64, 64)
			for k := range traits {
				traits[k] = uint64(1e6 + i*1e4 + r*100 + k)
			}
			requests = append(requests, traits)
		}
		n.Step(0, kernel.EndpointCrashed{Endpoint: fmt.Sprint("i-", i), StartMillis: 7, Requests: requests})
	}
	e := n.evidence(0)
	qt.Assert(t, len(e.GetCrashes()) > 0, qt.IsTrue)
	last := slices.ContainsFunc(e.GetCrashes(), func(c *wire.KeptCrash) bool { return c.GetCrash().GetEndpoint() == "i-99" })
	qt.Assert(t, last, qt.IsTrue)
	size := 0
	for _, c := range e.GetCrashes() {
		size += 8 * 64 * len(c.GetCrash().GetRequests())
	}
	qt.Assert(t, size <= 128<<10, qt.IsTrue, qt.Commentf("%d bytes", size))
}
