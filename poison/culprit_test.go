package poison

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Traits of the requests in tests.
const (
	partA uint64 = 1 + iota // shared by most requests
	partB                   // of a bystander
	partC
	bad // crashes endpoints
	bad2
	own // of one request
)

var testStart = time.Unix(1000, 0)

// crashesOf returns crashes at intervals of 150 ms, one for each list of requests.
func crashesOf(lists ...[][]uint64) []crash {
	var crashes []crash
	for i, requests := range lists {
		crashes = append(crashes, crash{endpoint: fmt.Sprint("i-", i), at: testStart.Add(time.Duration(i) * 150 * time.Millisecond), requests: requests})
	}
	return crashes
}

// together returns the same requests for a number of crashes.
func together(n int, requests ...[]uint64) [][][]uint64 {
	var lists [][][]uint64
	for range n {
		lists = append(lists, requests)
	}
	return lists
}

// outputsOf returns a function that tells that n requests of each service have had output.
func outputsOf(n int) func(string) int { return func(string) int { return n } }

// unknownTraits returns evidence without any trait that is established.
func unknownTraits(crashes []crash) evidence {
	return evidence{crashes: crashes, outputsOf: outputsOf(0), isEstablished: func(uint64) bool { return false }}
}

// TestCulprits checks what crashes show.
func TestCulprits(t *testing.T) {
	set := func(traits ...uint64) traitSet { return newTraitSet(traits) }
	for _, test := range []struct {
		name    string
		crashes []crash
		known   []traitSet
		want    []traitSet
	}{
		{name: "no crash"},
		{name: "too few crashes", crashes: crashesOf(together(2, []uint64{bad})...)},
		{name: "one trait", crashes: crashesOf(together(3, []uint64{bad})...), want: []traitSet{set(bad)}},
		{
			name:    "the other traits differ",
			crashes: crashesOf([][]uint64{{partA, bad}}, [][]uint64{{partB, bad}}, [][]uint64{{partC, bad}, {partA, partB}}),
			want:    []traitSet{set(bad)},
		},
		{
			name:    "traits of one request that always occur together",
			crashes: crashesOf(together(3, []uint64{partA, bad})...),
			want:    []traitSet{set(partA, bad)},
		},
		{
			name:    "another request was there each time",
			crashes: crashesOf(together(3, []uint64{bad}, []uint64{partB})...),
		},
		{
			name:    "another request was there each time but the last",
			crashes: crashesOf(append(together(3, []uint64{bad}, []uint64{partB}), [][]uint64{{bad}})...),
			want:    []traitSet{set(bad)},
		},
		{
			name:    "two traits crash endpoints",
			crashes: crashesOf(append(together(3, []uint64{partA, bad}, []uint64{partB}), append([][][]uint64{{{partC, bad}}}, together(3, []uint64{bad2})...)...)...),
			want:    []traitSet{set(bad), set(bad2)},
		},
		{
			name:    "the cause is known",
			crashes: crashesOf(together(5, []uint64{bad}, []uint64{partB})...),
			known:   []traitSet{set(bad)},
		},
		{
			name:    "a set is known of which one trait is the cause",
			crashes: crashesOf(append(together(3, []uint64{partA, bad}), [][]uint64{{partC, bad}})...),
			known:   []traitSet{set(partA, bad)},
			want:    []traitSet{set(bad)},
		},
		{
			name:    "requests of unrelated crashes",
			crashes: crashesOf([][]uint64{{partA, 11}}, [][]uint64{{partB, 12}}, [][]uint64{{partC, 13}}, [][]uint64{{partA, 14}}),
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, culprits(unknownTraits(test.crashes), test.known), qt.DeepEquals, test.want)
		})
	}
	t.Run("endpoints that end at once", func(t *testing.T) {
		crashes := crashesOf(together(8, []uint64{partA})...)
		for i := range crashes {
			crashes[i].at = testStart.Add(time.Duration(i) * 10 * time.Millisecond)
		}
		qt.Assert(t, culprits(unknownTraits(crashes), nil), qt.HasLen, 0)
	})
	t.Run("as many crashes as are kept", func(t *testing.T) {
		crashes := crashesOf(together(maxCrashes, []uint64{bad, own}, []uint64{partB, partC})...)
		crashes[maxCrashes-1].requests = [][]uint64{{bad}}
		qt.Assert(t, culprits(unknownTraits(crashes), nil), qt.DeepEquals, []traitSet{set(bad)})
	})
	t.Run("an established trait", func(t *testing.T) {
		e := evidence{crashes: crashesOf(together(6, []uint64{partA})...), outputsOf: outputsOf(0), isEstablished: func(trait uint64) bool { return trait == partA }}
		e.outputsOf = outputsOf(minOutputsEstablished - 1)
		qt.Assert(t, culprits(e, nil), qt.HasLen, 0)
		e.outputsOf = outputsOf(minOutputsEstablished)
		qt.Assert(t, culprits(e, nil), qt.DeepEquals, []traitSet{set(partA)})
	})
	t.Run("at a node that has just started", func(t *testing.T) {
		e := unknownTraits(crashesOf(together(3, []uint64{bad})...))
		e.joining = true
		qt.Assert(t, culprits(e, nil), qt.HasLen, 0)
		e.outputsOf = outputsOf(minOutputsJoining)
		qt.Assert(t, culprits(e, nil), qt.DeepEquals, []traitSet{set(bad)})
	})
	t.Run("an established trait with one that is not", func(t *testing.T) {
		e := evidence{crashes: crashesOf(together(3, []uint64{partA, bad})...), outputsOf: outputsOf(0), isEstablished: func(trait uint64) bool { return trait == partA }}
		qt.Assert(t, culprits(e, nil), qt.DeepEquals, []traitSet{set(bad)})
	})
	t.Run("among many other crashes", func(t *testing.T) {
		var lists [][][]uint64
		for i := range 5 {
			lists = append(lists, [][]uint64{{bad}}, [][]uint64{{100 + uint64(i)}}, [][]uint64{{200 + uint64(i)}})
		}
		qt.Assert(t, culprits(unknownTraits(crashesOf(lists[:12]...)), nil), qt.HasLen, 0)
		qt.Assert(t, culprits(unknownTraits(crashesOf(lists...)), nil), qt.DeepEquals, []traitSet{set(bad)})
	})
	t.Run("among other crashes of another service", func(t *testing.T) {
		crashes := crashesOf(together(9, []uint64{bad})...)
		for i := range crashes {
			if i%3 != 0 {
				crashes[i].service, crashes[i].requests = "other", [][]uint64{{100 + uint64(i)}}
			}
		}
		qt.Assert(t, culprits(unknownTraits(crashes), nil), qt.DeepEquals, []traitSet{set(bad)})
	})
}

// TestRepeatedRequestAmongBystanders guards against a sound trait that is quarantined alone since the harmful one, which
// requests with both have at each crash, came with too few requests: one of them came again.
func TestRepeatedRequestAmongBystanders(t *testing.T) {
	crashes := crashesOf(
		[][]uint64{{own, partA, bad}, {own + 1, partA}},
		[][]uint64{{own + 2, partA, bad}, {own + 3, partA}},
		[][]uint64{{own + 2, partA, bad}, {own + 4, partA}},
	)
	for i, c := range crashes {
		for _, r := range c.requests {
			crashes[i].own = append(crashes[i].own, r[0])
		}
	}
	qt.Assert(t, culprits(unknownTraits(crashes), nil), qt.DeepEquals, []traitSet{newTraitSet([]uint64{partA, bad})})
}
