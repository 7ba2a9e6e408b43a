package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of all machines.
const (
	frontPort     = 8740
	directoryPort = 8746
	controlPort   = 8748
	readyPort     = 8749
	firstPeerPort = 7200
	lastPeerPort  = 7215
)

// node is a process of the system.
type node struct {
	rig     *rig
	name    string
	ip      string
	zone    string
	file    string // settings
	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{} // closed when the process has ended
	started time.Time
}

func (n *node) front() string     { return fmt.Sprintf("%s:%d", n.ip, frontPort) }
func (n *node) directory() string { return fmt.Sprintf("%s:%d", n.ip, directoryPort) }

// writeSettings writes the settings file of a node, as that of a small deployment.
func (n *node) writeSettings(bootstrap bool) error {
	var seeds []string
	for i, other := range n.rig.nodes {
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", other.ip, controlPort))
		}
	}
	settings := map[string]any{
		"node-name": n.name, "role": "node", "machine-class": "front", "serves": []string{"front", "control", "directory"},
		"ip": n.ip, "zone": n.zone, "region": "khomas", "zones": map[string]string{"khomas-a": "khomas", "khomas-b": "khomas", "khomas-c": "khomas"},
		"listen-addrs": map[string]string{"front": n.front(), "ready": fmt.Sprintf("%s:%d", n.ip, readyPort), "control": fmt.Sprintf("%s:%d", n.ip, controlPort), "directory": n.directory()},
		"port-range":   []int{firstPeerPort, lastPeerPort}, "seed-nodes": seeds, "bootstrap": bootstrap, "fault-counted": true,
		"limits":   map[string]any{"cpu-share": 1, "cpu-cores": 1, "memory-mb": 189, "max-fds": 6150, "link-mbps": 1500, "disk-mb": 0},
		"data-dir": nil, "discovery": "platform", "entry-mode": "directory", "heartbeat-ms": 1200,
		"invariants":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"fault-tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "addr-reuse-s": 2, "contact-ms": 3000, "ack-ms": 4000, "sync-s": 4, "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200,
			"config-apply-ms": 2000, "downgrade-ms": 250, "max-stretch-ms": 5000, "strict-revoke": false, "revoke-ms": 5000, "retry-budget-ratio": 0.2,
			"retry-window-s": 10, "retry-burst": 56, "recovery-s": 12, "pass-ms": 120, "reuse-window-s": 5, "ttl_max_s": 5,
		},
		"platform-api": map[string]any{"address": n.rig.storeAddr, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1 << 20, "ttl-min-ms": 1000},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(n.file, data, 0o600)
}

// start starts the process with the command of the deploy file.
func (n *node) start(bootstrap bool) error {
	if err := n.writeSettings(bootstrap); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.rig.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/plantaindeck", "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PLANTAINDECK_NODE_FILE=" + n.file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = log.Close()
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done, n.started = cmd, done, time.Now()
	n.mu.Unlock()
	go func() {
		err := cmd.Wait()
		n.rig.record("process of %s ended: %v", n.name, err)
		close(done)
	}()
	n.rig.record("started %s", n.name)
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	if done != nil {
		<-done
	}
}

// inTouchSince reports whether the process has run for contact-ms at a moment.
func (n *node) inTouchSince(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.started.IsZero() && at.Sub(n.started) >= contactTime
}
