package entry

import (
	"context"
	"time"

	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/owner"
)

const (
	probeInterval       = 600 * time.Millisecond // well within the shortest notice period, 1.5 s
	outageProbeInterval = 300 * time.Millisecond // during an outage of the store
	probeTimeout        = 250 * time.Millisecond
	outageProbers       = 2 // nodes that probe one engine during an outage of the store
)

// probeEngines asks the engines that this node probes whether they are leaving.
// Load pattern: during an outage of the store, engines are still reclaimed at short
// notice, and a node that only watches the store does not learn of it.
func (s *Server) probeEngines(ctx context.Context, now time.Time) {
	interval, probers := probeInterval, 1
	state := s.cfg.Daemon.State()
	if fleet.StoreSilent(state, now) || s.cfg.StoreFailing != nil && s.cfg.StoreFailing() {
		interval, probers = outageProbeInterval, outageProbers
	}
	if now.Sub(s.lastProbe) < interval {
		return
	}
	s.lastProbe = now
	for _, e := range enginesToProbe(fleet.Of(state), member.Of(state), probers) {
		if s.isResting(now, e.ID) || s.isRateLimited(e.ID) {
			continue // its rate is left to generations, whose responses tell of its leaving too
		}
		s.tasks.Go(func() {
			sentAt := time.Now()
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			// An engine that does not respond is not reported: its requests fail anyway.
			n, err := s.cfg.Dialect.Leaving(ctx, e)
			if err == nil && n.Leaving {
				report := kernel.LeaveReported{Endpoint: e.ID, GoneAt: n.GoneAt}
				if n.Final {
					report.StartMillis = e.StartMillis
				}
				s.cfg.Daemon.Post(ctx, report)
			}
			if n.RateLimit != "" {
				s.heedRateLimit(e, n.RateLimit, sentAt)
			}
			s.heedCold(time.Now(), e, n.Cold, sentAt)
			s.heedNotice(time.Now(), e, refusalNotice(err))
		})
	}
}

// enginesToProbe returns the engines that this node probes. The nodes of a load
// group share its engines, and all nodes share those in data centres without a
// node. Each engine is probed by the given number of nodes.
func enginesToProbe(v *fleet.View, m *member.View, probers int) []fleet.Endpoint {
	group := v.LoadGroup()
	hasNode := map[string]bool{} // by data centre
	for _, p := range m.Serving() {
		hasNode[p.GetCentre()] = true
	}
	var list []fleet.Endpoint
	for _, id := range v.EndpointIDs() {
		e, _ := v.Endpoint(id)
		if e.Leaving || v.Table() == nil || v.IsEvacuated(e) {
			continue
		}
		svc, ok := v.Table().Service(e.Service)
		if !ok || svc.Engine == nil {
			continue
		}
		nodes := group.Nodes()
		if !group.Covers(e) {
			if hasNode[e.Centre] {
				continue
			}
			nodes = m.Owners()
		}
		if owner.InTopN(e.ID, m.Self().GetId(), probers, nodes) {
			list = append(list, e)
		}
	}
	return list
}
