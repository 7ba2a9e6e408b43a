package check_test

import (
	"errors"
	"testing"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/check"
)

// sequence returns a history of operations with these inputs, each of which ends
// before the next begins.
func sequence(inputs ...any) []porcupine.Operation {
	var ops []porcupine.Operation
	for i, in := range inputs {
		ops = append(ops, porcupine.Operation{Input: in, Call: int64(2 * i), Return: int64(2*i + 1)})
	}
	return ops
}

// TestModels checks that each model accepts a history that upholds its guarantee
// and rejects one that violates it.
func TestModels(t *testing.T) {
	ran, unknown := apierr.OutcomeRan, apierr.OutcomeUnknown
	tests := []struct {
		name    string
		model   porcupine.Model
		valid   []any // inputs of a history that the model accepts
		invalid []any // inputs of a history that the model rejects
	}{
		{"two executions of one key", check.AtMostOnce(),
			[]any{check.Call{IdempotencyKey: "k", Outcome: ran, Execution: 1}, check.Call{IdempotencyKey: "k", Outcome: ran, Execution: 1}, check.Call{IdempotencyKey: "l", Outcome: ran, Execution: 2}},
			[]any{check.Call{IdempotencyKey: "k", Outcome: ran, Execution: 1}, check.Call{IdempotencyKey: "k", Outcome: ran, Execution: 2}}},
		{"two executions of one key after an unknown outcome", check.AtMostOnce(),
			[]any{check.Call{IdempotencyKey: "k", Outcome: unknown, Execution: 0}, check.Call{IdempotencyKey: "k", Outcome: ran, Execution: 3}},
			[]any{check.Call{IdempotencyKey: "k", Outcome: unknown, Execution: 0}, check.Call{IdempotencyKey: "k", Outcome: ran, Execution: 3}, check.Call{IdempotencyKey: "k", Outcome: ran, Execution: 4}}},
		{"a token twice", check.TokenStream(),
			[]any{check.Token{Stream: "s", Generation: "g", Index: 0}, check.Token{Stream: "s", Generation: "g", Index: 1}},
			[]any{check.Token{Stream: "s", Generation: "g", Index: 0}, check.Token{Stream: "s", Generation: "g", Index: 0}}},
		{"a token missing", check.TokenStream(),
			[]any{check.Token{Stream: "s", Generation: "g", Index: 0}},
			[]any{check.Token{Stream: "s", Generation: "g", Index: 0}, check.Token{Stream: "s", Generation: "g", Index: 2}}},
		{"two generations in one stream", check.TokenStream(),
			[]any{check.Token{Stream: "s", Generation: "g", Index: 0}, check.Token{Stream: "r", Generation: "h", Index: 0}},
			[]any{check.Token{Stream: "s", Generation: "g", Index: 0}, check.Token{Stream: "s", Generation: "h", Index: 1}}},
		{"two edits of the same revision", check.Document(),
			[]any{check.DocumentAccess{BaseRevision: 0, Revision: 1, EditID: "a"}, check.DocumentAccess{BaseRevision: 0, EditID: "b"}},
			[]any{check.DocumentAccess{BaseRevision: 0, Revision: 1, EditID: "a"}, check.DocumentAccess{BaseRevision: 0, Revision: 1, EditID: "b"}}},
		{"a document returns to an older revision", check.Document(),
			[]any{check.DocumentAccess{BaseRevision: 0, Revision: 1, EditID: "a"}, check.DocumentAccess{Read: true, Revision: 1, EditID: "a"}},
			[]any{check.DocumentAccess{BaseRevision: 0, Revision: 1, EditID: "a"}, check.DocumentAccess{Read: true, Revision: 0}}},
		{"an edit with a lost response is applied and then missing", check.Document(),
			[]any{check.DocumentAccess{BaseRevision: 0, EditID: "a", ResponseLost: true}, check.DocumentAccess{Read: true, Revision: 1, EditID: "a"}},
			[]any{check.DocumentAccess{BaseRevision: 0, EditID: "a", ResponseLost: true}, check.DocumentAccess{Read: true, Revision: 1, EditID: "a"}, check.DocumentAccess{Read: true, Revision: 0}}},
		{"a node returns to an older revision", check.MonotonicRevision(),
			[]any{check.NodeRevision{Node: "n", Revision: 1}, check.NodeRevision{Node: "n", Revision: 2}, check.NodeRevision{Node: "m", Revision: 1}},
			[]any{check.NodeRevision{Node: "n", Revision: 2}, check.NodeRevision{Node: "n", Revision: 1}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, check.History("it", test.model, sequence(test.valid...)), qt.IsNil)
			err := check.History("it", test.model, sequence(test.invalid...))
			var violation *check.ViolationError
			qt.Assert(t, errors.As(err, &violation), qt.IsTrue)
		})
	}
}
