package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/table"
)

// originTimeout bounds the time in which the kernel finds out which version began a stream.
// It takes a few milliseconds, unless this node has just started or others do not answer.
const originTimeout = 1500 * time.Millisecond

// maxOriginKey is the number of bytes of a request id up to which it is a key itself.
const maxOriginKey = 128

// pinResumed pins a generation that the caller takes up again to the software version
// that began its stream. It returns an error if the stream cannot go on.
func (g *generation) pinResumed() *apierr.Error {
	s, rr := g.server, g.routed
	ctx, cancel := context.WithTimeout(g.ctx, originTimeout)
	defer cancel()
	origin, source := s.cfg.Daemon.FindOrigin(ctx, originKey(rr.req.ResumedID)), "a node"
	if !origin.Known {
		origin, source = s.storedOrigin(ctx, time.Now(), originKey(rr.req.ResumedID)), "the store"
	}
	svc, version, err := resumePoint(s.view(), rr, origin)
	if err != nil {
		return err.WithRetryAfter(s.addJitter(unavailableRetryAfter))
	}
	rr.service, g.version = svc, &version
	s.record("resume", rr.req, "", fmt.Sprintf("the caller has the events of a stream up to %q, the first from request %q by version %s, as %s says", rr.req.LastEventID, rr.req.ResumedID, version, source))
	return nil
}

// storedOrigin returns the origin of a stream that no node knows, if the store tells it. Load pattern:
// after all nodes have ended, every caller whose stream broke comes back to a node that has listed the
// endpoints for a moment only, while the endpoints of the version that began the stream may have left,
// and the route may have moved to another service. So the node asks the store, unless that is known to
// be silent.
func (s *Server) storedOrigin(ctx context.Context, now time.Time, request string) kernel.OriginFound {
	if s.cfg.StoredOrigin == nil || fleet.StoreSilent(s.cfg.Daemon.State(), now) {
		return kernel.OriginFound{}
	}
	service, version, known := s.cfg.StoredOrigin(ctx, request)
	return kernel.OriginFound{Known: known, Service: service, Version: version}
}

// resumePoint returns the service and the software version at which a stream goes on that
// its caller takes up again, or an error if there is none. Load pattern: during a release,
// callers of nodes and engines that end come back to nodes that have not seen their streams,
// and most engines run another version than those that began them.
func resumePoint(view *fleet.View, rr *routedRequest, origin kernel.OriginFound) (*table.Service, string, *apierr.Error) {
	if !origin.Known {
		return nil, "", apierr.NotRun(http.StatusServiceUnavailable, apierr.CodeUnavailable, "it is not known which version of %q began the stream", rr.service.Name)
	}
	if origin.Service == rr.service.Name {
		return rr.service, origin.Version, nil
	}
	svc, ok := view.Table().Service(origin.Service)
	if !ok || !slices.ContainsFunc(rr.route.Shares, func(sh table.Share) bool { return sh.Service == origin.Service }) {
		return nil, "", apierr.NotRun(http.StatusServiceUnavailable, apierr.CodeUnavailable, "the stream began at service %q, which route %q no longer names", origin.Service, rr.route.Name)
	}
	return svc, origin.Version, nil
}

// pin pins a generation to the version of the engine that makes its first event. The
// other nodes learn it if the caller may take the stream up again.
func (g *generation) pin() {
	if g.version != nil {
		return
	}
	version := g.endpoint.Version
	g.version = &version
	if rr := g.routed; rr.route.Resumable {
		g.server.cfg.Daemon.Post(g.ctx, kernel.StreamBegan{Request: originKey(rr.req.ID), Service: rr.service.Name, Version: version})
	}
}

// originKey returns the key under which nodes remember the origin of a stream: the id of its request, or a
// digest of a long one, as nodes keep and exchange the keys for minutes.
func originKey(id string) string {
	if len(id) <= maxOriginKey {
		return id
	}
	sum := sha256.Sum256([]byte(id))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// serves reports whether an endpoint of a service that is not leaving runs a version.
func serves(view *fleet.View, service, version string) bool {
	return slices.ContainsFunc(view.Endpoints(service), func(e fleet.Endpoint) bool { return !e.Leaving && e.Version == version })
}
