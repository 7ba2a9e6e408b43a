// Package node assembles a node from its parts, runs it, and stops it gracefully.
package node

import (
	"context"
	"crypto/tls"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/assign"
	"github.com/plantaindeck/plantaindeck/carry"
	"github.com/plantaindeck/plantaindeck/claim"
	"github.com/plantaindeck/plantaindeck/config"
	"github.com/plantaindeck/plantaindeck/daemon"
	"github.com/plantaindeck/plantaindeck/front"
	"github.com/plantaindeck/plantaindeck/intake"
	"github.com/plantaindeck/plantaindeck/relay"
	"github.com/plantaindeck/plantaindeck/socket"
	"github.com/plantaindeck/plantaindeck/store"
	"github.com/plantaindeck/plantaindeck/trace"
	"github.com/plantaindeck/plantaindeck/wait"
	"github.com/plantaindeck/plantaindeck/wire"
	"k8s.io/klog/v2"
)

const (
	storeTimeout      = 2 * time.Second       // for one request to the key-value service
	leavingGossipTime = time.Second           // within which gossip tells every node that this one is leaving
	leaseTTLSeconds   = 48 * 3600             // a claim may join a lease that is leaseInterval old, so it is kept at least 24 hours
	leaseInterval     = 24 * time.Hour        // between two leases for claims
	leaseEraCheck     = time.Second           // between checks of whether the key-value service was restored without the lease
	leaseBackoff      = 5 * time.Second       // after a lease was not granted
	drainCheck        = 50 * time.Millisecond // between two looks at the connections carried for other nodes
)

// Node is a running node: the daemon that drives its kernel, the front that
// serves callers, and the reconciler that assigns models to engines.
type Node struct {
	settings config.Node
	daemon   *daemon.Daemon
	carrier  *carry.Carrier
	front    *front.Front
	ln       net.Listener // for callers
	store    store.Store
	claims   *claim.Claims
	leaseID  atomic.Int64       // lease for new claims; 0 before the first is granted
	stop     context.CancelFunc // ends all parts at once
	done     chan error         // receives the result when all parts have ended
}

// Config holds a node's settings and what tests replace.
type Config struct {
	Settings config.Node
	Now      time.Time                                                // time of the start; determines the incarnation, and the seed if none is set
	Dial     func(ctx context.Context, addr string) (net.Conn, error) // to other nodes; nil for TCP
	Listen   func(addr string) (net.Listener, error)                  // for callers; nil for TCP
	// DialEndpoint connects to endpoints. It is nil for TCP.
	DialEndpoint func(ctx context.Context, t relay.Target) (net.Conn, error)
}

// Start starts a node, which runs until Stop or Kill is called or ctx ends. The
// settings must have passed config.Node.Check.
func Start(ctx context.Context, cfg Config) (*Node, error) {
	settings := cfg.Settings
	tlsConfig, err := peerTLS(settings)
	if err != nil {
		return nil, err
	}
	listen := cfg.Listen
	if listen == nil {
		listen = func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	ln, err := listen(settings.FrontAddr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for callers on %s", settings.FrontAddr)
	}
	ctx, stop := context.WithCancel(ctx)
	n := &Node{
		settings: settings,
		ln:       ln,
		store:    store.NewClient(store.Config{Addr: settings.KVAddr, Timeout: storeTimeout}),
		stop:     stop,
		done:     make(chan error, 1),
	}
	seed := settings.Seed
	if seed == 0 {
		seed = uint64(cfg.Now.UnixNano())
	}
	set := metrics.NewSet()
	n.daemon, err = daemon.New(ctx, daemon.Config{
		Self:      newMember(settings, cfg.Now),
		Cluster:   settings.Cluster,
		Seed:      seed,
		TLS:       tlsConfig,
		Store:     n.store,
		HostsAddr: settings.HostsAddr,
		Dial:      cfg.Dial,
		OnStream:  n.serveStream,
		Trace:     trace.NewRecorder(settings.PeerAddr, settings.MaxTraceEntries),
		Metrics:   set,
	})
	if err != nil {
		stop()
		return nil, errors.Wrap(closeListener(ln, err), "start node")
	}
	n.carrier = carry.ForNode(n.daemon, cfg.DialEndpoint, seed)
	n.claims = claim.New(claim.Config{Store: n.store, CurrentLease: n.leaseID.Load, Settle: settings.ClaimSettle})
	n.front = front.New(ctx, front.Config{
		Daemon:       n.daemon,
		Claims:       n.claims,
		Relay:        relay.NewClient(relay.Config{Dial: n.carrier.Dial, StallTimeout: settings.StallTimeout}),
		Secret:       []byte(settings.ReattachSecret),
		Operators:    parseOperators(settings.Operators),
		AddressTTL:   settings.AddressTTL,
		MaxBodyBytes: settings.MaxBodyBytes,
		Clients:      intake.LimitsOf(int64(settings.ClientsMiB)<<20, socket.MaxOpen()),
		Seed:         seed,
	})
	go func() { n.done <- n.run(ctx) }()
	klog.InfoS("Node is running", "peer", settings.PeerAddr, "front", settings.FrontAddr, "centre", settings.Centre)
	return n, nil
}

// closeListener closes ln after the failure err, which it returns.
func closeListener(ln net.Listener, err error) error {
	if closeErr := ln.Close(); closeErr != nil {
		klog.V(1).InfoS("Failed to close the listener for callers", "err", closeErr)
	}
	return err
}

// newMember describes this node to the others. The time of the start is its
// incarnation, so that a restarted node supersedes what is known of its earlier
// run.
func newMember(settings config.Node, now time.Time) *wire.Member {
	return &wire.Member{
		Id:          settings.PeerAddr,
		Front:       settings.FrontAddr,
		Centre:      settings.Centre,
		Incarnation: uint64(now.UnixMicro()),
	}
}

// parseOperators turns name=hash pairs into a map from the hash of an operator's
// key to the operator's name.
func parseOperators(pairs []string) map[string]string {
	names := map[string]string{}
	for _, pair := range pairs {
		name, hash, _ := strings.Cut(pair, "=")
		names[hash] = name
	}
	return names
}

// run runs all parts until ctx ends, and returns the error of the daemon.
func (n *Node) run(ctx context.Context) error {
	frontDone := make(chan error, 1)
	go func() { frontDone <- n.front.Serve(n.ln) }()
	leaseDone := make(chan error, 1)
	go func() { leaseDone <- n.refreshLease(ctx) }()
	claimsDone := n.claims.Run(ctx)
	assignDone := make(chan error, 1)
	reconciler := assign.New(assign.Config{Store: n.store, State: n.daemon.State, Now: time.Now})
	go func() { assignDone <- reconciler.Run(ctx) }()
	err := n.daemon.Run(ctx)
	if closeErr := n.ln.Close(); closeErr != nil && !errors.Is(closeErr, net.ErrClosed) {
		klog.V(1).InfoS("Failed to close the listener for callers", "err", closeErr)
	}
	<-frontDone
	<-leaseDone
	<-claimsDone
	<-assignDone
	return err
}

// refreshLease gets a new lease for claims every leaseInterval. The
// key-value service deletes a claim when its lease ends, and forgets the lease when it is
// restored from a copy; claims made before the first
// lease is granted have none and are kept for ever.
func (n *Node) refreshLease(ctx context.Context) error {
	for ctx.Err() == nil {
		delay := leaseInterval
		era := n.store.Era()
		id, err := n.store.GrantLease(ctx, leaseTTLSeconds)
		if err != nil {
			klog.V(1).InfoS("Failed to get a lease for claims; retrying", "err", err)
			delay = leaseBackoff
		} else {
			n.leaseID.Store(id)
		}
		for until := time.Now().Add(delay); time.Now().Before(until) && n.store.Era() == era; {
			if !wait.For(ctx, min(time.Until(until), leaseEraCheck)) {
				break
			}
		}
	}
	return nil
}

// FrontAddr returns the node's address for callers.
func (n *Node) FrontAddr() string {
	return n.settings.FrontAddr
}

// Daemon returns the node's daemon.
func (n *Node) Daemon() *daemon.Daemon {
	return n.daemon
}

// Stop stops the node gracefully. The node announces that it is leaving, so that no
// new address list names it. It accepts requests until the lists that callers hold
// have expired, then waits for the responses in progress. Those that have not ended
// after the GracePeriod of its settings, or when ctx ends, are cut off.
func (n *Node) Stop(ctx context.Context) error {
	klog.InfoS("Node is leaving", "peer", n.settings.PeerAddr)
	n.daemon.AnnounceLeaving(ctx)
	n.carrier.Drain()
	wait.For(ctx, n.settings.AddressTTL+leavingGossipTime)
	ctx, cancel := context.WithTimeout(ctx, n.settings.GracePeriod)
	defer cancel()
	err := n.front.Shutdown(ctx)
	for n.carrier.Active() > 0 && wait.For(ctx, drainCheck) {
	}
	n.stop()
	if runErr := <-n.done; runErr != nil {
		return runErr
	}
	klog.InfoS("Node has stopped", "peer", n.settings.PeerAddr)
	return errors.Wrap(err, "wait for responses in progress")
}

// Kill ends the node at once and cuts off its requests, as a crash would.
func (n *Node) Kill() error {
	_ = n.ln.Close()
	n.stop()
	return <-n.done
}

// Done returns a channel that receives the node's result when it has ended. Stop
// and Kill receive that result themselves, so the channel is of use only to notice
// that the node has ended with the context given to Start.
func (n *Node) Done() <-chan error {
	return n.done
}

// peerTLS returns the TLS configuration of the sessions between nodes, or nil for
// plain TCP.
func peerTLS(settings config.Node) (*tls.Config, error) {
	if settings.CertFile == "" {
		return nil, nil
	}
	return newCertReloader(settings).tlsConfig()
}
