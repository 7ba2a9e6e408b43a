package feed

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/simnet"
	"github.com/plantaindeck/plantaindeck/store"
	"github.com/plantaindeck/plantaindeck/table"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	versionStep = 100 * time.Millisecond // between two reads of the simulated store
	joinTimeout = 20 * time.Second
	settleTime  = 3 * time.Second // longer than any delay of a write
)

// versionNet is a simulated network of nodes that keep the record of the service "model" in a
// store, which the test holds.
type versionNet struct {
	*testing.T
	net        *simnet.Network
	nodes      int
	keepers    []*versionKeeper
	firstStart bool
	era        int64
	revision   int64
	endpoints  map[string]string // versions, by id
	record     store.Entry       // zero if there is none
	writes     int               // of all nodes, also those whose condition failed
}

func newVersionNet(t *testing.T, nodes int) *versionNet {
	n := &versionNet{T: t, nodes: nodes, firstStart: true, revision: 1, endpoints: map[string]string{"a": "v1", "b": "v1"}, keepers: make([]*versionKeeper, nodes)}
	n.net = simnet.New(simnet.Config{Nodes: nodes, Centres: 3, Seed: 5, MinDelay: time.Millisecond})
	n.start()
	return n
}

// start lets nodes that have just started list the store, and then runs them for some seconds.
func (n *versionNet) start() {
	for i := range n.nodes {
		n.keepers[i] = newVersionKeeper()
	}
	joined := n.net.RunUntil(joinTimeout, 100*time.Millisecond, func() bool {
		return len(member.Of(n.net.State(0)).Owners()) == n.nodes
	})
	qt.Assert(n, joined, qt.IsTrue)
	for i := range n.nodes {
		n.read(i)
	}
	n.run(settleTime)
}

// restart ends all nodes and starts them again.
func (n *versionNet) restart(change func()) {
	for i := range n.nodes {
		n.net.Kill(i)
	}
	change()
	n.firstStart = false
	for i := range n.nodes {
		n.net.Restart(i)
	}
	n.start()
}

// read lets a node read the whole store.
func (n *versionNet) read(node int) {
	at := fleet.Version{Era: n.era, Revision: n.revision}
	cfg := table.Config{Version: 1, Services: []table.Service{{Name: "model"}}, Routes: []table.Route{{Name: "r", Host: "h", Prefix: "/", Resumable: true, Shares: []table.Share{{Service: "model"}}}}}
	item, err := fleet.TableItem(cfg, at)
	qt.Assert(n, err, qt.IsNil)
	learned := kernel.ItemsLearned{Items: []*wire.Item{item}, Complete: true}
	for _, id := range slices.Sorted(maps.Keys(n.endpoints)) {
		item, err := fleet.EndpointItem(fleet.Endpoint{ID: id, Service: "model", Addr: "10.0.0.1:80", Version: n.endpoints[id]}, at)
		qt.Assert(n, err, qt.IsNil)
		learned.Items = append(learned.Items, item)
	}
	for _, id := range fleet.Of(n.net.State(node)).EndpointIDs() {
		if _, listed := n.endpoints[id]; !listed {
			learned.Items = append(learned.Items, fleet.RemovedItem(id, at))
		}
	}
	n.net.Step(node, learned)
	n.keepers[node].reset()
	if n.record.Key != "" {
		qt.Assert(n, n.keepers[node].read(n.record, n.era), qt.IsNil)
	}
}

// run runs the nodes, of which the readers read the store and write what is due.
func (n *versionNet) run(d time.Duration) {
	for range d / versionStep {
		n.net.Run(versionStep)
		for i := range n.nodes {
			if s := n.net.State(i); fleet.ReadsStore(s, n.net.Now()) {
				n.read(i)
			}
		}
		for i := range n.nodes {
			for _, w := range n.keepers[i].dueWrites(n.net.Now(), n.net.State(i), n.era, n.firstStart) {
				n.write(w)
			}
		}
	}
}

func (n *versionNet) write(w versionWrite) {
	n.writes++
	if w.revision != n.record.Revision {
		return
	}
	value, err := json.Marshal(w.record)
	qt.Assert(n, err, qt.IsNil)
	n.revision++
	n.record = store.Entry{Key: versionPrefix + w.service, Value: value, Revision: n.revision}
}

// list replaces the endpoints.
func (n *versionNet) list(endpoints map[string]string) {
	n.revision++
	n.endpoints = endpoints
}

// assertSole checks which version the store names as the sole one some time later; empty for none.
func (n *versionNet) assertSole(after time.Duration, want string) {
	n.Helper()
	r := store.Range{Era: n.era}
	if n.record.Key != "" {
		r.Entries = append(r.Entries, n.record)
	}
	version, err := soleVersion(n.net.Now().Add(after), r)
	qt.Assert(n, version, qt.Equals, want, qt.Commentf("%s: %v", n.record.Value, err))
	qt.Assert(n, err == nil, qt.Equals, want != "")
}

// TestVersionsOutliveAllNodes replays releases around the end of all nodes, and guards against
// records that name a version although a stream of another one may still run, against streams
// that are given up without need, and against nodes that all write the same record.
func TestVersionsOutliveAllNodes(t *testing.T) {
	const maxWrites = 6 // of one change: one by each reader of the store in three data centres
	both, v2 := map[string]string{"a": "v1", "b": "v2"}, map[string]string{"b": "v2", "c": "v2"}
	for _, nodes := range []int{4, 27, 100} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			t.Parallel()
			n := newVersionNet(t, nodes)
			n.assertSole(0, "v1")
			n.restart(func() {})
			n.assertSole(0, "v1")
			qt.Assert(n, n.writes <= maxWrites, qt.IsTrue, qt.Commentf("%d writes", n.writes))

			n.era++ // restored, while nodes run
			n.assertSole(0, "")
			n.run(time.Second)
			n.assertSole(0, "v1")

			n.list(both)
			n.run(time.Second)
			n.assertSole(0, "")
			n.restart(func() { n.list(v2) })
			n.assertSole(0, "")
			n.assertSole(2*time.Minute, "v2")
			qt.Assert(n, n.writes <= 4*maxWrites, qt.IsTrue, qt.Commentf("%d writes", n.writes))
		})
	}
	t.Run("release while no node runs", func(t *testing.T) {
		n := newVersionNet(t, 4)
		n.restart(func() { n.list(v2) })
		n.assertSole(0, "")
	})
	t.Run("restored while no node runs", func(t *testing.T) {
		n := newVersionNet(t, 4)
		n.restart(func() { n.era++ })
		n.assertSole(0, "")
		n.assertSole(2*time.Minute, "v1")
	})
}
