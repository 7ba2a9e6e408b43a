package node

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/plantaindeck/plantaindeck/peer"
	"github.com/plantaindeck/plantaindeck/policy"
	"github.com/plantaindeck/plantaindeck/spec"
	"github.com/plantaindeck/plantaindeck/wire"
)

// serveStream carries a connection for another node, which has opened the stream.
func (n *Node) serveStream(ctx context.Context, _ string, first *wire.Frame, s *peer.Stream) {
	n.carrier.Serve(ctx, first.GetCarry(), s, documentRules{n})
}

// documentRules are the rules of a node whose endpoints are those of the documents in force.
type documentRules struct {
	node *Node
}

// CarryObstacle implements carry.Rules. The owner of an endpoint has granted it, so that a
// carrier checks only that a document names it.
func (r documentRules) CarryObstacle(_ time.Time, c *wire.Carry) (wire.Obstacle, string) {
	for _, rev := range policy.Of(r.node.daemon.State()).Revisions() {
		if namesAddr(rev.Doc, c.GetAddr()) {
			return wire.Obstacle_NONE, ""
		}
	}
	return wire.Obstacle_ENDING, fmt.Sprintf("no document in force names an endpoint at %s", c.GetAddr())
}

// RestEndpoint implements carry.Rules. Endpoints of documents name no rests.
func (documentRules) RestEndpoint(string, time.Duration) {}

// namesAddr reports whether a document names an endpoint at an address.
func namesAddr(doc *spec.Document, addr string) bool {
	return slices.ContainsFunc(doc.Services, func(svc spec.Service) bool {
		return slices.ContainsFunc(svc.Endpoints, func(e spec.Endpoint) bool { return e.Addr == addr })
	})
}
