// Package node assembles a node of its parts and runs it until it is stopped.
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
	"github.com/plantaindeck/plantaindeck/claim"
	"github.com/plantaindeck/plantaindeck/config"
	"github.com/plantaindeck/plantaindeck/daemon"
	"github.com/plantaindeck/plantaindeck/front"
	"github.com/plantaindeck/plantaindeck/relay"
	"github.com/plantaindeck/plantaindeck/store"
	"github.com/plantaindeck/plantaindeck/trace"
	"github.com/plantaindeck/plantaindeck/wait"
	"github.com/plantaindeck/plantaindeck/wire"
	"k8s.io/klog/v2"
)

const (
	storeTimeout = 2 * time.Second
	spreadTime   = time.Second // for the news of leaving to reach every node
	leaseSeconds = 48 * 3600   // a claim is kept at least half as long
	leasePeriod  = 24 * time.Hour
	leaseRetry   = 5 * time.Second
)

// Node is a running node.
type Node struct {
	cfg     config.Node
	daemon  *daemon.Daemon
	front   *front.Front
	ln      net.Listener
	store   store.Store
	lease   atomic.Int64
	stop    context.CancelFunc // ends everything at once
	stopped chan error
}

// Config describes a node beside its settings.
type Config struct {
	Settings config.Node
	Now      time.Time                                                // start, from which the incarnation is made
	Dial     func(ctx context.Context, addr string) (net.Conn, error) // to other nodes; nil for TCP
	Listen   func(addr string) (net.Listener, error)                  // for callers; nil for TCP
}

// Start starts a node. The settings must have passed Check.
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
	ln, err := listen(settings.Front)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for callers on %s", settings.Front)
	}
	ctx, stop := context.WithCancel(ctx)
	n := &Node{
		cfg:     settings,
		ln:      ln,
		store:   store.NewClient(store.Config{Addr: settings.KV, Timeout: storeTimeout}),
		stop:    stop,
		stopped: make(chan error, 1),
	}
	seed := settings.Seed
	if seed == 0 {
		seed = uint64(cfg.Now.UnixNano())
	}
	set := metrics.NewSet()
	n.daemon, err = daemon.New(ctx, daemon.Config{
		Self:    self(settings, cfg.Now),
		Cluster: settings.Cluster,
		Seed:    seed,
		TLS:     tlsConfig,
		Store:   n.store,
		Hosts:   settings.Hosts,
		Dial:    cfg.Dial,
		Trace:   trace.NewRecorder(settings.Peer, settings.Events),
		Metrics: set,
	})
	if err != nil {
		stop()
		return nil, errors.Wrap(closeAfter(ln, err), "start node")
	}
	n.front = front.New(ctx, front.Config{
		Daemon: n.daemon,
		Claims: claim.New(n.store, n.lease.Load),
		Relay:  relay.NewClient(relay.Config{StallTimeout: settings.Stall}),
		Secret: []byte(settings.Secret),
		Admin:  operators(settings.Admin),
		TTL:    settings.TTL,
		Body:   settings.Body,
		Seed:   seed,
	})
	go func() { n.stopped <- n.run(ctx) }()
	klog.InfoS("Node is running", "peer", settings.Peer, "front", settings.Front, "centre", settings.Centre)
	return n, nil
}

func closeAfter(ln net.Listener, err error) error {
	if closeErr := ln.Close(); closeErr != nil {
		klog.V(1).InfoS("Listener was not closed", "err", closeErr)
	}
	return err
}

func self(settings config.Node, now time.Time) *wire.Member {
	return &wire.Member{
		Id:          settings.Peer,
		Front:       settings.Front,
		Centre:      settings.Centre,
		Incarnation: uint64(now.UnixMicro()),
	}
}

// Splits name=hash pairs.
func operators(list []string) map[string]string {
	names := map[string]string{}
	for _, pair := range list {
		name, hash, _ := strings.Cut(pair, "=")
		names[hash] = name
	}
	return names
}

// Runs the parts until ctx ends.
func (n *Node) run(ctx context.Context) error {
	serving := make(chan error, 1)
	go func() { serving <- n.front.Serve(n.ln) }()
	leasing := make(chan error, 1)
	go func() { leasing <- n.keepLease(ctx) }()
	commanding := make(chan error, 1)
	runner := assign.New(assign.Config{Store: n.store, State: n.daemon.State, Now: time.Now})
	go func() { commanding <- runner.Run(ctx) }()
	err := n.daemon.Run(ctx)
	if closeErr := n.ln.Close(); closeErr != nil && !errors.Is(closeErr, net.ErrClosed) {
		klog.V(1).InfoS("Listener was not closed", "err", closeErr)
	}
	<-serving
	<-leasing
	<-commanding
	return err
}

// Gets a new lease for claims every leasePeriod. Claims made without one last.
func (n *Node) keepLease(ctx context.Context) error {
	for ctx.Err() == nil {
		period := leasePeriod
		id, err := n.store.GrantLease(ctx, leaseSeconds)
		if err != nil {
			klog.V(1).InfoS("Lease for claims was not granted", "err", err)
			period = leaseRetry
		} else {
			n.lease.Store(id)
		}
		wait.For(ctx, period)
	}
	return nil
}

// Front returns the address for callers.
func (n *Node) Front() string {
	return n.cfg.Front
}

// Daemon returns the node's daemon.
func (n *Node) Daemon() *daemon.Daemon {
	return n.daemon
}

// Stop stops the node without cutting off a request. The node leaves the
// address list, serves until every list that named it has expired, and then
// until its last answer has ended.
func (n *Node) Stop(ctx context.Context) error {
	klog.InfoS("Node is leaving", "peer", n.cfg.Peer)
	n.daemon.Stop(ctx)
	wait.For(ctx, n.cfg.TTL+spreadTime)
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Grace)
	defer cancel()
	err := n.front.Shutdown(ctx)
	n.stop()
	if runErr := <-n.stopped; runErr != nil {
		return runErr
	}
	klog.InfoS("Node has stopped", "peer", n.cfg.Peer)
	return errors.Wrap(err, "wait for running answers")
}

// Kill ends the node at once, as a crash would.
func (n *Node) Kill() error {
	_ = n.ln.Close()
	n.stop()
	return <-n.stopped
}

// Wait returns when the node has ended by itself.
func (n *Node) Wait() <-chan error {
	return n.stopped
}

// Returns the configuration of the sessions between nodes, or nil for plain
// TCP.
func peerTLS(settings config.Node) (*tls.Config, error) {
	if settings.Cert == "" {
		return nil, nil
	}
	return newReloader(settings).config()
}
