package spec_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/spec"
)

// validDocument is a small valid document. Its version 1.10 must not be read as
// a number.
const validDocument = `team: t
services:
  - name: s
    kind: model
    models: [{name: m, version: 1.10}]
    classes: [{name: c, priority: 5, deadline: 3s}]
    endpoints: [{name: e, addr: "10.0.0.1:80", centre: a, slots: 2, memory: 100}]
workspaces:
  - {name: w, share: 1, services: [s]}
`

// assertFaults checks that Parse rejects text with exactly the faults of want. The
// messages of want are parts of those expected.
func assertFaults(t *testing.T, text string, want ...spec.Fault) {
	t.Helper()
	doc, err := spec.Parse([]byte(text))
	qt.Assert(t, doc, qt.IsNil)
	var parse *spec.ParseError
	qt.Assert(t, errors.As(err, &parse), qt.IsTrue)
	qt.Assert(t, len(parse.Faults), qt.Equals, len(want), qt.Commentf("%v", err))
	for i, f := range parse.Faults {
		qt.Check(t, f.Line, qt.Equals, want[i].Line, qt.Commentf("%v", err))
		qt.Check(t, f.Field, qt.Equals, want[i].Field)
		qt.Check(t, f.Message, qt.Contains, want[i].Message)
	}
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"omaheke", "kalamata"} {
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile("../examples/" + name + ".yaml")
			qt.Assert(t, err, qt.IsNil)
			doc, err := spec.Parse(text)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, doc.Team, qt.Equals, name)
			qt.Assert(t, len(doc.Workspaces), qt.Equals, 10)
			qt.Assert(t, len(doc.Services[0].Endpoints), qt.Equals, 12)
			qt.Assert(t, len(doc.Services[1].Endpoints), qt.Equals, 3)
		})
	}
}

func TestParse(t *testing.T) {
	doc, err := spec.Parse([]byte(validDocument))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, doc.Services[0].Models[0].Version, qt.Equals, "1.10")

	edit := func(old, new string) string { return strings.Replace(validDocument, old, new, 1) }
	tests := []struct {
		name string
		text string
		want []spec.Fault
	}{
		{"unknown field", edit("kind: model", "kind: model\n    colour: red"), []spec.Fault{{5, "services[0].colour", "unknown field"}}},
		{"duplicate field", edit("    kind: model", "    kind: model\n    kind: plain"), []spec.Fault{{5, "services[0].kind", "twice"}}},
		{"bad reference", edit("services: [s]", "services: [s, x]"), []spec.Fault{{9, "workspaces[0].services[1]", `"x" does not exist`}}},
		{"out of range", edit("priority: 5", "priority: 500"), []spec.Fault{{6, "services[0].classes[0].priority", "between 0 and 100"}}},
		{"not a duration", edit("3s", "soon"), []spec.Fault{{6, "services[0].classes[0].deadline", "duration"}}},
		{"host name instead of IP address", edit("10.0.0.1:80", "engine:80"), []spec.Fault{{7, "services[0].endpoints[0].addr", "IP address"}}},
		{"not YAML", "team: [", []spec.Fault{{1, "document", "not YAML"}}},
		{"empty", "", []spec.Fault{{1, "document", "YAML documents"}}},
		{"several faults at once", edit("priority: 5", "priority: x") + "extra: 1\n", []spec.Fault{
			{6, "services[0].classes[0].priority", "whole number"}, {10, "extra", "unknown field"},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { assertFaults(t, test.text, test.want...) })
	}
}

// TestCallCoversWholeSegments checks that the path of a call is matched by whole
// segments, not as a string prefix: /stock does not cover /stocks.
func TestCallCoversWholeSegments(t *testing.T) {
	s := spec.Service{Calls: []spec.Call{{Method: "GET", Path: "/stock"}}}
	for path, want := range map[string]bool{"/stock": true, "/stock/7": true, "/stocks": false, "/": false} {
		_, ok := s.Call("GET", path)
		qt.Check(t, ok, qt.Equals, want, qt.Commentf("%s", path))
	}
}

// FuzzParse checks that Parse either rejects a text with at least one fault, or
// returns a document that names a team and a service.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte("a: &a [*a]"))
	f.Add([]byte("team: {? x : y}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := spec.Parse(text)
		var parse *spec.ParseError
		if err != nil && (!errors.As(err, &parse) || len(parse.Faults) == 0) {
			t.Fatalf("error %v is not a ParseError with faults", err)
		}
		if err == nil && (doc.Team == "" || len(doc.Services) == 0) {
			t.Fatalf("Parse accepted a document without a team or service: %q", text)
		}
	})
}
