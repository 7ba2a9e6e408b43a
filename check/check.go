// Package check checks the histories of concurrent runs against models, one for
// each guarantee that a caller can observe.
//
// A history is a list of operations with the times of their start and end. The
// checker searches for a linearisation: an order of the operations that the model
// allows and in which each takes effect between its start and its end. If there is
// none, the guarantee is violated.
package check

import (
	"fmt"
	"slices"

	"github.com/anishathalye/porcupine"
	"github.com/plantaindeck/plantaindeck/apierr"
)

// Call is one request of a caller under an idempotency key. All requests under one
// key are the same call, which must be executed at most once.
type Call struct {
	IdempotencyKey string
	Outcome        apierr.Outcome
	Execution      int // number, from 1, of the execution that the response is from; 0 if there is no response
}

// executionNumber is the state of one key: the number of its execution, or 0 if it
// has none.
type executionNumber int

// AtMostOnce is the model of calls with idempotency keys: all responses to calls
// with one key are from the same execution. A call with an unknown outcome may or
// may not have been executed.
func AtMostOnce() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			return partitionBy(history, func(op porcupine.Operation) string { return op.Input.(Call).IdempotencyKey })
		},
		Init: func() []any { return []any{executionNumber(0)} },
		Step: func(state, input, _ any) []any { return input.(Call).step(state.(executionNumber)) },
	}
	return model.ToModel()
}

// unknownExecution is the state of a key whose execution has an unknown number,
// since no response has reported it.
const unknownExecution executionNumber = -1

// step returns the states that may follow s, or none if c contradicts it.
func (c Call) step(s executionNumber) []any {
	switch c.Outcome {
	case apierr.OutcomeRan:
		if s != 0 && s != unknownExecution && s != executionNumber(c.Execution) {
			return nil
		}
		return []any{executionNumber(c.Execution)}
	case apierr.OutcomeUnknown:
		if s == 0 {
			return []any{executionNumber(0), unknownExecution}
		}
	}
	return []any{s}
}

// Token is one token of a stream that a caller has received.
type Token struct {
	Stream     string // name of the request
	Generation string // id of the generation that the token is from
	Index      int    // in the generation, from 0
}

// streamPosition is the state of a stream.
type streamPosition struct {
	generation string // of the tokens so far; empty before the first
	next       int    // index of the next token
}

// TokenStream is the model of a stream: each token arrives once, in order and from
// the same generation.
func TokenStream() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			return partitionBy(history, func(op porcupine.Operation) string { return op.Input.(Token).Stream })
		},
		Init: func() any { return streamPosition{} },
		Step: func(state, input, _ any) (bool, any) {
			p, t := state.(streamPosition), input.(Token)
			ok := t.Index == p.next && (p.next == 0 || t.Generation == p.generation)
			return ok, streamPosition{generation: t.Generation, next: p.next + 1}
		},
	}
}

// DocumentAccess is one edit or one read of a document.
type DocumentAccess struct {
	Read         bool   // whether it is a read; otherwise it is an edit
	BaseRevision int    // revision that the edit was based on
	Revision     int    // revision that was made or read; 0 if the edit was rejected as a conflict
	EditID       string // id of the edit that made the revision
	ResponseLost bool   // whether the outcome of the edit is unknown, since its response was lost
}

// documentState is the latest revision of a document and the edit that made it.
type documentState struct {
	revision int
	editID   string
}

// Document is the model of a team's document: a register that changes by
// compare-and-swap, whose revision never decreases.
func Document() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{documentState{}} },
		Step: func(state, input, _ any) []any { return input.(DocumentAccess).step(state.(documentState)) },
	}
	return model.ToModel()
}

// step returns the states that may follow s, or none if a contradicts it.
func (a DocumentAccess) step(s documentState) []any {
	applied := documentState{revision: a.BaseRevision + 1, editID: a.EditID}
	switch {
	case a.Read:
		if s == (documentState{revision: a.Revision, editID: a.EditID}) {
			return []any{s}
		}
		return nil
	case a.ResponseLost:
		if s.revision == a.BaseRevision {
			return []any{s, applied}
		}
		return []any{s}
	case a.Revision == 0: // a conflict with an edit that was applied earlier
		if s.revision == a.BaseRevision {
			return nil
		}
		return []any{s}
	}
	if s.revision != a.BaseRevision || a.Revision != applied.revision {
		return nil
	}
	return []any{applied}
}

// NodeRevision is one read of the revision in force on a node.
type NodeRevision struct {
	Node     string // name and incarnation, so that a restarted node counts as another one
	Revision int
}

// MonotonicRevision is the model of a node: its revision in force never decreases.
func MonotonicRevision() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			return partitionBy(history, func(op porcupine.Operation) string { return op.Input.(NodeRevision).Node })
		},
		Init: func() any { return 0 },
		Step: func(state, input, _ any) (bool, any) {
			r := input.(NodeRevision)
			return r.Revision >= state.(int), r.Revision
		},
	}
}

// partitionBy splits a history into one history for each key, in the order of the
// keys.
func partitionBy(history []porcupine.Operation, key func(op porcupine.Operation) string) [][]porcupine.Operation {
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

// ViolationError reports that a history violates a guarantee: the model of the
// guarantee allows no linearisation of its operations.
type ViolationError struct {
	Guarantee  string
	Operations int // in the history
}

// Error names the violated guarantee.
func (e *ViolationError) Error() string {
	return fmt.Sprintf("history of %d operations violates the guarantee: %s", e.Operations, e.Guarantee)
}

// History returns a *ViolationError that names the guarantee if model m allows no
// linearisation of a history, and nil otherwise.
func History(guarantee string, m porcupine.Model, history []porcupine.Operation) error {
	if porcupine.CheckOperations(m, history) {
		return nil
	}
	return &ViolationError{Guarantee: guarantee, Operations: len(history)}
}
