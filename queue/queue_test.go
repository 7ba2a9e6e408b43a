package queue_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/queue"
)

var now = time.Unix(1000, 0)

// request returns a check that arrived 100 ms ago, changed by the given function.
func request(change func(r *queue.Request)) queue.Request {
	r := queue.Request{ID: "b", Arrived: now.Add(-100 * time.Millisecond), Start: now.Add(time.Second), Objective: 1500 * time.Millisecond, Tokens: 2500}
	change(&r)
	return r
}

// TestOrder guards each criterion of the order against the ones after it.
func TestOrder(t *testing.T) {
	base := request(func(*queue.Request) {})
	before := func(name string, change func(r *queue.Request)) {
		t.Run(name, func(t *testing.T) {
			r := request(change)
			qt.Check(t, queue.Less(now, r, base), qt.IsTrue)
			qt.Check(t, queue.Less(now, base, r), qt.IsFalse)
		})
	}
	after := func(name string, change func(r *queue.Request)) {
		t.Run(name, func(t *testing.T) {
			r := request(change)
			qt.Check(t, queue.Less(now, base, r), qt.IsTrue)
			qt.Check(t, queue.Less(now, r, base), qt.IsFalse)
		})
	}
	before("earlier start", func(r *queue.Request) { r.Start = r.Start.Add(-time.Millisecond); r.Share = 90; r.ID = "c" })
	before("earlier arrival", func(r *queue.Request) { r.Arrived = r.Arrived.Add(-time.Millisecond); r.ID = "c" })
	before("starving", func(r *queue.Request) { r.Arrived = now.Add(-6 * time.Second); r.Start = now.Add(-5 * time.Second) })
	after("less urgent, starving", func(r *queue.Request) { r.Priority = 1; r.Arrived = now.Add(-time.Minute) })
	after("late", func(r *queue.Request) { r.Start = now.Add(-time.Millisecond); r.Arrived = now.Add(-2 * time.Second) })
	after("over its share", func(r *queue.Request) { r.Share = 101; r.Start = now })
	after("larger share", func(r *queue.Request) { r.Share = 50; r.Arrived = now.Add(-time.Second) })
}

// randomRequests returns requests at many nodes, of all kinds.
func randomRequests(r *rand.Rand, n int) []queue.Request {
	list := make([]queue.Request, n)
	for i := range list {
		objective := time.Duration(1+r.IntN(4)) * time.Second
		arrived := now.Add(-time.Duration(r.IntN(20_000)) * time.Millisecond)
		list[i] = queue.Request{ID: fmt.Sprint(i), Priority: r.IntN(3), Arrived: arrived, Start: arrived.Add(objective * 3 / 4), Objective: objective, Share: r.IntN(200), Tokens: 2000 + r.IntN(2000)}
	}
	return list
}

// TestOrderIsTransitive guards against an exception that makes the order contradict
// itself, so that two nodes each wait for the other.
func TestOrderIsTransitive(t *testing.T) {
	list := randomRequests(rand.New(rand.NewPCG(1, 1)), 200)
	queue.Sort(now, list)
	for i := range list {
		for j := i + 1; j < len(list); j++ {
			if !queue.Less(now, list[i], list[j]) || queue.Less(now, list[j], list[i]) {
				t.Fatalf("%+v and %+v", list[i], list[j])
			}
		}
	}
}

// TestTurn guards against requests that overtake, and against places that stay empty.
func TestTurn(t *testing.T) {
	own := request(func(*queue.Request) {})
	ahead := request(func(r *queue.Request) { r.ID = "a" })
	old := request(func(r *queue.Request) { r.ID = "a"; r.SeenAt = now.Add(-501 * time.Millisecond) })
	large := request(func(r *queue.Request) { r.ID = "a"; r.Tokens = 9000 })
	largeLate := request(func(r *queue.Request) {
		r.ID = "a"
		r.Tokens = 9000
		r.Start = now
		r.Arrived = now.Add(-7 * time.Second)
	})
	one, two := queue.Room{Endpoint: "e", Slots: 1, Tokens: 5000}, queue.Room{Endpoint: "f", Slots: 9, Tokens: 2600}
	for _, test := range []struct {
		name   string
		others []queue.Request
		free   []queue.Room
		want   queue.Decision
	}{
		{"alone", nil, []queue.Room{one}, queue.Decision{Go: true}},
		{"no room", nil, []queue.Room{{Endpoint: "e", Slots: 3, Tokens: 2499}}, queue.Decision{}},
		{"one ahead, one place", []queue.Request{ahead}, []queue.Room{one}, queue.Decision{Ahead: 1}},
		{"one ahead, two places", []queue.Request{ahead}, []queue.Room{one, two}, queue.Decision{Ahead: 1, Go: true}},
		{"two ahead, two places", []queue.Request{ahead, ahead}, []queue.Room{one, two}, queue.Decision{Ahead: 2}},
		{"old news", []queue.Request{old}, []queue.Room{one}, queue.Decision{Go: true}},
		{"large ahead", []queue.Request{large}, []queue.Room{one}, queue.Decision{Ahead: 1, Reserved: "e"}},
		{"large ahead, other engine", []queue.Request{large}, []queue.Room{one, two}, queue.Decision{Ahead: 1, Reserved: "e", Go: true}},
		{"large ahead out of time", []queue.Request{largeLate}, []queue.Room{one}, queue.Decision{Ahead: 1, Go: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, queue.Turn(now, own, test.others, test.free), qt.Equals, test.want)
		})
	}
}

// TestWait guards against a forecast that is biased while it has seen little, and against
// one that counts slots where memory is scarce.
func TestWait(t *testing.T) {
	var f queue.Flow
	_, known := f.PerSecond(now)
	qt.Assert(t, known, qt.IsFalse)
	for i := range 400 {
		f = f.Add(now.Add(time.Duration(i)*10*time.Millisecond), queue.Load{Requests: 1, Tokens: 100})
		if i != 150 && i != 399 {
			continue
		}
		rate, known := f.PerSecond(now.Add(time.Duration(i) * 10 * time.Millisecond))
		qt.Assert(t, known, qt.IsTrue)
		qt.Assert(t, rate.Requests > 90 && rate.Requests < 110, qt.IsTrue, qt.Commentf("%v", rate))
	}
	rate := queue.Load{Requests: 100, Tokens: 10_000}
	qt.Assert(t, queue.Wait(queue.Load{Requests: 49, Tokens: 100}, queue.Request{Tokens: 100}, rate), qt.Equals, 500*time.Millisecond)
	qt.Assert(t, queue.Wait(queue.Load{Requests: 1, Tokens: 19_000}, queue.Request{Tokens: 1000}, rate), qt.Equals, 2*time.Second)
	_, known = f.PerSecond(now.Add(time.Minute))
	qt.Assert(t, known, qt.IsFalse)
}

func BenchmarkTurn(b *testing.B) {
	for _, n := range []int{50, 500, 5000} {
		b.Run(fmt.Sprintf("%d waiting", n), func(b *testing.B) {
			list := randomRequests(rand.New(rand.NewPCG(2, 2)), n)
			free := make([]queue.Room, 72)
			for i := range free {
				free[i] = queue.Room{Endpoint: fmt.Sprint(i), Slots: i % 3, Tokens: 100 * i}
			}
			for b.Loop() {
				queue.Turn(now, list[0], list[1:], free)
			}
		})
	}
}
