// Package carry connects a node to endpoints, through other nodes if it cannot reach them
// itself.
//
// Model: a node that a caller has chosen keeps the whole responsibility for the request. It
// chooses the endpoint, counts limits and retries, and reads the response. Only the bytes of
// one connection go through another node, the carrier, which knows nothing of requests. The
// carrier connects first, and the node sends its request once the carrier has said that the
// endpoint is connected. Until then nothing can have run.
//
// Invariants:
//   - A carrier connects to the endpoint itself, never through a third node, so that
//     connections cannot loop.
//   - If Dial fails, the endpoint has received nothing. If a carried connection fails with a
//     *relay.CarrierError that says so, it has received nothing either.
//   - A carried response ends like that of the endpoint: if the carrier or the way to it is
//     lost, the connection fails and does not look complete.
//   - A carrier opens no connection for a request that it would not send there itself: to an
//     endpoint that is not listed, is leaving, or wants no requests from it.
//   - A connection that a node has lost ends at its carrier too, and at the deadline at the latest.
//   - A node whose paths are back uses them again.
package carry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/plantaindeck/plantaindeck/relay"
	"github.com/plantaindeck/plantaindeck/trace"
	"github.com/plantaindeck/plantaindeck/wire"
)

// Stream carries frames between two nodes.
type Stream interface {
	Send(f *wire.Frame) error
	Receive() (*wire.Frame, error)
	SetReadDeadline(t time.Time) error
	SetWriteDeadline(t time.Time) error
	Close() error
}

// Rules say what a node sends to endpoints.
type Rules interface {
	// CarryObstacle returns why the node must not connect to an endpoint for another node, with
	// a detail for logs, or NONE.
	CarryObstacle(now time.Time, c *wire.Carry) (wire.Obstacle, string)
	// RestEndpoint is called when an endpoint has asked the node, which carried the request, to
	// send it nothing for a time.
	RestEndpoint(endpoint string, rest time.Duration)
}

// Config configures a Carrier.
type Config struct {
	// Dial connects to an endpoint directly.
	Dial func(ctx context.Context, t relay.Target) (net.Conn, error)
	// Open opens a stream to another node, whose Carrier.Serve gets it.
	Open func(ctx context.Context, node string, first *wire.Frame) (Stream, error)
	// Nodes returns the ids of the other nodes that may carry connections.
	Nodes func() []string
	// Endpoints returns the addresses of endpoints to which the node may connect at any time; nil
	// for none.
	Endpoints func() []string
	Record    func(e trace.Entry)
	Metrics   *metrics.Set
	Seed      uint64
}

// Carrier connects one node to endpoints, and carries connections of other nodes.
type Carrier struct {
	cfg      Config
	mu       sync.Mutex // guards the fields below
	rand     *rand.Rand
	paths    *paths
	nodes    *nodes
	active   int // connections carried for other nodes, those that are being established included
	stopping bool
	through  *metrics.Counter
	failed   *metrics.Counter
	served   *metrics.Counter
}

// New returns a Carrier.
func New(cfg Config) *Carrier {
	c := &Carrier{
		cfg:     cfg,
		rand:    rand.New(rand.NewPCG(cfg.Seed, 11)),
		paths:   newPaths(),
		nodes:   newNodes(),
		through: cfg.Metrics.GetOrCreateCounter("plantaindeck_carried_connections_total"),
		failed:  cfg.Metrics.GetOrCreateCounter("plantaindeck_carried_connections_failed_total"),
		served:  cfg.Metrics.GetOrCreateCounter("plantaindeck_connections_for_nodes_total"),
	}
	cfg.Metrics.GetOrCreateGauge("plantaindeck_connections_for_nodes", func() float64 { return float64(c.Active()) })
	cfg.Metrics.GetOrCreateGauge("plantaindeck_isolated", func() float64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.paths.isolated() {
			return 1
		}
		return 0
	})
	return c
}

// Active returns the number of connections that this node carries for others.
func (c *Carrier) Active() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active
}

// Drain makes the node carry no more connections for others than it does now.
func (c *Carrier) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
}

// recordDirect notes whether this node has reached an address itself, and logs it if the node
// has become isolated or is no longer.
func (c *Carrier) recordDirect(now time.Time, addr string, err error) {
	c.mu.Lock()
	before := c.paths.isolated()
	if err == nil {
		c.paths.reached(addr)
	} else {
		c.paths.failed(now, addr)
	}
	after, lost := c.paths.isolated(), len(c.paths.lost)
	c.mu.Unlock()
	switch {
	case after && !before:
		c.record("isolated", "", fmt.Sprintf("this node has reached no endpoint since it lost %d; it asks other nodes to connect: %v", lost, err))
	case before && !after:
		c.record("reconnected", "", "this node has reached "+addr+" itself again")
	}
}

func (c *Carrier) record(kind, request, detail string) {
	c.cfg.Record(trace.Entry{Kind: kind, Request: request, Detail: detail})
}
