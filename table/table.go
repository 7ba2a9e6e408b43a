// Package table holds the routing table in force: which service answers a
// request, how it may be repeated, and whose key it carries.
//
// A Table is immutable. Versions order tables; a node never replaces a table
// by one of a lower version.
package table

import (
	"crypto/sha256"
	"strings"
	"time"
)

// Kind says how often a request may run.
type Kind int

// The kinds of requests.
const (
	KindOnce       Kind = iota // at most once
	KindIdempotent             // any number of times
	KindStream                 // a generation, answered by a stream of events
)

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	switch k {
	case KindIdempotent:
		return "idempotent"
	case KindStream:
		return "stream"
	}
	return "once"
}

// Share is a part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  int
}

// Route describes the requests of one host and path prefix.
type Route struct {
	Name       string
	Host       string
	Prefix     string // begins and ends with a slash
	Kind       Kind
	Resumable  bool          // a stream may go on at another endpoint
	Generation bool          // answered by model engines
	Public     bool          // needs no key
	Timeout    time.Duration // longest time to the final answer; zero for none
	Objective  time.Duration // latency objective, to the first event of a stream
	Gap        time.Duration // longest pause between events that is still on time
	Priority   int           // 0 is the most urgent
	Attempts   int           // endpoints that one request may be sent to
	Shares     []Share
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Service picks one of the route's services. The same point in [0, 1) picks
// the same service.
func (r *Route) Service(point float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	left := point * float64(total)
	for _, s := range r.Shares {
		if left -= float64(s.Weight); left < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots      int           // generations that run at once
	Memory     int           // KV-cache memory, tokens
	TokenBytes int           // KV-cache memory of one token, bytes
	LinkMbps   float64       // link for KV-cache copies, Mbit/s
	Moves      bool          // a running generation can be moved to another engine
	Backups    bool          // a second engine can hold a copy of a running generation
	Stride     int           // tokens in one event
	CopyLife   time.Duration // an unused copy is kept at least this long
}

// Service describes a service's endpoints.
type Service struct {
	Name   string
	Health string  // path of the health check
	Conns  int     // connections that an endpoint accepts, from all nodes together
	Engine *Engine // nil for a plain service
}

// Workspace is the holder of keys.
type Workspace struct {
	Name     string
	Keys     []string
	Priority int  // goes before the route's priority, if Ranked
	Ranked   bool // Priority is set
}

// Limits bound what a caller may send.
type Limits struct {
	Header     int           // bytes of a request's header
	Body       int           // bytes of a request's body
	HeaderWait time.Duration // for a request's header to arrive
	Idle       time.Duration // between two requests of a connection
}

// Config describes a table.
type Config struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

type keyHash [sha256.Size]byte

// Table is the routing table of one version.
type Table struct {
	version  int64
	limits   Limits
	hosts    map[string]map[string]*Route // by host, then by prefix
	services map[string]*Service
	keys     map[keyHash]*Workspace
}

// New indexes a table.
func New(cfg Config) *Table {
	t := &Table{
		version:  cfg.Version,
		limits:   cfg.Limits,
		hosts:    map[string]map[string]*Route{},
		services: map[string]*Service{},
		keys:     map[keyHash]*Workspace{},
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		if t.hosts[r.Host] == nil {
			t.hosts[r.Host] = map[string]*Route{}
		}
		t.hosts[r.Host][r.Prefix] = r
	}
	for i := range cfg.Services {
		t.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Workspaces {
		w := &cfg.Workspaces[i]
		for _, key := range w.Keys {
			t.keys[sha256.Sum256([]byte(key))] = w
		}
	}
	return t
}

// Version returns the table's version.
func (t *Table) Version() int64 { return t.version }

// Limits returns the bounds on what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// Match returns the route with the longest prefix of path. Its cost grows with
// the depth of the path, not with the number of routes.
func (t *Table) Match(host, path string) (*Route, bool) {
	prefixes := t.hosts[host]
	for prefixes != nil {
		i := strings.LastIndexByte(path, '/')
		if i < 0 {
			break
		}
		if r, ok := prefixes[path[:i+1]]; ok {
			return r, true
		}
		path = path[:i]
	}
	return nil, false
}

// Service returns a service.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// NeedsKey reports whether requests on r must carry a key.
func (t *Table) NeedsKey(r *Route) bool {
	return len(t.keys) > 0 && !r.Public
}

// Identify returns the holder of a key. The lookup goes by the key's hash, so
// that its time tells nothing of the keys.
func (t *Table) Identify(key string) (*Workspace, bool) {
	w, ok := t.keys[sha256.Sum256([]byte(key))]
	return w, ok
}
