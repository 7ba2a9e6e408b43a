// Package kernel is the decision core of a node.
//
// The kernel performs no I/O. It has no socket, no clock and no global source
// of randomness: Step takes the present time and one event, and returns the
// next state and the effects to carry out. The program that calls Step is the
// driver: the daemon, a test, a benchmark or any other. The kernel depends on
// none of them.
//
// The decisions are made by plug-ins. A plug-in registers itself when its
// package is imported, and owns its own part of the state. Within a Step each
// plug-in handles the event once, in the order of the plug-ins' ranks. Events
// that plug-ins raise are queued, and each is handled in the same way after the
// one before it.
//
// A State is immutable: Step leaves the old one valid. Old and new share the
// plug-in states that the event did not change.
package kernel

import (
	"fmt"
	"sort"
	"time"

	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	maxPlugins = 16      // plug-ins that may register
	maxRaised  = 100_000 // events raised within one Step; more mean an endless loop
)

// Config describes this node to its plug-ins.
type Config struct {
	Self *wire.Member // this node, with the incarnation of this start
	Seed uint64       // seed of every random choice
}

// PluginState is a plug-in's part of a State: a pointer to an immutable value.
type PluginState any

// Plugin describes a plug-in whose state has the pointer type P.
type Plugin[P PluginState] struct {
	Name string // unique among the plug-ins
	Rank int    // plug-ins of a lower rank handle an event first
	// Init returns the state of the plug-in when the node starts.
	Init func(cfg Config) P
	// Step returns the plug-in's next state, and effects to carry out.
	Step func(now time.Time, s State, e Event) (P, []Effect)
}

// Handle gives typed access to a plug-in's state within a State.
type Handle[P PluginState] struct {
	slot int
}

// Of returns the plug-in's state within s.
func (h Handle[P]) Of(s State) P {
	return s.states[h.slot].(P)
}

// plugin is a registered plug-in, without the type of its state.
type plugin struct {
	name string
	rank int
	slot int // index of its state in State.states
	init func(cfg Config) PluginState
	step func(now time.Time, s State, e Event) (PluginState, []Effect)
}

var registered []plugin

// Register adds a plug-in and returns the handle to its state. It must be called
// during package initialisation, and panics if the name is taken or if more than
// maxPlugins register.
func Register[P PluginState](p Plugin[P]) Handle[P] {
	slot := len(registered)
	if slot == maxPlugins {
		panic(fmt.Sprintf("kernel: plug-in %q exceeds the limit of %d", p.Name, maxPlugins))
	}
	for _, e := range registered {
		if e.name == p.Name {
			panic(fmt.Sprintf("kernel: plug-in %q is registered twice", p.Name))
		}
	}
	registered = append(registered, plugin{
		name: p.Name,
		rank: p.Rank,
		slot: slot,
		init: func(cfg Config) PluginState { return p.Init(cfg) },
		step: func(now time.Time, s State, e Event) (PluginState, []Effect) { return p.Step(now, s, e) },
	})
	return Handle[P]{slot: slot}
}

// State is the state of a node's kernel, with the states of all plug-ins.
type State struct {
	Config  Config
	plugins []plugin                // in the order in which they handle an event
	states  [maxPlugins]PluginState // by the plug-in's slot
}

// New returns the initial state with every registered plug-in.
func New(cfg Config) State {
	s := State{Config: cfg, plugins: append([]plugin(nil), registered...)}
	sort.SliceStable(s.plugins, func(i, j int) bool { return s.plugins[i].rank < s.plugins[j].rank })
	for _, p := range s.plugins {
		s.states[p.slot] = p.init(cfg)
	}
	return s
}

// Plugins returns the names of the plug-ins in the order in which they handle
// an event.
func (s State) Plugins() []string {
	names := make([]string, len(s.plugins))
	for i, p := range s.plugins {
		names[i] = p.name
	}
	return names
}

// Step handles one event, and the events that it raises, at the time now. It
// returns the next state, and the effects in the order in which they must be
// carried out. It panics if more than maxRaised events are raised.
func (s State) Step(now time.Time, e Event) (State, []Effect) {
	var effects []Effect
	queue := []Event{e}
	for n := 0; n < len(queue); n++ {
		if n > maxRaised {
			panic(fmt.Sprintf("kernel: %T raised more than %d events", e, maxRaised))
		}
		for _, p := range s.plugins {
			state, out := p.step(now, s, queue[n])
			s.states[p.slot] = state
			for _, f := range out {
				if r, ok := f.(Raise); ok {
					queue = append(queue, r.Event)
					continue
				}
				effects = append(effects, f)
			}
		}
	}
	return s, effects
}
