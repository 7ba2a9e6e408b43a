package entry

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/lease"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/owner"
	"github.com/plantaindeck/plantaindeck/place"
	"github.com/plantaindeck/plantaindeck/table"
	"github.com/plantaindeck/plantaindeck/wire"
)

// maxAskedAvoid is the largest number of endpoints that a Place asks to avoid, so that the message
// stays small.
const maxAskedAvoid = 32

// usageDelay is the time after which the nodes of a load group know of each other's placements: a
// report and the interval of changes in a large deployment.
const usageDelay = 250 * time.Millisecond

// minRestartIncrease is the least increase of a node's incarnation at a restart. An incarnation is
// the start of the process in microseconds, and a node that refutes a suspicion raises its own by 1.
const minRestartIncrease = 10_000

// askOutcome is how an attempt to place a request in another load group ended.
type askOutcome string

const (
	askPlaced     askOutcome = "placed"
	askFull       askOutcome = "full"        // the asked node chose no endpoint
	askSilent     askOutcome = "silent"      // it did not answer in time
	askUnusable   askOutcome = "unusable"    // it chose one that this node does not use, or the answer is too old
	askBlind      askOutcome = "blind"       // no other group answers, and this node chose itself
	askHolderLost askOutcome = "holder-lost" // the node that held the lease was lost before the request ended
)

var askOutcomes = []askOutcome{askPlaced, askFull, askSilent, askUnusable, askBlind, askHolderLost}

func askedMetric(o askOutcome) string {
	return fmt.Sprintf(`plantaindeck_asked_placements_total{outcome=%q}`, o)
}

func (m *serverMetrics) recordAsked(o askOutcome) { m.set.GetOrCreateCounter(askedMetric(o)).Inc() }

// placements are the placements between this node and those of other load groups.
type placements struct {
	send   func(node string, f *wire.Frame) // to another node; may lose messages
	heldMu sync.Mutex                       // guards held; taken before the server's mutex
	held   *lease.Table                     // for other nodes

	// Guarded by the server's mutex.
	asker *lease.Asker
	asks  map[string]pendingAsk // unanswered ones, by id of the placement
	own   map[string]*placement // of this node's requests, by id
}

// pendingAsk is a Place that has not been answered yet.
type pendingAsk struct {
	node   string
	answer chan *wire.Placed // has room for one
}

// placement is the place of a request of this node at an endpoint that another node chose. That
// node, the holder, counts the usage, and this node does not.
type placement struct {
	id          string
	holder      string
	incarnation uint64 // of the holder
	endpoint    string
	use         usage // that the holder counts
	answeredAt  time.Time
}

func newPlacements(send func(node string, f *wire.Frame)) *placements {
	return &placements{send: send, held: lease.NewTable(), asker: lease.NewAsker(), asks: map[string]pendingAsk{}, own: map[string]*placement{}}
}

// allows reports whether groupOnly allows the choice of an endpoint.
func (sel selection) allows(view *fleet.View, e fleet.Endpoint) bool {
	return !sel.groupOnly || view.LoadGroup().Covers(e) || sel.covering != nil && len(sel.covering.Group(e).Nodes()) == 0
}

// allowsVersion reports whether the selection allows the version of an endpoint.
func (sel selection) allowsVersion(view *fleet.View, e fleet.Endpoint) bool {
	if sel.version != nil {
		return e.Version == *sel.version
	}
	return !sel.recorded || view.IsRecorded(e)
}

// withinGroup returns the selection of an engine restricted to those whose load this node knows
// exactly, if there are other load groups, whose nodes can be asked.
func (s *Server) withinGroup(sel selection) selection {
	if sel.service.Engine == nil {
		return sel
	}
	if c := fleet.CoveringOf(member.Of(s.cfg.Daemon.State())); c.HasOthers() {
		sel.groupOnly, sel.covering = true, c
	}
	return sel
}

// askPlacement asks nodes of other load groups to place a request that finds no room in this one.
// If no other group answers, it chooses any endpoint by what this node knows, and the placement
// is nil.
func (s *Server) askPlacement(ctx context.Context, rr *routedRequest, sel selection) (fleet.Endpoint, *placement, bool) {
	if !sel.groupOnly || sel.covering == nil {
		return fleet.Endpoint{}, nil, false
	}
	kind := askKind(rr.priority, sel)
	var asked []string
	for len(asked) < lease.MaxTries && ctx.Err() == nil {
		now, view := time.Now(), s.view()
		s.mu.Lock()
		if s.placements.asker.Useless(now, kind) {
			s.mu.Unlock()
			break
		}
		sel.avoid = s.usage.avoidWhenAsking(now, view, sel)
		group, node, ok := s.placements.asker.Choose(now, kind, askableGroups(view, sel), asked, s.rand)
		s.mu.Unlock()
		if !ok {
			break
		}
		asked = append(asked, node)
		p, answer := s.ask(ctx, node, rr.placeMessage(now, s.cfg.Daemon.NewRequestID(), sel))
		now = time.Now()
		if answer == nil && ctx.Err() != nil {
			return fleet.Endpoint{}, nil, false
		}
		s.mu.Lock()
		if answer == nil {
			s.placements.asker.Silent(now, node)
		} else {
			s.placements.asker.Answered(now, kind, group.Name, node, answer.GetEndpoint() != "", time.Duration(answer.GetWait())*time.Millisecond)
		}
		s.mu.Unlock()
		if e, ok := s.acceptAnswer(now, rr, sel, node, p, answer); ok {
			return e, p, true
		}
	}
	return s.chooseBlindly(rr, sel)
}

// askKind names the requests that find room in a load group or not as this one does.
func askKind(priority int, sel selection) string {
	version := ""
	if sel.version != nil {
		version = *sel.version
	}
	return fmt.Sprintf("%s/%d/%s/%t", sel.service.Name, priority, version, sel.recorded)
}

// askableGroups returns the other load groups that cover endpoints which the selection allows.
func askableGroups(view *fleet.View, sel selection) []lease.Group {
	var groups []lease.Group
	for _, e := range view.Endpoints(sel.service.Name) {
		if e.Leaving || !sel.allowsVersion(view, e) || slices.Contains(sel.avoid, e.ID) || view.LoadGroup().Covers(e) {
			continue
		}
		nodes := sel.covering.Group(e).Nodes()
		if len(nodes) == 0 {
			continue
		}
		name := nodes[0] // each node is in one group
		i := slices.IndexFunc(groups, func(g lease.Group) bool { return g.Name == name })
		if i < 0 {
			groups = append(groups, lease.Group{Name: name, Nodes: nodes})
			i = len(groups) - 1
		}
		groups[i].Endpoints++
	}
	return groups
}

// avoidWhenAsking returns the endpoints that another node must not choose: those that the
// selection avoids, and those outside the load group that take no requests from this node.
func (t *usageTracker) avoidWhenAsking(now time.Time, view *fleet.View, sel selection) []string {
	avoid := slices.Clone(sel.avoid)
	for id := range t.endpoints {
		if t.restLeft(now, id) == 0 && !t.inBackoff(now, id) || len(avoid) >= maxAskedAvoid || slices.Contains(avoid, id) {
			continue
		}
		if e, listed := view.Endpoint(id); listed && e.Service == sel.service.Name && !view.LoadGroup().Covers(e) {
			avoid = append(avoid, id)
		}
	}
	return avoid
}

// placeMessage returns the message that asks for an endpoint for the request.
func (rr *routedRequest) placeMessage(now time.Time, id string, sel selection) *wire.Place {
	p := &wire.Place{
		Request:  id,
		Service:  sel.service.Name,
		Priority: uint32(rr.priority),
		Tokens:   uint32(sel.need.Tokens),
		Prompt:   uint32(sel.use.prompt),
		Output:   uint32(rr.expectedOutput()),
		Left:     uint32(max(rr.deadline.Sub(now).Milliseconds(), 0)),
		Version:  sel.version,
		Avoid:    sel.avoid,
		Route:    rr.route.Name,
	}
	if o := rr.route.LatencyObjective; o > 0 {
		p.Start = int32(rr.req.Arrived.Add(o).Sub(now).Milliseconds())
	}
	return p
}

// ask sends a Place and waits for the answer. The answer is nil if none came in time. The
// placement is nil unless an endpoint was chosen.
func (s *Server) ask(ctx context.Context, node string, msg *wire.Place) (*placement, *wire.Placed) {
	id := msg.GetRequest()
	a := pendingAsk{node: node, answer: make(chan *wire.Placed, 1)}
	s.mu.Lock()
	s.placements.asks[id] = a
	s.mu.Unlock()
	s.placements.send(node, &wire.Frame{Body: &wire.Frame_Place{Place: msg}})
	timer := time.NewTimer(lease.AnswerTimeout)
	defer timer.Stop()
	select {
	case answer := <-a.answer:
		return s.newPlacement(node, msg, answer), answer
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	delete(s.placements.asks, id)
	s.mu.Unlock()
	// The node may have chosen an endpoint although its answer was lost or is late.
	s.sendDone(node, id, false)
	return nil, nil
}

// newPlacement returns the placement that an answer grants, or nil if it grants none.
func (s *Server) newPlacement(node string, msg *wire.Place, answer *wire.Placed) *placement {
	if answer.GetEndpoint() == "" {
		return nil
	}
	p := &placement{id: msg.GetRequest(), holder: node, endpoint: answer.GetEndpoint(), answeredAt: time.Now()}
	p.use = usage{requests: 1, tokens: int(msg.GetTokens()), prompt: int(msg.GetPrompt())}
	if holder, known := member.Of(s.cfg.Daemon.State()).Get(node); known {
		p.incarnation = holder.Member.GetIncarnation()
	}
	return p
}

// acceptAnswer records the answer of a node. It returns the endpoint of the placement if there
// is one that this node may use, and gives the placement up otherwise.
func (s *Server) acceptAnswer(now time.Time, rr *routedRequest, sel selection, node string, p *placement, answer *wire.Placed) (fleet.Endpoint, bool) {
	switch {
	case answer == nil:
		s.metrics.recordAsked(askSilent)
		s.record("asked", rr.req, "", fmt.Sprintf("node %s did not answer within %s", node, lease.AnswerTimeout))
		return fleet.Endpoint{}, false
	case p == nil:
		s.metrics.recordAsked(askFull)
		s.record("asked", rr.req, "", fmt.Sprintf("node %s has no room in its load group; there may be some in %d ms", node, answer.GetWait()))
		return fleet.Endpoint{}, false
	}
	view := s.view()
	e, listed := view.Endpoint(p.endpoint)
	s.mu.Lock()
	usable := listed && !e.Leaving && !slices.Contains(sel.avoid, e.ID) && s.usage.restLeft(now, e.ID) == 0 && sel.allowsVersion(view, e)
	var c place.Candidate
	if usable {
		s.placements.own[p.id] = p
		c = s.candidate(now, view, sel.service, e, sel.centre)
	}
	s.mu.Unlock()
	if !usable {
		s.sendDone(node, p.id, false)
		s.metrics.recordAsked(askUnusable)
		s.record("asked", rr.req, p.endpoint, fmt.Sprintf("node %s chose an endpoint that this node does not use", node))
		return fleet.Endpoint{}, false
	}
	s.metrics.recordAsked(askPlaced)
	s.record("asked", rr.req, e.ID, fmt.Sprintf("node %s chose the endpoint as placement %s", node, p.id))
	s.recordPlacement(rr, e, c, place.FirstEvent(sel.need, c))
	return e, true
}

// chooseBlindly chooses among all endpoints by what this node knows, if it is cut off from the
// other load groups.
func (s *Server) chooseBlindly(rr *routedRequest, sel selection) (fleet.Endpoint, *placement, bool) {
	now := time.Now()
	s.mu.Lock()
	cutOff := s.placements.asker.CutOff(now)
	s.mu.Unlock()
	if !cutOff {
		return fleet.Endpoint{}, nil, false
	}
	sel.groupOnly = false
	e, c, ok := s.reserveEndpoint(now, s.view(), sel)
	if ok {
		s.metrics.recordAsked(askBlind)
		s.record("asked", rr.req, e.ID, "no node of another load group answers; the endpoint was chosen by what this node knows")
		s.recordPlacement(rr, e, c, place.FirstEvent(sel.need, c))
	}
	return e, nil, ok
}

// HandlePlacement handles a Place, Placed or Done of another node.
func (s *Server) HandlePlacement(from string, f *wire.Frame) {
	now, state := time.Now(), s.cfg.Daemon.State()
	switch body := f.GetBody().(type) {
	case *wire.Frame_Place:
		placed := s.placeFor(now, fleet.Of(state), member.Of(state), from, body.Place)
		s.placements.send(from, &wire.Frame{Body: &wire.Frame_Placed{Placed: placed}})
	case *wire.Frame_Placed:
		if s.isUnwanted(from, body.Placed) {
			s.sendDone(from, body.Placed.GetRequest(), false)
		}
	case *wire.Frame_Done:
		s.endHeld(now, from, body.Done)
	}
}

// isUnwanted passes an answer to the request that waits for it. It reports whether the answer
// grants a placement that no request waits for any more.
func (s *Server) isUnwanted(from string, p *wire.Placed) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := p.GetRequest()
	if a, waiting := s.placements.asks[id]; waiting && a.node == from {
		a.answer <- p
		delete(s.placements.asks, id)
		return false
	}
	_, inUse := s.placements.own[id]
	return p.GetEndpoint() != "" && !inUse
}

// placeFor chooses an endpoint of this node's load group for a request of another node, and
// holds the request's usage there.
func (s *Server) placeFor(now time.Time, view *fleet.View, m *member.View, from string, msg *wire.Place) *wire.Placed {
	placed := &wire.Placed{Request: msg.GetRequest()}
	asker, known := m.Get(from)
	if !view.Ready() || !known || !m.Usable(from) || msg.GetLeft() == 0 {
		return placed
	}
	svc, ok := view.Table().Service(msg.GetService())
	if !ok || svc.Engine == nil {
		return placed
	}
	s.placements.heldMu.Lock()
	defer s.placements.heldMu.Unlock()
	if l, held := s.placements.held.Get(msg.GetRequest()); held {
		if l.Asker == from {
			placed.Endpoint = l.Endpoint // the message arrived twice
		}
		return placed
	}
	sel := selectionFor(svc, s.cfg.Centre, msg)
	sel.recorded = view.Table().IsResumable(msg.GetRoute())
	sel.avoid = append(slices.Clone(sel.avoid), s.takenShares(now, view, m.Self().GetId(), sel)...)
	e, _, ok := s.reserveEndpoint(now, view, sel)
	if !ok {
		placed.Wait = uint32(s.groupRest(now, view, sel).Milliseconds())
		return placed
	}
	s.placements.held.Add(msg.GetRequest(), lease.Lease{
		Asker:       from,
		Incarnation: asker.Member.GetIncarnation(),
		Endpoint:    e.ID,
		Use:         lease.Use{Tokens: sel.use.tokens, Prompt: sel.use.prompt},
		PlacedAt:    now,
		Deadline:    now.Add(time.Duration(msg.GetLeft()) * time.Millisecond),
	})
	placed.Endpoint = e.ID
	return placed
}

// selectionFor returns the selection by which an asked node chooses.
func selectionFor(svc *table.Service, centre string, msg *wire.Place) selection {
	maxFill := place.MaxFillNew
	if msg.GetPriority() == 0 {
		maxFill = place.MaxFillUrgent
	}
	return selection{
		service:   svc,
		centre:    centre,
		need:      place.Need{Tokens: int(msg.GetTokens())},
		maxFill:   maxFill,
		version:   msg.Version,
		avoid:     msg.GetAvoid(),
		use:       usage{requests: 1, tokens: int(msg.GetTokens()), prompt: int(msg.GetPrompt())},
		groupOnly: true,
	}
}

// takenShares returns the endpoints at which this node has no share of the free places left. Load
// pattern: nodes of many groups ask all nodes of this one at the same moment, and each of these
// sees the same free places, above all those of an engine that has just started. So the nodes of
// the group divide the free places until they know of each other's placements. The mutex of the
// held leases is held.
func (s *Server) takenShares(now time.Time, view *fleet.View, self string, sel selection) []string {
	recent := s.placements.held.Recent(now.Add(-usageDelay))
	nodes := view.LoadGroup().Nodes()
	s.mu.Lock()
	defer s.mu.Unlock()
	var taken []string
	for _, e := range view.Endpoints(sel.service.Name) {
		if e.Leaving || !view.LoadGroup().Covers(e) {
			continue
		}
		c, r := s.candidate(now, view, sel.service, e, sel.centre), recent[e.ID]
		free, used := c.Slots-(c.Requests-r.Requests), r.Requests
		if need := sel.need.Tokens; need > 0 && c.Memory > 0 {
			free = min(free, (int(sel.maxFill*float64(c.Memory))-(c.Tokens-r.Tokens))/need)
			used = max(used, (r.Tokens+need-1)/need)
		}
		share := max(free, 0) / max(len(nodes), 1)
		if owner.InTopN(e.ID, self, max(free, 0)%max(len(nodes), 1), nodes) {
			share++
		}
		if used >= share {
			taken = append(taken, e.ID)
		}
	}
	return taken
}

// groupRest returns the time until the first endpoint of the load group takes requests again, or
// 0 if one takes them now or there is none.
func (s *Server) groupRest(now time.Time, view *fleet.View, sel selection) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var first time.Duration
	for _, e := range view.Endpoints(sel.service.Name) {
		if e.Leaving || !view.LoadGroup().Covers(e) {
			continue
		}
		left := s.usage.closedFor(now, view, e)
		if left == 0 {
			return 0
		}
		if first == 0 || left < first {
			first = left
		}
	}
	return first
}

// endHeld handles a Done of another node.
func (s *Server) endHeld(now time.Time, from string, msg *wire.Done) {
	s.placements.heldMu.Lock()
	defer s.placements.heldMu.Unlock()
	if msg.GetFirst() {
		if l, ok := s.placements.held.First(msg.GetRequest(), from); ok {
			s.mu.Lock()
			s.usage.add(now, l.Endpoint, usage{prompt: -l.Use.Prompt})
			s.mu.Unlock()
		}
		return
	}
	if l, ok := s.placements.held.End(msg.GetRequest(), from); ok {
		s.freeHeld(now, l)
	}
}

// heldPlacements returns the number of requests of other nodes that this node counts.
func (s *Server) heldPlacements() int {
	s.placements.heldMu.Lock()
	defer s.placements.heldMu.Unlock()
	return s.placements.held.Len()
}

// freeHeld frees the usage of a lease that has ended.
func (s *Server) freeHeld(now time.Time, l lease.Lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage.add(now, l.Endpoint, usage{requests: -1, tokens: -l.Use.Tokens, prompt: -l.Use.Prompt})
}

// expirePlacements ends the leases of askers that are lost, and counts the usage of this node's
// requests whose holders are lost.
func (s *Server) expirePlacements(now time.Time) {
	m := member.Of(s.cfg.Daemon.State())
	for _, p := range s.expireHeld(now, m) {
		s.sendDone(p.holder, p.id, false) // it may be alive, and cut off from this node only
		s.metrics.recordAsked(askHolderLost)
		s.recordEndpoint("asked", p.endpoint, fmt.Sprintf("node %s was lost, which held placement %s; this node counts the request", p.holder, p.id))
	}
}

// expireHeld does the work of expirePlacements, and returns the placements whose holders are lost.
func (s *Server) expireHeld(now time.Time, m *member.View) []*placement {
	s.placements.heldMu.Lock()
	for _, l := range s.placements.held.Expire(now, func(id string, incarnation uint64) bool { return isSameRun(m, id, incarnation) }) {
		s.freeHeld(now, l)
	}
	s.placements.heldMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	var lost []*placement
	for id, p := range s.placements.own {
		if isSameRun(m, p.holder, p.incarnation) {
			continue
		}
		delete(s.placements.own, id)
		s.usage.add(now, p.endpoint, p.use)
		lost = append(lost, p)
	}
	return lost
}

// isSameRun reports whether a node is usable and has not restarted since it had the given
// incarnation, which is 0 if it was unknown.
func isSameRun(m *member.View, id string, incarnation uint64) bool {
	p, known := m.Get(id)
	return known && m.Usable(id) && (incarnation == 0 || p.Member.GetIncarnation() < incarnation+minRestartIncrease)
}

// sendDone tells a holder that a request of this node has had its first event or has ended.
func (s *Server) sendDone(node, id string, first bool) {
	s.placements.send(node, &wire.Frame{Body: &wire.Frame_Done{Done: &wire.Done{Request: id, First: first}}})
}

// changeUsage changes the usage of the generation on an engine: at the holder of the placement
// if there is one, else in this node's own usage. The mutex is held.
func (g *generation) changeUsage(now time.Time, id string, u usage) {
	s, p := g.server, g.placement
	if p == nil || p.endpoint != id {
		s.usage.add(now, id, u)
		return
	}
	ends := u.requests < 0
	if ends {
		g.placement = nil
	}
	if s.placements.own[p.id] == p {
		p.use.prompt += u.prompt
	} else {
		s.usage.add(now, id, u) // the holder was lost
	}
	if ends {
		delete(s.placements.own, p.id)
	}
	s.sendDone(p.holder, p.id, !ends)
}

// endStalePlacement gives up a placement that is too old to be used, as when the process was
// paused. It reports whether it did.
func (g *generation) endStalePlacement(now time.Time) bool {
	p := g.placement
	if p == nil || now.Sub(p.answeredAt) < lease.MaxAge {
		return false
	}
	g.lastErr = errors.Errorf("the placement by node %s was not used in time", p.holder)
	g.removeUsage(p.endpoint)
	g.server.metrics.recordAsked(askUnusable)
	g.server.record("asked", g.routed.req, p.endpoint, g.lastErr.Error())
	return true
}
