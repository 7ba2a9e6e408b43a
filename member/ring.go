package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	nearSuccessors = 3 // probed in the own data centre
	farSuccessors  = 2 // probed in other data centres, one in each
)

// ringPlace is a member's place on the hash ring.
type ringPlace struct {
	hash   uint64
	id     string
	centre string
}

// Returns the members that self probes: the next ones on the ring of its own
// data centre, and the next one of each of the data centres that follow.
func neighbours(self *wire.Member, peers map[string]Peer) []string {
	ring := make([]ringPlace, 0, len(peers))
	for id, p := range peers {
		if id == self.GetId() || !usable(p) {
			continue
		}
		ring = append(ring, ringPlace{xxhash.Sum64String(id), id, p.Member.GetCentre()})
	}
	from := xxhash.Sum64String(self.GetId())
	// Distance from self, going up; the subtraction wraps around the ring.
	slices.SortFunc(ring, func(a, b ringPlace) int { return cmp.Compare(a.hash-from, b.hash-from) })
	var near, far []string
	reached := map[string]bool{}
	for _, m := range ring {
		switch {
		case m.centre == self.GetCentre():
			if len(near) < nearSuccessors {
				near = append(near, m.id)
			}
		case !reached[m.centre] && len(far) < farSuccessors:
			reached[m.centre] = true
			far = append(far, m.id)
		}
	}
	return append(near, far...)
}
