package member_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/link"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	joinLimit   = 20 * time.Second
	detectLimit = 10 * time.Second
)

func config(nodes int) link.Config {
	return link.Config{Nodes: nodes, Centres: 4, Seed: 7, Delay: time.Millisecond, Jitter: 2 * time.Millisecond, Drop: 0.01, Twice: 0.01}
}

// Reports whether every running node has exactly the running nodes as owners.
func agreed(n *link.Net, nodes int) bool {
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

func joined(t testing.TB, nodes int) *link.Net {
	t.Helper()
	n := link.New(config(nodes))
	ok := n.Until(joinLimit, 100*time.Millisecond, func() bool { return agreed(n, nodes) })
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%d nodes did not find each other", nodes))
	return n
}

// Counts the members that running nodes hold in a state.
func count(n *link.Net, nodes int, s wire.State) int {
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

func TestNodesFindEachOtherAndADeadOne(t *testing.T) {
	for _, nodes := range []int{4, 16, 64, 256} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			n := joined(t, nodes)
			join := n.Since()
			n.Run(30 * time.Second)
			qt.Assert(t, count(n, nodes, wire.State_DEAD), qt.Equals, 0, qt.Commentf("a live node was taken for dead"))
			killed := n.Since()
			n.Kill(1)
			ok := n.Until(detectLimit, 50*time.Millisecond, func() bool { return agreed(n, nodes) })
			qt.Assert(t, ok, qt.IsTrue)
			t.Logf("joined after %s, a dead node was known to all after %s, %d messages, %d bytes", join, n.Since()-killed, n.Messages, n.Bytes)
		})
	}
}

func TestPausedNode(t *testing.T) {
	const nodes = 16
	t.Run("a short pause moves nothing", func(t *testing.T) {
		n := joined(t, nodes)
		n.Pause(3)
		n.Run(1500 * time.Millisecond)
		n.Resume(3)
		n.Run(10 * time.Second)
		qt.Assert(t, count(n, nodes, wire.State_DEAD), qt.Equals, 0)
		qt.Assert(t, agreed(n, nodes), qt.IsTrue)
	})
	t.Run("a paused node suspects nobody when it wakes", func(t *testing.T) {
		n := joined(t, nodes)
		n.Pause(3)
		n.Run(30 * time.Second)
		n.Resume(3)
		n.Run(time.Second)
		for _, p := range member.Of(n.State(3)).Peers() {
			qt.Assert(t, p.Member.GetState(), qt.Not(qt.Equals), wire.State_DEAD)
		}
	})
	t.Run("a node that flaps is held out longer each time", func(t *testing.T) {
		n := joined(t, nodes)
		var holds []time.Duration
		for range 3 {
			n.Pause(3)
			n.Run(8 * time.Second)
			n.Resume(3)
			back := n.Since()
			ok := n.Until(time.Minute, 50*time.Millisecond, func() bool { return agreed(n, nodes) })
			qt.Assert(t, ok, qt.IsTrue)
			holds = append(holds, n.Since()-back)
		}
		qt.Assert(t, holds[1] > holds[0] && holds[2] > holds[1], qt.IsTrue, qt.Commentf("%v", holds))
	})
}

func TestRestartedNodeIsTakenBack(t *testing.T) {
	const nodes = 16
	n := joined(t, nodes)
	n.Kill(5)
	n.Run(300 * time.Millisecond)
	n.Restart(5)
	ok := n.Until(joinLimit, 50*time.Millisecond, func() bool { return agreed(n, nodes) })
	qt.Assert(t, ok, qt.IsTrue)
}

func TestDataCentreLost(t *testing.T) {
	const nodes = 64
	n := joined(t, nodes)
	for i := range nodes {
		if i%4 == 2 {
			n.Kill(i)
		}
	}
	ok := n.Until(30*time.Second, 50*time.Millisecond, func() bool { return agreed(n, nodes) })
	qt.Assert(t, ok, qt.IsTrue)
}

func TestRegionsApartAndTogether(t *testing.T) {
	const nodes = 12
	n := joined(t, nodes)
	side := func(i int) bool { return i%4 < 2 }
	n.Cut(func(from, to int) bool { return side(from) != side(to) })
	n.Run(time.Hour)
	for i := range nodes {
		qt.Assert(t, len(member.Of(n.State(i)).Owners()), qt.Equals, nodes/2)
	}
	n.Cut(nil)
	healed := n.Since()
	ok := n.Until(time.Minute, 100*time.Millisecond, func() bool { return agreed(n, nodes) })
	qt.Assert(t, ok, qt.IsTrue)
	t.Logf("together again after %s", n.Since()-healed)
}

func TestSameSeedSameRun(t *testing.T) {
	a, b := joined(t, 16), joined(t, 16)
	qt.Assert(t, a.Since(), qt.Equals, b.Since())
	qt.Assert(t, a.Messages, qt.Equals, b.Messages)
	qt.Assert(t, a.Bytes, qt.Equals, b.Bytes)
}

// Measures the processor time and the messages of one node in one second when
// nothing happens.
func BenchmarkIdleNode(b *testing.B) {
	for _, nodes := range []int{4, 16, 64, 256, 400} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			n := joined(b, nodes)
			n.Run(10 * time.Second)
			messages, bytes, seconds := n.Messages, n.Bytes, 0
			for b.Loop() {
				n.Run(time.Second)
				seconds++
			}
			per := float64(seconds * nodes)
			b.ReportMetric(float64(b.Elapsed().Microseconds())/per, "us/node-second")
			b.ReportMetric(float64(n.Messages-messages)/per, "messages/node-second")
			b.ReportMetric(float64(n.Bytes-bytes)/per, "bytes/node-second")
		})
	}
}

// Two lists that differ by the same change to two members must not look alike.
func TestRosterTellsPairsOfChangesApart(t *testing.T) {
	const nodes = 4
	view := func(s wire.State) *member.View {
		n := link.New(config(nodes))
		news := []*wire.Member{
			{Id: link.ID(1), Centre: "dc-1", Incarnation: 9, State: s},
			{Id: link.ID(2), Centre: "dc-2", Incarnation: 9, State: s},
		}
		n.Give(0, kernel.Received{From: link.ID(3), Frame: &wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{News: news}}}})
		return member.Of(n.State(0))
	}
	qt.Assert(t, view(wire.State_ALIVE).Roster(), qt.Not(qt.Equals), view(wire.State_DEAD).Roster())
}
