// Package assign brings engines to the models, adapters and versions that the
// documents want, by commands.
//
// For each service one node holds the right to command its engines, as a lease
// in the key-value service. It compares what each engine has loaded with what
// the document wants, and sends one command at a time, so that loads do not
// crowd the weight store.
//
// Invariants:
//   - A command is sent only while the hold outlasts its flight, by the local
//     monotonic clock.
//   - Every command carries the hold's fencing token.
//   - In an outage of the key-value service the hold ends, and no new command
//     is sent; serving goes on with what is loaded.
package assign

import (
	"cmp"
	"slices"

	"github.com/plantaindeck/plantaindeck/spec"
)

// Loaded is a model or adapter on an engine.
type Loaded struct {
	Model   string `json:"model"` // model or model:adapter
	Version string `json:"version"`
}

// Command is an order to an engine.
type Command struct {
	Kind    string `json:"kind"` // load or unload
	Model   string `json:"model"`
	Version string `json:"version"`
	Token   int64  `json:"token"`
}

// Wanted returns what the engines of a service must have loaded.
func Wanted(s *spec.Service) []Loaded {
	var list []Loaded
	for _, m := range s.Models {
		list = append(list, Loaded{Model: m.Name, Version: m.Version})
		for _, a := range m.Adapters {
			list = append(list, Loaded{Model: m.Name + ":" + a, Version: m.Version})
		}
	}
	return list
}

// Next returns the command that brings an engine nearer to what is wanted, if
// it lacks anything. Loads go before unloads, so that what is served now stays
// until its successor is there.
func Next(wanted, loaded []Loaded) (Command, bool) {
	for _, w := range wanted {
		if !slices.Contains(loaded, w) {
			return Command{Kind: "load", Model: w.Model, Version: w.Version}, true
		}
	}
	sorted := slices.SortedFunc(slices.Values(loaded), func(a, b Loaded) int { return cmp.Compare(a.Model, b.Model) })
	for _, l := range sorted {
		if !slices.ContainsFunc(wanted, func(w Loaded) bool { return w.Model == l.Model }) {
			return Command{Kind: "unload", Model: l.Model, Version: l.Version}, true
		}
	}
	return Command{}, false
}
