// Package move decides whether and how a running generation migrates to another
// engine when its engine is leaving.
//
// Load pattern: the platform reclaims engines two at a time, every few seconds,
// with a notice period of one and a half to two seconds, while generations last
// five times as long and must not run twice. A generation survives by continuing
// from a copy of its KV cache on another engine that is made within the notice period.
// That takes two copies: a long first one while the generation runs, and a
// short final one of what is new, after the generation has been stopped.
//
// All functions are pure; package entry carries out the decisions.
package move

import (
	"sort"
	"time"
)

const (
	// NoticePeriod is the time for which a leaving engine certainly runs after the
	// notice. The platform reclaims engines 1.5 s after the notice at the earliest.
	NoticePeriod = 1500 * time.Millisecond
	// minRemaining is the expected remaining time below which a generation that
	// has made events stays, because it is not worth a copy.
	minRemaining = 100 * time.Millisecond
	// firstCopyBudget is the time after the notice within which the first copies
	// of all generations on an engine must have passed its link, so that the final
	// ones still fit into the notice period.
	firstCopyBudget = 1150 * time.Millisecond
	// firstCopySlack is added to the time at which all first copies are expected
	// to have passed.
	firstCopySlack = 50 * time.Millisecond
	// finalCopyDeadline is the time after the notice by which every generation
	// whose first copy is complete is stopped for its final copy. Copies queue on
	// the engine's link: final ones that begin before the long first ones have
	// passed wait behind them while their generations are stopped.
	finalCopyDeadline = 1200 * time.Millisecond
	// Generations that PlanCopies did not choose are copied from lateCopyBegin to
	// lateCopyEnd after the notice.
	lateCopyBegin = 700 * time.Millisecond
	lateCopyEnd   = 1100 * time.Millisecond
	// idleCopyTime is the longest time that a copy of a few tokens takes on links without
	// other copies.
	idleCopyTime = 40 * time.Millisecond
	// minCopyTime is the part of the notice period that must be left for a first
	// copy to begin.
	minCopyTime = 250 * time.Millisecond
	// decideInterval is the time between two decisions on a generation that cannot
	// be copied yet.
	decideInterval = 50 * time.Millisecond
)

// NoticeTime returns the time at which an engine is assumed to have got its
// notice: NoticePeriod before goneAt, the time at which it will be gone, or now if
// goneAt is zero. Load pattern: while the store is down, nodes learn only by
// self-reported leaving that an engine is leaving, when half of its notice period
// is over.
func NoticeTime(now, goneAt time.Time) time.Time {
	if goneAt.IsZero() {
		return now
	}
	return goneAt.Add(-NoticePeriod)
}

// Generation is a generation on an engine that is leaving.
type Generation struct {
	Events       int           // events that have arrived from this engine
	Remaining    time.Duration // expected time to its end
	SinceNotice  time.Duration // since the notice
	Copyable     bool          // its engine can copy it
	Planned      bool          // PlanCopies chose it
	LateCopyAt   time.Duration // time since the notice from which it is copied although PlanCopies did not choose it
	FailedCopies int           // copies that have failed since the notice
}

// Action is what to do with a generation: Stay, Copy or Wait. The set of
// actions is closed.
type Action interface {
	isAction()
}

// Stay leaves the generation where it is.
type Stay struct{}

// Copy migrates the generation by copying it to an engine that is chosen now.
type Copy struct{}

// Wait asks for another decision after a time.
type Wait struct {
	For time.Duration
}

func (Stay) isAction() {}
func (Copy) isAction() {}
func (Wait) isAction() {}

// Decide returns what to do with a generation. It stays if it is about to end.
// Otherwise it is copied, later if PlanCopies did not choose it. If that is not possible, the
// decision waits until the notice period is over, and then the generation stays.
func Decide(g Generation) Action {
	remaining := NoticePeriod - g.SinceNotice
	switch {
	case g.Events > 0 && g.Remaining < minRemaining:
		return Stay{}
	case g.Events > 0 && g.Copyable && (g.Planned || g.SinceNotice >= g.LateCopyAt) && g.FailedCopies < maxCopyAttempts && remaining >= minCopyTime:
		return Copy{}
	case remaining > 0:
		return Wait{For: decideInterval}
	}
	return Stay{}
}

// LateCopyTime returns the time since the notice from which a generation is copied that
// PlanCopies did not choose: by then the chosen copies have mostly passed, since the plan
// counts all remote requests, of which many are short. The fraction, random in [0, 1),
// spreads the generations of an engine.
func LateCopyTime(fraction float64) time.Duration {
	return lateCopyBegin + time.Duration(fraction*float64(lateCopyEnd-lateCopyBegin))
}

// CopyCandidate is a generation on a leaving engine, as input to PlanCopies.
type CopyCandidate struct {
	Tokens   int           // expected tokens of prompt and output; more are preferred
	CopyTime time.Duration // time that its first copy takes on the engine's link
}

// PlanCopies chooses which of this node's generations on a leaving engine are
// copied; the result has the indexes of local. Load pattern: after several engines
// have left, each of the others runs more generations than its link can copy
// within the notice period. If all copies began at once, all would be late, so
// only the largest that fit are copied. The remote generations, those of other
// nodes, share the link, so each node uses it in proportion to its number of
// generations. A copy that fits only in part is chosen if the part of it that does
// not fit is at most the given fraction, which is random in [0, 1).
func PlanCopies(local []CopyCandidate, remote int, sinceNotice time.Duration, fraction float64) []bool {
	chosen := make([]bool, len(local))
	if len(local) == 0 {
		return chosen
	}
	order := make([]int, len(local))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return local[order[a]].Tokens > local[order[b]].Tokens })
	budget := float64(max(firstCopyBudget-max(sinceNotice, 0), 0)) * float64(len(local)) / float64(len(local)+remote)
	for _, i := range order {
		copyTime := float64(local[i].CopyTime)
		if copyTime > budget+fraction*copyTime {
			break
		}
		chosen[i] = true
		budget -= copyTime
	}
	return chosen
}

// FirstCopiesTime estimates the time after the notice at which the first copies
// of all generations on an engine have passed its link. It assumes that the
// remote generations are like the local ones. The result is at most
// firstCopyBudget.
func FirstCopiesTime(local []CopyCandidate, remote int, sinceNotice time.Duration) time.Duration {
	if len(local) == 0 {
		return 0
	}
	var sum time.Duration
	for _, c := range local {
		sum += c.CopyTime
	}
	return min(max(sinceNotice, 0)+sum*time.Duration(len(local)+remote)/time.Duration(len(local)), firstCopyBudget)
}

// FinalCopyDelay returns the delay before the final copy of a generation whose
// first copy is complete. The time firstCopies is that of FirstCopiesTime. The
// fraction, random in [0, 1), is a jitter that spreads the final copies between
// firstCopies and finalCopyDeadline: generations that move to the same engine at
// the same time are all stopped while it reads the new part of each of them.
func FinalCopyDelay(sinceNotice, firstCopies time.Duration, fraction float64) time.Duration {
	begin := min(firstCopies+firstCopySlack, finalCopyDeadline)
	at := begin + time.Duration(fraction*float64(finalCopyDeadline-begin))
	return max(0, at-sinceNotice)
}

// CopyAgain reports whether what is new of a running generation should be copied once
// more before the final copy, given how long the last such copy took. Load pattern:
// engines that leave together copy to engines that others copy to as well, so that a
// copy of a few tokens waits behind long first copies on the link of its destination. If
// the final copy waits, the generation is stopped meanwhile.
func CopyAgain(took, sinceNotice time.Duration) bool {
	return took > idleCopyTime && !TooLateToStop(sinceNotice)
}

// TooLateToStop reports whether the time has passed by which a generation should be
// stopped for its final copy.
func TooLateToStop(sinceNotice time.Duration) bool { return sinceNotice >= finalCopyDeadline }

// maxCopyAttempts is the maximum number of engines to which a copy of one
// generation is attempted.
const maxCopyAttempts = 4

// RemainingTime estimates the time to the end of a generation that has made some
// of its expected number of events in the elapsed time. As lengths have a heavy
// tail, the generation is expected to make at least a part of its events again,
// even after it has exceeded its expected length. Before the first event the
// result is an hour.
func RemainingTime(made, expected int, elapsed time.Duration) time.Duration {
	if made == 0 {
		return time.Hour
	}
	events := max(expected-made, made/tailDivisor, minRemainingEvents)
	interval := max(elapsed/time.Duration(made), minEventInterval)
	return interval * time.Duration(events)
}

// minEventInterval is the shortest time assumed between two events, each of four
// tokens.
const minEventInterval = 30 * time.Millisecond

// tailDivisor divides the number of events that a generation has made. The result
// is the minimum number that it is still expected to make.
const tailDivisor = 3

// minRemainingEvents is the minimum number of events that any generation is still
// expected to make: expected lengths are often wrong by a factor.
const minRemainingEvents = 4
