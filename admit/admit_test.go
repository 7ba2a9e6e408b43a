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
	"github.com/plantaindeck/plantaindeck/link"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/owner"
	"github.com/plantaindeck/plantaindeck/policy"
	"github.com/plantaindeck/plantaindeck/route"
	"github.com/plantaindeck/plantaindeck/spec"
)

// shape is the size of a document.
type shape struct {
	engines, spaces, memory, slots int
}

func document(t testing.TB, s shape, number uint64) kernel.DocumentRead {
	t.Helper()
	var b strings.Builder
	fmt.Fprint(&b, "team: t\nservices:\n  - name: llm\n    kind: model\n    models: [{name: m}]\n    classes:\n")
	fmt.Fprint(&b, "      - {name: low, priority: 10}\n      - {name: high, priority: 90}\n    endpoints:\n")
	for i := range s.engines {
		fmt.Fprintf(&b, "      - {name: e%d, addr: \"10.9.%d.%d:80\", centre: dc-%d, memory: %d, slots: %d}\n", i, i/250, i%250, i%4, s.memory, s.slots)
	}
	fmt.Fprint(&b, "workspaces:\n")
	for i := range s.spaces {
		fmt.Fprintf(&b, "  - {name: w%d, share: 1, services: [llm], keys: [%q]}\n", i, spec.HashKey(fmt.Sprint("key", i)))
	}
	doc, err := spec.Parse([]byte(b.String()))
	qt.Assert(t, err, qt.IsNil)
	body, err := spec.Encode(doc)
	qt.Assert(t, err, qt.IsNil)
	return kernel.DocumentRead{Document: kernel.Revision{Team: "t", Number: number, Body: body, Doc: doc}}
}

// world is a network of nodes with a record of what they decided.
type world struct {
	*link.Net
	placed   map[string]kernel.Place
	places   map[string]int // places by request
	rejected map[string]kernel.Reject
	readers  map[int]bool // nodes that read the key-value service
}

func newWorld(t testing.TB, nodes int, s shape) *world {
	t.Helper()
	w := &world{placed: map[string]kernel.Place{}, places: map[string]int{}, rejected: map[string]kernel.Reject{}, readers: map[int]bool{}}
	cfg := link.Config{Nodes: nodes, Centres: 4, Seed: 3, Delay: time.Millisecond, Jitter: time.Millisecond}
	cfg.Effect = w.effect
	w.Net = link.New(cfg)
	for i := range nodes {
		w.Give(i, document(t, s, 1))
	}
	ok := w.Until(20*time.Second, 100*time.Millisecond, func() bool {
		for i := range nodes {
			if len(member.Of(w.State(i)).Owners()) != nodes {
				return false
			}
		}
		return true
	})
	qt.Assert(t, ok, qt.IsTrue)
	return w
}

func (w *world) effect(node int, _ time.Time, f kernel.Effect) []kernel.Event {
	switch f := f.(type) {
	case kernel.Place:
		w.placed[f.Request] = f
		w.places[f.Request]++
	case kernel.Reject:
		w.rejected[f.Request] = f
	case kernel.ReadStore:
		w.readers[node] = true
		return []kernel.Event{kernel.StoreRead{Failed: true}}
	case kernel.Watch:
		return w.loads(f)
	}
	return nil
}

// Returns what the engines report: the places that have not ended.
func (w *world) loads(f kernel.Watch) []kernel.Event {
	var events []kernel.Event
	for _, t := range f.Endpoints {
		running := 0
		for _, p := range w.placed {
			if p.Endpoint == t.Endpoint {
				running++
			}
		}
		events = append(events, kernel.LoadRead{Service: t.Service, Endpoint: t.Endpoint, Load: kernel.Load{Running: running}})
	}
	return events
}

// Lets a request of the workspace w0 arrive at a node.
func (w *world) arrive(node int, id, class string, wait time.Duration) {
	w.arriveFrom("w0", node, id, class, wait)
}

func (w *world) arriveFrom(space string, node int, id, class string, wait time.Duration) {
	w.Give(node, kernel.Arrived{Request: kernel.Request{
		ID: id, Service: "llm", Workspace: space, Class: class, Model: "m", Prompt: 100, Limit: 1000, Deadline: w.Now().Add(wait),
	}})
}

// Returns the owner of the only shard.
func (w *world) owner() int {
	first, _ := owner.Pick("llm/0", member.Of(w.State(0)).Owners())
	for i := 0; ; i++ {
		if link.ID(i) == first {
			return i
		}
	}
}

// Returns a node that does not own the only shard.
func (w *world) other() int {
	return (w.owner() + 1) % 4
}

func TestSlotsAreNeverExceeded(t *testing.T) {
	w := newWorld(t, 4, shape{engines: 2, spaces: 1, memory: 1 << 20, slots: 3})
	for i := range 20 {
		w.arrive(i%4, fmt.Sprint("r", i), "low", time.Minute)
	}
	w.Run(time.Second)
	qt.Assert(t, len(w.placed), qt.Equals, 6)
	for id, p := range w.placed {
		w.Give(nodeOf(id), kernel.Ended{Request: id, Tokens: 5})
		qt.Assert(t, p.Addr, qt.Not(qt.Equals), "")
		break
	}
	w.Run(time.Second)
	qt.Assert(t, len(w.placed), qt.Equals, 7)
}

// Returns the node at which a request such as r7 arrived.
func nodeOf(id string) int {
	var n int
	_, _ = fmt.Sscanf(id, "r%d", &n)
	return n % 4
}

func TestMemoryIsKeptForWhatIsExpected(t *testing.T) {
	// Without experience each request is expected to hold 100 tokens of prompt
	// and 0.8 of 256 of output at a time.
	w := newWorld(t, 4, shape{engines: 1, spaces: 1, memory: 1000, slots: 50})
	for i := range 10 {
		w.arrive(0, fmt.Sprint("r", i), "low", time.Minute)
	}
	w.Run(time.Second)
	qt.Assert(t, len(w.placed), qt.Equals, 3)
	slots, memory := admit.Of(w.State(w.owner())).Shards()["llm/0"].Used("e0")
	qt.Assert(t, slots, qt.Equals, 3)
	qt.Assert(t, memory, qt.Equals, 914)
}

func TestHigherPriorityGoesFirst(t *testing.T) {
	w := newWorld(t, 4, shape{engines: 1, spaces: 1, memory: 1 << 20, slots: 1})
	w.arrive(0, "running", "low", time.Minute)
	w.Run(time.Second)
	w.arrive(1, "report", "low", time.Minute)
	w.Run(time.Second)
	w.arrive(2, "lookup", "high", time.Minute)
	w.Run(time.Second)
	w.Give(0, kernel.Ended{Request: "running"})
	w.Run(time.Second)
	qt.Assert(t, w.places["lookup"], qt.Equals, 1)
	qt.Assert(t, w.places["report"], qt.Equals, 0)
}

// A workspace that sends much waits behind one that sends little.
func TestWorkspacesShare(t *testing.T) {
	w := newWorld(t, 4, shape{engines: 1, spaces: 2, memory: 1 << 20, slots: 1})
	w.arrive(0, "running", "low", time.Hour)
	w.Run(2 * time.Second)
	for i := range 10 {
		w.arriveFrom("w0", 0, fmt.Sprint("heavy", i), "low", time.Hour)
	}
	w.Run(time.Second)
	w.arriveFrom("w1", 1, "light", "low", time.Hour)
	w.Run(time.Second)
	last := "running"
	for range 2 {
		w.Give(0, kernel.Ended{Request: last, Tokens: 256})
		w.Run(500 * time.Millisecond)
		for id := range w.placed {
			if strings.HasPrefix(id, "heavy") {
				last = id
			}
		}
	}
	qt.Assert(t, w.places["light"], qt.Equals, 1, qt.Commentf("placed %v", w.placed))
}

// Requests that cannot get a place before their deadline are refused at once,
// with a time to come back, and first those of the workspace that sends most.
func TestOverloadIsShedEarly(t *testing.T) {
	const wait = 20 * time.Second
	w := newWorld(t, 4, shape{engines: 1, spaces: 2, memory: 1 << 20, slots: 1})
	w.arrive(0, "r0", "low", wait)
	w.Run(2 * time.Second)
	ended := map[string]bool{}
	// One place is free each half second, and three requests come for it.
	for i := range 20 {
		for k := range 3 {
			w.arriveFrom("w0", 0, fmt.Sprintf("heavy%d-%d", i, k), "low", wait)
		}
		if i%4 == 0 {
			w.arriveFrom("w1", 0, fmt.Sprint("light", i), "low", wait)
		}
		w.Run(500 * time.Millisecond)
		for id := range w.placed {
			if !ended[id] {
				ended[id] = true
				w.Give(0, kernel.Ended{Request: id, Tokens: 256})
			}
		}
	}
	shed := 0
	for id, r := range w.rejected {
		qt.Assert(t, r.Reason, qt.Equals, kernel.ReasonOverload, qt.Commentf("%s", id))
		qt.Assert(t, r.Retry >= time.Second, qt.IsTrue)
		qt.Assert(t, strings.HasPrefix(id, "heavy"), qt.IsTrue, qt.Commentf("%s is within its share", id))
		shed++
	}
	qt.Assert(t, shed > 0, qt.IsTrue)
	qt.Assert(t, w.Since() < wait, qt.IsTrue, qt.Commentf("nothing has reached its deadline yet"))
}

func TestNoClassStarves(t *testing.T) {
	w := newWorld(t, 4, shape{engines: 1, spaces: 1, memory: 1 << 20, slots: 1})
	w.arrive(0, "h0", "high", time.Hour)
	w.Run(2 * time.Second)
	w.arrive(0, "report", "low", time.Hour)
	for i := range 60 {
		w.arrive(0, fmt.Sprint("h", i+1), "high", time.Hour)
		w.Run(500 * time.Millisecond)
		w.Give(0, kernel.Ended{Request: fmt.Sprint("h", i), Tokens: 10})
		if w.places["report"] == 1 {
			return
		}
	}
	t.Fatal("the report starved")
}

func TestDeadlineRejects(t *testing.T) {
	w := newWorld(t, 4, shape{engines: 1, spaces: 1, memory: 1 << 20, slots: 1})
	w.arrive(0, "running", "low", time.Minute)
	w.Run(time.Second)
	w.arrive(1, "late", "low", 2*time.Second)
	w.Run(3 * time.Second)
	qt.Assert(t, w.rejected["late"].Reason, qt.Equals, kernel.ReasonDeadline)
	qt.Assert(t, w.places["late"], qt.Equals, 0)
}

func TestOwnerLost(t *testing.T) {
	for _, how := range []string{"killed", "paused", "left"} {
		t.Run(how, func(t *testing.T) {
			w := newWorld(t, 4, shape{engines: 1, spaces: 1, memory: 1 << 20, slots: 2})
			old, entry := w.owner(), w.other()
			w.arrive(entry, "a", "low", time.Minute)
			w.arrive(entry, "b", "low", time.Minute)
			w.arrive(entry, "c", "low", time.Minute)
			w.Run(time.Second)
			qt.Assert(t, len(w.placed), qt.Equals, 2)
			switch how {
			case "killed":
				w.Kill(old)
			case "paused":
				w.Pause(old)
			case "left":
				w.Give(old, kernel.Stopping{})
			}
			w.Run(10 * time.Second)
			next := w.owner()
			if how != "left" {
				next = ownerSeenBy(w, entry)
			}
			qt.Assert(t, next, qt.Not(qt.Equals), old)
			sh := admit.Of(w.State(next)).Shards()["llm/0"]
			qt.Assert(t, sh.Granted(), qt.Equals, 2, qt.Commentf("the new owner must learn of the running requests"))
			qt.Assert(t, sh.Waiting(), qt.Equals, 1)
			w.Give(entry, kernel.Ended{Request: "a"})
			w.Run(time.Second)
			qt.Assert(t, w.places["c"], qt.Equals, 1)
			if how == "paused" {
				w.Resume(old)
				w.Run(20 * time.Second)
				qt.Assert(t, w.places["c"], qt.Equals, 1, qt.Commentf("two owners must not give a request two places"))
				qt.Assert(t, route.Of(w.State(entry)).Running(), qt.Equals, 2)
			}
		})
	}
}

// The numbers of a restarted owner's grants start again, and must not be taken
// for those of its earlier life.
func TestOwnerRestartsAtItsAddress(t *testing.T) {
	w := newWorld(t, 4, shape{engines: 1, spaces: 1, memory: 1 << 20, slots: 8})
	old, entry := w.owner(), w.other()
	for i := range 3 {
		w.arrive(entry, fmt.Sprint("a", i), "low", time.Minute)
	}
	w.Run(2 * time.Second)
	w.Kill(old)
	w.Run(200 * time.Millisecond)
	w.Restart(old)
	w.arrive(entry, "b", "low", time.Minute)
	w.Run(15 * time.Second)
	qt.Assert(t, w.owner(), qt.Equals, old, qt.Commentf("the restarted node owns the shard again"))
	sh := admit.Of(w.State(old)).Shards()["llm/0"]
	qt.Assert(t, sh.Granted(), qt.Equals, 4)
	slots, _ := sh.Used("e0")
	qt.Assert(t, slots, qt.Equals, 4)
	for i := range 3 {
		w.Give(entry, kernel.Ended{Request: fmt.Sprint("a", i)})
	}
	w.Run(time.Second)
	qt.Assert(t, admit.Of(w.State(old)).Shards()["llm/0"].Granted(), qt.Equals, 1)
}

func ownerSeenBy(w *world, node int) int {
	first, _ := owner.Pick("llm/0", member.Of(w.State(node)).Owners())
	for i := 0; ; i++ {
		if link.ID(i) == first {
			return i
		}
	}
}

func TestEntryNodeLostGivesItsPlacesBack(t *testing.T) {
	w := newWorld(t, 4, shape{engines: 1, spaces: 1, memory: 1 << 20, slots: 1})
	w.arrive(w.other(), "a", "low", time.Minute)
	w.Run(time.Second)
	w.Kill(w.other())
	w.arrive(w.owner(), "b", "low", time.Minute)
	w.Run(8 * time.Second)
	qt.Assert(t, w.places["b"], qt.Equals, 1)
}

func TestLostMessagesDelayOnly(t *testing.T) {
	w := newWorld(t, 4, shape{engines: 2, spaces: 1, memory: 1 << 20, slots: 4})
	n := 0
	w.Cut(func(int, int) bool { n++; return n%3 == 0 })
	for i := range 8 {
		w.arrive(i%4, fmt.Sprint("r", i), "low", time.Minute)
	}
	w.Run(20 * time.Second)
	qt.Assert(t, len(w.placed), qt.Equals, 8)
	for id, count := range w.places {
		qt.Assert(t, count, qt.Equals, 1, qt.Commentf("%s", id))
	}
}

func TestLeavingEndpointGetsNothingNew(t *testing.T) {
	const limit = 3 * time.Second
	tests := []struct {
		name string
		give func(w *world)
	}{
		{"by its own report", func(w *world) {
			w.Give(w.owner(), kernel.LoadRead{Service: "llm", Endpoint: "e0", Load: kernel.Load{Leaving: true}})
		}},
		{"by the list of hosts", func(w *world) {
			w.Give(w.owner(), kernel.HostsListed{Leaving: []string{"10.9.0.0"}})
		}},
		{"by a refused request", func(w *world) {
			for id, p := range w.placed {
				if p.Endpoint == "e0" {
					w.Give(nodeOf(id), kernel.Ended{Request: id, Failed: true, Leaving: true})
					return
				}
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t, 4, shape{engines: 2, spaces: 1, memory: 1 << 20, slots: 8})
			for i := range 8 {
				w.arrive(i%4, fmt.Sprint("r", i), "low", time.Minute)
			}
			w.Run(time.Second)
			test.give(w)
			w.Run(limit)
			for i := 8; i < 12; i++ {
				id := fmt.Sprint("r", i)
				w.arrive(i%4, id, "low", time.Minute)
				w.Run(time.Second)
				qt.Assert(t, w.placed[id].Endpoint, qt.Equals, "e1")
			}
		})
	}
}

func TestDocumentReachesEveryNode(t *testing.T) {
	const limit = 4 * time.Second
	for _, nodes := range []int{4, 64} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			w := newWorld(t, nodes, shape{engines: 1, spaces: 10, memory: 1000, slots: 1})
			inForce := func(number uint64) func() bool {
				return func() bool {
					for i := range nodes {
						if r, _ := policy.Of(w.State(i)).Revision("t"); w.Up(i) && r.Number < number {
							return false
						}
					}
					return true
				}
			}
			at := w.Since()
			w.Give(nodes/2, document(t, shape{engines: 1, spaces: 11, memory: 1000, slots: 1}, 2))
			qt.Assert(t, w.Until(limit, 10*time.Millisecond, inForce(2)), qt.IsTrue)
			t.Logf("in force on %d nodes after %s", nodes, w.Since()-at)

			t.Run("an older revision changes nothing", func(t *testing.T) {
				w.Give(1, document(t, shape{engines: 1, spaces: 10, memory: 1000, slots: 1}, 1))
				w.Run(5 * time.Second)
				qt.Assert(t, inForce(2)(), qt.IsTrue)
			})
			t.Run("a fresh node in an outage learns it from peers", func(t *testing.T) {
				w.Kill(1)
				w.Run(time.Second)
				w.Restart(1)
				qt.Assert(t, policy.Of(w.State(1)).Ready(), qt.IsFalse, qt.Commentf("it must serve nothing before"))
				qt.Assert(t, w.Until(2*limit, 10*time.Millisecond, inForce(2)), qt.IsTrue)
				qt.Assert(t, policy.Of(w.State(1)).Ready(), qt.IsTrue)
			})
		})
	}
}

// Measures the cost of a request from its arrival to its end on a node that
// also owns its shard, with a number of others running.
func BenchmarkRequest(b *testing.B) {
	for _, spaces := range []int{10, 100, 2600} {
		for _, engines := range []int{12, 730} {
			for _, running := range []int{0, 160} {
				b.Run(fmt.Sprintf("spaces=%d/engines=%d/running=%d", spaces, engines, running), func(b *testing.B) {
					w := newWorld(b, 1, shape{engines: engines, spaces: spaces, memory: 1 << 20, slots: 256})
					for i := range max(running, 100) {
						w.arrive(0, fmt.Sprint("r", i), "low", time.Hour)
					}
					w.Run(2 * time.Second)
					for i := running; i < 100; i++ {
						w.Give(0, kernel.Ended{Request: fmt.Sprint("r", i)})
					}
					b.ReportAllocs()
					n := 0
					for b.Loop() {
						id := fmt.Sprint("b", n)
						n++
						w.arrive(0, id, "low", time.Hour)
						w.Give(0, kernel.Ended{Request: id, Tokens: 100})
					}
					qt.Assert(b, w.places["b0"], qt.Equals, 1)
				})
			}
		}
	}
}

// Measures the cost of one Tick with requests running.
func BenchmarkTick(b *testing.B) {
	for _, running := range []int{0, 160, 1600} {
		b.Run(fmt.Sprintf("running=%d", running), func(b *testing.B) {
			w := newWorld(b, 1, shape{engines: 16, spaces: 10, memory: 1 << 20, slots: 256})
			for i := range running {
				w.arrive(0, fmt.Sprint("r", i), "low", time.Hour)
			}
			w.Run(2 * time.Second)
			b.ReportAllocs()
			for b.Loop() {
				w.Run(kernel.TickPeriod)
			}
		})
	}
}

// Measures the memory that a document holds.
func BenchmarkDocumentMemory(b *testing.B) {
	for _, spaces := range []int{10, 2600} {
		b.Run(fmt.Sprintf("spaces=%d", spaces), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				w := newWorld(b, 1, shape{engines: 30, spaces: spaces, memory: 1000, slots: 1})
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(w)
			}
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)), "heap-bytes")
		})
	}
}
