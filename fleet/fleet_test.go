package fleet_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/simnet"
	"github.com/plantaindeck/plantaindeck/table"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	joinTimeout     = 20 * time.Second
	spreadTimeout   = 2 * time.Second        // within which an update must reach every node
	quickSpreadTime = 100 * time.Millisecond // of an update of which no message is lost
)

func network(t testing.TB, nodes int) *simnet.Network {
	n := simnet.New(simnet.Config{Nodes: nodes, Centres: 3, Seed: 5, MinDelay: time.Millisecond, Jitter: time.Millisecond, DropRate: 0.01, DuplicateRate: 0.01})
	awaitJoin(t, n, nodes)
	return n
}

// awaitJoin lets simulated time pass until all nodes know each other.
func awaitJoin(t testing.TB, n *simnet.Network, nodes int) {
	joined := n.RunUntil(joinTimeout, 100*time.Millisecond, func() bool {
		for i := range nodes {
			if len(member.Of(n.State(i)).Owners()) != nodes {
				return false
			}
		}
		return true
	})
	qt.Assert(t, joined, qt.IsTrue)
}

func view(n *simnet.Network, node int) *fleet.View { return fleet.Of(n.State(node)) }

func tableItem(t testing.TB, version, revision int64) *wire.Item {
	item, err := fleet.TableItem(table.Config{Version: version}, fleet.Version{Revision: revision})
	qt.Assert(t, err, qt.IsNil)
	return item
}

func endpointItem(t testing.TB, id string, leaving bool, revision int64) *wire.Item {
	item, err := fleet.EndpointItem(fleet.Endpoint{ID: id, Service: "s", Addr: "10.0.0.1:80", Slots: 4, Leaving: leaving}, fleet.Version{Revision: revision})
	qt.Assert(t, err, qt.IsNil)
	return item
}

// holdsOnAll lets simulated time pass until a condition holds on every running
// node, and reports whether it does within spreadTimeout.
func holdsOnAll(n *simnet.Network, nodes int, holds func(v *fleet.View) bool) bool {
	return n.RunUntil(spreadTimeout, 10*time.Millisecond, func() bool {
		for i := range nodes {
			if n.Up(i) && !holds(view(n, i)) {
				return false
			}
		}
		return true
	})
}

// TestUpdateSpreads checks that an update that one node learns from the store
// reaches all the others.
func TestUpdateSpreads(t *testing.T) {
	for _, nodes := range []int{4, 33, 77} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			n := network(t, nodes)
			n.Step(1, kernel.ItemsLearned{Items: []*wire.Item{tableItem(t, 7, 20), endpointItem(t, "e", false, 21)}, Complete: true})
			ok := holdsOnAll(n, nodes, func(v *fleet.View) bool {
				return v.Ready() && v.Table().Version() == 7 && len(v.Endpoints("s")) == 1
			})
			qt.Assert(t, ok, qt.IsTrue)
			n.Step(2, kernel.ItemsLearned{Items: []*wire.Item{endpointItem(t, "e", true, 30)}})
			ok = holdsOnAll(n, nodes, func(v *fleet.View) bool { return v.Endpoints("s")[0].Leaving })
			qt.Assert(t, ok, qt.IsTrue)
			n.Step(0, kernel.ItemsLearned{Items: []*wire.Item{fleet.RemovedItem("e", fleet.Version{Revision: 31})}})
			ok = holdsOnAll(n, nodes, func(v *fleet.View) bool { return len(v.Endpoints("s")) == 0 })
			qt.Assert(t, ok, qt.IsTrue)
			// A change needs no comparison of digests, of which there is one a second, unless
			// a message is lost.
			slow := 0
			for i := range 20 {
				revision := int64(40 + i)
				n.Step(i%nodes, kernel.ItemsLearned{Items: []*wire.Item{endpointItem(t, "e", i%2 == 0, revision)}})
				learned := n.RunUntil(quickSpreadTime, 5*time.Millisecond, func() bool {
					for j := range nodes {
						e, _ := view(n, j).Endpoint("e")
						if e.Leaving != (i%2 == 0) {
							return false
						}
					}
					return true
				})
				if !learned {
					slow++
				}
				n.Run(spreadTimeout)
			}
			qt.Assert(t, slow <= 4, qt.IsTrue, qt.Commentf("%d of 20 changes took longer than %s", slow, quickSpreadTime))
		})
	}
}

// TestLostUpdateIsRecovered checks that an update lost on a link is recovered by the
// next comparison of digests.
func TestLostUpdateIsRecovered(t *testing.T) {
	n := network(t, 4)
	n.Step(0, kernel.ItemsLearned{Items: []*wire.Item{tableItem(t, 1, 1)}, Complete: true})
	qt.Assert(t, holdsOnAll(n, 4, func(v *fleet.View) bool { return v.Ready() }), qt.IsTrue)
	n.Partition(func(from, to int) bool { return to == 3 || from == 3 })
	n.Step(0, kernel.ItemsLearned{Items: []*wire.Item{tableItem(t, 2, 9)}})
	n.Run(500 * time.Millisecond)
	qt.Assert(t, view(n, 3).Table().Version(), qt.Equals, int64(1))
	n.Partition(nil)
	qt.Assert(t, holdsOnAll(n, 4, func(v *fleet.View) bool { return v.Table().Version() == 2 }), qt.IsTrue)
}

// TestTableVersionNeverDecreases checks that neither an older store revision nor
// an older table version of a newer revision replaces the table in force.
func TestTableVersionNeverDecreases(t *testing.T) {
	n := network(t, 4)
	n.Step(0, kernel.ItemsLearned{Items: []*wire.Item{tableItem(t, 9, 40)}, Complete: true})
	n.Run(time.Second)
	for name, item := range map[string]*wire.Item{"older revision": tableItem(t, 3, 12), "older version of a newer revision": tableItem(t, 8, 41)} {
		n.Step(1, kernel.ItemsLearned{Items: []*wire.Item{item}})
		n.Run(3 * time.Second)
		for i := range 4 {
			qt.Assert(t, view(n, i).Table().Version(), qt.Equals, int64(9), qt.Commentf("%s", name))
		}
	}
}

// TestRestartedNodeLearnsFromPeers checks that a restarted node gets the routing
// table and the endpoints from its peers, without the store.
func TestRestartedNodeLearnsFromPeers(t *testing.T) {
	n := network(t, 4)
	n.Step(0, kernel.ItemsLearned{Items: []*wire.Item{tableItem(t, 2, 5), endpointItem(t, "e", false, 6)}, Complete: true})
	n.Run(2 * time.Second)
	n.Kill(3)
	n.Run(time.Second)
	n.Restart(3)
	qt.Assert(t, view(n, 3).Ready(), qt.IsFalse)
	ok := n.RunUntil(joinTimeout, 50*time.Millisecond, func() bool { return view(n, 3).Ready() })
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, view(n, 3).EndpointIDs(), qt.DeepEquals, []string{"e"})
}

// TestUnreadableItemDoesNotAffectOthers checks that items that cannot be decoded
// do not affect the other items.
func TestUnreadableItemDoesNotAffectOthers(t *testing.T) {
	n := network(t, 4)
	n.Step(0, kernel.ItemsLearned{Complete: true, Items: []*wire.Item{
		{Name: "endpoint/bad", Revision: 3, Body: []byte("{")},
		{Name: "strange", Revision: 4, Body: []byte("{}")},
		endpointItem(t, "good", false, 5),
		tableItem(t, 1, 6),
	}})
	n.Run(2 * time.Second)
	for i := range 4 {
		qt.Assert(t, view(n, i).EndpointIDs(), qt.DeepEquals, []string{"good"})
	}
}

// TestDifferingDigestLeadsToWant checks that a differing digest leads to a Want at
// once when no items arrive, and while items arrive only at the third differing
// digest in a row.
func TestDifferingDigestLeadsToWant(t *testing.T) {
	n := network(t, 4)
	state, now := n.State(0), n.Now()
	step := func(e kernel.Event) (sentWant bool) {
		now = now.Add(time.Millisecond)
		next, effects := state.Step(now, e)
		state = next
		for _, f := range effects {
			if s, ok := f.(kernel.Send); ok && s.Frame.GetWant() != nil {
				sentWant = true
			}
		}
		return sentWant
	}
	mismatch := func() bool {
		return step(kernel.FrameReceived{From: simnet.ID(1), Frame: &wire.Frame{Body: &wire.Frame_Items{Items: &wire.Items{Digest: 1}}}})
	}
	qt.Assert(t, mismatch(), qt.IsTrue)
	now = now.Add(time.Second)
	for i := range 3 {
		step(kernel.ItemsLearned{Items: []*wire.Item{endpointItem(t, "e", false, int64(10+i))}})
		qt.Assert(t, mismatch(), qt.Equals, i == 2, qt.Commentf("comparison %d", i+1))
	}
}

// TestSelfReportedLeaving checks that an endpoint that reports itself as leaving
// counts as leaving on every node until the store has a newer record of it.
func TestSelfReportedLeaving(t *testing.T) {
	var leaving []string
	n := simnet.New(simnet.Config{Nodes: 4, Centres: 3, Seed: 5, MinDelay: time.Millisecond, OnEffect: func(node int, _ time.Time, f kernel.Effect) []kernel.Event {
		if l, ok := f.(kernel.NotifyLeaving); ok {
			leaving = append(leaving, fmt.Sprint(node, " ", l.Endpoint))
		}
		return nil
	}})
	n.Run(5 * time.Second)
	n.Step(0, kernel.ItemsLearned{Items: []*wire.Item{endpointItem(t, "e", false, 6)}, Complete: true})
	n.Run(2 * time.Second)
	goneAt := n.Now().Add(900 * time.Millisecond)
	n.Step(2, kernel.LeaveReported{Endpoint: "e", GoneAt: goneAt})
	ok := holdsOnAll(n, 4, func(v *fleet.View) bool { return v.Endpoints("s")[0].Leaving })
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, leaving, qt.HasLen, 4)
	for i := range 4 {
		off := view(n, i).GoneAt("e").Sub(goneAt)
		qt.Assert(t, off >= -time.Millisecond && off <= 50*time.Millisecond, qt.IsTrue, qt.Commentf("node %d is off by %s", i, off))
	}
	n.Step(1, kernel.ItemsLearned{Items: []*wire.Item{endpointItem(t, "e", false, 9)}})
	ok = holdsOnAll(n, 4, func(v *fleet.View) bool { return !v.Endpoints("s")[0].Leaving })
	qt.Assert(t, ok, qt.IsTrue)
}

// TestLeavingResponse checks that an endpoint that said in a response that it is leaving
// counts as leaving on every node, whatever the store says, until it has started again.
func TestLeavingResponse(t *testing.T) {
	n := network(t, 4)
	learn(n, 0, runItem(t, "e", false, 5, fleet.Version{Revision: 6}))
	n.Step(3, kernel.LeaveReported{Endpoint: "e"})
	n.Step(2, kernel.LeaveReported{Endpoint: "e", StartMillis: 5})
	n.Run(spreadTimeout)
	assertStates(t, n, 4, "e", "leaving")
	for _, change := range []struct {
		item *wire.Item
		want string
	}{
		{runItem(t, "e", false, 5, fleet.Version{Revision: 9}), "leaving"},
		{fleet.RemovedItem("e", fleet.Version{Revision: 10}), "absent"},
		{runItem(t, "e", false, 5, fleet.Version{Revision: 11}), "leaving"},
		{runItem(t, "e", false, 4, fleet.Version{Era: 1, Revision: 2}), "ready"},
		{runItem(t, "e", false, 5, fleet.Version{Era: 1, Revision: 3}), "leaving"},
		{runItem(t, "e", false, 6, fleet.Version{Era: 1, Revision: 4}), "ready"},
	} {
		learn(n, 1, change.item)
		n.Run(7 * time.Second)
		assertStates(t, n, 4, "e", change.want)
	}
}

// runItem returns the item of an endpoint whose process started at startMillis.
func runItem(t testing.TB, id string, leaving bool, startMillis int64, v fleet.Version) *wire.Item {
	item, err := fleet.EndpointItem(fleet.Endpoint{ID: id, Service: "s", Addr: "10.0.0.1:80", Slots: 4, Leaving: leaving, StartMillis: startMillis}, v)
	qt.Assert(t, err, qt.IsNil)
	return item
}

// learn gives items to a node as changes of the store and lets them spread.
func learn(n *simnet.Network, node int, items ...*wire.Item) {
	n.Step(node, kernel.ItemsLearned{Items: items})
	n.Run(spreadTimeout)
}

// state is "absent", "leaving" or "ready".
func state(v *fleet.View, id string) string {
	e, listed := v.Endpoint(id)
	switch {
	case !listed:
		return "absent"
	case e.Leaving:
		return "leaving"
	}
	return "ready"
}

// assertStates checks the state of an endpoint on every running node.
func assertStates(t *testing.T, n *simnet.Network, nodes int, id, want string) {
	t.Helper()
	for i := range nodes {
		if n.Up(i) {
			qt.Assert(t, state(view(n, i), id), qt.Equals, want, qt.Commentf("endpoint %s on node %d", id, i))
		}
	}
}

// TestRestoredStore checks which records count after the store has been restored from
// a copy: it holds older records under lower or reused revisions, in the next era.
func TestRestoredStore(t *testing.T) {
	at := func(era, revision int64) fleet.Version { return fleet.Version{Era: era, Revision: revision} }
	t.Run("lower revision of the next era", func(t *testing.T) {
		n := network(t, 4)
		learn(n, 0, runItem(t, "e", false, 5, at(0, 40)))
		learn(n, 1, runItem(t, "e", true, 5, at(1, 12)))
		assertStates(t, n, 4, "e", "leaving")
		learn(n, 2, runItem(t, "e", false, 5, at(0, 41)))
		assertStates(t, n, 4, "e", "leaving")
	})
	t.Run("table", func(t *testing.T) {
		n := network(t, 4)
		tableAt := func(version int64, v fleet.Version) *wire.Item {
			item, err := fleet.TableItem(table.Config{Version: version}, v)
			qt.Assert(t, err, qt.IsNil)
			return item
		}
		learn(n, 0, tableAt(9, at(0, 40)))
		n.Partition(func(from, to int) bool { return from == 3 || to == 3 })
		learn(n, 1, tableAt(7, at(1, 12)))
		for i := range 4 {
			qt.Assert(t, view(n, i).Table().Version(), qt.Equals, int64(9))
		}
		learn(n, 1, tableAt(10, at(1, 13)))
		n.Partition(nil)
		n.Run(spreadTimeout)
		for i := range 4 {
			qt.Assert(t, view(n, i).Table().Version(), qt.Equals, int64(10))
			qt.Assert(t, view(n, i).Era(), qt.Equals, int64(1))
		}
	})
	for name, gone := range map[string]func(t *testing.T) *wire.Item{
		"leaving": func(t *testing.T) *wire.Item { return runItem(t, "e", true, 5, at(0, 41)) },
		"removed": func(*testing.T) *wire.Item { return fleet.RemovedItem("e", at(0, 41)) },
	} {
		begin := func(t *testing.T) *simnet.Network {
			n := network(t, 4)
			learn(n, 0, runItem(t, "e", false, 5, at(0, 40)))
			learn(n, 0, gone(t))
			learn(n, 1, runItem(t, "e", false, 5, at(1, 12)))
			assertStates(t, n, 4, "e", "leaving")
			return n
		}
		t.Run(name+", then restored twice", func(t *testing.T) {
			n := begin(t)
			learn(n, 2, runItem(t, "e", false, 5, at(2, 12)))
			assertStates(t, n, 4, "e", "leaving")
		})
		t.Run(name+", then written again", func(t *testing.T) {
			n := begin(t)
			learn(n, 2, runItem(t, "e", false, 5, at(1, 13)))
			assertStates(t, n, 4, "e", "ready")
		})
		t.Run(name+", then started again", func(t *testing.T) {
			n := begin(t)
			learn(n, 2, runItem(t, "e", false, 6, at(2, 12)))
			assertStates(t, n, 4, "e", "ready")
		})
		t.Run(name+", then not removed by the store", func(t *testing.T) {
			n := begin(t)
			n.Run(6 * time.Second)
			assertStates(t, n, 4, "e", "ready")
		})
	}
}

// TestRemoteUsage checks that the remote usage is the sum over the other
// nodes, and that a dead node is no longer counted.
func TestRemoteUsage(t *testing.T) {
	n := network(t, 4)
	n.Step(0, kernel.LocalUsageReported{Uses: []*wire.Use{{Endpoint: "e", Requests: 2, Tokens: 700, Prompt: 30}}})
	n.Step(1, kernel.LocalUsageReported{Uses: []*wire.Use{{Endpoint: "e", Requests: 1, Tokens: 100}}})
	n.Run(time.Second)
	qt.Assert(t, view(n, 2).RemoteUsage("e"), qt.Equals, fleet.EndpointUsage{Requests: 3, Tokens: 800, PendingPrompt: 30})
	qt.Assert(t, view(n, 0).RemoteUsage("e"), qt.Equals, fleet.EndpointUsage{Requests: 1, Tokens: 100})
	// The usage of a dead node is dropped after a while.
	n.Kill(0)
	n.Run(10 * time.Second)
	qt.Assert(t, view(n, 2).RemoteUsage("e"), qt.Equals, fleet.EndpointUsage{Requests: 1, Tokens: 100})
}

// TestLoadGroups checks how many nodes prefer an endpoint: all nodes of the
// deployment or of the data centre, or in a large deployment one load group, which
// is small.
func TestLoadGroups(t *testing.T) {
	for _, nodes := range []int{4, 12, 13, 33, 60, 100} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			n := network(t, nodes)
			learned := kernel.ItemsLearned{Complete: true}
			for e := range 20 {
				item, err := fleet.EndpointItem(fleet.Endpoint{ID: fmt.Sprint("e", e), Service: "s", Addr: "10.0.0.1:80", Centre: member.Of(n.State(0)).Self().GetCentre(), Slots: 4}, fleet.Version{Revision: int64(e + 1)})
				qt.Assert(t, err, qt.IsNil)
				learned.Items = append(learned.Items, item)
			}
			n.Step(0, learned)
			n.Run(time.Second)
			for _, endpoint := range view(n, 0).Endpoints("s") {
				covering := 0
				for i := range nodes {
					if view(n, i).LoadGroup().Covers(endpoint) {
						covering++
					}
				}
				low, high := nodes/3, nodes
				if nodes >= 40 {
					low, high = 4, 8
				}
				qt.Assert(t, covering >= low && covering <= high, qt.IsTrue, qt.Commentf("%d nodes prefer %s", covering, endpoint.ID))
			}
		})
	}
}

// TestRemoteOutcomes checks that the outcomes of requests to an endpoint
// count for nodes of the same data centre, which may use the same path to it, and
// for no others.
func TestRemoteOutcomes(t *testing.T) {
	n := network(t, 6) // 0 and 3 are in one data centre
	n.Step(0, kernel.LocalUsageReported{Uses: []*wire.Use{{Endpoint: "e", Requests: 1, Good: 30, Bad: 20}}})
	n.Run(time.Second)
	qt.Assert(t, view(n, 3).RemoteUsage("e"), qt.Equals, fleet.EndpointUsage{Requests: 1, Successes: 30, Failures: 20})
	qt.Assert(t, view(n, 1).RemoteUsage("e"), qt.Equals, fleet.EndpointUsage{Requests: 1})
	// Outcomes decay in small steps, which are sent once they add up to minFailureChange.
	for bad := uint32(18); bad > 0; bad -= 2 {
		n.Step(0, kernel.LocalUsageReported{Uses: []*wire.Use{{Endpoint: "e", Requests: 1, Bad: bad}}})
		n.Run(50 * time.Millisecond)
	}
	qt.Assert(t, view(n, 3).RemoteUsage("e").Failures <= 6, qt.IsTrue)
	n.Step(0, kernel.LocalUsageReported{})
	n.Run(time.Second)
	qt.Assert(t, view(n, 3).RemoteUsage("e"), qt.Equals, fleet.EndpointUsage{})
}

// readerNetwork is a network whose nodes read the store when ReadsStore says so.
type readerNetwork struct {
	*simnet.Network
	nodes int
	cut   map[int]bool // nodes that the store turns away, or to which it does not respond
	reads int          // reads so far, with a response or without
	// silent says that the store does not respond to the cut nodes. Their reads then end after
	// silentReadTime; otherwise they fail at once.
	silent    bool
	silentEnd map[int]time.Duration // when the read of a cut node ends, by node
}

// silentReadTime is the longest time until a read of the store ends without a response.
const silentReadTime = 1700 * time.Millisecond

func newReaderNetwork(t *testing.T, nodes int) *readerNetwork {
	n := &readerNetwork{Network: network(t, nodes), nodes: nodes, cut: map[int]bool{}, silentEnd: map[int]time.Duration{}}
	n.Step(0, kernel.ItemsLearned{Items: []*wire.Item{tableItem(t, 1, 1)}, Complete: true})
	n.run(5 * time.Second)
	return n
}

// readers returns the nodes that read the store.
func (n *readerNetwork) readers() (list []int) {
	for i := range n.nodes {
		if n.Up(i) && fleet.ReadsStore(n.State(i), n.Now()) {
			list = append(list, i)
		}
	}
	return list
}

// run lets simulated time pass, in which the readers read the store ten times a second.
func (n *readerNetwork) run(d time.Duration) {
	for end := n.Elapsed() + d; n.Elapsed() < end; n.Run(100 * time.Millisecond) {
		for _, i := range n.readers() {
			n.reads++
			if !n.cut[i] {
				n.Step(i, kernel.ItemsLearned{})
				continue
			}
			if n.silentEnd[i] == 0 {
				n.silentEnd[i] = n.Elapsed() + silentReadTime
			}
			if !n.silent || n.Elapsed() >= n.silentEnd[i] {
				n.Step(i, kernel.StoreFailed{})
				n.silentEnd[i] = 0
			}
		}
	}
}

// inContact returns the number of readers to which the store responds.
func (n *readerNetwork) inContact() (count int) {
	for _, i := range n.readers() {
		if !n.cut[i] {
			count++
		}
	}
	return count
}

// TestReaders checks that a few nodes read the store for all, and that others replace
// those that are gone or to which the store does not respond.
func TestReaders(t *testing.T) {
	const takeoverTime = 2500 * time.Millisecond
	for _, nodes := range []int{33, 77} {
		t.Run(fmt.Sprint(nodes, " nodes, readers killed"), func(t *testing.T) {
			n := newReaderNetwork(t, nodes)
			for range 3 {
				first := n.readers()
				qt.Assert(t, first, qt.HasLen, 2)
				for _, i := range first {
					n.Kill(i)
				}
				n.run(takeoverTime)
				qt.Assert(t, n.inContact() >= 2, qt.IsTrue)
				n.run(10 * time.Second)
			}
		})
		t.Run(fmt.Sprint(nodes, " nodes, readers cut off"), func(t *testing.T) {
			n := newReaderNetwork(t, nodes)
			for _, i := range n.readers() {
				n.cut[i] = true
			}
			n.run(takeoverTime)
			for range 20 {
				qt.Assert(t, n.inContact() >= 2, qt.IsTrue)
				qt.Assert(t, len(n.readers()) <= 10, qt.IsTrue, qt.Commentf("%d nodes read", len(n.readers())))
				n.run(500 * time.Millisecond)
			}
		})
		t.Run(fmt.Sprint(nodes, " nodes, store down"), func(t *testing.T) {
			n := newReaderNetwork(t, nodes)
			for i := range nodes {
				n.cut[i] = true
			}
			for range 3 {
				n.run(5 * time.Second)
				qt.Assert(t, len(n.readers()) <= 12, qt.IsTrue, qt.Commentf("%d nodes read", len(n.readers())))
			}
			qt.Assert(t, fleet.StoreSilent(n.State(0), n.Now()), qt.IsTrue)
			clear(n.cut)
			n.run(5 * time.Second)
			qt.Assert(t, n.readers(), qt.HasLen, 2)
			qt.Assert(t, fleet.StoreSilent(n.State(0), n.Now()), qt.IsFalse)
		})
	}
	t.Run("small", func(t *testing.T) {
		n := newReaderNetwork(t, 4)
		qt.Assert(t, n.readers(), qt.HasLen, 4)
		qt.Assert(t, n.promptReaders(), qt.HasLen, 4)
	})
}

// promptReaders returns the readers that begin a watch at once after the last one.
func (n *readerNetwork) promptReaders() (list []int) {
	for _, i := range n.readers() {
		if fleet.ReadDelay(n.State(i)) < 100*time.Millisecond {
			list = append(list, i)
		}
	}
	return list
}

// TestReadDelay guards against calls to the store for every change by every reader, and
// against changes that are read late by all of them after the first reader has failed.
func TestReadDelay(t *testing.T) {
	for _, nodes := range []int{33, 87} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			n := newReaderNetwork(t, nodes)
			for range 3 {
				prompt := n.promptReaders()
				qt.Assert(t, prompt, qt.HasLen, 1)
				n.Kill(prompt[0])
				n.run(6 * time.Second)
			}
			for _, i := range n.readers() {
				qt.Assert(t, fleet.ReadDelay(n.State(i)) <= 500*time.Millisecond, qt.IsTrue)
			}
		})
	}
}
