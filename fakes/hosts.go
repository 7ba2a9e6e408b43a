package fakes

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// HostsConfig describes a list of hosts.
type HostsConfig struct {
	Addr string
	Lag  time.Duration // age of what the list shows
}

// Host is one line of the list.
type Host struct {
	IP     string `json:"ip"`
	Peer   string `json:"peer,omitempty"`  // address for other nodes, on an entry host
	Front  string `json:"front,omitempty"` // address for callers, on an entry host
	Centre string `json:"centre"`
	State  string `json:"state"` // live or leaving
}

// hostList is the list from one time on.
type hostList struct {
	at    time.Time
	hosts []Host
}

// Hosts is the platform's list of live and leaving hosts.
type Hosts struct {
	*Server
	cfg  HostsConfig
	mu   sync.Mutex
	past []hostList
}

// StartHosts starts a list of hosts.
func StartHosts(cfg HostsConfig) (*Hosts, error) {
	h := &Hosts{cfg: cfg}
	var err error
	h.Server, err = start(cfg.Addr, h.serve, nil)
	return h, err
}

// Set replaces the list. Readers see it after the lag.
func (h *Hosts) Set(hosts []Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.past = append(h.past, hostList{at: time.Now(), hosts: append([]Host(nil), hosts...)})
}

func (h *Hosts) serve(ctx *fasthttp.RequestCtx) {
	if ctx.IsPut() {
		var hosts []Host
		if decode(ctx, &hosts) {
			h.Set(hosts)
			reply(ctx, fasthttp.StatusOK, hosts)
		}
		return
	}
	reply(ctx, fasthttp.StatusOK, h.visible(time.Now()))
}

// Returns the list as it was one lag ago; the first list shows at once.
func (h *Hosts) visible(now time.Time) []Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.past) > 1 && now.Sub(h.past[1].at) >= h.cfg.Lag {
		h.past = h.past[1:]
	}
	if len(h.past) == 0 {
		return []Host{}
	}
	return h.past[0].hosts
}
