// Package spec defines a team's document: what its services may run, for whom
// and at what priority.
//
// A Document is immutable once Parse has returned it. Parse is strict: it
// reports every fault of a text at once, each with its line and field, and
// returns no document unless the text is free of faults.
package spec

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"
)

// Kind tells the two sorts of service apart.
type Kind string

// The kinds of service.
const (
	KindModel Kind = "model" // answered by model engines
	KindPlain Kind = "plain" // answered by ordinary HTTP servers
)

// KeyPrefix starts every stored workspace key; a SHA-256 sum in hex follows.
const KeyPrefix = "sha256:"

// Document is one team's whole configuration.
type Document struct {
	Team       string      `yaml:"team"`
	Services   []Service   `yaml:"services"`
	Workspaces []Workspace `yaml:"workspaces"`
}

// Service is one service that the team runs.
type Service struct {
	Name      string     `yaml:"name"`
	Kind      Kind       `yaml:"kind"`
	Models    []Model    `yaml:"models"`
	Endpoints []Endpoint `yaml:"endpoints"`
	Classes   []Class    `yaml:"classes"`
	Calls     []Call     `yaml:"calls"`
	Weigh     Weigh      `yaml:"weigh"`
}

// Model is a model that the service's engines may load.
type Model struct {
	Name     string   `yaml:"name"`
	Version  string   `yaml:"version"`
	Adapters []string `yaml:"adapters"`
}

// Endpoint is one engine or one plain server of a service.
type Endpoint struct {
	Name    string `yaml:"name"`
	Addr    string `yaml:"addr"`    // IP number and port
	Centre  string `yaml:"centre"`  // data centre
	Fencing bool   `yaml:"fencing"` // whether it refuses old fencing tokens
	Memory  int    `yaml:"memory"`  // KV-cache memory, tokens; engines only
	Slots   int    `yaml:"slots"`   // requests that may run at once
}

// Class is a kind of request with common needs.
type Class struct {
	Name     string        `yaml:"name"`
	Priority int           `yaml:"priority"` // 0 to 100, higher goes first
	Whole    bool          `yaml:"whole"`    // hold the reply back until it is complete
	Deadline time.Duration `yaml:"deadline"` // longest wait for the first token
}

// Call describes a path of a plain service.
type Call struct {
	Method     string `yaml:"method"`
	Path       string `yaml:"path"` // prefix of the path
	Idempotent bool   `yaml:"idempotent"`
}

// Weigh holds the relative weights of the three measures, each 0 to 10.
type Weigh struct {
	Gap     int `yaml:"gap"`     // tail latency between tokens
	Stall   int `yaml:"stall"`   // stall time
	Preempt int `yaml:"preempt"` // preemptions
}

// Workspace is one customer of the team's services.
type Workspace struct {
	Name     string   `yaml:"name"`
	Share    int      `yaml:"share"`    // relative share of the engines, 1 to 1000
	Services []string `yaml:"services"` // services it may call
	Keys     []string `yaml:"keys"`     // SHA-256 sums of its keys
}

// Service returns the service called name.
func (d *Document) Service(name string) (*Service, bool) {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i], true
		}
	}
	return nil, false
}

// Workspace returns the workspace called name.
func (d *Document) Workspace(name string) (*Workspace, bool) {
	for i := range d.Workspaces {
		if d.Workspaces[i].Name == name {
			return &d.Workspaces[i], true
		}
	}
	return nil, false
}

// Class returns the class called name. An empty name means the first class.
func (s *Service) Class(name string) (*Class, bool) {
	for i := range s.Classes {
		if name == "" || s.Classes[i].Name == name {
			return &s.Classes[i], true
		}
	}
	return nil, false
}

// Model returns the model called name. An empty name means the first model.
func (s *Service) Model(name string) (*Model, bool) {
	for i := range s.Models {
		if name == "" || s.Models[i].Name == name {
			return &s.Models[i], true
		}
	}
	return nil, false
}

// Call returns the first entry that covers a method and path.
func (s *Service) Call(method, path string) (*Call, bool) {
	for i := range s.Calls {
		c := &s.Calls[i]
		if c.Method == method && covers(c.Path, path) {
			return c, true
		}
	}
	return nil, false
}

// Reports whether path equals prefix or lies below it.
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

// HashKey returns the stored form of a workspace key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return KeyPrefix + hex.EncodeToString(sum[:])
}
