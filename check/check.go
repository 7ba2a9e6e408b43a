// Package check holds the models by which histories of concurrent runs are
// checked, one for each promise that a caller can see.
//
// A history is a list of operations with the times of their start and end. The
// checker looks for an order of the operations, within those times, that the
// model allows; the promise is broken if there is none.
package check

import (
	"fmt"
	"slices"

	"github.com/anishathalye/porcupine"
	"github.com/plantaindeck/plantaindeck/apierr"
)

// Call is one sending of a call that may not be repeated.
type Call struct {
	Key     string // idempotency key
	Outcome apierr.Outcome
	Number  int // of the execution that answered; 0 without an answer
}

// once is the state of one key: the number of its execution, or 0.
type once int

// Once is the model of at most once: all answers under a key are of one
// execution. An unknown outcome allows that the call ran and that it did not.
func Once() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			return byKey(history, func(op porcupine.Operation) string { return op.Input.(Call).Key })
		},
		Init: func() []any { return []any{once(0)} },
		Step: func(state, input, _ any) []any { return input.(Call).step(state.(once)) },
	}
	return model.ToModel()
}

// anyNumber stands for an execution whose number no answer told.
const anyNumber once = -1

func (c Call) step(s once) []any {
	switch c.Outcome {
	case apierr.OutcomeRan:
		if s != 0 && s != anyNumber && s != once(c.Number) {
			return nil
		}
		return []any{once(c.Number)}
	case apierr.OutcomeUnknown:
		if s == 0 {
			return []any{once(0), anyNumber}
		}
	}
	return []any{s}
}

// Token is one token that a caller received.
type Token struct {
	Stream     string
	Generation string
	Index      int
}

// position is how far a stream has come.
type position struct {
	generation string
	next       int
}

// Tokens is the model of a stream: tokens come once, in order, from one
// generation.
func Tokens() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			return byKey(history, func(op porcupine.Operation) string { return op.Input.(Token).Stream })
		},
		Init: func() any { return position{} },
		Step: func(state, input, _ any) (bool, any) {
			p, t := state.(position), input.(Token)
			ok := t.Index == p.next && (p.next == 0 || t.Generation == p.generation)
			return ok, position{generation: t.Generation, next: p.next + 1}
		},
	}
}

// Edit is one try to change a document, or a reading of it.
type Edit struct {
	Read     bool
	Base     int    // revision that the edit was made to
	Revision int    // that it became or that was read; 0 for a refused edit
	ID       string // of the edit that made the revision
	Unknown  bool   // the edit's answer was lost
}

// latest is the state of a document.
type latest struct {
	revision int
	id       string
}

// Document is the model of a team's document: a register that is changed by
// compare-and-swap and never goes back.
func Document() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{latest{}} },
		Step: func(state, input, _ any) []any { return input.(Edit).step(state.(latest)) },
	}
	return model.ToModel()
}

func (e Edit) step(s latest) []any {
	made := latest{revision: e.Base + 1, id: e.ID}
	switch {
	case e.Read:
		if s == (latest{revision: e.Revision, id: e.ID}) {
			return []any{s}
		}
		return nil
	case e.Unknown:
		if s.revision == e.Base {
			return []any{s, made}
		}
		return []any{s}
	case e.Revision == 0: // a conflict: another edit came first
		if s.revision == e.Base {
			return nil
		}
		return []any{s}
	}
	if s.revision != e.Base || e.Revision != made.revision {
		return nil
	}
	return []any{made}
}

// Force is one look at the revision that a node has in force.
type Force struct {
	Node     string // with its incarnation
	Revision int
}

// InForce is the model of a node: its revision never goes back.
func InForce() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			return byKey(history, func(op porcupine.Operation) string { return op.Input.(Force).Node })
		},
		Init: func() any { return 0 },
		Step: func(state, input, _ any) (bool, any) {
			f := input.(Force)
			return f.Revision >= state.(int), f.Revision
		},
	}
}

func byKey(history []porcupine.Operation, key func(op porcupine.Operation) string) [][]porcupine.Operation {
	groups := map[string][]porcupine.Operation{}
	var order []string
	for _, op := range history {
		k := key(op)
		if _, ok := groups[k]; !ok {
			order = append(order, k)
		}
		groups[k] = append(groups[k], op)
	}
	slices.Sort(order)
	parts := make([][]porcupine.Operation, len(order))
	for i, k := range order {
		parts[i] = groups[k]
	}
	return parts
}

// BrokenError says that no order of a history's operations keeps a promise.
type BrokenError struct {
	Promise    string
	Operations int
}

// Error names the promise.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("the history of %d operations breaks %s", e.Operations, e.Promise)
}

// History reports a *BrokenError if a history breaks a model.
func History(promise string, m porcupine.Model, history []porcupine.Operation) error {
	if porcupine.CheckOperations(m, history) {
		return nil
	}
	return &BrokenError{Promise: promise, Operations: len(history)}
}
