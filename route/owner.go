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

func (t *Table) received(s kernel.State, e kernel.Received) (*Table, []kernel.Effect) {
	switch body := e.Frame.GetBody().(type) {
	case *wire.Frame_Accept:
		return t.accept(e.From, body.Accept), nil
	case *wire.Frame_Grant:
		return t.grant(s, e.From, body.Grant)
	case *wire.Frame_Refuse:
		return t.refuse(e.From, body.Refuse)
	case *wire.Frame_Describe:
		return t.forget(e.From, body.Describe.GetService(), body.Describe.GetShard()), nil
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
	r := running{ask: p.ask, owner: from, number: g.GetNumber(), epoch: g.GetEpoch(), endpoint: g.GetEndpoint()}
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

// Takes in a grant that nobody waits for: the number of a running request that
// was described to a new owner, or else a second place, which goes back.
func (t *Table) unwanted(s kernel.State, from string, g *wire.Grant) (*Table, []kernel.Effect) {
	r, ok := t.running.Get(g.GetRequest())
	if ok && r.endpoint == g.GetEndpoint() {
		r.owner = from
		r.number = g.GetNumber()
		r.epoch = g.GetEpoch()
		return t.withRunning(g.GetRequest(), r), nil
	}
	rel := &wire.Release{Request: g.GetRequest(), Service: g.GetService(), Shard: g.GetShard()}
	return t, []kernel.Effect{sendRelease(s, from, rel)}
}

// Notes that an owner does not know the running requests of a shard.
func (t *Table) forget(owner, service string, index uint32) *Table {
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
	reported := *next
	reported.reported = now
	reported.owners = owners
	return &reported, append(effects, next.report(s)...)
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

// Reports the running requests to the owners of their shards: by number to the
// owner that granted them, and in full to another one until it has given them
// numbers of its own.
func (t *Table) report(s kernel.State) []kernel.Effect {
	reports := map[string]*wire.Progress{}
	targets := map[string]string{}
	for itr := t.running.Iterator(); !itr.Done(); {
		_, r, _ := itr.Next()
		key := shard.Key(r.ask.GetService(), int(r.ask.GetShard()))
		if _, ok := targets[key]; !ok {
			targets[key] = presentOwner(s, r.ask)
			reports[key] = &wire.Progress{Service: r.ask.GetService(), Shard: r.ask.GetShard()}
		}
		addRunning(reports[key], r, targets[key])
	}
	effects := make([]kernel.Effect, 0, len(reports))
	for _, key := range slices.Sorted(maps.Keys(reports)) {
		effects = append(effects, send(s, targets[key], &wire.Frame{Body: &wire.Frame_Progress{Progress: reports[key]}}))
	}
	return effects
}

func addRunning(p *wire.Progress, r running, target string) {
	if p.Epoch == 0 && r.owner == target {
		p.Epoch = r.epoch
	}
	if r.owner != target || r.epoch != p.GetEpoch() {
		p.Strange = append(p.Strange, &wire.Running{Ask: r.ask, Endpoint: r.endpoint, Tokens: uint32(r.tokens)})
		return
	}
	p.Numbers = append(p.Numbers, r.number)
	p.Tokens = append(p.Tokens, uint32(r.tokens))
}
