package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/daemon"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/lease"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/place"
	"github.com/plantaindeck/plantaindeck/simnet"
	"github.com/plantaindeck/plantaindeck/table"
	"github.com/plantaindeck/plantaindeck/trace"
	"github.com/plantaindeck/plantaindeck/wire"
)

// placementNetwork is a simulated network with a server on each node. Nodes report their usage
// as Server.Run does.
type placementNetwork struct {
	*simnet.Network
	servers []*Server
}

func newPlacementNetwork(t *testing.T, nodes, engines int) *placementNetwork {
	n := &placementNetwork{Network: startNetwork(t, nodes, engines)}
	for i := range nodes {
		r := rand.New(rand.NewPCG(uint64(i), 2))
		n.servers = append(n.servers, &Server{cfg: Config{Centre: n.member(i).Self().GetCentre()}, usage: newUsageTracker(), placements: newPlacements(func(node string, f *wire.Frame) { n.sendDone(i, node, f.GetDone()) }), rand: r})
	}
	return n
}

func (n *placementNetwork) view(node int) *fleet.View    { return fleet.Of(n.State(node)) }
func (n *placementNetwork) member(node int) *member.View { return member.Of(n.State(node)) }

// sendDone delivers a Done.
func (n *placementNetwork) sendDone(from int, to string, done *wire.Done) {
	if i := n.number(to); n.Up(i) {
		n.servers[i].endHeld(n.Now(), simnet.ID(from), done)
	}
}

func (n *placementNetwork) number(id string) int {
	return slices.IndexFunc(n.servers, func(s *Server) bool { return simnet.ID(slices.Index(n.servers, s)) == id })
}

// run lets the nodes learn of each other's usage for a time.
func (n *placementNetwork) run(d time.Duration) {
	for end := n.Now().Add(d); n.Now().Before(end); n.Run(reportInterval) {
		for i, s := range n.servers {
			if !n.Up(i) {
				continue
			}
			s.expireHeld(n.Now(), n.member(i))
			if report, due := s.usageReport(n.Now()); due {
				n.Step(i, report)
			}
		}
	}
}

// place asks a node on behalf of another one.
func (n *placementNetwork) place(from, holder int, id string, tokens uint32) *wire.Placed {
	msg := &wire.Place{Request: id, Service: "model", Tokens: tokens, Prompt: 100, Priority: 2, Left: 20_000}
	return n.servers[holder].placeFor(n.Now(), n.view(holder), n.member(holder), simnet.ID(from), msg)
}

// usageAt returns what the servers count on an endpoint, all together.
func (n *placementNetwork) usageAt(id string) usage {
	var sum usage
	for i, s := range n.servers {
		if st, ok := s.usage.endpoints[id]; ok && n.Up(i) {
			sum.requests, sum.tokens, sum.prompt = sum.requests+st.requests, sum.tokens+st.tokens, sum.prompt+st.prompt
		}
	}
	return sum
}

// TestHerdOfAskers guards against more requests on engines that have just started than they have
// places, when the nodes of a full data centre ask for those of two others at once, and against
// places that stay free.
func TestHerdOfAskers(t *testing.T) {
	for _, tokens := range []uint32{100, 4000} {
		t.Run(fmt.Sprint(tokens, " tokens"), func(t *testing.T) {
			n := newPlacementNetwork(t, 33, 3)
			engines := n.view(0).Endpoints("model")
			places := min(24, int(place.MaxFillNew*34000)/int(tokens))
			r := rand.New(rand.NewPCG(3, 4))
			sel := selection{service: engineService, covering: fleet.CoveringOf(n.member(0))}
			groups := askableGroups(n.view(0), sel)
			for step := range 100 {
				for i := range 55 {
					from := 3 * (i % 11)
					asker := n.servers[from].placements.asker
					group, node, ok := asker.Choose(n.Now(), "model", groups, nil, r)
					if !ok {
						continue
					}
					placed := n.place(from, n.number(node), fmt.Sprint(step, "-", i), tokens)
					asker.Answered(n.Now(), "model", group.Name, node, placed.GetEndpoint() != "", 0)
				}
				n.run(reportInterval)
				for _, e := range engines[1:] {
					placed := n.usageAt(e.ID).requests
					qt.Assert(t, placed <= places, qt.IsTrue, qt.Commentf("%d requests at step %d", placed, step))
				}
			}
			for i, want := range []int{0, places, places} {
				qt.Assert(t, n.usageAt(engines[i].ID).requests, qt.Equals, want)
			}
		})
	}
}

// TestHeldUsage guards against leases that are lost or kept: the holder counts a request exactly
// until it ends, its asker dies, or its deadline passes.
func TestHeldUsage(t *testing.T) {
	const asker, holder, mate = 0, 1, 4
	for _, test := range []struct {
		name string
		end  func(n *placementNetwork)
	}{
		{"done", func(n *placementNetwork) {
			for range 2 {
				n.servers[holder].endHeld(n.Now(), simnet.ID(asker), &wire.Done{Request: "r"})
			}
		}},
		{"asker dies", func(n *placementNetwork) { n.Kill(asker); n.run(9 * time.Second) }},
		{"answer and done are lost", func(n *placementNetwork) { n.run(20 * time.Second) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := newPlacementNetwork(t, 33, 3)
			placed := n.place(asker, holder, "r", 1000)
			qt.Assert(t, placed.GetEndpoint(), qt.Equals, n.view(0).Endpoints("model")[1].ID)
			qt.Assert(t, n.place(asker, holder, "r", 1000).GetEndpoint(), qt.Equals, placed.GetEndpoint())
			n.run(time.Second)
			qt.Assert(t, n.usageAt(placed.GetEndpoint()), qt.Equals, usage{1, 1000, 100})
			qt.Assert(t, n.view(mate).RemoteUsage(placed.GetEndpoint()).Requests, qt.Equals, 1)
			for range 2 {
				n.servers[holder].endHeld(n.Now(), simnet.ID(asker), &wire.Done{Request: "r", First: true})
			}
			qt.Assert(t, n.usageAt(placed.GetEndpoint()), qt.Equals, usage{1, 1000, 0})
			test.end(n)
			qt.Assert(t, n.usageAt(placed.GetEndpoint()), qt.Equals, usage{})
		})
	}
}

// TestHolderDies guards against running requests that no node counts.
func TestHolderDies(t *testing.T) {
	const asker, holder = 0, 1
	n := newPlacementNetwork(t, 33, 3)
	placed := n.place(asker, holder, "r", 1000)
	p := &placement{id: "r", holder: simnet.ID(holder), endpoint: placed.GetEndpoint(), use: usage{1, 1000, 100}}
	n.servers[asker].placements.own["r"] = p
	n.Kill(holder)
	n.run(9 * time.Second)
	qt.Assert(t, n.usageAt(placed.GetEndpoint()), qt.Equals, usage{1, 1000, 100})
	g := &generation{server: n.servers[asker], placement: p}
	g.changeUsage(n.Now(), p.endpoint, usage{-1, -1000, -100})
	qt.Assert(t, n.usageAt(placed.GetEndpoint()), qt.Equals, usage{})
}

// TestGroupsAreAsked guards against blind choices: a node with a full load group chooses no
// endpoint of another one, and asks nodes of the groups that cover usable ones.
func TestGroupsAreAsked(t *testing.T) {
	n := newPlacementNetwork(t, 33, 3)
	view := n.view(0)
	sel := selection{service: engineService, maxFill: place.MaxFillNew, use: usage{requests: 1}, groupOnly: true, covering: fleet.CoveringOf(n.member(0))}
	own := view.Endpoints("model")[0].ID
	e, _, ok := n.servers[0].reserveEndpoint(n.Now(), view, sel)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, e.ID, qt.Equals, own)
	sel.avoid = []string{own}
	_, _, ok = n.servers[0].reserveEndpoint(n.Now(), view, sel)
	qt.Assert(t, ok, qt.IsFalse)
	for node := range 33 {
		inGroups := 0
		for _, g := range askableGroups(view, sel) {
			for _, id := range g.Nodes {
				if id == simnet.ID(node) {
					inGroups++
				}
			}
		}
		qt.Assert(t, inGroups, qt.Equals, min(node%3, 1), qt.Commentf("node %d", node))
	}
	s := n.servers[0]
	s.usage.setRest(view.Endpoints("model")[1].ID, n.Now().Add(time.Second))
	sel.avoid = s.usage.avoidWhenAsking(n.Now(), view, sel)
	qt.Assert(t, askableGroups(view, sel), qt.HasLen, 1)
}

// TestLateAnswer guards against leases of answers that no request waits for any more.
func TestLateAnswer(t *testing.T) {
	s := &Server{placements: newPlacements(nil)}
	a := pendingAsk{node: "b", answer: make(chan *wire.Placed, 1)}
	s.placements.asks["r"] = a
	placed := &wire.Placed{Request: "r", Endpoint: "e"}
	qt.Assert(t, s.isUnwanted("b", placed), qt.IsFalse)
	qt.Assert(t, <-a.answer, qt.Equals, placed)
	qt.Assert(t, s.isUnwanted("b", placed), qt.IsTrue)
	qt.Assert(t, s.isUnwanted("b", &wire.Placed{Request: "r"}), qt.IsFalse)
	s.placements.own["r"] = &placement{id: "r"}
	qt.Assert(t, s.isUnwanted("b", placed), qt.IsFalse)
	qt.Assert(t, lease.AnswerTimeout < lease.MaxAge, qt.IsTrue)
}

// TestAskPlacement guards against blind choices while other groups answer, against requests that
// fail when none does, and against leases of answers that are not used.
func TestAskPlacement(t *testing.T) {
	n := startNetwork(t, 33, 3)
	far := fleet.Of(n.State(0)).Endpoints("model")[1:]
	for _, test := range []struct {
		name     string
		answer   func(id string) *wire.Placed // nil for none
		places   int
		dones    int
		ownUsage usage
		held     bool
	}{
		{"placed", func(id string) *wire.Placed { return &wire.Placed{Request: id, Endpoint: far[0].ID} }, 1, 0, usage{}, true},
		{"full", func(id string) *wire.Placed { return &wire.Placed{Request: id, Wait: 500} }, 2, 0, usage{}, false},
		{"unknown endpoint", func(id string) *wire.Placed { return &wire.Placed{Request: id, Endpoint: "e"} }, 2, 2, usage{}, false},
		{"no answer", nil, 2, 2, usage{requests: 1, tokens: 100}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startFarServer(t, n)
			var sent []*wire.Frame
			s.placements.send = func(node string, f *wire.Frame) {
				sent = append(sent, f)
				if p := f.GetPlace(); p != nil && test.answer != nil {
					s.isUnwanted(node, test.answer(p.GetRequest()))
				}
			}
			sel := s.withinGroup(selection{service: engineService, maxFill: place.MaxFillNew, avoid: []string{"i-0000000000"}, use: usage{requests: 1, tokens: 100}})
			rr := &routedRequest{req: &Request{}, route: &table.Route{}, service: engineService, deadline: time.Now().Add(time.Minute)}
			e, p, ok := s.askPlacement(context.Background(), rr, sel)
			qt.Assert(t, ok, qt.Equals, test.held || test.ownUsage.requests > 0)
			qt.Assert(t, p != nil, qt.Equals, test.held)
			qt.Assert(t, s.usage.stats(e.ID).usage, qt.Equals, test.ownUsage)
			dones := slices.DeleteFunc(slices.Clone(sent), func(f *wire.Frame) bool { return f.GetDone() == nil })
			qt.Assert(t, dones, qt.HasLen, test.dones)
			qt.Assert(t, sent, qt.HasLen, test.places+test.dones)
			if test.held { // as when the process is paused before it sends the request
				g := &generation{server: s, routed: rr, placement: p, tokens: 100}
				qt.Assert(t, g.endStalePlacement(p.answeredAt.Add(lease.MaxAge-1)), qt.IsFalse)
				qt.Assert(t, g.endStalePlacement(p.answeredAt.Add(lease.MaxAge)), qt.IsTrue)
				qt.Assert(t, sent[len(sent)-1].GetDone().GetRequest(), qt.Equals, p.id)
			}
			qt.Assert(t, s.placements.own, qt.HasLen, 0)
		})
	}
}

// startFarServer returns a server whose daemon knows what the first node of a network does.
func startFarServer(t *testing.T, n *simnet.Network) *Server {
	d, err := daemon.New(context.Background(), daemon.Config{Self: &wire.Member{Id: "127.0.0.1:0", Centre: "dc-0"}, Trace: trace.NewRecorder("n", 8), Metrics: metrics.NewSet()})
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		qt.Assert(t, <-done, qt.IsNil)
	})
	var members []*wire.Member
	for _, p := range member.Of(n.State(0)).Peers() {
		members = append(members, p.Member)
	}
	d.Post(ctx, kernel.FrameReceived{From: simnet.ID(1), Frame: &wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{News: members}}}})
	d.Post(ctx, learnedItems(t, 3, func(i int) string { return fmt.Sprintf("dc-%d", i) }))
	for len(fleet.Of(d.State()).LoadGroup().Nodes()) != 12 || !fleet.Of(d.State()).Ready() {
		time.Sleep(time.Millisecond)
	}
	return New(Config{Daemon: d, Centre: "dc-0", Seed: 1})
}
