package lease

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// MaxTries is the number of nodes that are asked to place a request.
	MaxTries = 2
	// AnswerTimeout is the time for which an answer is awaited.
	AnswerTimeout = 60 * time.Millisecond

	defaultFullTime = 200 * time.Millisecond // for which a group without room is not asked again if it does not say when there may be room
	minFullTime     = 30 * time.Millisecond
	maxFullTime     = time.Second
	silentTime      = time.Second     // for which a node that did not answer is not asked again
	cutOffTime      = 2 * time.Second // without any answer after which the other groups count as cut off
	maxFullKeys     = 256             // remembered full groups, above which expired ones are dropped
)

// Group is a load group whose nodes may be asked for endpoints of a service.
type Group struct {
	Name      string
	Nodes     []string
	Endpoints int // usable ones of the service that it covers
}

// Asker is what a node knows of the others as holders.
type Asker struct {
	fullUntil   map[fullKey]time.Time
	silentUntil map[string]time.Time // by node
	answeredAt  time.Time            // when any node last answered
}

// fullKey identifies the requests of a kind in a load group, or in all groups if that is empty.
type fullKey struct {
	kind, group string
}

// NewAsker returns an Asker that knows nothing of other nodes.
func NewAsker() *Asker {
	return &Asker{fullUntil: map[fullKey]time.Time{}, silentUntil: map[string]time.Time{}}
}

// Choose returns the node to ask to place a request, and its group. The kind names what the
// request has in common with those that find room or not as it does, such as the service. Choose
// draws the group in proportion to its endpoints, and leaves out groups that were full for the
// kind a moment ago, nodes that did not answer a moment ago and those that were asked already. It reports false if
// none is left.
func (a *Asker) Choose(now time.Time, kind string, groups []Group, asked []string, r *rand.Rand) (Group, string, bool) {
	var open []Group
	total := 0
	for _, g := range groups {
		if now.Before(a.fullUntil[fullKey{kind, g.Name}]) {
			continue
		}
		g.Nodes = slices.DeleteFunc(slices.Clone(g.Nodes), func(id string) bool {
			return slices.Contains(asked, id) || now.Before(a.silentUntil[id])
		})
		if len(g.Nodes) > 0 && g.Endpoints > 0 {
			open = append(open, g)
			total += g.Endpoints
		}
	}
	if total == 0 {
		if len(asked) == 0 {
			a.setFull(now, fullKey{kind: kind}, minFullTime)
		}
		return Group{}, "", false
	}
	n := r.IntN(total)
	i := 0
	for ; n >= open[i].Endpoints; i++ {
		n -= open[i].Endpoints
	}
	return open[i], open[i].Nodes[r.IntN(len(open[i].Nodes))], true
}

// Answered notes the answer of a node of a group. Room says whether it chose an endpoint; if not,
// there may be room after wait, which is 0 if that is unknown.
func (a *Asker) Answered(now time.Time, kind, group, node string, room bool, wait time.Duration) {
	a.answeredAt = now
	delete(a.silentUntil, node)
	if room {
		delete(a.fullUntil, fullKey{kind, group})
		return
	}
	if wait == 0 {
		wait = defaultFullTime
	}
	a.setFull(now, fullKey{kind, group}, min(max(wait, minFullTime), maxFullTime))
}

// setFull notes that there is no room for a time.
func (a *Asker) setFull(now time.Time, key fullKey, full time.Duration) {
	if len(a.fullUntil) >= maxFullKeys {
		maps.DeleteFunc(a.fullUntil, func(_ fullKey, until time.Time) bool { return !now.Before(until) })
	}
	a.fullUntil[key] = now.Add(full)
}

// Useless reports whether Choose found no node for the kind a moment ago. Hundreds of waiting
// requests would otherwise compute the groups every few milliseconds.
func (a *Asker) Useless(now time.Time, kind string) bool {
	return now.Before(a.fullUntil[fullKey{kind: kind}])
}

// Silent notes that a node did not answer in time.
func (a *Asker) Silent(now time.Time, node string) { a.silentUntil[node] = now.Add(silentTime) }

// CutOff reports whether this node counts as cut off from the other groups: a node is silent and
// none has answered for a while. A single late answer of a busy node does not count, as all nodes
// would choose endpoints blindly again at a high load.
func (a *Asker) CutOff(now time.Time) bool {
	if now.Sub(a.answeredAt) < cutOffTime {
		return false
	}
	for _, until := range a.silentUntil {
		if now.Before(until) {
			return true
		}
	}
	return false
}
