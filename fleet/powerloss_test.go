package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/simnet"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	tableDeadline      = 3 * time.Second        // by which a node must have a version that the store has acknowledged
	powerLossChange    = 400 * time.Millisecond // between two changes of the table
	powerLossObserved  = 8 * time.Second        // after the loss; members that lost power are declared dead within
	powerLossReadDelay = 20 * time.Millisecond  // of one read of the store
)

// powerLossNetwork is a network whose readers read a routing table that changes all the time
// while most nodes lose power. The nodes that send to those get neither an answer nor PeerLost.
type powerLossNetwork struct {
	*simnet.Network
	nodes    int
	newTable func(t testing.TB, version, revision int64) *wire.Item
	dead     map[int]bool
	stored   *wire.Item            // newest table of the store
	version  int64                 // of it
	acked    map[int64]time.Time   // by version; those that some node may still lack
	readAt   map[int]time.Duration // when a node reads the store next
	reads    int                   // so far
	longest  time.Duration         // time from the acknowledgement of a version until the last living node had it
}

func newPowerLossNetwork(t testing.TB, nodes int, newTable func(testing.TB, int64, int64) *wire.Item) *powerLossNetwork {
	linked, _ := linkedNetwork(t, nodes, 0)
	n := &powerLossNetwork{Network: linked, nodes: nodes, newTable: newTable, dead: map[int]bool{}, acked: map[int64]time.Time{}, readAt: map[int]time.Duration{}}
	n.Partition(func(from, to int) bool { return n.dead[from] || n.dead[to] })
	n.change(t)
	n.Step(0, kernel.ItemsLearned{Items: []*wire.Item{n.stored}, Complete: true})
	n.run(t, 6*time.Second, false)
	return n
}

// change stores a new version of the table.
func (n *powerLossNetwork) change(t testing.TB) {
	n.version++
	n.stored = n.newTable(t, n.version, n.version)
	n.acked[n.version] = n.Now()
}

// run lets simulated time pass, in which the readers read the store. If changing is true, the
// table changes all the time.
func (n *powerLossNetwork) run(t testing.TB, d time.Duration, changing bool) {
	changeAt := n.Elapsed()
	for end := n.Elapsed() + d; n.Elapsed() < end; n.Run(powerLossReadDelay) {
		if changing && n.Elapsed() >= changeAt {
			n.change(t)
			changeAt += powerLossChange
		}
		for i := range n.nodes {
			if n.dead[i] || n.Elapsed() < n.readAt[i] {
				continue
			}
			if !fleet.ReadsStore(n.State(i), n.Now()) {
				n.readAt[i] = n.Elapsed() + 100*time.Millisecond
				continue
			}
			n.reads++
			n.Step(i, kernel.ItemsLearned{Items: []*wire.Item{n.stored}})
			n.readAt[i] = n.Elapsed() + powerLossReadDelay + fleet.ReadDelay(n.State(i))
		}
		n.observe()
	}
}

// observe updates longest.
func (n *powerLossNetwork) observe() {
	oldest := n.version
	for i := range n.nodes {
		if !n.dead[i] {
			oldest = min(oldest, tableVersion(n.Network, i))
		}
	}
	for version, at := range n.acked {
		n.longest = max(n.longest, n.Now().Sub(at))
		if version <= oldest {
			delete(n.acked, version)
		}
	}
}

// losePower ends three quarters of the nodes at once, among them the readers of the store.
func (n *powerLossNetwork) losePower(seed uint64) {
	order := rand.New(rand.NewPCG(seed, uint64(n.nodes))).Perm(n.nodes)
	for i := range n.nodes {
		if fleet.ReaderRank(n.State(i)) < 2 {
			n.dead[i] = true
		}
	}
	for _, i := range order {
		if len(n.dead) < n.nodes*3/4 {
			n.dead[i] = true
		}
	}
}

// TestTableReachesNodesAfterPowerLoss guards against changes of the routing table that reach
// single nodes only when the members that lost power have been declared dead: the readers of the
// store are among them, and all nodes that would forward the table to a node may be.
func TestTableReachesNodesAfterPowerLoss(t *testing.T) {
	for _, nodes := range []int{4, 27, 77, *costNodes} {
		for _, bytes := range []int{100, 15 << 10} {
			newTable := func(t testing.TB, version, revision int64) *wire.Item {
				item := tableItem(t, version, revision)
				item.Body = append(item.Body, strings.Repeat(" ", bytes)...)
				return item
			}
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%d nodes, %d bytes, seed %d", nodes, bytes, seed), func(t *testing.T) {
					n := newPowerLossNetwork(t, nodes, newTable)
					n.run(t, time.Second+time.Duration(seed)*77*time.Millisecond, true)
					n.longest = 0
					n.losePower(seed)
					n.run(t, powerLossObserved, true)
					t.Logf("the last node has a version %s after its acknowledgement; %d reads", n.longest, n.reads)
					qt.Assert(t, n.longest <= tableDeadline, qt.IsTrue, qt.Commentf("%s", n.longest))
				})
			}
		}
	}
}
