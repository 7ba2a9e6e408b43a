// Package local runs a whole deployment in one process, over loopback: fakes of
// the key-value service, the list of hosts, engines and services, and real nodes
// that are started as the node command starts them. Tests, measurements and the
// compare command use it.
package local

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/client"
	"github.com/plantaindeck/plantaindeck/config"
	"github.com/plantaindeck/plantaindeck/editor"
	"github.com/plantaindeck/plantaindeck/fakes"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/node"
	"github.com/plantaindeck/plantaindeck/policy"
	"github.com/plantaindeck/plantaindeck/relay"
	"github.com/plantaindeck/plantaindeck/spec"
)

const (
	peerPort       = 7000
	frontPort      = 8080
	pollInterval   = 10 * time.Millisecond // between two checks of a condition in Wait
	operatorKey    = "operator-key"
	reattachSecret = "a-secret-for-local-runs"
)

// Config describes a deployment.
type Config struct {
	Nodes      int
	Engines    int // engines of the service llm
	Services   int // servers of the plain service orders
	Workspaces int // workspaces, named w1, w2 and so on, with keys such as w1-key
	// Engine configures every engine, except for its address and its name. The
	// seeds of the engines count up from Engine.Seed.
	Engine   fakes.EngineConfig
	Service  fakes.ServiceConfig // configures every server, except for its address
	KV       fakes.KVConfig      // configures the key-value service, except for its address
	HostsLag time.Duration       // delay after which a change of the list of hosts becomes visible
	Weigh    spec.Weights        // weights that the service llm gives to the measures of service quality
	// EditSettings changes the settings of a node before it starts. It may be nil.
	EditSettings func(n *config.Node)
	// Dial connects two nodes. It is nil for TCP.
	Dial func(ctx context.Context, from, to string) (net.Conn, error)
	// DialEndpoint connects a node, given by its number, to an endpoint. It is nil for TCP.
	DialEndpoint func(ctx context.Context, node int, t relay.Target) (net.Conn, error)
}

// Deployment is a running deployment. Nodes are numbered from 0.
type Deployment struct {
	KV             *fakes.KV
	Hosts          *fakes.Hosts
	Engines        []*fakes.Engine
	Services       []*fakes.Service
	Nodes          []*node.Node // a node that was killed or stopped is nil
	Document       string       // text of the document that Start applied
	cfg            Config
	ips            []string
	frontListeners []*fakes.Listener // of the nodes, for callers
	ctx            context.Context
	cancel         context.CancelFunc
}

// ipSeq counts the addresses that newIP has returned.
var ipSeq atomic.Int64

// newIP returns a loopback address that another process on this host is unlikely
// to use, since it depends on the process id. Addresses repeat after 254 calls.
func newIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&0x3f, pid&0xff, 1+ipSeq.Add(1)%254)
}

// Start starts a deployment, applies its document and waits until the document is
// in force on every node.
func Start(ctx context.Context, cfg Config) (*Deployment, error) {
	d := &Deployment{cfg: cfg}
	d.ctx, d.cancel = context.WithCancel(ctx)
	if err := d.startFakes(); err != nil {
		d.Close()
		return nil, err
	}
	d.Document = d.documentText()
	for range cfg.Nodes {
		d.ips = append(d.ips, newIP())
		d.Nodes = append(d.Nodes, nil)
		d.frontListeners = append(d.frontListeners, nil)
	}
	d.publishHosts()
	for i := range cfg.Nodes {
		if err := d.StartNode(i); err != nil {
			d.Close()
			return nil, err
		}
	}
	if err := d.Apply(d.Document); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// startFakes starts the key-value service, the list of hosts, the engines and the
// servers of the plain service.
func (d *Deployment) startFakes() error {
	var err error
	kvConfig, hostsConfig := d.cfg.KV, fakes.HostsConfig{Addr: newIP() + ":8300", Lag: d.cfg.HostsLag}
	kvConfig.Addr = newIP() + ":2379"
	if d.KV, err = fakes.StartKV(kvConfig); err != nil {
		return err
	}
	if d.Hosts, err = fakes.StartHosts(hostsConfig); err != nil {
		return err
	}
	for i := range d.cfg.Engines {
		cfg := d.cfg.Engine
		cfg.Addr = newIP() + ":8000"
		cfg.Name = fmt.Sprintf("e%d", i+1)
		cfg.Seed += uint64(i)
		e, err := fakes.StartEngine(cfg)
		if err != nil {
			return err
		}
		d.Engines = append(d.Engines, e)
	}
	for range d.cfg.Services {
		cfg := d.cfg.Service
		cfg.Addr = newIP() + ":8000"
		s, err := fakes.StartService(cfg)
		if err != nil {
			return err
		}
		d.Services = append(d.Services, s)
	}
	return nil
}

// modelClasses is the part of the document with the classes of the service llm:
// classes with the names and priorities of those in the documents under examples,
// and the class whole, whose responses are held back until they are complete.
const modelClasses = `    classes:
      - {name: lookup, priority: 80, deadline: 60s}
      - {name: summary, priority: 20, deadline: 120s}
      - {name: question, priority: 70, deadline: 60s}
      - {name: report, priority: 40, deadline: 120s}
      - {name: whole, priority: 40, whole: true, deadline: 120s}
    endpoints:
`

// documentText returns the text of the deployment's document.
func (d *Deployment) documentText() string {
	var b strings.Builder
	weights := d.cfg.Weigh
	fmt.Fprint(&b, "team: local\nservices:\n")
	if len(d.Engines) > 0 {
		fmt.Fprintf(&b, "  - name: llm\n    kind: model\n    models: [{name: m, version: 1}]\n")
		fmt.Fprintf(&b, "    weigh: {gap: %d, stall: %d, preempt: %d}\n", weights.Gap, weights.Stall, weights.Preempt)
		fmt.Fprint(&b, modelClasses)
	}
	for i, e := range d.Engines {
		fmt.Fprintf(&b, "      - {name: e%d, addr: %q, centre: %s, memory: %d, slots: %d}\n", i+1, e.Addr(), centreName(i), d.cfg.Engine.Memory, d.cfg.Engine.Slots)
	}
	if len(d.Services) > 0 {
		fmt.Fprintf(&b, "  - name: orders\n    kind: plain\n    classes: [{name: counter, priority: 50, deadline: 5s}]\n")
		fmt.Fprintf(&b, "    calls:\n      - {method: GET, path: /stock, idempotent: true}\n      - {method: POST, path: /orders}\n    endpoints:\n")
	}
	for i, s := range d.Services {
		fmt.Fprintf(&b, "      - {name: s%d, addr: %q, centre: %s, slots: 64}\n", i+1, s.Addr(), centreName(i))
	}
	fmt.Fprint(&b, "workspaces:\n")
	for i := range d.cfg.Workspaces {
		name := fmt.Sprintf("w%d", i+1)
		fmt.Fprintf(&b, "  - {name: %s, share: 10, services: [%s], keys: [%q]}\n", name, strings.Join(d.serviceNames(), ", "), spec.HashKey(name+"-key"))
	}
	return b.String()
}

// serviceNames returns the names of the services that have endpoints.
func (d *Deployment) serviceNames() []string {
	var names []string
	if len(d.Engines) > 0 {
		names = append(names, "llm")
	}
	if len(d.Services) > 0 {
		names = append(names, "orders")
	}
	return names
}

const centreCount = 3 // data centres

// centreName returns the data centre of the ith node, engine or server; they are
// assigned to the data centres in turn.
func centreName(i int) string {
	return fmt.Sprintf("dc-%d", i%centreCount+1)
}

// publishHosts puts the hosts of all nodes on the list of hosts.
func (d *Deployment) publishHosts() {
	var hosts []fakes.Host
	for i, ip := range d.ips {
		hosts = append(hosts, fakes.Host{IP: ip, Peer: d.peerAddr(i), Front: d.FrontAddr(i), Centre: centreName(i), State: "live"})
	}
	d.Hosts.Set(hosts)
}

func (d *Deployment) peerAddr(i int) string {
	return fmt.Sprintf("%s:%d", d.ips[i], peerPort)
}

// FrontAddr returns the address for callers of node i.
func (d *Deployment) FrontAddr(i int) string {
	return fmt.Sprintf("%s:%d", d.ips[i], frontPort)
}

// Settings returns the settings of node i, as changed by Config.EditSettings.
func (d *Deployment) Settings(i int) config.Node {
	settings := config.Node{
		PeerAddr:        d.peerAddr(i),
		FrontAddr:       d.FrontAddr(i),
		Centre:          centreName(i),
		Cluster:         "local",
		KVAddr:          d.KV.Addr(),
		HostsAddr:       d.Hosts.Addr(),
		ReattachSecret:  reattachSecret,
		Operators:       []string{"operator=" + spec.HashKey(operatorKey)},
		AddressTTL:      time.Second,
		MaxBodyBytes:    1 << 20,
		StallTimeout:    5 * time.Second,
		ClaimSettle:     3 * time.Second,
		GracePeriod:     time.Minute,
		MaxTraceEntries: 1 << 16,
		Seed:            uint64(i + 1),
	}
	if d.cfg.EditSettings != nil {
		d.cfg.EditSettings(&settings)
	}
	return settings
}

// StartNode starts node i, which must not be running.
func (d *Deployment) StartNode(i int) error {
	settings := d.Settings(i)
	if err := settings.Check(); err != nil {
		return err
	}
	ln, err := fakes.Listen(settings.FrontAddr)
	if err != nil {
		return err
	}
	d.frontListeners[i] = ln
	cfg := node.Config{Settings: settings, Now: time.Now(), Listen: func(string) (net.Listener, error) { return ln, nil }}
	if d.cfg.Dial != nil {
		cfg.Dial = func(ctx context.Context, to string) (net.Conn, error) { return d.cfg.Dial(ctx, settings.PeerAddr, to) }
	}
	if d.cfg.DialEndpoint != nil {
		cfg.DialEndpoint = func(ctx context.Context, t relay.Target) (net.Conn, error) { return d.cfg.DialEndpoint(ctx, i, t) }
	}
	n, err := node.Start(d.ctx, cfg)
	if err != nil {
		return err
	}
	d.Nodes[i] = n
	return nil
}

// DropCallerConns breaks every open connection between callers and node i.
func (d *Deployment) DropCallerConns(i int) {
	d.frontListeners[i].ResetConns()
}

// KillNode ends node i at once, as a crash would.
func (d *Deployment) KillNode(i int) error {
	n := d.Nodes[i]
	d.Nodes[i] = nil
	if err := d.frontListeners[i].Kill(); err != nil {
		return err
	}
	return n.Kill()
}

// StopNode stops node i gracefully, as the first signal to the node command does.
func (d *Deployment) StopNode(i int) error {
	n := d.Nodes[i]
	d.Nodes[i] = nil
	return n.Stop(d.ctx)
}

// Apply makes text the next revision of its team's document. It waits until the
// revision is in force on every running node and these nodes know each other as
// owners.
func (d *Deployment) Apply(text string) error {
	doc, err := spec.Parse([]byte(text))
	if err != nil {
		return err
	}
	ed := d.runningNodes()[0].Daemon().Editor()
	latest, err := ed.Get(d.ctx, doc.Team)
	var missing *editor.NoDocumentError
	if err != nil && !errors.As(err, &missing) {
		return err
	}
	applied, err := ed.Apply(d.ctx, time.Now(), editor.Edit{Team: doc.Team, Base: latest.Revision, ID: rand.Text(), Author: "local", Text: []byte(text)})
	if err != nil {
		return err
	}
	return d.Wait(func(n *node.Node) bool {
		r, ok := policy.Of(n.Daemon().State()).Revision(doc.Team)
		return ok && r.Number >= applied.Revision && len(member.Of(n.Daemon().State()).Owners()) >= len(d.runningNodes())
	})
}

// runningNodes returns the nodes that were not killed or stopped.
func (d *Deployment) runningNodes() []*node.Node {
	var nodes []*node.Node
	for _, n := range d.Nodes {
		if n != nil {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// Wait waits until a condition holds on every running node. It returns an error
// if the context of Start ends first.
func (d *Deployment) Wait(condition func(n *node.Node) bool) error {
	for d.ctx.Err() == nil {
		all := true
		for _, n := range d.runningNodes() {
			all = all && condition(n)
		}
		if all {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errors.Wrap(d.ctx.Err(), "wait for the nodes")
}

// Client returns a client with the key of a workspace, such as w1, or with the
// operator's key for an empty name.
func (d *Deployment) Client(workspace string) *client.Client {
	key := operatorKey
	if workspace != "" {
		key = workspace + "-key"
	}
	var fronts []string
	for i := range d.ips {
		fronts = append(fronts, d.FrontAddr(i))
	}
	return client.New(client.Config{Nodes: fronts, Key: key})
}

// Close ends the nodes and the fakes at once.
func (d *Deployment) Close() {
	for i, n := range d.Nodes {
		if n != nil {
			_ = d.KillNode(i)
		}
	}
	d.cancel()
	for _, e := range d.Engines {
		_ = e.Kill()
	}
	for _, s := range d.Services {
		_ = s.Kill()
	}
	if d.KV != nil {
		_ = d.KV.Kill()
	}
	if d.Hosts != nil {
		_ = d.Hosts.Kill()
	}
}
