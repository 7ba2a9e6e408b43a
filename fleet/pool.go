package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
)

// spentPoolTTL is longer than the window of a retry limit.
const spentPoolTTL = 5 * time.Minute

// spentPool holds what a node took from the pool of the load group before it ended, started again
// or left the group. Load pattern: an engine fails, and the node that has used the pool for its
// generations is killed. What it took still counts in the window of the retry limit, although
// the node is gone, or has started again and reports nothing.
type spentPool struct {
	at     time.Time         // when that was noticed
	pooled map[string]uint32 // retries, by service
}

// GroupRetries returns the number of nodes in this node's load group, how many of the
// others have not reported their usage, and the retries at a service that the others took
// from the group's pool in the last window.
func (v *View) GroupRetries(now time.Time, window time.Duration, service, self string) (nodes, unknown, pooled int) {
	for _, id := range v.group.nodes {
		if id == self {
			continue
		}
		p, known := v.peers[id]
		if !known {
			unknown++
		}
		pooled += int(max(p.pooled[service], v.spentFrom(now, window, service, id)))
	}
	for id := range v.spentPools {
		if !v.inGroup(id) {
			pooled += int(v.spentFrom(now, window, service, id))
		}
	}
	return max(len(v.group.nodes), 1), unknown, pooled
}

// spentFrom returns the retries at a service in the spentPool of a node, if it is of the last
// window.
func (v *View) spentFrom(now time.Time, window time.Duration, service, id string) uint32 {
	spent := v.spentPools[id]
	if now.Sub(spent.at) >= window {
		return 0
	}
	return spent.pooled[service]
}

// keepSpent remembers what a node of the load group has reported that it took from the pool.
func (v *View) keepSpent(now time.Time, id string, pooled map[string]uint32) {
	if len(pooled) == 0 || !v.inGroup(id) {
		return
	}
	kept := maps.Clone(pooled)
	for service, n := range v.spentPools[id].pooled {
		kept[service] = max(kept[service], n)
	}
	v.spentPools = kernel.CloneMap(v.spentPools)
	v.spentPools[id] = spentPool{at: now, pooled: kept}
}

// setGroup sets the load group, and remembers the reports of the nodes that leave it.
func (v *View) setGroup(now time.Time, g LoadGroup) {
	for _, id := range v.group.nodes {
		if _, stays := slices.BinarySearch(g.nodes, id); !stays {
			v.keepSpent(now, id, v.peers[id].pooled)
		}
	}
	v.group = g
}

// inGroup reports whether a node is in this node's load group.
func (v *View) inGroup(id string) bool {
	_, ok := slices.BinarySearch(v.group.nodes, id)
	return ok
}

func (v *View) expireSpentPools(now time.Time) {
	if len(v.spentPools) > 0 {
		v.spentPools = maps.Clone(v.spentPools)
		maps.DeleteFunc(v.spentPools, func(_ string, s spentPool) bool { return now.Sub(s.at) >= spentPoolTTL })
	}
}
