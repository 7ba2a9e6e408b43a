package route

import (
	"maps"
	"slices"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/owner"
	"github.com/plantaindeck/plantaindeck/shard"
	"github.com/plantaindeck/plantaindeck/wire"
)

func (t *RequestTable) handleFrame(s kernel.State, e kernel.FrameReceived) (*RequestTable, []kernel.Effect) {
	switch body := e.Frame.GetBody().(type) {
	case *wire.Frame_Accept:
		return t.handleAccept(e.From, body.Accept), nil
	case *wire.Frame_Grant:
		return t.handleGrant(s, e.From, body.Grant)
	case *wire.Frame_Refuse:
		return t.handleRefuse(e.From, body.Refuse)
	case *wire.Frame_Describe:
		return t.clearOwner(e.From, body.Describe.GetService(), body.Describe.GetShard()), nil
	}
	return t, nil
}

func (t *RequestTable) handleAccept(from string, a *wire.Accept) *RequestTable {
	p, ok := t.pending.Get(a.GetRequest())
	if !ok || p.askedNode != from {
		return t
	}
	p.accepted = true
	return t.withPending(a.GetRequest(), p)
}

func (t *RequestTable) handleGrant(s kernel.State, from string, g *wire.Grant) (*RequestTable, []kernel.Effect) {
	id := g.GetRequest()
	p, ok := t.pending.Get(id)
	if !ok {
		return t.handleUnexpectedGrant(s, from, g)
	}
	r := runningRequest{ask: p.ask, owner: from, number: g.GetNumber(), epoch: g.GetEpoch(), endpoint: g.GetEndpoint()}
	effects := []kernel.Effect{
		kernel.Record{Kind: "grant", Request: id, Workspace: p.ask.GetWorkspace(), Endpoint: g.GetEndpoint()},
		kernel.Grant{Request: id, Endpoint: g.GetEndpoint(), Addr: g.GetAddr()},
	}
	if p.askedNode != from {
		// The node that was asked last may have the request in its queue.
		effects = append(effects, withdrawEffect(s, p))
	}
	return t.withoutPending(id).withRunning(id, r), effects
}

// handleUnexpectedGrant handles a grant for a request that is not pending. If it
// is for the endpoint on which the request runs, the request was described to a
// new owner, which sends its own number for the grant. Any other grant is a second
// one, or its request has been rejected or abandoned; it is released.
func (t *RequestTable) handleUnexpectedGrant(s kernel.State, from string, g *wire.Grant) (*RequestTable, []kernel.Effect) {
	r, ok := t.running.Get(g.GetRequest())
	if ok && r.endpoint == g.GetEndpoint() {
		r.owner = from
		r.number = g.GetNumber()
		r.epoch = g.GetEpoch()
		return t.withRunning(g.GetRequest(), r), nil
	}
	rel := &wire.Release{Request: g.GetRequest(), Service: g.GetService(), Shard: g.GetShard()}
	return t, []kernel.Effect{releaseEffect(s, from, rel)}
}

// clearOwner records that an owner does not know the running requests of a
// shard, so that the next report describes them in full.
func (t *RequestTable) clearOwner(owner, service string, index uint32) *RequestTable {
	next := t
	for itr := t.running.Iterator(); !itr.Done(); {
		id, r, _ := itr.Next()
		if r.owner == owner && r.ask.GetService() == service && r.ask.GetShard() == index {
			r.owner = ""
			next = next.withRunning(id, r)
		}
	}
	return next
}

func (t *RequestTable) handleRefuse(from string, r *wire.Refuse) (*RequestTable, []kernel.Effect) {
	p, ok := t.pending.Get(r.GetRequest())
	if !ok || p.askedNode != from {
		return t, nil
	}
	return t.withoutPending(r.GetRequest()), []kernel.Effect{
		kernel.Record{Kind: "refuse", Request: r.GetRequest(), Workspace: p.ask.GetWorkspace(), Detail: r.GetReason()},
		kernel.Reject{Request: r.GetRequest(), Reason: kernel.Reason(r.GetReason()), RetryAfter: time.Duration(r.GetRetry())},
	}
}

func (t *RequestTable) handleTick(now time.Time, s kernel.State) (*RequestTable, []kernel.Effect) {
	next, effects := t.askForPending(now, s)
	owners := member.Of(s).Owners()
	if now.Sub(t.lastReport) < progressInterval && slices.Equal(owners, t.owners) {
		return next, effects
	}
	updated := *next
	updated.lastReport = now
	updated.owners = owners
	return &updated, append(effects, next.reportProgress(s)...)
}

// askForPending rejects pending requests whose deadline has passed. For those
// that were not accepted in time it asks the standby if the owner was asked last,
// and the owner otherwise. For those that are queued it asks the current owner
// again.
func (t *RequestTable) askForPending(now time.Time, s kernel.State) (*RequestTable, []kernel.Effect) {
	next := t
	var effects []kernel.Effect
	for itr := t.pending.Iterator(); !itr.Done(); {
		id, p, _ := itr.Next()
		switch {
		case !now.Before(p.deadline):
			next = next.withoutPending(id)
			effects = append(effects, withdrawEffect(s, p), kernel.Reject{Request: id, Reason: kernel.ReasonDeadline})
		case !p.accepted && now.Sub(p.lastAsk) >= acceptTimeout:
			p = p.withAsk(now, alternateOwner(s, p))
			next = next.withPending(id, p)
			effects = append(effects, askEffect(now, s, p))
		case now.Sub(p.lastAsk) >= askInterval:
			to := currentOwner(s, p.ask)
			if to != p.askedNode {
				effects = append(effects, withdrawEffect(s, p))
			}
			p = p.withAsk(now, to)
			next = next.withPending(id, p)
			effects = append(effects, askEffect(now, s, p))
		}
	}
	return next, effects
}

func (p pendingRequest) withAsk(now time.Time, to string) pendingRequest {
	p.accepted = p.accepted && to == p.askedNode
	p.askedNode = to
	p.lastAsk = now
	return p
}

func currentOwner(s kernel.State, a *wire.Ask) string {
	first, _ := owner.Pick(shard.Key(a.GetService(), int(a.GetShard())), member.Of(s).Owners())
	return first
}

// alternateOwner returns the standby, if there is one, when the owner was asked
// last, and the owner otherwise.
func alternateOwner(s kernel.State, p pendingRequest) string {
	first, standby := owner.Pick(shard.Key(p.ask.GetService(), int(p.ask.GetShard())), member.Of(s).Owners())
	if p.askedNode == first && standby != "" {
		return standby
	}
	return first
}

// handlePeerLost sends another Ask for each pending request whose last one went to
// the lost node.
func (t *RequestTable) handlePeerLost(now time.Time, s kernel.State, peer string) (*RequestTable, []kernel.Effect) {
	next := t
	var effects []kernel.Effect
	for itr := t.pending.Iterator(); !itr.Done(); {
		id, p, _ := itr.Next()
		if p.askedNode != peer {
			continue
		}
		p = p.withAsk(now, alternateOwner(s, p))
		p.accepted = false
		next = next.withPending(id, p)
		effects = append(effects, askEffect(now, s, p))
	}
	return next, effects
}

// reportProgress reports the running requests to the owners of their shards: by
// number to an owner that knows their grants, and in full to any other owner,
// until it has sent its own numbers for them.
func (t *RequestTable) reportProgress(s kernel.State) []kernel.Effect {
	reports := map[string]*wire.Progress{}
	owners := map[string]string{}
	for itr := t.running.Iterator(); !itr.Done(); {
		_, r, _ := itr.Next()
		key := shard.Key(r.ask.GetService(), int(r.ask.GetShard()))
		if _, ok := owners[key]; !ok {
			owners[key] = currentOwner(s, r.ask)
			reports[key] = &wire.Progress{Service: r.ask.GetService(), Shard: r.ask.GetShard()}
		}
		addRunning(reports[key], r, owners[key])
	}
	effects := make([]kernel.Effect, 0, len(reports))
	for _, key := range slices.Sorted(maps.Keys(reports)) {
		effects = append(effects, sendEffect(s, owners[key], &wire.Frame{Body: &wire.Frame_Progress{Progress: reports[key]}}))
	}
	return effects
}

func addRunning(p *wire.Progress, r runningRequest, owner string) {
	if p.Epoch == 0 && r.owner == owner {
		p.Epoch = r.epoch
	}
	if r.owner != owner || r.epoch != p.GetEpoch() {
		p.Strange = append(p.Strange, &wire.Running{Ask: r.ask, Endpoint: r.endpoint, Tokens: uint32(r.tokens)})
		return
	}
	p.Numbers = append(p.Numbers, r.number)
	p.Tokens = append(p.Tokens, uint32(r.tokens))
}
