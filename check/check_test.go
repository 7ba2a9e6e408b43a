package check_test

import (
	"errors"
	"testing"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/check"
)

// Returns a history in which each input ends before the next begins.
func sequence(inputs ...any) []porcupine.Operation {
	var ops []porcupine.Operation
	for i, in := range inputs {
		ops = append(ops, porcupine.Operation{Input: in, Call: int64(2 * i), Return: int64(2*i + 1)})
	}
	return ops
}

// Each model accepts a history that keeps its promise, and rejects one that
// breaks it.
func TestModels(t *testing.T) {
	ran, unknown := apierr.OutcomeRan, apierr.OutcomeUnknown
	tests := []struct {
		name   string
		model  porcupine.Model
		keeps  []any
		breaks []any
	}{
		{"two executions", check.Once(),
			[]any{check.Call{Key: "k", Outcome: ran, Number: 1}, check.Call{Key: "k", Outcome: ran, Number: 1}, check.Call{Key: "l", Outcome: ran, Number: 2}},
			[]any{check.Call{Key: "k", Outcome: ran, Number: 1}, check.Call{Key: "k", Outcome: ran, Number: 2}}},
		{"two executions after an unknown one", check.Once(),
			[]any{check.Call{Key: "k", Outcome: unknown, Number: 0}, check.Call{Key: "k", Outcome: ran, Number: 3}},
			[]any{check.Call{Key: "k", Outcome: unknown, Number: 0}, check.Call{Key: "k", Outcome: ran, Number: 3}, check.Call{Key: "k", Outcome: ran, Number: 4}}},
		{"a token twice", check.Tokens(),
			[]any{check.Token{Stream: "s", Generation: "g", Index: 0}, check.Token{Stream: "s", Generation: "g", Index: 1}},
			[]any{check.Token{Stream: "s", Generation: "g", Index: 0}, check.Token{Stream: "s", Generation: "g", Index: 0}}},
		{"a token missing", check.Tokens(),
			[]any{check.Token{Stream: "s", Generation: "g", Index: 0}},
			[]any{check.Token{Stream: "s", Generation: "g", Index: 0}, check.Token{Stream: "s", Generation: "g", Index: 2}}},
		{"two generations", check.Tokens(),
			[]any{check.Token{Stream: "s", Generation: "g", Index: 0}, check.Token{Stream: "r", Generation: "h", Index: 0}},
			[]any{check.Token{Stream: "s", Generation: "g", Index: 0}, check.Token{Stream: "s", Generation: "h", Index: 1}}},
		{"two edits of one base", check.Document(),
			[]any{check.Edit{Base: 0, Revision: 1, ID: "a"}, check.Edit{Base: 0, ID: "b"}},
			[]any{check.Edit{Base: 0, Revision: 1, ID: "a"}, check.Edit{Base: 0, Revision: 1, ID: "b"}}},
		{"a document that reverts", check.Document(),
			[]any{check.Edit{Base: 0, Revision: 1, ID: "a"}, check.Edit{Read: true, Revision: 1, ID: "a"}},
			[]any{check.Edit{Base: 0, Revision: 1, ID: "a"}, check.Edit{Read: true, Revision: 0}}},
		{"a lost edit that both took effect and did not", check.Document(),
			[]any{check.Edit{Base: 0, ID: "a", Unknown: true}, check.Edit{Read: true, Revision: 1, ID: "a"}},
			[]any{check.Edit{Base: 0, ID: "a", Unknown: true}, check.Edit{Read: true, Revision: 1, ID: "a"}, check.Edit{Read: true, Revision: 0}}},
		{"a node that goes back", check.InForce(),
			[]any{check.Force{Node: "n", Revision: 1}, check.Force{Node: "n", Revision: 2}, check.Force{Node: "m", Revision: 1}},
			[]any{check.Force{Node: "n", Revision: 2}, check.Force{Node: "n", Revision: 1}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, check.History("it", test.model, sequence(test.keeps...)), qt.IsNil)
			err := check.History("it", test.model, sequence(test.breaks...))
			var broken *check.BrokenError
			qt.Assert(t, errors.As(err, &broken), qt.IsTrue)
		})
	}
}
