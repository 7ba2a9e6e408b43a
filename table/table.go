// Package table holds the routing table: which service handles a request,
// whether the request may be retried, and which workspace a key belongs to.
//
// A Table is immutable. Versions order tables; a node never replaces a table
// by one of a lower version.
package table

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// Kind says how often a request may run, and whether its response is a stream.
type Kind int

// The kinds of requests.
const (
	KindOnce       Kind = iota // at most once
	KindIdempotent             // any number of times
	KindStream                 // a generation, whose response is a stream of events
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

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  int // relative to the other shares of the route
}

// Route describes the requests to one host name and path prefix.
type Route struct {
	Name             string
	Host             string // host name in the request
	Prefix           string // begins and ends with a slash
	Kind             Kind
	Resumable        bool          // a stream that broke off may continue at another endpoint
	Generation       bool          // served by model engines
	Public           bool          // needs no key
	Timeout          time.Duration // limit of the time to the complete response; zero for none
	LatencyObjective time.Duration `json:"Objective"` // objective for the time to the response; for a stream, to its first event
	GapObjective     time.Duration `json:"Gap"`       // objective for the pause between two events of a stream
	Priority         int           // 0 is the most urgent
	MaxAttempts      int           `json:"Attempts"` // limit of the attempts to send a request to an endpoint
	Shares           []Share
}

// Retryable reports whether a request may run more than once, so that it may
// be retried after its outcome became unknown.
func (r *Route) Retryable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Service returns the service whose share contains the given point in [0, 1), over
// which the shares are laid out by weight. It returns an empty name if no share has a
// weight.
func (r *Route) Service(point float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := point * float64(total)
	for _, s := range r.Shares {
		if remaining -= float64(s.Weight); remaining < 0 {
			return s.Service
		}
	}
	return ""
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots             int           // generations that run at once
	Memory            int           // KV cache, tokens
	TokenBytes        int           // KV cache of one token, bytes
	LinkMbps          float64       // bandwidth for copies of a KV cache, Mbit/s
	SupportsMigration bool          `json:"Moves"`    // a running generation can migrate to another engine
	TokensPerEvent    int           `json:"Stride"`   // tokens in one event of a stream
	CopyTTL           time.Duration `json:"CopyLife"` // an unused copy is kept at least this long
}

// Service describes a service's endpoints.
type Service struct {
	Name     string
	Health   string  // path of the health check
	MaxConns int     `json:"Conns"` // limit of the connections to an endpoint, from all nodes together
	Engine   *Engine // nil for a service without model engines
	Cold     ColdBound
}

// Bounds of the requests to cold endpoints that apply unless others are configured.
const (
	DefaultColdExcess = 1.5
	DefaultColdSlack  = 5
)

// ColdBound says how many requests a cold endpoint can bear in any second, from all nodes
// together: PerSecond times Excess plus Slack.
type ColdBound struct {
	PerSecond float64 // 0 for no bound
	Excess    float64
	Slack     float64
}

// Workspace is a customer, whose requests carry one of its keys.
type Workspace struct {
	Name        string
	Keys        []string
	Priority    int  // replaces the route's priority, if HasPriority
	HasPriority bool `json:"Ranked"` // Priority is set
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int           `json:"Header"`     // size of a request's header, bytes
	MaxBodyBytes   int           `json:"Body"`       // size of a request's body, bytes
	HeaderTimeout  time.Duration `json:"HeaderWait"` // time for a request's header to arrive
	IdleTimeout    time.Duration `json:"Idle"`       // time between two requests of a connection
}

// Config describes a table. Nodes send it to each other as JSON under the names
// of its fields and of those of the types that it holds, so a renamed field
// needs a tag that keeps its name.
type Config struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// KeysRequired says that requests carry the key of a workspace, even if no workspace, or none
	// with a key, is left. It is implied if there are workspaces.
	KeysRequired bool `json:"Keyed"`
	Limits       Limits
}

// keyHash is the SHA-256 hash of a workspace key.
type keyHash [sha256.Size]byte

// Table is the routing table of one version.
type Table struct {
	version  int64
	limits   Limits
	routes   map[string]map[string]*Route // by host, then by prefix
	services map[string]*Service
	keys     map[keyHash]*Workspace
	keyed    bool              // requests carry the key of a workspace
	urgent   map[string]Urgent // by service
	// resumable holds the names of the services of resumable routes, sorted.
	resumable       []string
	resumableRoutes map[string]bool // by name
}

// New returns the table that cfg describes.
func New(cfg Config) *Table {
	t := &Table{
		version:  cfg.Version,
		limits:   cfg.Limits,
		routes:   map[string]map[string]*Route{},
		services: map[string]*Service{},
		keys:     map[keyHash]*Workspace{},
		keyed:    cfg.KeysRequired || len(cfg.Workspaces) > 0,
		urgent:   urgentByService(cfg.Routes),

		resumableRoutes: map[string]bool{},
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		if t.routes[r.Host] == nil {
			t.routes[r.Host] = map[string]*Route{}
		}
		t.routes[r.Host][r.Prefix] = r
		t.addResumable(r)
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

func (t *Table) addResumable(r *Route) {
	if !r.Resumable {
		return
	}
	t.resumableRoutes[r.Name] = true
	for _, sh := range r.Shares {
		if i, found := slices.BinarySearch(t.resumable, sh.Service); !found {
			t.resumable = slices.Insert(t.resumable, i, sh.Service)
		}
	}
}

// ResumableServices returns the sorted names of the services whose streams a caller may take up
// again. The caller must not change the slice.
func (t *Table) ResumableServices() []string { return t.resumable }

// IsResumable reports whether a caller may take up the streams of the named route again.
func (t *Table) IsResumable(route string) bool { return t.resumableRoutes[route] }

// Version returns the table's version.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits of what a caller may send.
func (t *Table) Limits() Limits { return t.limits }

// Match returns the route of the host whose prefix is the longest prefix of
// path. It looks up each parent of the path, so its cost grows with the depth of
// the path and not with the number of routes.
func (t *Table) Match(host, path string) (*Route, bool) {
	prefixes := t.routes[host]
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

// Service returns the named service, if the table has it.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// NeedsKey reports whether a request on r must carry a key, also while no key is valid.
func (t *Table) NeedsKey(r *Route) bool {
	return t.keyed && !r.Public
}

// KeyCount returns the number of valid keys, and whether requests must carry one.
func (t *Table) KeyCount() (n int, required bool) { return len(t.keys), t.keyed }

// Identify returns the workspace that a key belongs to. The lookup compares
// hashes, so that its duration reveals nothing about the keys.
func (t *Table) Identify(key string) (*Workspace, bool) {
	w, ok := t.keys[sha256.Sum256([]byte(key))]
	return w, ok
}
