// Package kernel is the decision core of a node.
//
// The kernel performs no I/O. It has no socket, no clock and no global source
// of randomness: Step takes the present time and one event, and returns the
// next state and the effects to carry out. The daemon, a test, a benchmark or
// another program may drive it; none of them is needed to import it.
//
// What a node decides is the work of plug-ins. A plug-in registers itself when
// its package is imported and owns one part of the state. Within a Step each
// plug-in sees the event once, in the order of the plug-ins' ranks; an event
// that a plug-in raises follows after it.
//
// A State is immutable: Step leaves the old one valid, and parts that an event
// does not concern are shared by both.
package kernel

import (
	"fmt"
	"sort"
	"time"

	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	maxPlugins = 16
	maxRaised  = 100_000 // events raised within one Step
)

// Config is what a node knows of itself from its settings.
type Config struct {
	Self *wire.Member // this node, with the incarnation of this start
	Seed uint64       // seed of every random choice
}

// Part is a plug-in's part of the state: a pointer to an immutable value.
type Part any

// Plugin describes a plug-in whose part has the type P, a pointer.
type Plugin[P Part] struct {
	Name string
	Rank int // plug-ins of a lower rank see an event first
	Init func(cfg Config) P
	Step func(now time.Time, s State, e Event) (P, []Effect)
}

// Handle gives typed access to a plug-in's part of a state.
type Handle[P Part] struct {
	slot int
}

// Of returns the plug-in's part of s.
func (h Handle[P]) Of(s State) P {
	return s.parts[h.slot].(P)
}

// entry is a registered plug-in without its type.
type entry struct {
	name string
	rank int
	slot int
	init func(cfg Config) Part
	step func(now time.Time, s State, e Event) (Part, []Effect)
}

var entries []entry

// Register adds a plug-in. It is called while packages are initialised, and
// panics when a name is taken or too many plug-ins register.
func Register[P Part](p Plugin[P]) Handle[P] {
	slot := len(entries)
	if slot == maxPlugins {
		panic(fmt.Sprintf("kernel: plug-in %q exceeds the limit of %d", p.Name, maxPlugins))
	}
	for _, e := range entries {
		if e.name == p.Name {
			panic(fmt.Sprintf("kernel: plug-in %q is registered twice", p.Name))
		}
	}
	entries = append(entries, entry{
		name: p.Name,
		rank: p.Rank,
		slot: slot,
		init: func(cfg Config) Part { return p.Init(cfg) },
		step: func(now time.Time, s State, e Event) (Part, []Effect) { return p.Step(now, s, e) },
	})
	return Handle[P]{slot: slot}
}

// State is the whole state of a node's decisions.
type State struct {
	Config Config
	order  []entry
	parts  [maxPlugins]Part
}

// New returns the first state, with every registered plug-in.
func New(cfg Config) State {
	s := State{Config: cfg, order: append([]entry(nil), entries...)}
	sort.SliceStable(s.order, func(i, j int) bool { return s.order[i].rank < s.order[j].rank })
	for _, e := range s.order {
		s.parts[e.slot] = e.init(cfg)
	}
	return s
}

// Plugins returns the names of the plug-ins in the order in which they see an
// event.
func (s State) Plugins() []string {
	names := make([]string, len(s.order))
	for i, e := range s.order {
		names[i] = e.name
	}
	return names
}

// Step applies one event at the time now. The effects are in the order in
// which they must be carried out.
func (s State) Step(now time.Time, e Event) (State, []Effect) {
	var effects []Effect
	queue := []Event{e}
	for n := 0; n < len(queue); n++ {
		if n > maxRaised {
			panic(fmt.Sprintf("kernel: %T raised more than %d events", e, maxRaised))
		}
		for _, p := range s.order {
			part, out := p.step(now, s, queue[n])
			s.parts[p.slot] = part
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
