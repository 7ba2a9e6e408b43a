package carry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	isolatedRest    = 2 * time.Second        // for which a node that reaches no endpoints is not asked
	busyRest        = 500 * time.Millisecond // for which a node that carries too many connections is not asked
	minNoAnswerRest = 500 * time.Millisecond // for which a node that did not answer is not asked; doubles
	maxNoAnswerRest = 4 * time.Second
	maxBlindAsks    = 2                // nodes asked for a connection before those are preferred that have carried one
	soundTime       = 10 * time.Second // for which a node that has carried a connection is preferred then
)

// nodes is what a node knows of the others as carriers. Load pattern: while many nodes are cut
// off at once, those that are not carry the requests of all of them, and must share these evenly;
// most of the others that could be asked may be cut off as well.
type nodes struct {
	byID map[string]nodeState
}

// nodeState is what a node knows of another one.
type nodeState struct {
	inFlight      int       // connections that it carries for this node, those that it is asked for included
	isolatedUntil time.Time // until then it is not asked
	restUntil     time.Time // until then it is asked only if there is no other
	carriedAt     time.Time // when it last established a connection
	silences      int       // requests in a row that it has not answered
}

func newNodes() *nodes { return &nodes{byID: map[string]nodeState{}} }

// choose returns the one of two random nodes that carries fewer connections for this node. It
// chooses none that was asked already or is isolated, and one that rests only if there is no
// other. Once some were asked in vain, it prefers those that have carried connections.
func (n *nodes) choose(now time.Time, ids, asked []string, r *rand.Rand) (string, bool) {
	var free, resting, sound []string
	for _, id := range ids {
		s := n.byID[id]
		switch {
		case slices.Contains(asked, id) || now.Before(s.isolatedUntil):
			continue
		case now.Before(s.restUntil):
			resting = append(resting, id)
			continue
		case now.Sub(s.carriedAt) < soundTime:
			sound = append(sound, id)
		}
		free = append(free, id)
	}
	if len(free) == 0 {
		free = resting
	}
	if len(free) == 0 {
		return "", false
	}
	if len(asked) >= maxBlindAsks && len(sound) > 0 {
		free = sound
	}
	a, b := free[r.IntN(len(free))], free[r.IntN(len(free))]
	if n.byID[b].inFlight < n.byID[a].inFlight {
		a = b
	}
	return a, true
}

// add adds a number to the connections that a node carries.
func (n *nodes) add(id string, count int) {
	s := n.byID[id]
	s.inFlight += count
	n.set(id, s)
}

// answered notes an answer of a node.
func (n *nodes) answered(now time.Time, id string, o wire.Obstacle) {
	s := n.byID[id]
	s.silences = 0
	switch o {
	case wire.Obstacle_NONE:
		s.carriedAt, s.restUntil = now, time.Time{}
	case wire.Obstacle_ISOLATED:
		s.isolatedUntil, s.carriedAt = now.Add(isolatedRest), time.Time{}
	case wire.Obstacle_BUSY:
		s.restUntil = now.Add(busyRest)
	}
	n.set(id, s)
}

// silent notes that a node did not answer, or that it was lost while it carried a connection.
func (n *nodes) silent(now time.Time, id string) {
	s := n.byID[id]
	if now.Before(s.restUntil) {
		return // of several connections that fail together, only the first counts
	}
	s.restUntil = now.Add(min(minNoAnswerRest<<s.silences, maxNoAnswerRest))
	s.silences = min(s.silences+1, 8)
	n.set(id, s)
}

// set stores the state of a node, unless it is that of one of which nothing is known.
func (n *nodes) set(id string, s nodeState) {
	if s == (nodeState{}) {
		delete(n.byID, id)
		return
	}
	n.byID[id] = s
}
