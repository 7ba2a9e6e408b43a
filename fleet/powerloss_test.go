package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/wire"
)

// afterPowerLoss returns the longest time from the acknowledgement of a routing table until the
// last living node had it, if the table changes all the time and some of the nodes lose power, the
// readers of the store among them. Who sends to these gets neither an answer nor PeerLost.
func afterPowerLoss(t *testing.T, nodes, lost, bytes int, seed uint64) (longest time.Duration) {
	const step, gap, quiet = 20 * time.Millisecond, 400 * time.Millisecond, 6 * time.Second
	n, _ := linkedNetwork(t, nodes, 0)
	dead, readAt := make([]bool, nodes), make([]time.Duration, nodes)
	n.Partition(func(from, to int) bool { return dead[from] || dead[to] })
	lossAt := quiet + 2*gap + time.Duration(seed)*3*step
	var stored *wire.Item
	var acked []time.Duration // when the store acknowledged each version, from 1 on
	reached := 0              // version that all living nodes have
	for at := time.Duration(0); at < lossAt+8*time.Second; at += step {
		if at == 0 || at >= quiet && at%gap == 0 {
			acked = append(acked, at)
			stored = tableItem(t, int64(len(acked)), int64(len(acked)))
			stored.Body = append(stored.Body, strings.Repeat(" ", bytes)...)
		}
		if at == lossAt {
			order := rand.New(rand.NewPCG(seed, uint64(nodes))).Perm(nodes)
			slices.SortStableFunc(order, func(a, b int) int {
				return min(fleet.ReaderRank(n.State(a)), 2) - min(fleet.ReaderRank(n.State(b)), 2)
			})
			for _, i := range order[:lost] {
				dead[i] = true
			}
		}
		for i := range nodes {
			if !dead[i] && at >= readAt[i] && fleet.ReadsStore(n.State(i), n.Now()) {
				n.Step(i, kernel.ItemsLearned{Items: []*wire.Item{stored}, Complete: true})
				readAt[i] = at + step + fleet.ReadDelay(n.State(i))
			}
		}
		n.Run(step)
		oldest := len(acked)
		for i := range nodes {
			if !dead[i] {
				oldest = min(oldest, int(tableVersion(n, i)))
			}
		}
		if reached = max(reached, oldest); reached < len(acked) && at >= lossAt {
			longest = max(longest, at+step-acked[reached])
		}
	}
	return longest
}

// TestTableReachesNodesAfterPowerLoss guards against nodes that get a change of the routing table
// only when members that lost power have been declared dead: all that would forward it may have.
func TestTableReachesNodesAfterPowerLoss(t *testing.T) {
	for _, nodes := range []int{4, 27, 77, *costNodes} {
		for seed := range uint64(6) {
			bytes := []int{100, 15 << 10}[seed%2]
			t.Run(fmt.Sprintf("%d nodes, %d bytes, seed %d", nodes, bytes, seed), func(t *testing.T) {
				t.Parallel()
				assertTableIsInTime(t, afterPowerLoss(t, nodes, nodes*3/4, bytes, seed))
			})
		}
	}
	// The new readers find at most one of the lost members among their neighbours.
	for _, bytes := range []int{100, 15 << 10} {
		t.Run(fmt.Sprintf("77 nodes, a quarter, %d bytes", bytes), func(t *testing.T) {
			t.Parallel()
			assertTableIsInTime(t, afterPowerLoss(t, 77, 77/4, bytes, 3))
		})
	}
}

func assertTableIsInTime(t *testing.T, longest time.Duration) {
	t.Helper()
	t.Logf("%s from the acknowledgement of a version until the last node had it", longest)
	qt.Assert(t, longest <= 3*time.Second, qt.IsTrue)
}
