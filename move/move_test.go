package move_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/move"
)

const (
	ms            = time.Millisecond
	firstCopyTime = 195 * ms  // of 3500 tokens of 35 kB on a link of 5.1 Gbit/s
	finalCopyTime = 8 * ms    // of what a generation made after its first copy
	linkUptime    = 1540 * ms // from the notice until the link is gone, at the shortest notice period
)

func TestDecide(t *testing.T) {
	gen := move.Generation{Events: 100, Remaining: 4 * time.Second, Copyable: true, Planned: true}
	with := func(change func(g *move.Generation)) move.Generation {
		g := gen
		change(&g)
		return g
	}
	for _, test := range []struct {
		name string
		gen  move.Generation
		want move.Action
	}{
		{"copied", gen, move.Copy{}},
		{"about to end", with(func(g *move.Generation) { g.Remaining = 50 * ms }), move.Stay{}},
		{"no event yet", with(func(g *move.Generation) { g.Events = 0 }), move.Wait{For: 50 * ms}},
		{"no event when the notice period ends", with(func(g *move.Generation) { g.Events = 0; g.SinceNotice = 2 * time.Second }), move.Stay{}},
		{"not chosen by the plan", with(func(g *move.Generation) { g.Copyable = false; g.SinceNotice = 2 * time.Second }), move.Stay{}},
		{"too late for a copy", with(func(g *move.Generation) { g.SinceNotice = 2 * time.Second }), move.Stay{}},
		{"many failed copies", with(func(g *move.Generation) { g.FailedCopies = 9; g.SinceNotice = 2 * time.Second }), move.Stay{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, move.Decide(test.gen), qt.Equals, test.want)
		})
	}
}

// TestShortLengthHintDoesNotPreventCopy checks that a generation is copied although
// its length hint says that it is about to end: after one event of an expected few,
// it may still have hundreds to make.
func TestShortLengthHintDoesNotPreventCopy(t *testing.T) {
	remaining := move.RemainingTime(1, 1, 0)
	qt.Assert(t, move.Decide(move.Generation{Events: 1, Remaining: remaining, Copyable: true, Planned: true}), qt.Equals, move.Action(move.Copy{}))
}

func TestRemainingTime(t *testing.T) {
	qt.Assert(t, move.RemainingTime(0, 100, 0) >= time.Minute, qt.IsTrue)
	qt.Assert(t, move.RemainingTime(50, 100, 2*time.Second), qt.Equals, 2*time.Second)
	// Beyond its expected length it is expected to make a third of its events again.
	qt.Assert(t, move.RemainingTime(300, 100, 12*time.Second), qt.Equals, 4*time.Second)
}

// replayLink simulates the link of a leaving engine: copies pass one after
// another, the first ones in the order of the generations, each final one when
// its generation is stopped, at the time that finalAt returns. It returns how
// many final copies pass in time, and the longest time for which one of their
// generations is stopped.
func replayLink(copies int, finalAt func(firstDone time.Duration) time.Duration) (saved int, longestPause time.Duration) {
	type job struct{ at, length time.Duration }
	var jobs []job
	var busy time.Duration
	for range copies {
		busy += firstCopyTime
		jobs = append(jobs, job{finalAt(busy), finalCopyTime})
	}
	for _, j := range jobs {
		begin := max(busy, j.at)
		busy = begin + j.length
		if busy <= linkUptime {
			saved++
			longestPause = max(longestPause, busy-j.at)
		}
	}
	return saved, longestPause
}

func TestPlanFitsNoticePeriod(t *testing.T) {
	items := func(n int) []move.CopyCandidate {
		list := make([]move.CopyCandidate, n)
		for i := range list {
			list[i] = move.CopyCandidate{Tokens: 3500 + i, CopyTime: firstCopyTime}
		}
		return list
	}
	count := func(chosen []bool) (n int) {
		for _, c := range chosen {
			if c {
				n++
			}
		}
		return n
	}
	withoutDelay := func(done time.Duration) time.Duration { return done }
	withDelay := func(done time.Duration) time.Duration { return done + move.FinalCopyDelay(done, 5*firstCopyTime, 0.5) }

	t.Run("all copies at once", func(t *testing.T) {
		// Eight generations whose first copies all begin at the notice: none is saved.
		saved, _ := replayLink(8, withoutDelay)
		qt.Assert(t, saved, qt.Equals, 0)
	})
	t.Run("as many as fit", func(t *testing.T) {
		n := count(move.PlanCopies(items(8), 0, 0, 0))
		saved, _ := replayLink(n, withDelay)
		qt.Assert(t, saved, qt.Equals, n)
		qt.Assert(t, n >= 5, qt.IsTrue, qt.Commentf("%d of 8 are copied", n))
	})
	t.Run("generations are stopped only briefly", func(t *testing.T) {
		_, longestPause := replayLink(5, withoutDelay)
		qt.Assert(t, longestPause > 180*ms, qt.IsTrue)
		_, longestPause = replayLink(5, withDelay)
		qt.Assert(t, longestPause <= 180*ms, qt.IsTrue, qt.Commentf("%s", longestPause))
	})
	t.Run("four nodes share the link", func(t *testing.T) {
		copied := 0
		for node := range 4 {
			copied += count(move.PlanCopies(items(2), 6, 0, float64(node)/4))
		}
		saved, _ := replayLink(copied, withDelay)
		qt.Assert(t, saved, qt.Equals, copied)
		qt.Assert(t, copied >= 4, qt.IsTrue, qt.Commentf("%d of 8 are copied", copied))
	})
	t.Run("the largest first", func(t *testing.T) {
		chosen := move.PlanCopies(items(8), 0, 0, 0)
		qt.Assert(t, chosen[7], qt.IsTrue)
		qt.Assert(t, chosen[0], qt.IsFalse)
	})
	t.Run("final copies are spread after the first ones", func(t *testing.T) {
		total := move.FirstCopiesTime(items(2), 1, 0)
		qt.Assert(t, total, qt.Equals, 3*firstCopyTime)
		first, last := move.FinalCopyDelay(0, total, 0), move.FinalCopyDelay(0, total, 0.999)
		qt.Assert(t, first >= total, qt.IsTrue)
		qt.Assert(t, last-first >= 500*ms, qt.IsTrue)
		qt.Assert(t, last+finalCopyTime*3 < linkUptime, qt.IsTrue)
		qt.Assert(t, move.FinalCopyDelay(2*time.Second, total, 0.5), qt.Equals, time.Duration(0))
	})
	t.Run("late notice", func(t *testing.T) {
		// The engine reports that it will be gone in 700 ms: final copies begin
		// within 400 ms.
		now := time.Unix(100, 0)
		notice := move.NoticeTime(now, now.Add(700*ms))
		sinceNotice := now.Sub(notice)
		qt.Assert(t, move.Decide(move.Generation{Events: 5, Remaining: time.Second, Copyable: true, Planned: true, SinceNotice: sinceNotice}), qt.Equals, move.Copy{})
		qt.Assert(t, count(move.PlanCopies(items(8), 0, sinceNotice, 0)) < count(move.PlanCopies(items(8), 0, 0, 0)), qt.IsTrue)
		for _, fraction := range []float64{0, 0.5, 0.999} {
			last := move.FinalCopyDelay(sinceNotice, move.FirstCopiesTime(items(2), 0, sinceNotice), fraction)
			qt.Assert(t, last <= 400*ms, qt.IsTrue, qt.Commentf("final copies begin after %s", last))
		}
		qt.Assert(t, move.NoticeTime(now, time.Time{}), qt.Equals, now)
	})
	t.Run("none", func(t *testing.T) {
		qt.Assert(t, move.PlanCopies(nil, 3, 0, 0.5), qt.HasLen, 0)
	})
}

// BenchmarkPlanCopies measures the cost of a plan, which depends on the
// generations of one engine and not on the size of the fleet.
func BenchmarkPlanCopies(b *testing.B) {
	for _, n := range []int{5, 24} {
		list := make([]move.CopyCandidate, n)
		for i := range list {
			list[i] = move.CopyCandidate{Tokens: i, CopyTime: firstCopyTime}
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				move.PlanCopies(list, 12, 0, 0.5)
			}
		})
	}
}

// TestCopyAgain checks that copies of what is new are repeated while the links are busy,
// until the generation must be stopped.
func TestCopyAgain(t *testing.T) {
	for _, test := range []struct {
		name        string
		took, since time.Duration
		again       bool
	}{
		{"idle links", 5 * time.Millisecond, 500 * time.Millisecond, false},
		{"behind a first copy", 160 * time.Millisecond, 500 * time.Millisecond, true},
		{"late", 160 * time.Millisecond, 1250 * time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, move.CopyAgain(test.took, test.since), qt.Equals, test.again)
		})
	}
}

// TestLateCopies checks that a generation that did not fit into the plan is copied once
// the planned copies have mostly passed, and not when too little time is left.
func TestLateCopies(t *testing.T) {
	for _, fraction := range []float64{0, 0.5, 0.999} {
		g := move.Generation{Events: 5, Remaining: 5 * time.Second, Copyable: true, LateCopyAt: move.LateCopyTime(fraction)}
		for _, test := range []struct {
			since time.Duration
			want  move.Action
		}{{0, move.Wait{For: 50 * ms}}, {600 * ms, move.Wait{For: 50 * ms}}, {1150 * ms, move.Copy{}}, {1400 * ms, move.Wait{For: 50 * ms}}, {1600 * ms, move.Stay{}}} {
			g.SinceNotice = test.since
			qt.Assert(t, move.Decide(g), qt.Equals, test.want, qt.Commentf("%s after the notice", test.since))
		}
	}
}
