package fakes

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// HostsConfig configures a list of hosts.
type HostsConfig struct {
	Addr string
	Lag  time.Duration // delay until readers see a change
}

// Host is one entry of the list.
type Host struct {
	IP     string `json:"ip"`
	Peer   string `json:"peer,omitempty"`  // address for other nodes; empty if the host is not an entry host
	Front  string `json:"front,omitempty"` // address for callers; empty if the host is not an entry host
	Centre string `json:"centre"`
	State  string `json:"state"` // live or leaving
}

// hostsVersion is the list as it was set at one time.
type hostsVersion struct {
	at    time.Time
	hosts []Host
}

// Hosts is the platform's list of live and leaving hosts.
type Hosts struct {
	*Server
	cfg      HostsConfig
	mu       sync.Mutex
	versions []hostsVersion // oldest first, from the one that readers see
}

// StartHosts starts a list of hosts.
func StartHosts(cfg HostsConfig) (*Hosts, error) {
	h := &Hosts{cfg: cfg}
	var err error
	h.Server, err = startServer(cfg.Addr, h.serve, nil)
	return h, err
}

// Set replaces the list. Readers see the first list at once, and each later one
// after the lag.
func (h *Hosts) Set(hosts []Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = append(h.versions, hostsVersion{at: time.Now(), hosts: append([]Host(nil), hosts...)})
}

// serve replaces the list for a PUT and returns it for any other method.
func (h *Hosts) serve(ctx *fasthttp.RequestCtx) {
	if ctx.IsPut() {
		var hosts []Host
		if decodeBody(ctx, &hosts) {
			h.Set(hosts)
			replyJSON(ctx, fasthttp.StatusOK, hosts)
		}
		return
	}
	replyJSON(ctx, fasthttp.StatusOK, h.visible(time.Now()))
}

// visible returns the list that readers see at now, and discards older ones.
func (h *Hosts) visible(now time.Time) []Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.versions) > 1 && now.Sub(h.versions[1].at) >= h.cfg.Lag {
		h.versions = h.versions[1:]
	}
	if len(h.versions) == 0 {
		return []Host{}
	}
	return h.versions[0].hosts
}
