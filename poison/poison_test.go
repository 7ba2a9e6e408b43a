package poison_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/poison"
	"github.com/plantaindeck/plantaindeck/simnet"
)

const (
	joinTimeout = 20 * time.Second
	settleTime  = 6 * time.Second        // from the start of a node until it trusts that it knows members and traits
	spreadTime  = 20 * time.Millisecond  // in which a message reaches all nodes
	gossipTime  = 4 * time.Second        // in which a node that has just started learns of a quarantine
	crashGap    = 300 * time.Millisecond // between two crashes; all nodes have judged the first by then
)

// Traits of the requests in tests.
const (
	popular uint64 = 1 + iota // of most requests
	rare
	bad   // crashes endpoints
	other = 1000
)

// network is a simulated network that collects the quarantines of which drivers were told.
type network struct {
	*simnet.Network
	nodes    int
	crashes  int
	notified map[int][][]uint64 // by node
	saved    map[string]int     // writes to the store, by traits
	removed  map[string]int     // removals from the store, by traits
}

func newNetwork(t *testing.T, nodes int) *network {
	n := &network{nodes: nodes, notified: map[int][][]uint64{}, saved: map[string]int{}, removed: map[string]int{}}
	n.Network = simnet.New(simnet.Config{Nodes: nodes, Centres: 3, Seed: 5, MinDelay: time.Millisecond, Jitter: 2 * time.Millisecond, OnEffect: func(node int, _ time.Time, f kernel.Effect) []kernel.Event {
		switch f := f.(type) {
		case kernel.NotifyQuarantine:
			n.notified[node] = append(n.notified[node], f.Traits)
		case kernel.SaveQuarantine:
			if f.Quarantine == nil {
				n.removed[fmt.Sprint(f.Traits)]++
			} else {
				n.saved[fmt.Sprint(f.Traits)]++
			}
		}
		return nil
	}})
	n.awaitMembers(t)
	return n
}

// awaitMembers waits until all nodes know each other.
func (n *network) awaitMembers(t *testing.T) {
	t.Helper()
	joined := n.RunUntil(joinTimeout, 100*time.Millisecond, func() bool {
		for i := range n.nodes {
			if len(member.Of(n.State(i)).Owners()) != n.nodes {
				return false
			}
		}
		return true
	})
	qt.Assert(t, joined, qt.IsTrue)
	n.Run(settleTime)
}

// crash reports at a node that an endpoint crashed under its requests, each with the given
// traits, and lets the news spread.
func (n *network) crash(node int, requests ...[]uint64) {
	n.crashes++
	n.Step(node, kernel.EndpointCrashed{Endpoint: fmt.Sprint("i-", n.crashes), StartMillis: 7, Requests: requests})
	n.Run(crashGap)
}

// quarantined returns the number of nodes at which requests with the traits are quarantined.
func (n *network) quarantined(traits ...uint64) int {
	count := 0
	for i := range n.nodes {
		if n.isQuarantined(i, traits) {
			count++
		}
	}
	return count
}

// TestQuarantineReachesAllNodes replays requests with one trait in common that crash
// endpoints, each at another node, and checks that all nodes quarantine them after the
// third crash, at any size of the deployment, and nodes that start later too.
func TestQuarantineReachesAllNodes(t *testing.T) {
	for _, nodes := range []int{1, 4, 24, 100} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			n := newNetwork(t, nodes)
			for i := range 3 {
				qt.Assert(t, n.quarantined(popular, bad), qt.Equals, 0)
				n.Step((i+1)%nodes, kernel.OutputSeen{Traits: []uint64{popular, rare}})
				n.crash(i%nodes, []uint64{popular, bad}, []uint64{popular, other + uint64(i)})
			}
			qt.Assert(t, n.quarantined(popular, bad), qt.Equals, nodes)
			qt.Assert(t, n.quarantined(popular, rare), qt.Equals, 0)
			for i := range nodes {
				qt.Assert(t, n.notified[i], qt.DeepEquals, [][]uint64{{bad}})
			}
			qt.Assert(t, n.saved, qt.DeepEquals, map[string]int{fmt.Sprint([]uint64{bad}): 1})
			if nodes == 1 {
				return
			}
			n.Kill(0)
			n.Run(time.Second)
			n.Restart(0)
			n.Run(gossipTime)
			qt.Assert(t, n.quarantined(popular, bad), qt.Equals, nodes)
		})
	}
}

// TestReportsOfOneCrash checks that a crash that several nodes report counts once.
func TestReportsOfOneCrash(t *testing.T) {
	n := newNetwork(t, 4)
	for i := range 4 {
		n.Step(i, kernel.EndpointCrashed{Endpoint: "i-1", StartMillis: 7, Requests: [][]uint64{{bad}}})
		n.Run(crashGap)
	}
	qt.Assert(t, n.quarantined(bad), qt.Equals, 0)
	n.Step(0, kernel.EndpointCrashed{Endpoint: "i-1", StartMillis: 8, Requests: [][]uint64{{bad}}})
	n.Run(crashGap)
	n.Step(0, kernel.EndpointCrashed{Endpoint: "i-2", StartMillis: 8, Requests: [][]uint64{{bad}}})
	n.Run(crashGap)
	qt.Assert(t, n.quarantined(bad), qt.Equals, 4)
}

// TestCrashesOfOneEndpoint checks that an endpoint that crashes, starts again and crashes again
// counts each time, although it is not known when it started.
func TestCrashesOfOneEndpoint(t *testing.T) {
	n := newNetwork(t, 4)
	for i := range 3 {
		for node := range 2 {
			n.Step(node, kernel.EndpointCrashed{Endpoint: "e1", Requests: [][]uint64{{bad}, {other + uint64(i)}}})
		}
		qt.Assert(t, n.quarantined(bad), qt.Equals, 0)
		n.Run(2 * time.Second)
	}
	qt.Assert(t, n.quarantined(bad), qt.Equals, 4)
}

// TestRetryIsSuspectedAfterTwoCrashes checks of which requests a retry is held back: those with
// a trait that was lost in two crashes and is not established.
func TestRetryIsSuspectedAfterTwoCrashes(t *testing.T) {
	n := newNetwork(t, 4)
	suspected := func(traits ...uint64) bool { return poison.Of(n.State(3)).Suspected(traits) }
	n.Step(3, kernel.OutputSeen{Service: "model", Traits: []uint64{popular}})
	n.crash(0, []uint64{popular, bad}, []uint64{popular, rare})
	qt.Assert(t, suspected(popular, bad), qt.IsFalse)
	n.crash(1, []uint64{popular, bad})
	qt.Assert(t, suspected(popular, bad), qt.IsTrue)
	qt.Assert(t, suspected(popular, rare), qt.IsFalse)
	n.Step(2, kernel.OutputSeen{Service: "model", Traits: []uint64{bad}})
	n.Run(spreadTime)
	qt.Assert(t, suspected(popular, bad), qt.IsFalse)
}

// TestOutputClearsTraits checks that output at one node clears the traits of its request at
// all nodes, before and after they were quarantined.
func TestOutputClearsTraits(t *testing.T) {
	t.Run("before", func(t *testing.T) {
		n := newNetwork(t, 4)
		for i := range 10 {
			n.crash(i%4, []uint64{rare})
			n.Step((i+2)%4, kernel.OutputSeen{Traits: []uint64{rare}})
			n.Run(3 * time.Second) // the output is no longer recent at the next crash
		}
		qt.Assert(t, n.quarantined(rare), qt.Equals, 0)
		qt.Assert(t, n.notified, qt.HasLen, 0)
	})
	t.Run("after", func(t *testing.T) {
		n := newNetwork(t, 4)
		for i := range 3 {
			n.crash(i, []uint64{rare, bad})
		}
		qt.Assert(t, n.quarantined(rare, bad), qt.Equals, 4)
		qt.Assert(t, n.quarantined(bad), qt.Equals, 0)
		n.Step(3, kernel.OutputSeen{Traits: []uint64{rare}})
		n.Run(spreadTime)
		qt.Assert(t, n.quarantined(rare), qt.Equals, 0)
		qt.Assert(t, n.quarantined(bad), qt.Equals, 4)
		n.Step(0, kernel.OutputSeen{Traits: []uint64{bad}})
		n.Run(gossipTime)
		qt.Assert(t, n.quarantined(rare, bad), qt.Equals, 0)
		qt.Assert(t, n.saved, qt.DeepEquals, map[string]int{fmt.Sprint([]uint64{rare, bad}): 1, fmt.Sprint([]uint64{bad}): 1})
		qt.Assert(t, n.removed, qt.DeepEquals, n.saved)
	})
	t.Run("shortly before a crash", func(t *testing.T) {
		n := newNetwork(t, 4)
		for i := range 4 {
			n.Step(i, kernel.OutputSeen{Traits: []uint64{popular}})
		}
		for i := range 6 {
			n.crash(i%4, []uint64{popular})
		}
		qt.Assert(t, n.quarantined(popular), qt.Equals, 0)
	})
}

// TestOutageQuarantinesNothing replays the end of many endpoints at the same moment, and
// endpoints that go down and up by turns, while requests run there that share a part.
func TestOutageQuarantinesNothing(t *testing.T) {
	n := newNetwork(t, 4)
	r := rand.New(rand.NewPCG(3, 3))
	for i := range 4 {
		n.Step(i, kernel.OutputSeen{Traits: []uint64{popular}})
	}
	requests := func() [][]uint64 {
		var list [][]uint64
		for range 1 + r.IntN(4) {
			list = append(list, []uint64{popular, other + r.Uint64N(300)})
		}
		return list
	}
	for range 12 {
		n.crashes++
		n.Step(r.IntN(4), kernel.EndpointCrashed{Endpoint: fmt.Sprint("i-", n.crashes), StartMillis: 7, Requests: requests()})
	}
	n.Run(time.Second)
	for range 40 {
		for range 6 {
			n.Step(r.IntN(4), kernel.OutputSeen{Traits: []uint64{popular, other + r.Uint64N(300)}})
		}
		n.crash(r.IntN(4), requests()...)
	}
	qt.Assert(t, n.notified, qt.HasLen, 0)
}

// TestQuarantineEnds checks that after a quarantine one node only sends such requests at
// first, and that one crash then begins the next, longer one.
func TestQuarantineEnds(t *testing.T) {
	n := newNetwork(t, 4)
	for i := range 3 {
		n.crash(i, []uint64{bad})
	}
	left := poison.Of(n.State(0)).Quarantined(n.Now(), member.Of(n.State(0)), []uint64{bad})
	n.Run(left + 2*time.Second)
	qt.Assert(t, n.quarantined(bad), qt.Equals, 3)
	qt.Assert(t, n.removed, qt.DeepEquals, map[string]int{fmt.Sprint([]uint64{bad}): 1})
	n.Run(20 * time.Second)
	qt.Assert(t, n.quarantined(bad), qt.Equals, 0)
	n.crash(2, []uint64{bad, rare})
	qt.Assert(t, n.quarantined(bad), qt.Equals, 4)
	again := poison.Of(n.State(0)).Quarantined(n.Now(), member.Of(n.State(0)), []uint64{bad})
	qt.Assert(t, again > 3*left, qt.IsTrue, qt.Commentf("%s after %s", again, left))
}

// TestReportsArriveInAnyOrder checks that no trait of a bystander is quarantined because its
// node reports a crash before the node of the request that caused it.
func TestReportsArriveInAnyOrder(t *testing.T) {
	n := newNetwork(t, 4)
	for i := range 4 {
		n.crashes++
		for node, traits := range [][]uint64{{rare}, {bad}} {
			if i == 3 && node == 0 {
				continue
			}
			n.Step(node, kernel.EndpointCrashed{Endpoint: fmt.Sprint("i-", n.crashes), StartMillis: 7, Requests: [][]uint64{traits}})
			n.Run(time.Duration(40*(1-node)) * time.Millisecond)
		}
		n.Run(crashGap)
	}
	qt.Assert(t, n.quarantined(rare), qt.Equals, 0)
	qt.Assert(t, n.quarantined(bad), qt.Equals, 4)
}

// TestEstablishedTraitIsNotQuarantinedByOthers checks that a node that has just started, and
// cannot know which traits are established, does not make the other nodes quarantine one.
func TestEstablishedTraitIsNotQuarantinedByOthers(t *testing.T) {
	n := newNetwork(t, 4)
	for i := range 4 {
		n.Step(i, kernel.OutputSeen{Service: "model", Traits: []uint64{popular}})
	}
	n.Kill(0)
	n.Run(time.Second)
	n.Restart(0)
	n.Run(settleTime)
	for i := range 4 {
		n.crash(i, []uint64{popular})
	}
	qt.Assert(t, n.notified[0], qt.DeepEquals, [][]uint64{{popular}})
	n.Run(gossipTime)
	qt.Assert(t, n.quarantined(popular), qt.Equals, 0)
	for i := 1; i < 4; i++ {
		qt.Assert(t, n.notified[i], qt.HasLen, 0)
	}
}

// TestHarmfulTraitBehindManyOthers guards against a trait that is no evidence, however many endpoints
// crash, as requests have more traits than a report holds, alone or beside sound requests that have had no
// output yet; and against sound requests that are quarantined for the others.
func TestHarmfulTraitBehindManyOthers(t *testing.T) {
	for _, others := range []int{3, 40, 400, 1600} {
		for _, beside := range []int{0, 1, 7} {
			if others*(beside+1) > 4096 { // more than a report holds
				continue
			}
			for _, output := range []bool{true, false} {
				for place, at := range map[string]int{"first": 0, "in the middle": others / 2, "last but one": others} {
					t.Run(fmt.Sprintf("%s of %d others, beside %d requests, with output %t", place, others, beside, output), func(t *testing.T) {
						n := newNetwork(t, 4)
						var shared []uint64
						for i := range others {
							shared = append(shared, uint64(1000+i))
						}
						harmful := slices.Insert(slices.Clone(shared), at, bad)
						for i := range 4 {
							if output {
								n.Step(i, kernel.OutputSeen{Service: "model", Traits: shared})
							}
							var requests [][]uint64
							for k := range beside {
								requests = append(requests, slices.Concat([]uint64{uint64(100 + 10*i + k), uint64(500 + 10*i + k)}, shared))
							}
							n.crash(i, append(requests, slices.Concat([]uint64{uint64(10 + i), uint64(20 + i)}, harmful))...)
						}
						qt.Assert(t, n.quarantined(slices.Concat([]uint64{98, 99}, harmful)...), qt.Equals, 4)
						qt.Assert(t, n.quarantined(slices.Concat([]uint64{98, 99}, shared)...), qt.Equals, 0)
					})
				}
			}
		}
	}
}

// TestCostOfManyTraits guards against a kernel step that takes seconds, as requests with thousands of
// traits crash an endpoint after many others.
func TestCostOfManyTraits(t *testing.T) {
	n := newNetwork(t, 1)
	next := uint64(1000)
	requests := func(count, traits int) (list [][]uint64) {
		for range count {
			var r []uint64
			for range traits {
				next++
				r = append(r, next)
			}
			list = append(list, r)
		}
		return list
	}
	for i := range 64 {
		n.Step(0, kernel.EndpointCrashed{Endpoint: fmt.Sprint("e-", i), Requests: requests(64, 32)})
	}
	many := requests(64, 1000)
	began := processorTime(t)
	n.Step(0, kernel.EndpointCrashed{Endpoint: "e", Requests: many})
	took := processorTime(t) - began // does not depend on what else the machine runs
	t.Logf("%s", took)
	qt.Assert(t, took < time.Second, qt.IsTrue, qt.Commentf("%s", took))

	alike := requests(1, 1000)
	for i := range 64 {
		n.Step(0, kernel.EndpointCrashed{Endpoint: fmt.Sprint("f-", i), Requests: alike})
		n.Run(20 * time.Millisecond)
	}
	began = processorTime(t)
	n.Run(time.Second)
	took = processorTime(t) - began
	t.Logf("%s to judge them again", took)
	qt.Assert(t, took < time.Second, qt.IsTrue, qt.Commentf("%s", took))
}

// processorTime returns the processor time that the test process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var used syscall.Rusage
	qt.Assert(t, syscall.Getrusage(syscall.RUSAGE_SELF, &used), qt.IsNil)
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}
