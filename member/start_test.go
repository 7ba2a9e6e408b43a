package member_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/simnet"
)

// TestNodesThatStartAtOnceFindEachOther guards against groups of nodes that know only their own
// members for seconds: each node has contacted one that had just started too.
func TestNodesThatStartAtOnceFindEachOther(t *testing.T) {
	const (
		nodes   = 4
		seeds   = 200
		maxJoin = 1500 * time.Millisecond
	)
	for _, dropRate := range []float64{0, 0.01} {
		slow, most := 0, time.Duration(0)
		for seed := range uint64(seeds) {
			n := simnet.New(simnet.Config{Nodes: nodes, Centres: 1, Seed: 100 * seed, MinDelay: time.Millisecond, Jitter: 2 * time.Millisecond, DropRate: dropRate})
			n.RunUntil(joinTimeout, 20*time.Millisecond, func() bool { return agreed(n, nodes) })
			most = max(most, n.Elapsed())
			if n.Elapsed() > maxJoin {
				slow++
			}
		}
		qt.Check(t, slow, qt.Equals, 0, qt.Commentf("%.2f of the messages lost: %d of %d starts took over %s, the longest %s", dropRate, slow, seeds, maxJoin, most))
	}
}
