package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	sameCentreSuccessors  = 3 // neighbours in the node's own data centre
	otherCentreSuccessors = 2 // neighbours in other data centres, one in each
)

// ringMember is a member with its position on the hash ring.
type ringMember struct {
	hash   uint64
	id     string
	centre string
}

// ringNeighbours returns the ids of the members that self probes: its next
// successors on the ring in its own data centre, and the first successor in each
// of the next other data centres.
func ringNeighbours(self *wire.Member, peers map[string]Peer) []string {
	ring := make([]ringMember, 0, len(peers))
	for id, p := range peers {
		if id == self.GetId() || !usable(p) {
			continue
		}
		ring = append(ring, ringMember{xxhash.Sum64String(id), id, p.Member.GetCentre()})
	}
	selfHash := xxhash.Sum64String(self.GetId())
	// Sort by the distance from self in ascending direction. The unsigned subtraction
	// wraps around the ring.
	slices.SortFunc(ring, func(a, b ringMember) int { return cmp.Compare(a.hash-selfHash, b.hash-selfHash) })
	var sameCentre, otherCentres []string
	seenCentres := map[string]bool{}
	for _, m := range ring {
		switch {
		case m.centre == self.GetCentre():
			if len(sameCentre) < sameCentreSuccessors {
				sameCentre = append(sameCentre, m.id)
			}
		case !seenCentres[m.centre] && len(otherCentres) < otherCentreSuccessors:
			seenCentres[m.centre] = true
			otherCentres = append(otherCentres, m.id)
		}
	}
	return append(sameCentre, otherCentres...)
}
