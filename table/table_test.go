package table_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/table"
)

// routes returns nested routes and n routes beside them.
func routes(n int) []table.Route {
	list := []table.Route{
		{Name: "root", Host: "a.example", Prefix: "/"},
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
	}
	for i := range n {
		list = append(list, table.Route{Name: fmt.Sprint(i), Host: "a.example", Prefix: fmt.Sprintf("/r%d/", i)})
	}
	return list
}

func TestMatch(t *testing.T) {
	tab := table.New(table.Config{Routes: routes(350)})
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/y/", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x", "root"},
		{"a.example", "/r12/a/b", "12"},
		{"a.example", "//x/", "root"},
		{"b.example", "/x/y/", ""},
		{"a.example", "", ""},
		{"a.example", "x/y/", ""},
	} {
		t.Run(test.host+test.path, func(t *testing.T) {
			r, ok := tab.Match(test.host, test.path)
			qt.Assert(t, ok, qt.Equals, test.want != "")
			if ok {
				qt.Assert(t, r.Name, qt.Equals, test.want)
			}
		})
	}
}

func TestShares(t *testing.T) {
	r := table.Route{Shares: []table.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	qt.Assert(t, r.Service(0), qt.Equals, "a")
	qt.Assert(t, r.Service(0.899), qt.Equals, "a")
	qt.Assert(t, r.Service(0.901), qt.Equals, "b")
	qt.Assert(t, r.Service(0.999999), qt.Equals, "b")
	qt.Assert(t, (&table.Route{}).Service(0.5), qt.Equals, "")
}

// TestNoShareIsLeft guards against requests that a service gets whose share has been taken away.
func TestNoShareIsLeft(t *testing.T) {
	for _, point := range []float64{0, 0.5, 0.999999} {
		none := table.Route{Shares: []table.Share{{Service: "a"}, {Service: "b"}}}
		qt.Assert(t, none.Service(point), qt.Equals, "")
		first := table.Route{Shares: []table.Share{{Service: "a", Weight: 3}, {Service: "b"}}}
		qt.Assert(t, first.Service(point), qt.Equals, "a")
	}
}

func TestKeys(t *testing.T) {
	tab := table.New(table.Config{Workspaces: []table.Workspace{{Name: "w", Keys: []string{"k1", "k2"}}}})
	w, ok := tab.Identify("k2")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, w.Name, qt.Equals, "w")
	_, ok = tab.Identify("")
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, tab.NeedsKey(&table.Route{}), qt.IsTrue)
	qt.Assert(t, tab.NeedsKey(&table.Route{Public: true}), qt.IsFalse)
	qt.Assert(t, table.New(table.Config{}).NeedsKey(&table.Route{}), qt.IsFalse)
}

// TestNoKeyIsLeft guards against requests that need no key once the last key, or the last workspace, has
// been taken away.
func TestNoKeyIsLeft(t *testing.T) {
	for _, cfg := range []table.Config{
		{Workspaces: []table.Workspace{{Name: "w"}}},
		{KeysRequired: true},
	} {
		tab := table.New(cfg)
		qt.Assert(t, tab.NeedsKey(&table.Route{}), qt.IsTrue)
		qt.Assert(t, tab.NeedsKey(&table.Route{Public: true}), qt.IsFalse)
		_, ok := tab.Identify("k1")
		qt.Assert(t, ok, qt.IsFalse)
	}
}

func TestRetryable(t *testing.T) {
	for _, test := range []struct {
		route table.Route
		want  bool
	}{
		{table.Route{Kind: table.KindOnce}, false},
		{table.Route{Kind: table.KindOnce, Resumable: true}, false},
		{table.Route{Kind: table.KindIdempotent}, true},
		{table.Route{Kind: table.KindStream}, false},
		{table.Route{Kind: table.KindStream, Resumable: true}, true},
	} {
		t.Run(fmt.Sprint(test.route.Kind, test.route.Resumable), func(t *testing.T) {
			qt.Assert(t, test.route.Retryable(), qt.Equals, test.want)
		})
	}
}

// BenchmarkMatch shows whether the cost of a lookup grows with the number of
// routes, which it must not.
func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 350, 3000} {
		tab := table.New(table.Config{Routes: routes(n)})
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				tab.Match("a.example", "/r7/a/b/c")
			}
		})
	}
}
