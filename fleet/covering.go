package fleet

import "github.com/plantaindeck/plantaindeck/member"

// Covering says which nodes cover each endpoint, in all load groups of a deployment. It is
// immutable.
type Covering struct {
	byCentre map[string][]string // sorted ids of the nodes, by data centre
	own      LoadGroup           // of this node
	large    bool                // the deployment is large
}

// CoveringOf returns the Covering of the deployment as this node knows it.
func CoveringOf(m *member.View) *Covering {
	members := m.Owners()
	c := &Covering{byCentre: map[string][]string{}, own: loadGroupAmong(m, members), large: len(members) >= minLargeNodes}
	for _, id := range members {
		if p, ok := m.Get(id); ok {
			c.byCentre[p.Member.GetCentre()] = append(c.byCentre[p.Member.GetCentre()], id)
		}
	}
	return c
}

// HasOthers reports whether there are other load groups than that of this node.
func (c *Covering) HasOthers() bool {
	return c.own.centre != "" && (c.own.count > 1 || len(c.byCentre) > 1)
}

// Group returns the load group that covers an endpoint. It has no nodes if there are none in the
// endpoint's data centre.
func (c *Covering) Group(e Endpoint) LoadGroup {
	nodes := c.byCentre[e.Centre]
	switch {
	case c.own.Covers(e):
		return c.own
	case len(nodes) == 0:
		return LoadGroup{}
	case !c.large:
		return LoadGroup{nodes: nodes, centre: e.Centre, count: 1}
	}
	g := LoadGroup{centre: e.Centre, count: (len(nodes) + maxGroupNodes - 1) / maxGroupNodes}
	g.index = int(e.hash % uint64(g.count))
	g.nodes = nodes[g.firstNode(g.index, len(nodes)):g.firstNode(g.index+1, len(nodes))]
	return g
}
