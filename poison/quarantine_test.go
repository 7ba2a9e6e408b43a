package poison

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestNextQuarantineIsLonger checks how long requests are kept from endpoints.
func TestNextQuarantineIsLonger(t *testing.T) {
	var l quarantines
	set := newTraitSet([]uint64{bad})
	var holds []time.Duration
	for range 6 {
		q := l.next(testStart, set)
		holds = append(holds, q.until.Sub(testStart))
		l = l.with(set, q)
	}
	qt.Assert(t, holds, qt.DeepEquals, []time.Duration{10 * time.Minute, 40 * time.Minute, 160 * time.Minute, 640 * time.Minute, maxHold, maxHold})
}

// TestRelapse checks that one crash suffices after a quarantine has ended, but not after it
// was lifted.
func TestRelapse(t *testing.T) {
	set := newTraitSet([]uint64{partA, bad})
	l := quarantines{}.with(set, quarantine{number: 1, until: testStart})
	request := [][]uint64{{bad, partA, own}}
	qt.Assert(t, l.relapsed(testStart.Add(-time.Second), request), qt.HasLen, 0)
	qt.Assert(t, l.relapsed(testStart, request), qt.DeepEquals, []traitSet{set})
	qt.Assert(t, l.relapsed(testStart, [][]uint64{{bad}, {partA}}), qt.HasLen, 0)
	l = l.with(set, quarantine{number: 1, until: testStart, lifted: true})
	qt.Assert(t, l.relapsed(testStart, request), qt.HasLen, 0)
}

// TestNewerQuarantineReplaces checks the order of what nodes say of the same traits.
func TestNewerQuarantineReplaces(t *testing.T) {
	first := quarantine{number: 1, until: testStart}
	lifted := quarantine{number: 1, until: testStart, lifted: true}
	second := quarantine{number: 2, until: testStart}
	for _, test := range []struct{ newer, older quarantine }{{first, quarantine{}}, {lifted, first}, {second, lifted}, {second, first}} {
		qt.Assert(t, test.newer.replaces(test.older), qt.IsTrue)
		qt.Assert(t, test.older.replaces(test.newer), qt.IsFalse)
		qt.Assert(t, test.newer.replaces(test.newer), qt.IsFalse)
	}
}

// TestQuarantinesAreBounded checks that the quarantine that ends first is dropped, and those
// that ended long ago are.
func TestQuarantinesAreBounded(t *testing.T) {
	var l quarantines
	for i := range maxQuarantines + 5 {
		l = l.with(newTraitSet([]uint64{uint64(i)}), quarantine{number: 1, until: testStart.Add(time.Duration(i) * time.Minute)})
	}
	qt.Assert(t, l, qt.HasLen, maxQuarantines)
	_, kept := l[newTraitSet([]uint64{4})]
	qt.Assert(t, kept, qt.IsFalse)
	_, kept = l[newTraitSet([]uint64{5})]
	qt.Assert(t, kept, qt.IsTrue)
	qt.Assert(t, l.without(testStart.Add(maxHold+forgetTime)), qt.HasLen, 0)
}
