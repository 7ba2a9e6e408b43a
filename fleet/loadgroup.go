package fleet

import (
	"slices"

	"github.com/plantaindeck/plantaindeck/member"
)

const (
	maxMeshNodes  = 12 // nodes of a deployment that forms a single load group
	minLargeNodes = 40 // nodes of a large deployment, whose data centres are divided into load groups of up to maxGroupNodes nodes
	maxGroupNodes = 8  // nodes of a load group in a large deployment
)

// LoadGroup is a group of nodes that send each other the changes of their local
// usage. It also says which endpoints these nodes prefer. A deployment of up to
// maxMeshNodes nodes has one load group; a larger one has one for each data centre;
// a large deployment divides each data centre with more than maxGroupNodes nodes
// into several, which divide its endpoints among them.
//
// Load pattern: in a deployment of hundreds of nodes, telling every node of a
// data centre of each request costs more than the requests themselves, and
// telling them late makes all nodes choose the same endpoint.
//
// The zero LoadGroup covers all endpoints.
type LoadGroup struct {
	nodes  []string // sorted ids
	centre string   // data centre; empty if the group spans all data centres
	index  int      // of this group among those of the data centre
	count  int      // load groups in the data centre; 0 if the group spans all data centres
}

// loadGroupOf returns the load group of this node.
func loadGroupOf(m *member.View) LoadGroup { return loadGroupAmong(m, m.Owners()) }

// loadGroupAmong returns the load group that this node has if the given members, whose
// ids are sorted, are the owners.
func loadGroupAmong(m *member.View, members []string) LoadGroup {
	if len(members) <= maxMeshNodes {
		return LoadGroup{nodes: members}
	}
	inCentre := m.InCentre(members)
	g := LoadGroup{nodes: inCentre, centre: m.Self().GetCentre(), count: 1}
	i, ok := slices.BinarySearch(inCentre, m.Self().GetId())
	if len(members) < minLargeNodes || !ok {
		return g
	}
	g.count = (len(inCentre) + maxGroupNodes - 1) / maxGroupNodes
	// Each group is a run of consecutive ids in sorted order, so that a node that
	// joins or leaves changes the group of few others.
	g.index = i * g.count / len(inCentre)
	g.nodes = inCentre[g.firstNode(g.index, len(inCentre)):g.firstNode(g.index+1, len(inCentre))]
	return g
}

// firstNode returns the position of a group's first node among the sorted nodes
// of the data centre.
func (g LoadGroup) firstNode(index, nodes int) int {
	return (index*nodes + g.count - 1) / g.count
}

// Nodes returns the sorted ids of the nodes in the group. The caller must not
// change the slice.
func (g LoadGroup) Nodes() []string { return g.nodes }

// Covers reports whether the group prefers an endpoint over others. The nodes of
// the group know the recent usage of such an endpoint.
func (g LoadGroup) Covers(e Endpoint) bool {
	switch {
	case g.centre == "":
		return true
	case e.Centre != g.centre:
		return false
	}
	return g.count == 1 || int(e.hash%uint64(g.count)) == g.index
}
