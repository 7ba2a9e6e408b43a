package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	host        = "ficu95.example"
	key         = "xd9dnn2ctnfzs989anu6"
	tenant      = "huka270"
	grace       = 8 * time.Second
	restartTime = 500 * time.Millisecond // from the end of a process until the platform starts it again
	metricsPort = 9464                   // of deploy/system.toml
	readyTime   = 15 * time.Second       // within which all nodes must be ready
)

// Ports of all nodes. Each node has a loopback address of its own.
const (
	portFront     = 8740
	portDirectory = 8746
	portControl   = 8748
	portReady     = 8749
	portPeer      = 7200
)

// run is one run of a request at a server.
type run struct {
	request string
	server  *server
	target  string // method and request target, as they arrived
	at      time.Time
	harmful bool // it crashed the server
}

// deployment is a small deployment: the store, the servers and the nodes.
type deployment struct {
	root     string // of the repository
	dir      string // temporary folder
	log      *record
	store    *store
	zones    []string
	servers  []*server
	serverIP string
	nodes    []*node
	shared   []string // ids of the parts that all prompts share

	mu   sync.Mutex
	runs []run
}

// node is a machine with one process of the system.
type node struct {
	d       *deployment
	name    string
	ip      string
	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{} // closed when the process has ended
	started time.Time
	starts  int
}

// newDeployment returns a deployment without servers and nodes.
func newDeployment(root string, log *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{root: root, dir: dir, log: log, zones: []string{"khomas-a", "khomas-b", "khomas-c"}, shared: []string{"5c1e07a2"}}
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
		if portsFree(prefix+".1") && portsFree(prefix+".2") && portsFree(prefix+".3") {
			d.serverIP = prefix + ".200"
			for i := range 3 {
				d.nodes = append(d.nodes, &node{d: d, name: fmt.Sprintf("front-%s-1", d.zones[i]), ip: fmt.Sprintf("%s.%d", prefix, i+1)})
			}
			break
		}
	}
	if d.serverIP == "" {
		return nil, fmt.Errorf("no loopback addresses with free ports")
	}
	d.store, err = newStore(d.serverIP, log)
	return d, err
}

// portsFree reports whether a node can use an address.
func portsFree(ip string) bool {
	for _, port := range []int{portFront, portDirectory, portControl, portReady, portPeer, metricsPort} {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

// close ends all processes.
func (d *deployment) close() {
	for _, n := range d.nodes {
		n.kill()
	}
	_ = os.RemoveAll(d.dir)
}

// anyNode returns the address for callers of a random node.
func (d *deployment) anyNode() string {
	return fmt.Sprintf("%s:%d", d.nodes[rand.IntN(len(d.nodes))].ip, portFront)
}

// ran records that a server began to run a request.
func (d *deployment) ran(s *server, r *http.Request, body int, harmful bool) {
	d.mu.Lock()
	d.runs = append(d.runs, run{request: r.Header.Get("X-Request-Id"), server: s, target: r.Method + " " + r.RequestURI, at: time.Now(), harmful: harmful})
	d.mu.Unlock()
	d.log.line(s.id, "runs %s: %s %s for host %s, tenant %s, after event %q, %d bytes", r.Header.Get("X-Request-Id"), r.Method, r.RequestURI, r.Host, r.Header.Get("X-Tenant"), r.Header.Get("Last-Event-Id"), body)
}

// runsOf returns the runs of a request.
func (d *deployment) runsOf(id string) []run {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []run
	for _, r := range d.runs {
		if r.request == id {
			list = append(list, r)
		}
	}
	return list
}

// putConfig writes the operator's first config. Its routes are like those of the site onc-paper; the
// drafts are resumable.
func (d *deployment) putConfig() {
	route := func(name, prefix, kind, service string, timeout, target, attempts int, stream bool) map[string]any {
		r := map[string]any{"name": name, "host": host, "path-prefix": prefix, "kind": kind, "timeout-ms": timeout, "target-latency-ms": target, "priority": 1, "service": service, "max-attempts": attempts, "public": false, "sticky": stream, "resumable": stream}
		if stream {
			r["gap-aim-ms"] = 180
		}
		return r
	}
	runtime := map[string]any{"slot-count": 24, "kv-capacity": 34261 * 4, "kv-token-bytes": 35136, "link-mbps": 5100.0, "moves": false, "backups": false, "stride": stride, "most": 12, "pin-ms": 4000, "hold-ms": 2000, "handle-s": 5, "models": []any{map[string]any{"name": "m"}}}
	d.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{
			route("r-drafts", "/lohu930/", "streaming", "llm-desk", 39000, 1800, 2, true),
			route("r-orders", "/pule252/", "unsafe", "orders-app", 800, 300, 1, false),
			route("r-stock", "/puxa403/", "safe", "orders-app", 800, 300, 2, false),
			route("r-rest", "/", "unsafe", "orders-app", 800, 300, 1, false),
		},
		"services": []any{
			map[string]any{"name": "llm-desk", "health-path": "/health", "max-conns": 282, "protocol": "h1", "tls": false, "runtime": runtime},
			map[string]any{"name": "orders-app", "health-path": "/health", "max-conns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api-keys": []string{key}, "priority": 1}},
	})
}

// start starts all nodes for the first time and waits until they are ready.
func (d *deployment) start() error {
	for _, n := range d.nodes {
		if err := n.start(true); err != nil {
			return err
		}
	}
	return d.awaitReady(d.nodes...)
}

func (d *deployment) awaitReady(nodes ...*node) error {
	deadline := time.Now().Add(readyTime)
	for _, n := range nodes {
		for !n.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready within %s", n.name, readyTime)
			}
			time.Sleep(20 * time.Millisecond)
		}
		d.log.line(n.name, "is ready")
	}
	return nil
}

// settings returns the settings file of a node, in the platform's format.
func (n *node) settings(bootstrap bool) map[string]any {
	addr := func(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }
	zones := map[string]string{}
	for _, z := range n.d.zones {
		zones[z] = "khomas"
	}
	var seeds []string
	for _, other := range n.d.nodes {
		seeds = append(seeds, fmt.Sprintf("%s:%d", other.ip, portControl))
	}
	return map[string]any{
		"node-name": n.name, "role": "node", "machine-class": "front", "serves": []string{"front", "control", "directory"},
		"ip": n.ip, "zone": n.name[len("front-") : len(n.name)-len("-1")], "region": "khomas", "zones": zones,
		"listen-addrs": map[string]string{"front": addr(portFront), "ready": addr(portReady), "control": addr(portControl), "directory": addr(portDirectory)},
		"port-range":   []int{portPeer, portPeer + 15}, "seed-nodes": seeds, "bootstrap": bootstrap, "fault-counted": false,
		"limits":   map[string]any{"cpu-share": 0.608, "cpu-cores": 1, "memory-mb": 189, "max-fds": 6150, "link-mbps": 1500.0, "disk-mb": 0},
		"data-dir": nil, "discovery": "platform", "entry-mode": "directory", "heartbeat-ms": heartbeat.Milliseconds(),
		"invariants":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"fault-tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "addr-reuse-s": 2, "contact-ms": 3000, "ack-ms": 4000, "sync-s": 4, "drain-ms": 2000, "grace-s": grace.Seconds(), "loss-slack-ms": 200,
			"config-apply-ms": 2000, "downgrade-ms": 250, "max-stretch-ms": 5000, "strict-revoke": false, "revoke-ms": 5000, "retry-budget-ratio": 0.2,
			"retry-window-s": 10, "retry-burst": 56, "recovery-s": 12, "pass-ms": 120, "reuse-window-s": 5, "ttl_max_s": 5,
		},
		"platform-api": map[string]any{"address": n.d.store.addr, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000},
	}
}

// start starts the node's process with the command of the deploy file.
func (n *node) start(bootstrap bool) error {
	path := filepath.Join(n.d.dir, n.name+".json")
	data, err := json.Marshal(n.settings(bootstrap))
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(n.d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	cmd := exec.Command("target/plantaindeck", "platform")
	cmd.Dir = n.d.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PLANTAINDECK_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done, n.started = cmd, done, time.Now()
	n.starts++
	n.mu.Unlock()
	n.d.log.line(n.name, "its process starts at %s", n.ip)
	go func() {
		err := cmd.Wait()
		n.d.log.line(n.name, "its process has ended: %v", err)
		close(done)
	}()
	return nil
}

// kill kills the node's process and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	cmd, done := n.cmd, n.done
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // it may have ended
	<-done
}

// stop stops the node as the platform does: SIGTERM, and SIGKILL after the grace time. It returns
// when the process has ended.
func (n *node) stop() {
	n.mu.Lock()
	cmd, done := n.cmd, n.done
	n.mu.Unlock()
	n.d.log.line(n.name, "SIGTERM")
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(grace):
		n.d.log.line(n.name, "SIGKILL after the grace time")
		_ = cmd.Process.Kill()
		<-done
	}
}

// restart stops a node, starts it again and waits until it is ready. If trouble is false, it does
// nothing.
func (d *deployment) restart(n *node, trouble bool) error {
	if !trouble {
		return nil
	}
	n.stop()
	time.Sleep(restartTime)
	if err := n.start(false); err != nil {
		return err
	}
	return d.awaitReady(n)
}

// runTime returns for how long the node's process has run.
func (n *node) runTime() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.started)
}

var probeClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// ready asks the node whether it is ready.
func (n *node) ready() bool {
	resp, err := probeClient.Get(fmt.Sprintf("http://%s:%d/ready", n.ip, portReady))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
