// Package assign makes engines load the models, adapters and versions that the
// documents name.
//
// For each service one node holds a lock in the key-value service and commands
// the engines. It compares what each engine has loaded with what the document
// names, and sends one command at a time, so that engines do not load from the
// weight store all at once.
//
// Invariants:
//   - A command is sent only if, by the local monotonic clock, the lock will
//     still be held when it arrives.
//   - Every command carries the lock's fencing token.
//   - In an outage of the key-value service the lock expires and no command is
//     sent; engines continue to serve what they have loaded.
package assign

import (
	"cmp"
	"slices"

	"github.com/plantaindeck/plantaindeck/spec"
)

// ModelVersion is a version of a model or adapter.
type ModelVersion struct {
	Model   string `json:"model"` // "model" or "model:adapter"
	Version string `json:"version"`
}

// Command tells an engine to load or unload a model or adapter.
type Command struct {
	Kind    string `json:"kind"` // "load" or "unload"
	Model   string `json:"model"`
	Version string `json:"version"`
	Token   int64  `json:"token"` // fencing token
}

// WantedModels returns the models and adapters that every engine of a service
// must have loaded.
func WantedModels(s *spec.Service) []ModelVersion {
	var list []ModelVersion
	for _, m := range s.Models {
		list = append(list, ModelVersion{Model: m.Name, Version: m.Version})
		for _, a := range m.Adapters {
			list = append(list, ModelVersion{Model: m.Name + ":" + a, Version: m.Version})
		}
	}
	return list
}

// NextCommand returns the next command that turns loaded into wanted, or false
// if none is needed. Loads precede unloads, so that an engine serves a model
// until its successor is loaded.
func NextCommand(wanted, loaded []ModelVersion) (Command, bool) {
	for _, w := range wanted {
		if !slices.Contains(loaded, w) {
			return Command{Kind: "load", Model: w.Model, Version: w.Version}, true
		}
	}
	sorted := slices.SortedFunc(slices.Values(loaded), func(a, b ModelVersion) int { return cmp.Compare(a.Model, b.Model) })
	for _, l := range sorted {
		if !slices.ContainsFunc(wanted, func(w ModelVersion) bool { return w.Model == l.Model }) {
			return Command{Kind: "unload", Model: l.Model, Version: l.Version}, true
		}
	}
	return Command{}, false
}
