package carry

import "github.com/plantaindeck/plantaindeck/wire"

// findings are what nodes found when they could not connect to an endpoint. Load pattern: an
// endpoint that has crashed or fallen silent is tried by many requests, which must not wait until
// all nodes have tried it too; but nodes that are cut off from all endpoints find the same, and
// say nothing about it.
type findings struct {
	direct      bool // this node has tried, and is not isolated
	silentHere  bool // this node got no answer
	refusedHere bool // nothing listens there, as this node found
	refused     int  // connected nodes that found that nothing listens there, without this one
	unreachable int  // connected nodes that got no answer, without this one
	leaving     bool // a node knows that the endpoint is leaving or gone
	others      int  // answers of other nodes, and nodes that gave none
}

// withDirect returns the findings with that of this node.
func (f findings) withDirect(refused, silent, isolated bool) findings {
	f.direct, f.silentHere, f.refusedHere = !isolated, silent, refused && !isolated
	return f
}

// withAnswer returns the findings with the answer of another node; NONE stands for no answer.
func (f findings) withAnswer(o wire.Obstacle) findings {
	f.others++
	switch o {
	case wire.Obstacle_REFUSED:
		f.refused++
	case wire.Obstacle_UNREACHABLE:
		f.unreachable++
	case wire.Obstacle_ENDING:
		f.leaving = true
	}
	return f
}

// settled reports whether no further node is worth asking: two connected nodes got no answer
// from the endpoint, or it is leaving.
func (f findings) settled() bool {
	return f.leaving || f.unreachable >= 2 || f.unreachable == 1 && f.direct
}

// silent reports whether the endpoint did not answer, and no node found anything else.
func (f findings) silent() bool {
	return !f.leaving && f.refused == 0 && (f.silentHere || f.unreachable > 0)
}

// ended reports whether nothing listens at the address any more. That takes another connected
// node, unless there is no other.
func (f findings) ended() bool {
	return f.unreachable == 0 && (f.refused > 0 || f.refusedHere && f.others == 0)
}
