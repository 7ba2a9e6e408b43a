package route

import (
	"slices"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/owner"
	"github.com/plantaindeck/plantaindeck/shard"
	"github.com/plantaindeck/plantaindeck/wire"
)

func (t *Table) received(s kernel.State, e kernel.Received) (*Table, []kernel.Effect) {
	switch body := e.Frame.GetBody().(type) {
	case *wire.Frame_Accept:
		return t.accept(e.From, body.Accept), nil
	case *wire.Frame_Grant:
		return t.grant(s, e.From, body.Grant)
	case *wire.Frame_Refuse:
		return t.refuse(e.From, body.Refuse)
	}
	return t, nil
}

func (t *Table) accept(from string, a *wire.Accept) *Table {
	p, ok := t.pending.Get(a.GetRequest())
	if !ok || p.owner != from {
		return t
	}
	p.accepted = true
	return t.withPending(a.GetRequest(), p)
}

func (t *Table) grant(s kernel.State, from string, g *wire.Grant) (*Table, []kernel.Effect) {
	id := g.GetRequest()
	p, ok := t.pending.Get(id)
	if !ok {
		return t.unwanted(s, from, g)
	}
	r := running{ask: p.ask, owner: from, endpoint: g.GetEndpoint()}
	effects := []kernel.Effect{
		kernel.Record{Kind: "grant", Request: id, Workspace: p.ask.GetWorkspace(), Endpoint: g.GetEndpoint()},
		kernel.Place{Request: id, Endpoint: g.GetEndpoint(), Addr: g.GetAddr()},
	}
	if p.owner != from {
		// The owner that was asked last may hold the request in its queue.
		effects = append(effects, withdraw(s, p))
	}
	return t.withoutPending(id).withRunning(id, r), effects
}

// Gives back a place that nobody waits for. A repeated grant of the place in
// use is no second place.
func (t *Table) unwanted(s kernel.State, from string, g *wire.Grant) (*Table, []kernel.Effect) {
	if r, ok := t.running.Get(g.GetRequest()); ok && r.owner == from && r.endpoint == g.GetEndpoint() {
		return t, nil
	}
	rel := &wire.Release{Request: g.GetRequest(), Service: g.GetService(), Shard: g.GetShard()}
	return t, []kernel.Effect{sendRelease(s, from, rel)}
}

func (t *Table) refuse(from string, r *wire.Refuse) (*Table, []kernel.Effect) {
	p, ok := t.pending.Get(r.GetRequest())
	if !ok || p.owner != from {
		return t, nil
	}
	return t.withoutPending(r.GetRequest()), []kernel.Effect{
		kernel.Record{Kind: "refuse", Request: r.GetRequest(), Workspace: p.ask.GetWorkspace(), Detail: r.GetReason()},
		kernel.Reject{Request: r.GetRequest(), Reason: kernel.Reason(r.GetReason()), Retry: time.Duration(r.GetRetry())},
	}
}

func (t *Table) tick(now time.Time, s kernel.State) (*Table, []kernel.Effect) {
	next, effects := t.checkPending(now, s)
	owners := member.Of(s).Owners()
	if now.Sub(t.reported) < progressPeriod && slices.Equal(owners, t.owners) {
		return next, effects
	}
	reported, reports := next.report(s)
	reported.reported = now
	reported.owners = owners
	return reported, append(effects, reports...)
}

func (t *Table) checkPending(now time.Time, s kernel.State) (*Table, []kernel.Effect) {
	next := t
	var effects []kernel.Effect
	for itr := t.pending.Iterator(); !itr.Done(); {
		id, p, _ := itr.Next()
		switch {
		case !now.Before(p.deadline):
			next = next.withoutPending(id)
			effects = append(effects, withdraw(s, p), kernel.Reject{Request: id, Reason: kernel.ReasonDeadline})
		case !p.accepted && now.Sub(p.asked) >= acceptTimeout:
			p = p.askAgain(now, otherOwner(s, p))
			next = next.withPending(id, p)
			effects = append(effects, askOwner(now, s, p))
		case now.Sub(p.asked) >= repeatPeriod:
			to := presentOwner(s, p.ask)
			if to != p.owner {
				effects = append(effects, withdraw(s, p))
			}
			p = p.askAgain(now, to)
			next = next.withPending(id, p)
			effects = append(effects, askOwner(now, s, p))
		}
	}
	return next, effects
}

func (p pending) askAgain(now time.Time, to string) pending {
	p.accepted = p.accepted && to == p.owner
	p.owner = to
	p.asked = now
	return p
}

func presentOwner(s kernel.State, a *wire.Ask) string {
	first, _ := owner.Pick(shard.Key(a.GetService(), int(a.GetShard())), member.Of(s).Owners())
	return first
}

// Returns the standby when the owner did not answer, and the owner when the
// standby did not.
func otherOwner(s kernel.State, p pending) string {
	first, second := owner.Pick(shard.Key(p.ask.GetService(), int(p.ask.GetShard())), member.Of(s).Owners())
	if p.owner == first && second != "" {
		return second
	}
	return first
}

// Asks anew for the requests that a lost node had in its queue.
func (t *Table) lost(now time.Time, s kernel.State, peer string) (*Table, []kernel.Effect) {
	next := t
	var effects []kernel.Effect
	for itr := t.pending.Iterator(); !itr.Done(); {
		id, p, _ := itr.Next()
		if p.owner != peer {
			continue
		}
		p = p.askAgain(now, otherOwner(s, p))
		p.accepted = false
		next = next.withPending(id, p)
		effects = append(effects, askOwner(now, s, p))
	}
	return next, effects
}

// Reports the running requests to the owners of their shards. A request whose
// owner has changed is described in full.
func (t *Table) report(s kernel.State) (*Table, []kernel.Effect) {
	next := *t
	reports := map[string]*wire.Progress{}
	targets := map[string]string{}
	for itr := t.running.Iterator(); !itr.Done(); {
		id, r, _ := itr.Next()
		key := shard.Key(r.ask.GetService(), int(r.ask.GetShard()))
		target, ok := targets[key]
		if !ok {
			target = presentOwner(s, r.ask)
			targets[key] = target
			reports[key] = &wire.Progress{Service: r.ask.GetService(), Shard: r.ask.GetShard()}
		}
		line := &wire.Running{Request: id, Endpoint: r.endpoint, Tokens: uint32(r.tokens)}
		if target != r.owner {
			line.Ask = r.ask
			r.owner = target
			next.running = next.running.Set(id, r)
		}
		reports[key].Running = append(reports[key].Running, line)
	}
	keys := make([]string, 0, len(reports))
	for key := range reports {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	effects := make([]kernel.Effect, 0, len(keys))
	for _, key := range keys {
		effects = append(effects, send(s, targets[key], &wire.Frame{Body: &wire.Frame_Progress{Progress: reports[key]}}))
	}
	return &next, effects
}
