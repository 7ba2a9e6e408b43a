// Package local runs a whole deployment in one process, over loopback: the
// stand-ins, and nodes that are assembled as the daemon assembles them. Tests,
// measurements and the load command use it.
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
	"github.com/plantaindeck/plantaindeck/spec"
)

const (
	peerPort  = 7000
	frontPort = 8080
	pollPause = 10 * time.Millisecond
	adminKey  = "operator-key"
	secret    = "a-secret-for-local-runs"
)

// Config describes a deployment.
type Config struct {
	Nodes    int
	Engines  int // engines of the service llm
	Services int // servers of the plain service orders
	Spaces   int // workspaces, named w1, w2 and so on, with keys such as w1-key
	Engine   fakes.EngineConfig
	Service  fakes.ServiceConfig
	KV       fakes.KVConfig
	HostsLag time.Duration
	Weigh    spec.Weigh
	Node     func(n *config.Node)                                         // changes a node's settings; may be nil
	Dial     func(ctx context.Context, from, to string) (net.Conn, error) // between nodes; nil for TCP
}

// Deployment is a running deployment.
type Deployment struct {
	KV       *fakes.KV
	Hosts    *fakes.Hosts
	Engines  []*fakes.Engine
	Services []*fakes.Service
	Nodes    []*node.Node // a node that was killed or stopped is nil
	Document string
	cfg      Config
	ips      []string
	fronts   []*fakes.Listener // of the nodes, for callers
	ctx      context.Context
	cancel   context.CancelFunc
}

var lastIP atomic.Int64

// Returns a loopback address that no other deployment of this machine should
// be using.
func newIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&0x3f, pid&0xff, 1+lastIP.Add(1)%254)
}

// Start starts a deployment and waits until its document is in force on every
// node.
func Start(ctx context.Context, cfg Config) (*Deployment, error) {
	d := &Deployment{cfg: cfg}
	d.ctx, d.cancel = context.WithCancel(ctx)
	if err := d.startOutside(); err != nil {
		d.Close()
		return nil, err
	}
	d.Document = d.document()
	for range cfg.Nodes {
		d.ips = append(d.ips, newIP())
		d.Nodes = append(d.Nodes, nil)
		d.fronts = append(d.fronts, nil)
	}
	d.listHosts()
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

func (d *Deployment) startOutside() error {
	var err error
	kv, hosts := d.cfg.KV, fakes.HostsConfig{Addr: newIP() + ":8300", Lag: d.cfg.HostsLag}
	kv.Addr = newIP() + ":2379"
	if d.KV, err = fakes.StartKV(kv); err != nil {
		return err
	}
	if d.Hosts, err = fakes.StartHosts(hosts); err != nil {
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

// localClasses are the classes of the service llm: those of both examples, and
// whole, whose replies are held back.
const localClasses = `    classes:
      - {name: lookup, priority: 80, deadline: 60s}
      - {name: summary, priority: 20, deadline: 120s}
      - {name: question, priority: 70, deadline: 60s}
      - {name: report, priority: 40, deadline: 120s}
      - {name: whole, priority: 40, whole: true, deadline: 120s}
    endpoints:
`

// Returns the text of the deployment's document.
func (d *Deployment) document() string {
	var b strings.Builder
	w := d.cfg.Weigh
	fmt.Fprint(&b, "team: local\nservices:\n")
	if len(d.Engines) > 0 {
		fmt.Fprintf(&b, "  - name: llm\n    kind: model\n    models: [{name: m, version: 1}]\n")
		fmt.Fprintf(&b, "    weigh: {gap: %d, stall: %d, preempt: %d}\n", w.Gap, w.Stall, w.Preempt)
		fmt.Fprint(&b, localClasses)
	}
	for i, e := range d.Engines {
		fmt.Fprintf(&b, "      - {name: e%d, addr: %q, centre: %s, memory: %d, slots: %d}\n", i+1, e.Addr(), centre(i), d.cfg.Engine.Memory, d.cfg.Engine.Slots)
	}
	if len(d.Services) > 0 {
		fmt.Fprintf(&b, "  - name: orders\n    kind: plain\n    classes: [{name: counter, priority: 50, deadline: 5s}]\n")
		fmt.Fprintf(&b, "    calls:\n      - {method: GET, path: /stock, idempotent: true}\n      - {method: POST, path: /orders}\n    endpoints:\n")
	}
	for i, s := range d.Services {
		fmt.Fprintf(&b, "      - {name: s%d, addr: %q, centre: %s, slots: 64}\n", i+1, s.Addr(), centre(i))
	}
	fmt.Fprint(&b, "workspaces:\n")
	for i := range d.cfg.Spaces {
		name := fmt.Sprintf("w%d", i+1)
		fmt.Fprintf(&b, "  - {name: %s, share: 10, services: [%s], keys: [%q]}\n", name, strings.Join(d.services(), ", "), spec.HashKey(name+"-key"))
	}
	return b.String()
}

func (d *Deployment) services() []string {
	var names []string
	if len(d.Engines) > 0 {
		names = append(names, "llm")
	}
	if len(d.Services) > 0 {
		names = append(names, "orders")
	}
	return names
}

const centres = 3

func centre(i int) string {
	return fmt.Sprintf("dc-%d", i%centres+1)
}

// Puts the entry hosts on the list of hosts.
func (d *Deployment) listHosts() {
	var list []fakes.Host
	for i, ip := range d.ips {
		list = append(list, fakes.Host{IP: ip, Peer: d.peer(i), Front: d.Front(i), Centre: centre(i), State: "live"})
	}
	d.Hosts.Set(list)
}

func (d *Deployment) peer(i int) string {
	return fmt.Sprintf("%s:%d", d.ips[i], peerPort)
}

// Front returns the address for callers of node i.
func (d *Deployment) Front(i int) string {
	return fmt.Sprintf("%s:%d", d.ips[i], frontPort)
}

// Settings returns the settings of node i.
func (d *Deployment) Settings(i int) config.Node {
	settings := config.Node{
		Peer:    d.peer(i),
		Front:   d.Front(i),
		Centre:  centre(i),
		Cluster: "local",
		KV:      d.KV.Addr(),
		Hosts:   d.Hosts.Addr(),
		Secret:  secret,
		Admin:   []string{"operator=" + spec.HashKey(adminKey)},
		TTL:     time.Second,
		Body:    1 << 20,
		Stall:   5 * time.Second,
		Grace:   time.Minute,
		Events:  1 << 16,
		Seed:    uint64(i + 1),
	}
	if d.cfg.Node != nil {
		d.cfg.Node(&settings)
	}
	return settings
}

// StartNode starts node i, which must not be running.
func (d *Deployment) StartNode(i int) error {
	settings := d.Settings(i)
	if err := settings.Check(); err != nil {
		return err
	}
	ln, err := fakes.Listen(settings.Front)
	if err != nil {
		return err
	}
	d.fronts[i] = ln
	cfg := node.Config{Settings: settings, Now: time.Now(), Listen: func(string) (net.Listener, error) { return ln, nil }}
	if d.cfg.Dial != nil {
		cfg.Dial = func(ctx context.Context, to string) (net.Conn, error) { return d.cfg.Dial(ctx, settings.Peer, to) }
	}
	n, err := node.Start(d.ctx, cfg)
	if err != nil {
		return err
	}
	d.Nodes[i] = n
	return nil
}

// CutCallers breaks every connection of callers to node i.
func (d *Deployment) CutCallers(i int) {
	d.fronts[i].Cut()
}

// KillNode ends node i as a crash would.
func (d *Deployment) KillNode(i int) error {
	n := d.Nodes[i]
	d.Nodes[i] = nil
	if err := d.fronts[i].Kill(); err != nil {
		return err
	}
	return n.Kill()
}

// StopNode stops node i without cutting off a request.
func (d *Deployment) StopNode(i int) error {
	n := d.Nodes[i]
	d.Nodes[i] = nil
	return n.Stop(d.ctx)
}

// Apply makes text the next revision of its document, and waits until it is in
// force on every running node.
func (d *Deployment) Apply(text string) error {
	doc, err := spec.Parse([]byte(text))
	if err != nil {
		return err
	}
	ed := d.running()[0].Daemon().Editor()
	latest, err := ed.Get(d.ctx, doc.Team)
	var missing *editor.MissingError
	if err != nil && !errors.As(err, &missing) {
		return err
	}
	made, err := ed.Apply(d.ctx, time.Now(), editor.Edit{Team: doc.Team, Base: latest.Revision, ID: rand.Text(), Author: "local", Text: []byte(text)})
	if err != nil {
		return err
	}
	return d.Wait(func(n *node.Node) bool {
		r, ok := policy.Of(n.Daemon().State()).Revision(doc.Team)
		return ok && r.Number >= made.Revision && len(member.Of(n.Daemon().State()).Owners()) >= len(d.running())
	})
}

func (d *Deployment) running() []*node.Node {
	var list []*node.Node
	for _, n := range d.Nodes {
		if n != nil {
			list = append(list, n)
		}
	}
	return list
}

// Wait waits until a condition holds on every running node.
func (d *Deployment) Wait(holds func(n *node.Node) bool) error {
	for d.ctx.Err() == nil {
		all := true
		for _, n := range d.running() {
			all = all && holds(n)
		}
		if all {
			return nil
		}
		time.Sleep(pollPause)
	}
	return errors.Wrap(d.ctx.Err(), "wait for the nodes")
}

// Client returns a client of a workspace, such as w1, or of the operator for an
// empty name.
func (d *Deployment) Client(workspace string) *client.Client {
	key := adminKey
	if workspace != "" {
		key = workspace + "-key"
	}
	var fronts []string
	for i := range d.ips {
		fronts = append(fronts, d.Front(i))
	}
	return client.New(client.Config{Nodes: fronts, Key: key})
}

// Close ends everything.
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
