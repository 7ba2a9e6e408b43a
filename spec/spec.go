// Package spec defines a team's document, which configures the team's services,
// their endpoints and priorities, and the workspaces that may use them.
//
// A Document must not be modified after Parse or Decode has returned it. Both are
// strict: they report all faults of a document at once, each with its field and,
// from Parse, its line, and return no document if there is a fault.
package spec

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"
)

// Kind is the kind of a service.
type Kind string

// The kinds of service.
const (
	KindModel Kind = "model" // served by model engines
	KindPlain Kind = "plain" // served by ordinary HTTP servers
)

// KeyPrefix begins the hashed form of every key. The SHA-256 sum of the key follows
// in hexadecimal.
const KeyPrefix = "sha256:"

// Document is the whole configuration of one team. Encode writes its fields, and
// those of the types in it, under their Go names.
type Document struct {
	Team       string      `yaml:"team"`
	Services   []Service   `yaml:"services"`
	Workspaces []Workspace `yaml:"workspaces"`
}

// Service is one of the team's services.
type Service struct {
	Name      string     `yaml:"name"`
	Kind      Kind       `yaml:"kind"`
	Models    []Model    `yaml:"models"`
	Endpoints []Endpoint `yaml:"endpoints"`
	Classes   []Class    `yaml:"classes"`
	Calls     []Call     `yaml:"calls"`
	Weigh     Weights    `yaml:"weigh"`
}

// Model is a model that the engines of a service may load.
type Model struct {
	Name     string   `yaml:"name"`
	Version  string   `yaml:"version"`
	Adapters []string `yaml:"adapters"`
}

// Endpoint is one server of a service: an engine, or the HTTP server of a plain
// service.
type Endpoint struct {
	Name    string `yaml:"name"`
	Addr    string `yaml:"addr"`    // IP address and port
	Centre  string `yaml:"centre"`  // data centre
	Fencing bool   `yaml:"fencing"` // whether it rejects stale fencing tokens
	Memory  int    `yaml:"memory"`  // size of the KV cache, tokens; only for engines
	Slots   int    `yaml:"slots"`   // largest number of concurrent requests
}

// Class is a class of requests that share a priority and a deadline.
type Class struct {
	Name     string        `yaml:"name"`
	Priority int           `yaml:"priority"` // 0 to 100; a higher one is served first
	Whole    bool          `yaml:"whole"`    // whether a response is sent only when it is complete
	Deadline time.Duration `yaml:"deadline"` // longest time until a request is granted an endpoint; for a plain service, until each attempt is sent; 0 for the default
}

// Call describes the requests to a plain service with a method and path.
type Call struct {
	Method     string `yaml:"method"`
	Path       string `yaml:"path"`       // path prefix, matched by whole segments
	Idempotent bool   `yaml:"idempotent"` // whether a request may run more than once
}

// Weights holds the relative weights, each 0 to 10, that a service gives to three
// measures of service quality.
type Weights struct {
	Gap     int `yaml:"gap"`     // tail latency between tokens
	Stall   int `yaml:"stall"`   // time in which streams stall
	Preempt int `yaml:"preempt"` // number of preemptions
}

// Workspace is one customer of the team's services.
type Workspace struct {
	Name     string   `yaml:"name"`
	Share    int      `yaml:"share"`    // relative share of the engines' capacity, 1 to 1000
	Services []string `yaml:"services"` // names of the services it may call
	Keys     []string `yaml:"keys"`     // SHA-256 hashes of its keys, as HashKey returns them
}

// Service returns the service with the given name.
func (d *Document) Service(name string) (*Service, bool) {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i], true
		}
	}
	return nil, false
}

// Workspace returns the workspace with the given name.
func (d *Document) Workspace(name string) (*Workspace, bool) {
	for i := range d.Workspaces {
		if d.Workspaces[i].Name == name {
			return &d.Workspaces[i], true
		}
	}
	return nil, false
}

// Class returns the class with the given name, or the first class if name is
// empty.
func (s *Service) Class(name string) (*Class, bool) {
	for i := range s.Classes {
		if name == "" || s.Classes[i].Name == name {
			return &s.Classes[i], true
		}
	}
	return nil, false
}

// Model returns the model with the given name, or the first model if name is
// empty.
func (s *Service) Model(name string) (*Model, bool) {
	for i := range s.Models {
		if name == "" || s.Models[i].Name == name {
			return &s.Models[i], true
		}
	}
	return nil, false
}

// Call returns the first call whose method is method and whose path covers path.
func (s *Service) Call(method, path string) (*Call, bool) {
	for i := range s.Calls {
		c := &s.Calls[i]
		if c.Method == method && covers(c.Path, path) {
			return c, true
		}
	}
	return nil, false
}

// covers reports whether path equals prefix or lies below it.
func covers(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// Allows reports whether the workspace may call the service.
func (w *Workspace) Allows(service string) bool {
	for _, s := range w.Services {
		if s == service {
			return true
		}
	}
	return false
}

// HashKey returns the SHA-256 hash of a workspace's or operator's key, as documents
// and settings contain it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return KeyPrefix + hex.EncodeToString(sum[:])
}
