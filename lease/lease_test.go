package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

func always(string, uint64) bool { return true }

// TestLeaseEndsOnce guards against usage that is freed twice, never, or by another node.
func TestLeaseEndsOnce(t *testing.T) {
	l := Lease{Asker: "a", Incarnation: 1, Endpoint: "e", Use: Use{Tokens: 900, Prompt: 700}, Deadline: start.Add(time.Second)}
	newTable := func() *Table {
		table := NewTable()
		table.Add("r", l)
		return table
	}
	t.Run("done", func(t *testing.T) {
		table := newTable()
		_, ok := table.First("r", "b")
		qt.Assert(t, ok, qt.IsFalse)
		before, ok := table.First("r", "a")
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, before, qt.Equals, l)
		_, ok = table.First("r", "a")
		qt.Assert(t, ok, qt.IsFalse)
		_, ok = table.End("r", "b")
		qt.Assert(t, ok, qt.IsFalse)
		ended, ok := table.End("r", "a")
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, ended.Use, qt.Equals, Use{Tokens: 900})
		_, ok = table.End("r", "a")
		qt.Assert(t, ok, qt.IsFalse)
	})
	for _, test := range []struct {
		name  string
		after time.Duration
		alive func(string, uint64) bool
		ended int
	}{
		{"before the deadline", time.Second - 1, always, 0},
		{"deadline", time.Second, always, 1},
		{"asker dead", 0, func(string, uint64) bool { return false }, 1},
		{"asker restarted", 0, func(_ string, incarnation uint64) bool { return incarnation == 2 }, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := newTable()
			qt.Assert(t, table.Expire(start.Add(test.after), test.alive), qt.HasLen, test.ended)
			qt.Assert(t, table.Len(), qt.Equals, 1-test.ended)
		})
	}
}

var groups = []Group{{Name: "x", Nodes: []string{"x1", "x2"}, Endpoints: 30}, {Name: "y", Nodes: []string{"y1"}, Endpoints: 10}, {Name: "z", Nodes: []string{"z1"}}}

// TestChoose guards against asking groups without endpoints, full groups, and silent nodes, and
// against asking small groups as often as large ones.
func TestChoose(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	a := NewAsker()
	counts := map[string]int{}
	for range 4000 {
		_, node, ok := a.Choose(start, "s", groups, nil, r)
		qt.Assert(t, ok, qt.IsTrue)
		counts[node]++
	}
	qt.Assert(t, counts, qt.HasLen, 3)
	qt.Assert(t, counts["y1"] > 850 && counts["y1"] < 1150, qt.IsTrue, qt.Commentf("%v", counts))
	assertChosen := func(now time.Time, service string, asked []string, want string) {
		t.Helper()
		_, node, _ := a.Choose(now, service, groups, asked, r)
		qt.Assert(t, node, qt.Equals, want)
	}
	a.Answered(start, "s", "y", "y1", false, 0)
	a.Silent(start, "x1")
	assertChosen(start, "s", nil, "x2")
	assertChosen(start, "s", []string{"x2"}, "")
	assertChosen(start, "other", []string{"x2"}, "y1")
	assertChosen(start.Add(defaultFullTime), "s", []string{"x2"}, "y1")
	assertChosen(start.Add(silentTime), "s", []string{"x2", "y1"}, "x1")
}

// TestCutOff guards against blind choices because of one late answer.
func TestCutOff(t *testing.T) {
	a := NewAsker()
	qt.Assert(t, a.CutOff(start), qt.IsFalse)
	a.Silent(start, "x1")
	qt.Assert(t, a.CutOff(start), qt.IsTrue)
	a.Answered(start, "s", "x", "x2", true, 0)
	qt.Assert(t, a.CutOff(start), qt.IsFalse)
	a.Silent(start.Add(cutOffTime), "x1")
	qt.Assert(t, a.CutOff(start.Add(cutOffTime)), qt.IsTrue)
}
