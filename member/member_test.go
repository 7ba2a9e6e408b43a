package member_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/simnet"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	joinTimeout   = 20 * time.Second
	detectTimeout = 10 * time.Second
)

func config(nodes int) simnet.Config {
	return simnet.Config{Nodes: nodes, Centres: 4, Seed: 7, MinDelay: time.Millisecond, Jitter: 2 * time.Millisecond, DropRate: 0.01, DuplicateRate: 0.01}
}

// agreed reports whether each running node lists as many owners as there are
// running nodes.
func agreed(n *simnet.Network, nodes int) bool {
	up := 0
	for i := range nodes {
		if n.Up(i) {
			up++
		}
	}
	for i := range nodes {
		if n.Up(i) && len(member.Of(n.State(i)).Owners()) != up {
			return false
		}
	}
	return true
}

// joined returns a network whose nodes have found each other.
func joined(t testing.TB, nodes int) *simnet.Network {
	t.Helper()
	n := simnet.New(config(nodes))
	ok := n.RunUntil(joinTimeout, 100*time.Millisecond, func() bool { return agreed(n, nodes) })
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%d nodes did not find each other", nodes))
	return n
}

// count returns how many members the running nodes list in a state, summed over
// the nodes.
func count(n *simnet.Network, nodes int, s wire.State) int {
	total := 0
	for i := range nodes {
		for _, p := range member.Of(n.State(i)).Peers() {
			if n.Up(i) && p.Member.GetState() == s {
				total++
			}
		}
	}
	return total
}

// TestJoinAndFailureDetection checks that nodes find each other, declare no live
// node dead, and detect a dead one in time.
func TestJoinAndFailureDetection(t *testing.T) {
	for _, nodes := range []int{4, 16, 64, 256} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			n := joined(t, nodes)
			join := n.Elapsed()
			n.Run(30 * time.Second)
			qt.Assert(t, count(n, nodes, wire.State_DEAD), qt.Equals, 0, qt.Commentf("a live node was declared dead"))
			killed := n.Elapsed()
			n.Kill(1)
			ok := n.RunUntil(detectTimeout, 50*time.Millisecond, func() bool { return agreed(n, nodes) })
			qt.Assert(t, ok, qt.IsTrue)
			t.Logf("joined after %s, a dead node was known to all after %s, %d messages, %d bytes", join, n.Elapsed()-killed, n.MessagesSent, n.BytesSent)
		})
	}
}

// TestPausedNode checks that a paused process neither loses its ownership by a
// short pause nor declares others dead when it resumes, and that repeated pauses
// lengthen its hold time.
func TestPausedNode(t *testing.T) {
	const nodes = 16
	t.Run("a short pause changes no owner", func(t *testing.T) {
		n := joined(t, nodes)
		n.Pause(3)
		n.Run(1500 * time.Millisecond)
		n.Resume(3)
		n.Run(10 * time.Second)
		qt.Assert(t, count(n, nodes, wire.State_DEAD), qt.Equals, 0)
		qt.Assert(t, agreed(n, nodes), qt.IsTrue)
	})
	t.Run("a paused node declares nobody dead when it resumes", func(t *testing.T) {
		n := joined(t, nodes)
		n.Pause(3)
		n.Run(30 * time.Second)
		n.Resume(3)
		n.Run(time.Second)
		for _, p := range member.Of(n.State(3)).Peers() {
			qt.Assert(t, p.Member.GetState(), qt.Not(qt.Equals), wire.State_DEAD)
		}
	})
	t.Run("a flapping node is on hold longer each time", func(t *testing.T) {
		n := joined(t, nodes)
		var holds []time.Duration
		for range 3 {
			n.Pause(3)
			n.Run(8 * time.Second)
			n.Resume(3)
			resumed := n.Elapsed()
			ok := n.RunUntil(time.Minute, 50*time.Millisecond, func() bool { return agreed(n, nodes) })
			qt.Assert(t, ok, qt.IsTrue)
			holds = append(holds, n.Elapsed()-resumed)
		}
		qt.Assert(t, holds[1] > holds[0] && holds[2] > holds[1], qt.IsTrue, qt.Commentf("%v", holds))
	})
}

// TestRestartedNodeBecomesOwnerAgain checks that a node that restarts after a short
// time becomes an owner again.
func TestRestartedNodeBecomesOwnerAgain(t *testing.T) {
	const nodes = 16
	n := joined(t, nodes)
	n.Kill(5)
	n.Run(300 * time.Millisecond)
	n.Restart(5)
	ok := n.RunUntil(joinTimeout, 50*time.Millisecond, func() bool { return agreed(n, nodes) })
	qt.Assert(t, ok, qt.IsTrue)
}

// TestRestartedNodeLearnsMembersAtOnce checks that a node that has ended and started again
// before others noticed does not wait for the next full exchange.
func TestRestartedNodeLearnsMembersAtOnce(t *testing.T) {
	for _, nodes := range []int{4, 64} {
		n := joined(t, nodes)
		n.Run(5 * time.Second)
		for range 3 {
			n.Kill(2)
			n.Restart(2)
			ok := n.RunUntil(time.Second, 10*time.Millisecond, func() bool { return len(member.Of(n.State(2)).Owners()) == nodes })
			qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%d nodes, %d known", nodes, len(member.Of(n.State(2)).Owners())))
		}
	}
}

// TestDataCentreLost checks that the other nodes agree when a whole data centre dies
// at once.
func TestDataCentreLost(t *testing.T) {
	const nodes = 64
	n := joined(t, nodes)
	for i := range nodes {
		if i%4 == 2 {
			n.Kill(i)
		}
	}
	ok := n.RunUntil(30*time.Second, 50*time.Millisecond, func() bool { return agreed(n, nodes) })
	qt.Assert(t, ok, qt.IsTrue)
}

// TestPartitionHeals checks that each side of a partition continues with its own
// nodes, and that the sides join again when the partition ends after an hour.
func TestPartitionHeals(t *testing.T) {
	const nodes = 12
	n := joined(t, nodes)
	side := func(i int) bool { return i%4 < 2 }
	n.Partition(func(from, to int) bool { return side(from) != side(to) })
	n.Run(time.Hour)
	for i := range nodes {
		qt.Assert(t, len(member.Of(n.State(i)).Owners()), qt.Equals, nodes/2)
	}
	n.Partition(nil)
	reconnected := n.Elapsed()
	ok := n.RunUntil(time.Minute, 100*time.Millisecond, func() bool { return agreed(n, nodes) })
	qt.Assert(t, ok, qt.IsTrue)
	t.Logf("rejoined after %s", n.Elapsed()-reconnected)
}

// TestSameSeedSameRun checks that a simulation is reproducible by its seed.
func TestSameSeedSameRun(t *testing.T) {
	a, b := joined(t, 16), joined(t, 16)
	qt.Assert(t, a.Elapsed(), qt.Equals, b.Elapsed())
	qt.Assert(t, a.MessagesSent, qt.Equals, b.MessagesSent)
	qt.Assert(t, a.BytesSent, qt.Equals, b.BytesSent)
}

// BenchmarkIdleNode measures the processor time, messages and bytes of one node in
// one second when nothing happens.
func BenchmarkIdleNode(b *testing.B) {
	for _, nodes := range []int{4, 16, 64, 256, 400} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			n := joined(b, nodes)
			n.Run(10 * time.Second)
			messages, bytes, seconds := n.MessagesSent, n.BytesSent, 0
			for b.Loop() {
				n.Run(time.Second)
				seconds++
			}
			nodeSeconds := float64(seconds * nodes)
			b.ReportMetric(float64(b.Elapsed().Microseconds())/nodeSeconds, "us/node-second")
			b.ReportMetric(float64(n.MessagesSent-messages)/nodeSeconds, "messages/node-second")
			b.ReportMetric(float64(n.BytesSent-bytes)/nodeSeconds, "bytes/node-second")
		})
	}
}

// TestDigestTellsPairsOfChangesApart checks that equal changes to two members do not
// cancel each other out in the digest.
func TestDigestTellsPairsOfChangesApart(t *testing.T) {
	const nodes = 4
	view := func(s wire.State) *member.View {
		n := simnet.New(config(nodes))
		updates := []*wire.Member{
			{Id: simnet.ID(1), Centre: "dc-1", Incarnation: 9, State: s},
			{Id: simnet.ID(2), Centre: "dc-2", Incarnation: 9, State: s},
		}
		n.Step(0, kernel.FrameReceived{From: simnet.ID(3), Frame: &wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{News: updates}}}})
		return member.Of(n.State(0))
	}
	qt.Assert(t, view(wire.State_ALIVE).Digest(), qt.Not(qt.Equals), view(wire.State_DEAD).Digest())
}
