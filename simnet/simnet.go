// Package simnet simulates a network of nodes: it runs many kernels in one process,
// in simulated time.
//
// It fakes the network only. It takes the messages that kernels send and
// delivers them late, twice, out of order or not at all, without regard to their
// content. It has no hosts, engines or callers. It serves tests and benchmarks of
// what many nodes do together. The same seed gives the same run.
package simnet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/wire"
	"google.golang.org/protobuf/proto"
)

// Config describes a simulated network.
type Config struct {
	Nodes         int
	Centres       int // data centres, to which nodes are assigned in turn; 0 counts as 1
	Seed          uint64
	MinDelay      time.Duration // least time from sending to delivery
	Jitter        time.Duration // largest random addition to MinDelay, which reorders messages
	DropRate      float64       // share of the messages that are lost, 0 to 1
	DuplicateRate float64       // share of the messages that are delivered twice, 0 to 1
	// LinkDelay returns the time that the links of two nodes need for a message of the given
	// size, which is added to its delay. It is called once for each delivery, and may be nil.
	LinkDelay func(now time.Time, from, to, bytes int) time.Duration
	// OnEffect is called with each effect of a kernel except Send. It returns the
	// events to give to the same node at once. It may be nil.
	OnEffect func(node int, now time.Time, f kernel.Effect) []kernel.Event
}

// Network is a simulated network of nodes, which are numbered from 0.
type Network struct {
	cfg          Config
	now          time.Time
	rand         *rand.Rand
	states       []kernel.State
	down         []bool         // whether each node was killed
	paused       []bool         // whether each node is paused: it neither ticks nor receives
	deferred     [][]delivery   // deliveries held back from paused nodes, by node
	nodeByID     map[string]int // node numbers by id
	deliveries   deliveryHeap
	lastSeq      int                     // seq of the delivery that was scheduled last
	lost         func(from, to int) bool // reports whether a message is lost; may be nil
	MessagesSent int                     // sent so far, lost ones included
	BytesSent    int                     // encoded size of the messages sent so far
}

// delivery is an event that is scheduled for a node.
type delivery struct {
	at    time.Time
	seq   int // order of scheduling, which decides between equal times
	to    int
	event kernel.Event
}

// deliveryHeap is a heap of deliveries by time, then by order of scheduling.
type deliveryHeap []delivery

// Len implements heap.Interface.
func (d deliveryHeap) Len() int { return len(d) }

// Less implements heap.Interface.
func (d deliveryHeap) Less(i, j int) bool {
	if !d[i].at.Equal(d[j].at) {
		return d[i].at.Before(d[j].at)
	}
	return d[i].seq < d[j].seq
}

// Swap implements heap.Interface.
func (d deliveryHeap) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *deliveryHeap) Push(x any) { *d = append(*d, x.(delivery)) }

// Pop implements heap.Interface.
func (d *deliveryHeap) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}

// startTime is the simulated time at which every run begins.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// New returns a network whose nodes have just started. Each node has been given
// the list of all nodes, as the platform's list of hosts would do.
func New(cfg Config) *Network {
	n := &Network{
		cfg:      cfg,
		now:      startTime,
		rand:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		states:   make([]kernel.State, cfg.Nodes),
		down:     make([]bool, cfg.Nodes),
		paused:   make([]bool, cfg.Nodes),
		deferred: make([][]delivery, cfg.Nodes),
		nodeByID: map[string]int{},
	}
	for i := range cfg.Nodes {
		n.nodeByID[ID(i)] = i
		n.Restart(i)
	}
	return n
}

// ID returns the id of a node, the address to which others send.
func ID(node int) string {
	return fmt.Sprintf("10.0.%d.%d:7000", node/250, node%250+1)
}

func (n *Network) newMember(node int, incarnation uint64) *wire.Member {
	centre := fmt.Sprintf("dc-%d", node%max(1, n.cfg.Centres))
	return &wire.Member{Id: ID(node), Front: ID(node), Centre: centre, Incarnation: incarnation}
}

// Restart starts a node with an empty state and a new incarnation. Its first tick
// comes at a random time within a tick interval.
func (n *Network) Restart(node int) {
	self := n.newMember(node, uint64(n.now.Sub(startTime)/time.Microsecond)+1)
	n.states[node] = kernel.New(kernel.Config{Self: self, Seed: n.cfg.Seed + uint64(node)})
	n.down[node] = false
	var list kernel.HostsListed
	for i := range n.cfg.Nodes {
		list.Nodes = append(list.Nodes, n.newMember(i, 0))
	}
	n.Step(node, list)
	n.schedule(n.now.Add(time.Duration(n.rand.Int64N(int64(kernel.TickInterval)))), node, kernel.Tick{})
}

// Now returns the simulated time.
func (n *Network) Now() time.Time { return n.now }

// Elapsed returns the simulated time since the start of the run.
func (n *Network) Elapsed() time.Duration { return n.now.Sub(startTime) }

// State returns the state of a node's kernel.
func (n *Network) State(node int) kernel.State { return n.states[node] }

// Up reports whether a node is running. A paused node counts as running.
func (n *Network) Up(node int) bool { return !n.down[node] }

// Kill ends a node as a crash would. A node that sends to it afterwards receives
// PeerLost.
func (n *Network) Kill(node int) { n.down[node] = true }

// Pause stops a node until Resume, as if its process were frozen.
func (n *Network) Pause(node int) { n.paused[node] = true }

// Resume continues a paused node, which now receives all events that arrived
// during the pause.
func (n *Network) Resume(node int) {
	n.paused[node] = false
	for _, d := range n.deferred[node] {
		n.schedule(n.now, node, d.event)
	}
	n.deferred[node] = nil
}

// Partition partitions the network: from now on every message for which lost reports
// true is lost. A nil function ends the partition.
func (n *Network) Partition(lost func(from, to int) bool) { n.lost = lost }

// schedule adds an event for a node to the queue.
func (n *Network) schedule(at time.Time, to int, e kernel.Event) {
	n.lastSeq++
	heap.Push(&n.deliveries, delivery{at: at, seq: n.lastSeq, to: to, event: e})
}

// Step steps the kernel of a node with an event at the current simulated time,
// sends the resulting messages and schedules the events that Config.OnEffect
// returns.
func (n *Network) Step(node int, e kernel.Event) {
	next, effects := n.states[node].Step(n.now, e)
	n.states[node] = next
	for _, f := range effects {
		if s, ok := f.(kernel.Send); ok {
			n.send(node, s)
			continue
		}
		if n.cfg.OnEffect == nil {
			continue
		}
		for _, event := range n.cfg.OnEffect(node, n.now, f) {
			n.schedule(n.now, node, event)
		}
	}
}

// send counts a message and schedules its delivery, or loses it. If the receiver
// was killed, the sender receives PeerLost instead.
func (n *Network) send(from int, s kernel.Send) {
	n.MessagesSent++
	n.BytesSent += proto.Size(s.Frame)
	to, ok := n.nodeByID[s.To]
	if !ok || n.lost != nil && n.lost(from, to) || n.rand.Float64() < n.cfg.DropRate {
		return
	}
	if n.down[to] {
		n.schedule(n.now.Add(n.randomDelay()), from, kernel.PeerLost{Peer: s.To})
		return
	}
	copies := 1
	if n.rand.Float64() < n.cfg.DuplicateRate {
		copies = 2
	}
	for range copies {
		at := n.now.Add(n.randomDelay())
		if n.cfg.LinkDelay != nil {
			at = at.Add(n.cfg.LinkDelay(n.now, from, to, proto.Size(s.Frame)))
		}
		n.schedule(at, to, kernel.FrameReceived{From: ID(from), Frame: s.Frame})
	}
}

func (n *Network) randomDelay() time.Duration {
	if n.cfg.Jitter == 0 {
		return n.cfg.MinDelay
	}
	return n.cfg.MinDelay + time.Duration(n.rand.Int64N(int64(n.cfg.Jitter)))
}

// Run advances simulated time by d and delivers all events that fall due.
func (n *Network) Run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.deliveries) > 0 && !n.deliveries[0].at.After(end) {
		n.deliver(heap.Pop(&n.deliveries).(delivery))
	}
	n.now = end
}

// RunUntil runs the network until a condition holds, which it checks at every
// interval, or until the timeout has passed. It reports whether the condition
// holds. All times are simulated.
func (n *Network) RunUntil(timeout, interval time.Duration, condition func() bool) bool {
	for end := n.now.Add(timeout); n.now.Before(end); {
		if condition() {
			return true
		}
		n.Run(interval)
	}
	return condition()
}

// deliver moves the simulated time to that of a delivery and gives the event to
// its node. A node that was killed receives nothing. A paused node skips its ticks
// and receives other events on Resume.
func (n *Network) deliver(d delivery) {
	n.now = d.at
	_, isTick := d.event.(kernel.Tick)
	switch {
	case n.down[d.to]:
		return
	case n.paused[d.to] && isTick:
		n.schedule(n.now.Add(kernel.TickInterval), d.to, d.event)
		return
	case n.paused[d.to]:
		n.deferred[d.to] = append(n.deferred[d.to], d)
		return
	}
	n.Step(d.to, d.event)
	if isTick {
		n.schedule(n.now.Add(kernel.TickInterval), d.to, d.event)
	}
}
