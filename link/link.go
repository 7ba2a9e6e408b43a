// Package link joins many kernels in one process, in simulated time.
//
// It is a fake at one interface: it takes the messages that kernels send and
// delivers them, late, twice, out of order or not at all. It knows nothing of
// what the messages mean, and has no hosts, engines or callers. Tests and
// benchmarks of what many nodes do together use it; the same seed gives the
// same run.
package link

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/wire"
	"google.golang.org/protobuf/proto"
)

// Config describes a network.
type Config struct {
	Nodes   int
	Centres int // data centres; nodes are dealt to them in turn
	Seed    uint64
	Delay   time.Duration // shortest time of a message
	Jitter  time.Duration // added at random, which reorders messages
	Drop    float64       // part of the messages that are lost
	Twice   float64       // part of the messages that are delivered twice
	// Effect is told of each effect but Send, and returns the events that
	// follow from it at once. It may be nil.
	Effect func(node int, now time.Time, f kernel.Effect) []kernel.Event
}

// Net is a network of kernels.
type Net struct {
	cfg      Config
	now      time.Time
	rand     *rand.Rand
	states   []kernel.State
	down     []bool // a node that was killed
	paused   []bool // a node that neither ticks nor receives
	held     [][]delivery
	ids      map[string]int
	queue    deliveries
	seq      int
	cut      func(from, to int) bool
	Messages int // sent so far
	Bytes    int // their size
}

// delivery is an event on its way to a node.
type delivery struct {
	at    time.Time
	seq   int
	to    int
	event kernel.Event
}

// deliveries is a heap by time.
type deliveries []delivery

// Len implements heap.Interface.
func (d deliveries) Len() int { return len(d) }

// Less implements heap.Interface.
func (d deliveries) Less(i, j int) bool {
	if !d[i].at.Equal(d[j].at) {
		return d[i].at.Before(d[j].at)
	}
	return d[i].seq < d[j].seq
}

// Swap implements heap.Interface.
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *deliveries) Push(x any) { *d = append(*d, x.(delivery)) }

// Pop implements heap.Interface.
func (d *deliveries) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}

// start is the time at which every run begins.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// New returns a network whose nodes have just started. Each has the list of
// all of them, as from the platform's list of hosts.
func New(cfg Config) *Net {
	n := &Net{
		cfg:    cfg,
		now:    start,
		rand:   rand.New(rand.NewPCG(cfg.Seed, 1)),
		states: make([]kernel.State, cfg.Nodes),
		down:   make([]bool, cfg.Nodes),
		paused: make([]bool, cfg.Nodes),
		held:   make([][]delivery, cfg.Nodes),
		ids:    map[string]int{},
	}
	for i := range cfg.Nodes {
		n.ids[ID(i)] = i
		n.Restart(i)
	}
	return n
}

// ID returns the id of a node.
func ID(node int) string {
	return fmt.Sprintf("10.0.%d.%d:7000", node/250, node%250+1)
}

func (n *Net) member(node int, incarnation uint64) *wire.Member {
	centre := fmt.Sprintf("dc-%d", node%max(1, n.cfg.Centres))
	return &wire.Member{Id: ID(node), Front: ID(node), Centre: centre, Incarnation: incarnation}
}

// Restart starts a node anew, with nothing in memory.
func (n *Net) Restart(node int) {
	self := n.member(node, uint64(n.now.Sub(start)/time.Microsecond)+1)
	n.states[node] = kernel.New(kernel.Config{Self: self, Seed: n.cfg.Seed + uint64(node)})
	n.down[node] = false
	var list kernel.HostsListed
	for i := range n.cfg.Nodes {
		list.Nodes = append(list.Nodes, n.member(i, 0))
	}
	n.Give(node, list)
	n.push(n.now.Add(time.Duration(n.rand.Int64N(int64(kernel.TickPeriod)))), node, kernel.Tick{})
}

// Now returns the simulated time.
func (n *Net) Now() time.Time { return n.now }

// Since returns the time since the start.
func (n *Net) Since() time.Duration { return n.now.Sub(start) }

// State returns a node's state.
func (n *Net) State(node int) kernel.State { return n.states[node] }

// Up reports whether a node runs.
func (n *Net) Up(node int) bool { return !n.down[node] }

// Kill ends a node. Those that send to it learn that it is lost.
func (n *Net) Kill(node int) { n.down[node] = true }

// Pause stops a node for a time, as a frozen process.
func (n *Net) Pause(node int) { n.paused[node] = true }

// Resume lets a paused node go on. It gets all that has arrived meanwhile.
func (n *Net) Resume(node int) {
	n.paused[node] = false
	for _, d := range n.held[node] {
		n.push(n.now, node, d.event)
	}
	n.held[node] = nil
}

// Cut loses every message for which lost reports true; nil ends the cut.
func (n *Net) Cut(lost func(from, to int) bool) { n.cut = lost }

func (n *Net) push(at time.Time, to int, e kernel.Event) {
	n.seq++
	heap.Push(&n.queue, delivery{at: at, seq: n.seq, to: to, event: e})
}

// Give steps a node with an event now.
func (n *Net) Give(node int, e kernel.Event) {
	next, effects := n.states[node].Step(n.now, e)
	n.states[node] = next
	for _, f := range effects {
		if s, ok := f.(kernel.Send); ok {
			n.send(node, s)
			continue
		}
		if n.cfg.Effect == nil {
			continue
		}
		for _, follow := range n.cfg.Effect(node, n.now, f) {
			n.push(n.now, node, follow)
		}
	}
}

func (n *Net) send(from int, s kernel.Send) {
	n.Messages++
	n.Bytes += proto.Size(s.Frame)
	to, ok := n.ids[s.To]
	if !ok || n.cut != nil && n.cut(from, to) || n.rand.Float64() < n.cfg.Drop {
		return
	}
	if n.down[to] {
		n.push(n.now.Add(n.delay()), from, kernel.PeerLost{Peer: s.To})
		return
	}
	copies := 1
	if n.rand.Float64() < n.cfg.Twice {
		copies = 2
	}
	for range copies {
		n.push(n.now.Add(n.delay()), to, kernel.Received{From: ID(from), Frame: s.Frame})
	}
}

func (n *Net) delay() time.Duration {
	if n.cfg.Jitter == 0 {
		return n.cfg.Delay
	}
	return n.cfg.Delay + time.Duration(n.rand.Int64N(int64(n.cfg.Jitter)))
}

// Run lets simulated time pass.
func (n *Net) Run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		n.deliver(heap.Pop(&n.queue).(delivery))
	}
	n.now = end
}

// Until lets time pass until a condition holds, looking every step, at most
// for a time. It reports whether the condition holds.
func (n *Net) Until(most, step time.Duration, holds func() bool) bool {
	for end := n.now.Add(most); n.now.Before(end); {
		if holds() {
			return true
		}
		n.Run(step)
	}
	return holds()
}

func (n *Net) deliver(d delivery) {
	n.now = d.at
	_, tick := d.event.(kernel.Tick)
	switch {
	case n.down[d.to]:
		return
	case n.paused[d.to] && tick:
		n.push(n.now.Add(kernel.TickPeriod), d.to, d.event)
		return
	case n.paused[d.to]:
		n.held[d.to] = append(n.held[d.to], d)
		return
	}
	n.Give(d.to, d.event)
	if tick {
		n.push(n.now.Add(kernel.TickPeriod), d.to, d.event)
	}
}
