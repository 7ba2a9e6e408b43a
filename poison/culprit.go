package poison

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"
)

const (
	minCrashes   = 3                      // under distinct requests that a quarantine must explain if it explains half of those in the time
	minScattered = 5                      // under distinct requests that it must explain otherwise, as endpoints crash for other causes then
	minSpan      = 100 * time.Millisecond // between the first and the last of them, as an outage ends many endpoints at once
	// Requests without the trait that must have had output since its first crash, which shows
	// that endpoints answer: of a trait that is established, and of any at a node that has just
	// started.
	minOutputsEstablished = 20
	minOutputsJoining     = 5
)

// evidence is what a node knows of crashes.
type evidence struct {
	crashes       []crash
	outputsOf     func(service string) int // returns how many requests of a service have had output at this node
	isEstablished func(t uint64) bool      // reports whether requests with a trait have had output lately
	joining       bool                     // the node has just started and may not know that
}

// culprits returns the sets of traits that explain crashes which the known sets do not.
// A set explains a crash if a request that ran there has all of its traits; the other traits
// of the crash are then not suspected of it.
func culprits(e evidence, known []traitSet) []traitSet {
	var found []traitSet
	for {
		set, ok := e.bestExplanation(append(slices.Clip(known), found...))
		if !ok {
			return found
		}
		found = append(found, set)
	}
}

// bestExplanation returns the set that explains most crashes, some of which the known sets do
// not. Traits that no request has together and that occur in the same crashes cannot be told
// apart: neither is returned, nor any that occurs in some of these crashes only, until another
// crash tells.
func (e evidence) bestExplanation(known []traitSet) (traitSet, bool) {
	occurrences, unexplained := countOccurrences(e.crashes, known)
	byCrashes := map[uint64][]uint64{} // traits by the set of crashes in which they occur, bit i for crashes[i]
	sufficient := map[uint64]bool{}    // sets of crashes that are enough to quarantine one of these traits
	for t, mask := range occurrences {
		if mask&unexplained == 0 {
			continue
		}
		suffices := e.suffices(t, mask)
		sufficient[mask] = sufficient[mask] || suffices
		if suffices || !e.isEstablished(t) {
			byCrashes[mask] = append(byCrashes[mask], t)
		}
	}
	maps.DeleteFunc(byCrashes, func(mask uint64, _ []uint64) bool { return !sufficient[mask] })
	masks := slices.SortedFunc(maps.Keys(byCrashes), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(bits.OnesCount64(b), bits.OnesCount64(a)), cmp.Compare(a, b))
	})
	var ambiguous []uint64
	for _, mask := range masks {
		set := newTraitSet(byCrashes[mask])
		switch {
		case slices.ContainsFunc(ambiguous, func(other uint64) bool { return mask&^other == 0 }):
		case occurTogether(e.crashes, mask, set):
			return set, true
		default:
			ambiguous = append(ambiguous, mask)
		}
	}
	return "", false
}

// countOccurrences returns the crashes in which each trait is suspected, and those that no
// known set explains, as bits.
func countOccurrences(crashes []crash, known []traitSet) (occurrences map[uint64]uint64, unexplained uint64) {
	occurrences = map[uint64]uint64{}
	for i, c := range crashes {
		bit := uint64(1) << i
		named := map[uint64]bool{} // traits of the sets that explain the crash
		for _, set := range known {
			if slices.ContainsFunc(c.requests, set.within) {
				for _, t := range set.traits() {
					named[t] = true
				}
			}
		}
		if len(named) == 0 {
			unexplained |= bit
		}
		for _, r := range c.requests {
			for _, t := range r {
				if len(named) == 0 || named[t] {
					occurrences[t] |= bit
				}
			}
		}
	}
	return occurrences, unexplained
}

// occurTogether reports whether in each of the crashes a request has all traits of a set.
func occurTogether(crashes []crash, mask uint64, set traitSet) bool {
	for i, c := range crashes {
		if mask&(1<<i) != 0 && !slices.ContainsFunc(c.requests, set.within) {
			return false
		}
	}
	return true
}

// suffices reports whether the crashes in which a trait occurs are enough to quarantine it.
// Load pattern: while many endpoints crash for other causes, requests are lost on several of
// them by chance, those with a trait that most requests have on all of them.
func (e evidence) suffices(t, mask uint64) bool {
	first, last := bits.TrailingZeros64(mask), 63-bits.LeadingZeros64(mask)
	if e.crashes[last].at.Sub(e.crashes[first].at) < minSpan {
		return false
	}
	services := map[string]bool{}
	for i, c := range e.crashes {
		services[c.service] = services[c.service] || mask&(1<<i) != 0
	}
	between := 0 // crashes of the same services in the time
	for _, c := range e.crashes[first : last+1] {
		if services[c.service] {
			between++
		}
	}
	required := minCrashes
	if n := bits.OnesCount64(mask); 2*n < between {
		required = minScattered
	}
	if !e.hasDistinctRequests(t, mask, required) {
		return false
	}
	outputs := e.outputsOf(e.crashes[first].service) - e.crashes[first].outputs
	switch {
	case e.isEstablished(t):
		return outputs >= minOutputsEstablished
	case e.joining:
		return outputs >= minOutputsJoining
	}
	return true
}

// hasDistinctRequests reports whether so many of the crashes each have another request with a
// trait. If one request alone has the trait, each crash under it counts, as a quarantine of the
// trait then concerns that request only. Once one request has explained that many, a later crash
// under another request with the trait suffices. Load pattern: a harmful request that is retried
// ends several endpoints, which is no evidence against the parts of its prompt that it shares
// with a request that was lost to a fault before.
func (e evidence) hasDistinctRequests(t, mask uint64, required int) bool {
	if bits.OnesCount64(mask) < required {
		return false
	}
	indices := map[uint64]int{}      // of the requests with t, by their own traits
	requests := map[int][]int{}      // these indices, by crash
	anonymous := map[int]bool{}      // crashes under a request with t whose own trait is unknown
	explained := map[int]int{}       // crashes so far, by index of the request
	repeated, confirmed := -1, false // request that has explained enough alone; another came after it
	for i, c := range e.crashes {
		if mask&(1<<i) == 0 {
			continue
		}
		for k, traits := range c.requests {
			own := c.ownTrait(k)
			switch {
			case !slices.Contains(traits, t):
			case own == 0:
				anonymous[i] = true
			default:
				if _, ok := indices[own]; !ok {
					indices[own] = len(indices)
				}
				if r := indices[own]; !slices.Contains(requests[i], r) {
					requests[i] = append(requests[i], r)
				}
			}
		}
		confirmed = confirmed || repeated >= 0 && !slices.Contains(requests[i], repeated)
		for _, r := range requests[i] {
			if explained[r]++; explained[r] == required {
				repeated = r
			}
		}
	}
	if confirmed || len(indices) == 1 && len(anonymous) == 0 {
		return true
	}
	return len(anonymous)+matchCrashes(requests, anonymous, len(indices)) >= required
}

// matchCrashes returns to how many of the crashes a request can be assigned that is assigned to
// no other, by augmenting paths. The crashes in skipped need none.
func matchCrashes(requests map[int][]int, skipped map[int]bool, known int) int {
	crashOf := make([]int, known) // crash that a request is assigned to, from 1; 0 for none
	var assign func(crash int, tried []bool) bool
	assign = func(crash int, tried []bool) bool {
		for _, r := range requests[crash] {
			if tried[r] {
				continue
			}
			tried[r] = true
			if crashOf[r] == 0 || assign(crashOf[r]-1, tried) {
				crashOf[r] = crash + 1
				return true
			}
		}
		return false
	}
	matched := 0
	for crash := range requests {
		if !skipped[crash] && assign(crash, make([]bool, known)) {
			matched++
		}
	}
	return matched
}
