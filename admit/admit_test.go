package admit_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/admit"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/owner"
	"github.com/plantaindeck/plantaindeck/policy"
	"github.com/plantaindeck/plantaindeck/route"
	"github.com/plantaindeck/plantaindeck/simnet"
	"github.com/plantaindeck/plantaindeck/spec"
)

// documentSize describes a document with one service: its number of engines,
// the memory, in tokens, and the slots of each engine, and its number of
// workspaces.
type documentSize struct {
	engines, workspaces, memory, slots int
}

func document(t testing.TB, size documentSize, number uint64) kernel.DocumentRead {
	t.Helper()
	var b strings.Builder
	fmt.Fprint(&b, "team: t\nservices:\n  - name: llm\n    kind: model\n    models: [{name: m}]\n    classes:\n")
	fmt.Fprint(&b, "      - {name: low, priority: 10}\n      - {name: high, priority: 90}\n    endpoints:\n")
	for i := range size.engines {
		fmt.Fprintf(&b, "      - {name: e%d, addr: \"10.9.%d.%d:80\", centre: dc-%d, memory: %d, slots: %d}\n", i, i/250, i%250, i%4, size.memory, size.slots)
	}
	fmt.Fprint(&b, "workspaces:\n")
	for i := range size.workspaces {
		fmt.Fprintf(&b, "  - {name: w%d, share: 1, services: [llm], keys: [%q]}\n", i, spec.HashKey(fmt.Sprint("key", i)))
	}
	doc, err := spec.Parse([]byte(b.String()))
	qt.Assert(t, err, qt.IsNil)
	body, err := spec.Encode(doc)
	qt.Assert(t, err, qt.IsNil)
	return kernel.DocumentRead{Document: kernel.Revision{Team: "t", Number: number, Body: body, Doc: doc}}
}

// network is a simulated network that records the decisions of its nodes.
type network struct {
	*simnet.Network
	granted         map[string]kernel.Grant // last Grant, by request
	grantCount      map[string]int          // number of Grants, by request
	rejected        map[string]kernel.Reject
	documentReaders map[int]bool // nodes that read the key-value service
}

func newNetwork(t testing.TB, nodes int, size documentSize) *network {
	t.Helper()
	net := &network{granted: map[string]kernel.Grant{}, grantCount: map[string]int{}, rejected: map[string]kernel.Reject{}, documentReaders: map[int]bool{}}
	cfg := simnet.Config{Nodes: nodes, Centres: 4, Seed: 3, MinDelay: time.Millisecond, Jitter: time.Millisecond}
	cfg.OnEffect = net.effect
	net.Network = simnet.New(cfg)
	for i := range nodes {
		net.Step(i, document(t, size, 1))
	}
	ok := net.RunUntil(20*time.Second, 100*time.Millisecond, func() bool {
		for i := range nodes {
			if len(member.Of(net.State(i)).Owners()) != nodes {
				return false
			}
		}
		return true
	})
	qt.Assert(t, ok, qt.IsTrue)
	return net
}

func (net *network) effect(node int, _ time.Time, f kernel.Effect) []kernel.Event {
	switch f := f.(type) {
	case kernel.Grant:
		net.granted[f.Request] = f
		net.grantCount[f.Request]++
	case kernel.Reject:
		net.rejected[f.Request] = f
	case kernel.ReadDocuments:
		net.documentReaders[node] = true
		return []kernel.Event{kernel.ReadDocumentsEnded{Failed: true}}
	case kernel.WatchLoad:
		return net.loadReports(f)
	}
	return nil
}

// loadReports returns the load reports of the watched engines. They count every
// request that was granted the engine, also those that have ended.
func (net *network) loadReports(f kernel.WatchLoad) []kernel.Event {
	var events []kernel.Event
	for _, t := range f.Endpoints {
		running := 0
		for _, g := range net.granted {
			if g.Endpoint == t.Endpoint {
				running++
			}
		}
		events = append(events, kernel.LoadRead{Service: t.Service, Endpoint: t.Endpoint, Load: kernel.EngineLoad{Running: running}})
	}
	return events
}

// arrive makes a request of workspace w0 arrive at a node. Its deadline is wait
// from now.
func (net *network) arrive(node int, id, class string, wait time.Duration) {
	net.arriveFrom("w0", node, id, class, wait)
}

func (net *network) arriveFrom(workspace string, node int, id, class string, wait time.Duration) {
	net.Step(node, kernel.RequestArrived{Request: kernel.Request{
		ID: id, Service: "llm", Workspace: workspace, Class: class, Model: "m", PromptTokens: 100, MaxOutputTokens: 1000, Deadline: net.Now().Add(wait),
	}})
}

// owner returns the index of the node that owns the only shard, as node 0 sees
// it.
func (net *network) owner() int {
	first, _ := owner.Pick("llm/0", member.Of(net.State(0)).Owners())
	for i := 0; ; i++ {
		if simnet.ID(i) == first {
			return i
		}
	}
}

// nonOwner returns the index of a node that does not own the only shard, in a
// network of four.
func (net *network) nonOwner() int {
	return (net.owner() + 1) % 4
}

func TestSlotsAreNeverExceeded(t *testing.T) {
	net := newNetwork(t, 4, documentSize{engines: 2, workspaces: 1, memory: 1 << 20, slots: 3})
	for i := range 20 {
		net.arrive(i%4, fmt.Sprint("r", i), "low", time.Minute)
	}
	net.Run(time.Second)
	qt.Assert(t, len(net.granted), qt.Equals, 6)
	for id, g := range net.granted {
		net.Step(nodeOf(id), kernel.RequestEnded{Request: id, Tokens: 5})
		qt.Assert(t, g.Addr, qt.Not(qt.Equals), "")
		break
	}
	net.Run(time.Second)
	qt.Assert(t, len(net.granted), qt.Equals, 7)
}

// nodeOf returns the index of the node at which a request such as r7 arrived, in
// a network of four.
func nodeOf(id string) int {
	var n int
	_, _ = fmt.Sscanf(id, "r%d", &n)
	return n % 4
}

func TestExpectedMemoryIsReserved(t *testing.T) {
	// Before any request has ended, each is expected to hold 100 prompt tokens and
	// 0.8 of 256 output tokens.
	net := newNetwork(t, 4, documentSize{engines: 1, workspaces: 1, memory: 1000, slots: 50})
	for i := range 10 {
		net.arrive(0, fmt.Sprint("r", i), "low", time.Minute)
	}
	net.Run(time.Second)
	qt.Assert(t, len(net.granted), qt.Equals, 3)
	slots, memory := admit.Of(net.State(net.owner())).Shards()["llm/0"].Used("e0")
	qt.Assert(t, slots, qt.Equals, 3)
	qt.Assert(t, memory, qt.Equals, 914)
}

func TestHigherPriorityGoesFirst(t *testing.T) {
	net := newNetwork(t, 4, documentSize{engines: 1, workspaces: 1, memory: 1 << 20, slots: 1})
	net.arrive(0, "running", "low", time.Minute)
	net.Run(time.Second)
	net.arrive(1, "report", "low", time.Minute)
	net.Run(time.Second)
	net.arrive(2, "lookup", "high", time.Minute)
	net.Run(time.Second)
	net.Step(0, kernel.RequestEnded{Request: "running"})
	net.Run(time.Second)
	qt.Assert(t, net.grantCount["lookup"], qt.Equals, 1)
	qt.Assert(t, net.grantCount["report"], qt.Equals, 0)
}

// TestWorkspacesShare checks that a workspace with one request does not wait for
// all the queued requests of a workspace that sends many.
func TestWorkspacesShare(t *testing.T) {
	net := newNetwork(t, 4, documentSize{engines: 1, workspaces: 2, memory: 1 << 20, slots: 1})
	net.arrive(0, "running", "low", time.Hour)
	net.Run(2 * time.Second)
	for i := range 10 {
		net.arriveFrom("w0", 0, fmt.Sprint("heavy", i), "low", time.Hour)
	}
	net.Run(time.Second)
	net.arriveFrom("w1", 1, "light", "low", time.Hour)
	net.Run(time.Second)
	last := "running"
	for range 2 {
		net.Step(0, kernel.RequestEnded{Request: last, Tokens: 256})
		net.Run(500 * time.Millisecond)
		for id := range net.granted {
			if strings.HasPrefix(id, "heavy") {
				last = id
			}
		}
	}
	qt.Assert(t, net.grantCount["light"], qt.Equals, 1, qt.Commentf("granted %v", net.granted))
}

// TestOverloadIsShedEarly checks that requests that would not be granted before
// their deadline are rejected well before it, with a retry delay, and that only
// requests of the workspace that is over its share are rejected.
func TestOverloadIsShedEarly(t *testing.T) {
	const wait = 20 * time.Second
	net := newNetwork(t, 4, documentSize{engines: 1, workspaces: 2, memory: 1 << 20, slots: 1})
	net.arrive(0, "r0", "low", wait)
	net.Run(2 * time.Second)
	ended := map[string]bool{}
	// Each half second one slot becomes free and at least three requests arrive.
	for i := range 20 {
		for k := range 3 {
			net.arriveFrom("w0", 0, fmt.Sprintf("heavy%d-%d", i, k), "low", wait)
		}
		if i%4 == 0 {
			net.arriveFrom("w1", 0, fmt.Sprint("light", i), "low", wait)
		}
		net.Run(500 * time.Millisecond)
		for id := range net.granted {
			if !ended[id] {
				ended[id] = true
				net.Step(0, kernel.RequestEnded{Request: id, Tokens: 256})
			}
		}
	}
	shed := 0
	for id, r := range net.rejected {
		qt.Assert(t, r.Reason, qt.Equals, kernel.ReasonOverload, qt.Commentf("%s", id))
		qt.Assert(t, r.RetryAfter >= time.Second, qt.IsTrue)
		qt.Assert(t, strings.HasPrefix(id, "heavy"), qt.IsTrue, qt.Commentf("%s is within its share", id))
		shed++
	}
	qt.Assert(t, shed > 0, qt.IsTrue)
	qt.Assert(t, net.Elapsed() < wait, qt.IsTrue, qt.Commentf("requests must be shed before the first deadline"))
}

func TestNoClassStarves(t *testing.T) {
	net := newNetwork(t, 4, documentSize{engines: 1, workspaces: 1, memory: 1 << 20, slots: 1})
	net.arrive(0, "h0", "high", time.Hour)
	net.Run(2 * time.Second)
	net.arrive(0, "report", "low", time.Hour)
	for i := range 60 {
		net.arrive(0, fmt.Sprint("h", i+1), "high", time.Hour)
		net.Run(500 * time.Millisecond)
		net.Step(0, kernel.RequestEnded{Request: fmt.Sprint("h", i), Tokens: 10})
		if net.grantCount["report"] == 1 {
			return
		}
	}
	t.Fatal("the low-priority request was not granted within 60 others")
}

func TestDeadlineRejects(t *testing.T) {
	net := newNetwork(t, 4, documentSize{engines: 1, workspaces: 1, memory: 1 << 20, slots: 1})
	net.arrive(0, "running", "low", time.Minute)
	net.Run(time.Second)
	net.arrive(1, "late", "low", 2*time.Second)
	net.Run(3 * time.Second)
	qt.Assert(t, net.rejected["late"].Reason, qt.Equals, kernel.ReasonDeadline)
	qt.Assert(t, net.grantCount["late"], qt.Equals, 0)
}

func TestOwnerLost(t *testing.T) {
	for _, how := range []string{"killed", "paused", "left"} {
		t.Run(how, func(t *testing.T) {
			net := newNetwork(t, 4, documentSize{engines: 1, workspaces: 1, memory: 1 << 20, slots: 2})
			old, entry := net.owner(), net.nonOwner()
			net.arrive(entry, "a", "low", time.Minute)
			net.arrive(entry, "b", "low", time.Minute)
			net.arrive(entry, "c", "low", time.Minute)
			net.Run(time.Second)
			qt.Assert(t, len(net.granted), qt.Equals, 2)
			switch how {
			case "killed":
				net.Kill(old)
			case "paused":
				net.Pause(old)
			case "left":
				net.Step(old, kernel.Stopping{})
			}
			net.Run(10 * time.Second)
			current := net.owner()
			if how != "left" {
				current = ownerSeenBy(net, entry)
			}
			qt.Assert(t, current, qt.Not(qt.Equals), old)
			sh := admit.Of(net.State(current)).Shards()["llm/0"]
			qt.Assert(t, sh.Granted(), qt.Equals, 2, qt.Commentf("the new owner must learn of the running requests"))
			qt.Assert(t, sh.Waiting(), qt.Equals, 1)
			net.Step(entry, kernel.RequestEnded{Request: "a"})
			net.Run(time.Second)
			qt.Assert(t, net.grantCount["c"], qt.Equals, 1)
			if how == "paused" {
				net.Resume(old)
				net.Run(20 * time.Second)
				qt.Assert(t, net.grantCount["c"], qt.Equals, 1, qt.Commentf("a request with two owners must be granted once"))
				qt.Assert(t, route.Of(net.State(entry)).Running(), qt.Equals, 2)
			}
		})
	}
}

// TestOwnerRestartsAtItsAddress checks that the grants of a restarted owner,
// whose numbers start again at 1, are not mistaken for those of its earlier
// incarnation.
func TestOwnerRestartsAtItsAddress(t *testing.T) {
	net := newNetwork(t, 4, documentSize{engines: 1, workspaces: 1, memory: 1 << 20, slots: 8})
	old, entry := net.owner(), net.nonOwner()
	for i := range 3 {
		net.arrive(entry, fmt.Sprint("a", i), "low", time.Minute)
	}
	net.Run(2 * time.Second)
	net.Kill(old)
	net.Run(200 * time.Millisecond)
	net.Restart(old)
	net.arrive(entry, "b", "low", time.Minute)
	net.Run(15 * time.Second)
	qt.Assert(t, net.owner(), qt.Equals, old, qt.Commentf("the restarted node owns the shard again"))
	sh := admit.Of(net.State(old)).Shards()["llm/0"]
	qt.Assert(t, sh.Granted(), qt.Equals, 4)
	slots, _ := sh.Used("e0")
	qt.Assert(t, slots, qt.Equals, 4)
	for i := range 3 {
		net.Step(entry, kernel.RequestEnded{Request: fmt.Sprint("a", i)})
	}
	net.Run(time.Second)
	qt.Assert(t, admit.Of(net.State(old)).Shards()["llm/0"].Granted(), qt.Equals, 1)
}

// ownerSeenBy returns the index of the node that owns the only shard, as the
// given node sees it.
func ownerSeenBy(net *network, node int) int {
	first, _ := owner.Pick("llm/0", member.Of(net.State(node)).Owners())
	for i := 0; ; i++ {
		if simnet.ID(i) == first {
			return i
		}
	}
}

func TestLostEntryNodeFreesItsGrants(t *testing.T) {
	net := newNetwork(t, 4, documentSize{engines: 1, workspaces: 1, memory: 1 << 20, slots: 1})
	net.arrive(net.nonOwner(), "a", "low", time.Minute)
	net.Run(time.Second)
	net.Kill(net.nonOwner())
	net.arrive(net.owner(), "b", "low", time.Minute)
	net.Run(8 * time.Second)
	qt.Assert(t, net.grantCount["b"], qt.Equals, 1)
}

func TestLostMessagesOnlyDelay(t *testing.T) {
	net := newNetwork(t, 4, documentSize{engines: 2, workspaces: 1, memory: 1 << 20, slots: 4})
	n := 0
	net.Partition(func(int, int) bool { n++; return n%3 == 0 })
	for i := range 8 {
		net.arrive(i%4, fmt.Sprint("r", i), "low", time.Minute)
	}
	net.Run(20 * time.Second)
	qt.Assert(t, len(net.granted), qt.Equals, 8)
	for id, count := range net.grantCount {
		qt.Assert(t, count, qt.Equals, 1, qt.Commentf("%s", id))
	}
}

func TestLeavingEndpointGetsNothingNew(t *testing.T) {
	const limit = 3 * time.Second
	tests := []struct {
		name   string
		notify func(net *network)
	}{
		{"self-reported leaving", func(net *network) {
			net.Step(net.owner(), kernel.LoadRead{Service: "llm", Endpoint: "e0", Load: kernel.EngineLoad{Leaving: true}})
		}},
		{"list of leaving hosts", func(net *network) {
			net.Step(net.owner(), kernel.HostsListed{Leaving: []string{"10.9.0.0"}})
		}},
		{"rejected request", func(net *network) {
			for id, g := range net.granted {
				if g.Endpoint == "e0" {
					net.Step(nodeOf(id), kernel.RequestEnded{Request: id, Failed: true, Leaving: true})
					return
				}
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			net := newNetwork(t, 4, documentSize{engines: 2, workspaces: 1, memory: 1 << 20, slots: 8})
			for i := range 8 {
				net.arrive(i%4, fmt.Sprint("r", i), "low", time.Minute)
			}
			net.Run(time.Second)
			test.notify(net)
			net.Run(limit)
			for i := 8; i < 12; i++ {
				id := fmt.Sprint("r", i)
				net.arrive(i%4, id, "low", time.Minute)
				net.Run(time.Second)
				qt.Assert(t, net.granted[id].Endpoint, qt.Equals, "e1")
			}
		})
	}
}

func TestDocumentReachesEveryNode(t *testing.T) {
	const limit = 4 * time.Second
	for _, nodes := range []int{4, 64} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			net := newNetwork(t, nodes, documentSize{engines: 1, workspaces: 10, memory: 1000, slots: 1})
			inForce := func(number uint64) func() bool {
				return func() bool {
					for i := range nodes {
						if r, _ := policy.Of(net.State(i)).Revision("t"); net.Up(i) && r.Number < number {
							return false
						}
					}
					return true
				}
			}
			at := net.Elapsed()
			net.Step(nodes/2, document(t, documentSize{engines: 1, workspaces: 11, memory: 1000, slots: 1}, 2))
			qt.Assert(t, net.RunUntil(limit, 10*time.Millisecond, inForce(2)), qt.IsTrue)
			t.Logf("in force on %d nodes after %s", nodes, net.Elapsed()-at)

			t.Run("an older revision changes nothing", func(t *testing.T) {
				net.Step(1, document(t, documentSize{engines: 1, workspaces: 10, memory: 1000, slots: 1}, 1))
				net.Run(5 * time.Second)
				qt.Assert(t, inForce(2)(), qt.IsTrue)
			})
			t.Run("a restarted node learns it from peers without the key-value service", func(t *testing.T) {
				net.Kill(1)
				net.Run(time.Second)
				net.Restart(1)
				qt.Assert(t, policy.Of(net.State(1)).Ready(), qt.IsFalse, qt.Commentf("a node without documents must not be ready"))
				qt.Assert(t, net.RunUntil(2*limit, 10*time.Millisecond, inForce(2)), qt.IsTrue)
				qt.Assert(t, policy.Of(net.State(1)).Ready(), qt.IsTrue)
			})
		})
	}
}

// BenchmarkRequest measures the cost of a request, from its arrival to its end,
// on a node that also owns its shard, while a number of others run.
func BenchmarkRequest(b *testing.B) {
	for _, spaces := range []int{10, 100, 2600} {
		for _, engines := range []int{12, 730} {
			for _, running := range []int{0, 160} {
				b.Run(fmt.Sprintf("spaces=%d/engines=%d/running=%d", spaces, engines, running), func(b *testing.B) {
					net := newNetwork(b, 1, documentSize{engines: engines, workspaces: spaces, memory: 1 << 20, slots: 256})
					for i := range max(running, 100) {
						net.arrive(0, fmt.Sprint("r", i), "low", time.Hour)
					}
					net.Run(2 * time.Second)
					for i := running; i < 100; i++ {
						net.Step(0, kernel.RequestEnded{Request: fmt.Sprint("r", i)})
					}
					b.ReportAllocs()
					n := 0
					for b.Loop() {
						id := fmt.Sprint("b", n)
						n++
						net.arrive(0, id, "low", time.Hour)
						net.Step(0, kernel.RequestEnded{Request: id, Tokens: 100})
					}
					qt.Assert(b, net.grantCount["b0"], qt.Equals, 1)
				})
			}
		}
	}
}

// BenchmarkTick measures the cost of one Tick with a number of requests running.
func BenchmarkTick(b *testing.B) {
	for _, running := range []int{0, 160, 1600} {
		b.Run(fmt.Sprintf("running=%d", running), func(b *testing.B) {
			net := newNetwork(b, 1, documentSize{engines: 16, workspaces: 10, memory: 1 << 20, slots: 256})
			for i := range running {
				net.arrive(0, fmt.Sprint("r", i), "low", time.Hour)
			}
			net.Run(2 * time.Second)
			b.ReportAllocs()
			for b.Loop() {
				net.Run(kernel.TickInterval)
			}
		})
	}
}

// BenchmarkDocumentMemory measures the heap memory of a node with one document.
func BenchmarkDocumentMemory(b *testing.B) {
	for _, spaces := range []int{10, 2600} {
		b.Run(fmt.Sprintf("spaces=%d", spaces), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				net := newNetwork(b, 1, documentSize{engines: 30, workspaces: spaces, memory: 1000, slots: 1})
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(net)
			}
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)), "heap-bytes")
		})
	}
}
