package entry

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// shared returns the number of traits that two requests share.
func shared(a, b *routedRequest) int {
	for _, rr := range []*routedRequest{a, b} {
		rr.hash = requestHash(rr)
		rr.traits = traitsOf(rr)
	}
	n := 0
	for _, t := range a.traits {
		if slices.Contains(b.traits, t) {
			n++
		}
	}
	return n
}

// TestTraitsAreNamed checks that the log names every trait of a request.
func TestTraitsAreNamed(t *testing.T) {
	rr := &routedRequest{req: &Request{PromptParts: []string{"p", "q", "r"}}}
	rr.traits = traitsOf(rr)
	text := describeHashes(rr.req.PromptParts, rr.traits)
	qt.Assert(t, strings.Count(text, ", "), qt.Equals, len(rr.traits)-1)
	qt.Assert(t, strings.HasSuffix(text, fmt.Sprintf("part q %016x", rr.traits[3])), qt.IsTrue, qt.Commentf("%s", text))
	qt.Assert(t, text, qt.Not(qt.Contains), "part r")
}

// TestTraits checks which requests are alike in what may crash an endpoint.
func TestTraits(t *testing.T) {
	request := func(id, workspace, uri, body string, parts ...string) *routedRequest {
		return &routedRequest{workspace: workspace, req: &Request{ID: id, Method: "POST", Host: "h.example", URI: uri, Body: []byte(body), PromptParts: parts}}
	}
	for _, test := range []struct {
		name string
		a, b *routedRequest
		want int
	}{
		{"sent again", request("1", "w", "/a?x", "b"), request("2", "w", "/a?x", "b"), 1},
		{"other body", request("1", "w", "/a", "b"), request("2", "w", "/a", "c"), 0},
		{"other query", request("1", "w", "/a?x", "b"), request("2", "w", "/a?y", "b"), 0},
		{"other workspace", request("1", "w", "/a", "b"), request("2", "v", "/a", "b"), 0},
		{"body moved into the path", request("1", "w", "/a", "b"), request("2", "w", "/ab", ""), 0},
		{"generation sent again", request("1", "w", "/a", "", "p", "q", "r"), request("2", "w", "/a", "", "p", "q", "r"), 4},
		{"last part differs", request("1", "w", "/a", "b", "p", "q", "r"), request("2", "w", "/a", "c", "p", "q", "s"), 2},
		{"only the last part is the same", request("1", "w", "/a", "b", "p", "r"), request("2", "w", "/a", "c", "q", "r"), 0},
		{"one part", request("1", "w", "/a", "b", "p"), request("2", "v", "/a", "b", "p"), 0},
		{"same part elsewhere", request("1", "w", "/a", "b", "p", "q", "r"), request("2", "v", "/c", "b", "q", "s"), 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, shared(test.a, test.b), qt.Equals, test.want)
		})
	}
}
