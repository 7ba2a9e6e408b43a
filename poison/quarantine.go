package poison

import (
	"encoding/binary"
	"fmt"
	"iter"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/owner"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	minHold        = 10 * time.Minute // of the first quarantine of some traits
	holdFactor     = 4                // by which each further one is longer
	maxHold        = 24 * time.Hour
	trialTime      = 10 * time.Second // after a quarantine in which only one node sends such requests
	forgetTime     = 24 * time.Hour   // after the end of a quarantine until it is forgotten
	maxQuarantines = 256              // those that have ended and those that were lifted included
)

// traitSet is a set of traits: their bytes, in ascending order.
type traitSet string

const traitSize = 8 // bytes of a trait in a traitSet

func newTraitSet(traits []uint64) traitSet {
	sorted := slices.Sorted(slices.Values(traits))
	var b []byte
	for _, t := range slices.Compact(sorted) {
		b = binary.BigEndian.AppendUint64(b, t)
	}
	return traitSet(b)
}

func (s traitSet) traits() []uint64 {
	var list []uint64
	for b := []byte(s); len(b) >= traitSize; b = b[traitSize:] {
		list = append(list, binary.BigEndian.Uint64(b))
	}
	return list
}

// String lists the traits for log lines.
func (s traitSet) String() string {
	var names []string
	for _, t := range s.traits() {
		names = append(names, fmt.Sprintf("%016x", t))
	}
	return "trait " + strings.Join(names, " and ")
}

// within reports whether all traits of s are among those of a request.
func (s traitSet) within(request []uint64) bool {
	for ; len(s) >= traitSize; s = s[traitSize:] {
		if !slices.Contains(request, binary.BigEndian.Uint64([]byte(s[:traitSize]))) {
			return false
		}
	}
	return true
}

// hasAny reports whether one of the traits is in s.
func (s traitSet) hasAny(traits []uint64) bool {
	return slices.ContainsFunc(s.traits(), func(t uint64) bool { return slices.Contains(traits, t) })
}

// minus returns s without the given traits.
func (s traitSet) minus(traits []uint64) traitSet {
	return newTraitSet(slices.DeleteFunc(s.traits(), func(t uint64) bool { return slices.Contains(traits, t) }))
}

// quarantine is the last quarantine of a set of traits. The zero value stands for none.
type quarantine struct {
	number uint32 // of this quarantine of the set, from 1
	lifted bool   // a request with one of its traits has had output
	until  time.Time
}

func (q quarantine) isActive(now time.Time) bool {
	return q.number > 0 && !q.lifted && now.Before(q.until)
}

// replaces reports whether q is newer than old.
func (q quarantine) replaces(old quarantine) bool {
	if q.number != old.number {
		return q.number > old.number
	}
	return q.lifted && !old.lifted
}

// quarantines holds the last quarantine of each set. It is immutable.
type quarantines map[traitSet]quarantine

// sorted returns the quarantines in the order of their sets.
func (l quarantines) sorted() iter.Seq2[traitSet, quarantine] {
	return func(yield func(traitSet, quarantine) bool) {
		for _, set := range slices.Sorted(maps.Keys(l)) {
			if !yield(set, l[set]) {
				return
			}
		}
	}
}

// with returns the quarantines with one added or replaced. Beyond maxQuarantines, it drops
// the one that ends first.
func (l quarantines) with(set traitSet, q quarantine) quarantines {
	next := quarantines(kernel.CloneMap(l))
	next[set] = q
	if len(next) <= maxQuarantines {
		return next
	}
	var first traitSet
	for other, o := range next.sorted() {
		if other != set && (first == "" || o.until.Before(next[first].until)) {
			first = other
		}
	}
	delete(next, first)
	return next
}

// without returns the quarantines without those that ended forgetTime ago.
func (l quarantines) without(now time.Time) quarantines {
	next := quarantines(kernel.CloneMap(l))
	maps.DeleteFunc(next, func(_ traitSet, q quarantine) bool { return now.Sub(q.until) >= forgetTime })
	return next
}

// next returns the quarantine that follows the last one of a set, from now on.
func (l quarantines) next(now time.Time, set traitSet) quarantine {
	number := l[set].number + 1
	return quarantine{number: number, until: now.Add(holdOf(number))}
}

// holdOf returns how long the quarantine with a number lasts.
func holdOf(number uint32) time.Duration {
	hold := minHold
	for i := uint32(1); i < number && hold < maxHold; i++ {
		hold *= holdFactor
	}
	return min(hold, maxHold)
}

// began returns when the quarantine began, or later if it was read from the store.
func (q quarantine) began() time.Time { return q.until.Add(-holdOf(q.number)) }

// active returns the sets that are quarantined now.
func (l quarantines) active(now time.Time) []traitSet {
	var sets []traitSet
	for set, q := range l.sorted() {
		if q.isActive(now) {
			sets = append(sets, set)
		}
	}
	return sets
}

// relapsed returns the sets whose quarantine has ended and which one of the requests that
// crashed an endpoint has.
func (l quarantines) relapsed(now time.Time, requests [][]uint64) []traitSet {
	var sets []traitSet
	for set, q := range l.sorted() {
		if !q.lifted && !now.Before(q.until) && slices.ContainsFunc(requests, set.within) {
			sets = append(sets, set)
		}
	}
	return sets
}

// Quarantined returns for how long requests with the given traits are kept from endpoints,
// or 0 if they are not. After a quarantine, only one node sends such requests at first: if
// they still crash endpoints, few of them do until the next quarantine.
func (v *View) Quarantined(now time.Time, m *member.View, traits []uint64) time.Duration {
	var longest time.Duration
	for set, q := range v.quarantines {
		if q.lifted || !set.within(traits) {
			continue
		}
		until := q.until
		if !now.Before(until) && !owner.InTopN(string(set), m.Self().GetId(), 1, m.Owners()) {
			until = until.Add(trialTime)
		}
		longest = max(longest, until.Sub(now))
	}
	return longest
}

// Len returns the number of sets of traits that are quarantined now.
func (v *View) Len(now time.Time) int { return len(v.quarantines.active(now)) }

// wire returns the message that tells other nodes of the quarantines.
func (l quarantines) wire(now time.Time) *wire.Quarantines {
	w := &wire.Quarantines{}
	for set, q := range l.sorted() {
		w.List = append(w.List, q.wire(now, set))
	}
	return w
}

func (q quarantine) wire(now time.Time, set traitSet) *wire.Quarantine {
	return &wire.Quarantine{
		Traits: set.traits(), Number: q.number, Lifted: q.lifted,
		Left: uint32(max(q.until.Sub(now).Milliseconds(), 0)),
	}
}

// decodeQuarantine decodes a quarantine of a message that arrives now. The set is empty if it has
// too many traits: one with a part of them would concern sound requests as well.
func decodeQuarantine(now time.Time, w *wire.Quarantine) (traitSet, quarantine) {
	if len(w.GetTraits()) > maxCrashTraits {
		return "", quarantine{}
	}
	q := quarantine{number: w.GetNumber(), lifted: w.GetLifted(), until: now.Add(time.Duration(w.GetLeft()) * time.Millisecond)}
	return newTraitSet(w.GetTraits()), q
}
