package admit

import (
	"maps"
	"slices"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/owner"
	"github.com/plantaindeck/plantaindeck/policy"
	"github.com/plantaindeck/plantaindeck/shard"
	"github.com/plantaindeck/plantaindeck/spec"
	"github.com/plantaindeck/plantaindeck/wire"
)

func step(now time.Time, s kernel.State, e kernel.Event) (*Book, []kernel.Effect) {
	b := Of(s)
	switch e := e.(type) {
	case kernel.Received:
		next, effects := b.received(now, s, e)
		return next, local(s, effects)
	case kernel.Tick:
		next, effects := b.tick(now, s)
		return next, local(s, effects)
	case kernel.LoadRead:
		return b.loaded(now, e), nil
	case kernel.HostsListed:
		return b.hosts(e), nil
	}
	return b, nil
}

// Turns messages to this node itself into events.
func local(s kernel.State, effects []kernel.Effect) []kernel.Effect {
	self := s.Config.Self.GetId()
	for i, f := range effects {
		if m, ok := f.(kernel.Send); ok && m.To == self {
			effects[i] = kernel.Raise{Event: kernel.Received{From: self, Frame: m.Frame}}
		}
	}
	return effects
}

func (b *Book) received(now time.Time, s kernel.State, e kernel.Received) (*Book, []kernel.Effect) {
	switch body := e.Frame.GetBody().(type) {
	case *wire.Frame_Ask:
		return b.ask(now, s, e.From, body.Ask)
	case *wire.Frame_Withdraw:
		w := body.Withdraw
		return b.change(now, s, w.GetService(), w.GetShard(), func(sh *Shard) *Shard {
			return sh.withoutWaiting(w.GetRequest()).withoutGranted(w.GetRequest())
		})
	case *wire.Frame_Release:
		r := body.Release
		return b.change(now, s, r.GetService(), r.GetShard(), func(sh *Shard) *Shard {
			return sh.release(now, r)
		})
	case *wire.Frame_Progress:
		p := body.Progress
		var answers []kernel.Effect
		next, effects := b.change(now, s, p.GetService(), p.GetShard(), func(sh *Shard) *Shard {
			sh, answers = sh.progress(now, epoch(s), e.From, p)
			return sh
		})
		return next, append(answers, effects...)
	}
	return b, nil
}

// Returns the incarnation that this node started with, within which the
// numbers of its grants are unique.
func epoch(s kernel.State) uint64 {
	return s.Config.Self.GetIncarnation()
}

// Applies a change to a shard and grants the places that it made free.
func (b *Book) change(now time.Time, s kernel.State, service string, index uint32, change func(*Shard) *Shard) (*Book, []kernel.Effect) {
	key, sh := b.shard(now, service, index)
	weigh, list := inForce(s, service, int(index))
	next, effects := change(sh).fill(now, epoch(s), weigh, b.usable(list))
	return b.with(key, next), effects
}

// Returns the weights and the endpoints of a shard, by the document in force.
func inForce(s kernel.State, service string, index int) (spec.Weigh, []spec.Endpoint) {
	svc, _, ok := policy.Of(s).Service(service)
	if !ok {
		return spec.Weigh{}, nil
	}
	return svc.Weigh, shard.Endpoints(svc, index)
}

func (b *Book) ask(now time.Time, s kernel.State, from string, a *wire.Ask) (*Book, []kernel.Effect) {
	key, sh := b.shard(now, a.GetService(), a.GetShard())
	if _, ok := sh.granted.Get(a.GetRequest()); ok {
		return b, []kernel.Effect{sh.grantEffect(epoch(s), a.GetRequest())}
	}
	accept := kernel.Send{To: from, Frame: &wire.Frame{Body: &wire.Frame_Accept{Accept: &wire.Accept{Request: a.GetRequest()}}}}
	if at, ok := sh.places.Get(a.GetRequest()); ok {
		return b.with(key, sh.refreshed(at, now)), []kernel.Effect{accept}
	}
	svc, _, ok := policy.Of(s).Service(a.GetService())
	if !ok {
		// The entry node knows the service, so this node is behind, or has just
		// started. Without an answer the entry node asks the standby.
		return b, nil
	}
	if sh.queue.Len() >= maxQueue {
		return b, []kernel.Effect{refuse(from, a, kernel.ReasonOverload, overloadRetry)}
	}
	w := waiting{ask: a, entry: from, priority: priority(svc, a), share: share(s, a), arrived: now, seen: now, deadline: now.Add(time.Duration(a.GetWait()))}
	next, effects := sh.withWaiting(w).fill(now, epoch(s), svc.Weigh, b.usable(shard.Endpoints(svc, int(a.GetShard()))))
	return b.with(key, next), append([]kernel.Effect{accept}, effects...)
}

func share(s kernel.State, a *wire.Ask) int {
	if w, ok := policy.Of(s).Workspace(a.GetService(), a.GetWorkspace()); ok {
		return w.Share
	}
	return 1
}

func priority(svc *spec.Service, a *wire.Ask) int {
	if c, ok := svc.Class(a.GetClass()); ok {
		return c.Priority
	}
	return 0
}

func refuse(to string, a *wire.Ask, reason kernel.Reason, retry time.Duration) kernel.Effect {
	r := &wire.Refuse{Request: a.GetRequest(), Reason: string(reason), Retry: int64(retry)}
	return kernel.Send{To: to, Frame: &wire.Frame{Body: &wire.Frame_Refuse{Refuse: r}}}
}

func (sh *Shard) refreshed(at place, now time.Time) *Shard {
	w, _ := sh.queue.Get(at)
	w.seen = now
	next := *sh
	next.queue = sh.queue.Set(at, w)
	return &next
}

func (sh *Shard) release(now time.Time, r *wire.Release) *Shard {
	g, ok := sh.granted.Get(r.GetRequest())
	if !ok {
		return sh
	}
	next := sh.withoutGranted(r.GetRequest())
	next = next.withCorrection(g, int(r.GetTokens()))
	if !r.GetFailed() && r.GetTokens() > 0 && g.ask.GetLimit() > 0 {
		next = next.withLength(g.ask, int(r.GetTokens()))
	}
	return next.withUsage(g.endpoint, func(u usage) usage {
		return u.after(now, r)
	})
}

// Rests an endpoint that failed, twice as long after each failure in a row.
func (u usage) after(now time.Time, r *wire.Release) usage {
	switch {
	case r.GetLeaving():
		u.rest = now.Add(leavingHold)
	case r.GetFailed():
		hold := min(failureHold<<min(u.failures, 10), maxFailureHold)
		u.rest = now.Add(hold)
		u.failures++
	case r.GetTokens() > 0:
		u.failures = 0
	}
	return u
}

// Takes in an entry node's report of its running requests. Those that are new
// to this owner get numbers; numbers that it does not know are asked for in
// full.
func (sh *Shard) progress(now time.Time, epoch uint64, from string, p *wire.Progress) (*Shard, []kernel.Effect) {
	next := sh
	var effects []kernel.Effect
	unknown := p.GetEpoch() != epoch && len(p.GetNumbers()) > 0
	for i, number := range p.GetNumbers() {
		id, ok := next.numbers.Get(number)
		if unknown || !ok || i >= len(p.GetTokens()) {
			unknown = true
			break
		}
		g, _ := next.granted.Get(id)
		next = next.withProgress(g, int(p.GetTokens()[i]), now)
	}
	for _, r := range p.GetStrange() {
		id := r.GetAsk().GetRequest()
		if id == "" {
			continue
		}
		next = next.adopt(now, from, r)
		effects = append(effects, next.grantEffect(epoch, id))
	}
	if unknown {
		d := &wire.Describe{Service: p.GetService(), Shard: p.GetShard()}
		effects = append(effects, kernel.Send{To: from, Frame: &wire.Frame{Body: &wire.Frame_Describe{Describe: d}}})
	}
	return next, effects
}

// Takes over a running request that another owner granted.
func (sh *Shard) adopt(now time.Time, from string, r *wire.Running) *Shard {
	id := r.GetAsk().GetRequest()
	if g, ok := sh.granted.Get(id); ok && g.endpoint == r.GetEndpoint() {
		return sh.withProgress(g, int(r.GetTokens()), now)
	}
	// The entry node uses the place that it names, whatever was granted here.
	sh = sh.withoutGranted(id)
	g := granted{ask: r.GetAsk(), entry: from, endpoint: r.GetEndpoint(), tokens: int(r.GetTokens()), seen: now}
	return sh.withoutWaiting(id).withGranted(g).withUsage(g.endpoint, func(u usage) usage {
		u.strange = max(0, u.strange-1)
		u.stranger = max(0, u.stranger-int(g.ask.GetPrompt())-g.tokens)
		return u
	})
}

func (b *Book) tick(now time.Time, s kernel.State) (*Book, []kernel.Effect) {
	next := b
	var effects []kernel.Effect
	for _, key := range slices.Sorted(maps.Keys(b.shards)) {
		sh, out := b.shards[key].expire(now)
		weigh, list := inForce(s, sh.service, sh.index)
		filled, grants := sh.fill(now, epoch(s), weigh, b.usable(list))
		if filled != b.shards[key] {
			next = next.with(key, filled)
		}
		effects = append(effects, out...)
		effects = append(effects, grants...)
	}
	watched, watch := next.watch(s)
	return watched, append(effects, watch...)
}

// Drops what its entry node no longer repeats or reports, and what is too
// late.
func (sh *Shard) expire(now time.Time) (*Shard, []kernel.Effect) {
	next := sh
	var effects []kernel.Effect
	for itr := sh.queue.Iterator(); !itr.Done(); {
		_, w, _ := itr.Next()
		switch {
		case !now.Before(w.deadline):
			next = next.withoutWaiting(w.ask.GetRequest())
			effects = append(effects, refuse(w.entry, w.ask, kernel.ReasonDeadline, 0))
		case now.Sub(w.seen) >= entryTimeout:
			next = next.withoutWaiting(w.ask.GetRequest())
		}
	}
	next, shed := next.withPatience(now).shed(now)
	effects = append(effects, shed...)
	for itr := sh.granted.Iterator(); !itr.Done(); {
		id, g, _ := itr.Next()
		if now.Sub(g.seen) >= runningTimeout {
			next = next.withoutGranted(id)
		}
	}
	return next, effects
}

// Takes in an engine's own report, which may say that it is leaving, and tells
// a new owner how much runs there that it does not know of yet.
func (b *Book) loaded(now time.Time, e kernel.LoadRead) *Book {
	next := b
	for _, key := range slices.Sorted(maps.Keys(b.shards)) {
		sh := b.shards[key]
		if sh.service != e.Service {
			continue
		}
		next = next.with(key, sh.withUsage(e.Endpoint, func(u usage) usage {
			u.reported = true
			if e.Load.Leaving {
				u.rest = now.Add(leavingHold)
			}
			if now.Sub(sh.since) < learnTime {
				u.strange = max(0, e.Load.Running+e.Load.Waiting-u.slots)
				u.stranger = max(0, e.Load.Used-int(u.mean))
			}
			return u
		}))
	}
	return next
}

// Asks for the load of the engines that this node admits to, when they have
// changed. A node that stands in for an owner has a queue too.
func (b *Book) watch(s kernel.State) (*Book, []kernel.Effect) {
	var targets []kernel.Target
	for _, key := range slices.Sorted(maps.Keys(b.shards)) {
		sh := b.shards[key]
		first, _ := owner.Pick(key, member.Of(s).Owners())
		if first != s.Config.Self.GetId() && sh.queue.Len() == 0 {
			continue
		}
		_, list := inForce(s, sh.service, sh.index)
		for _, e := range list {
			if e.Memory > 0 {
				targets = append(targets, kernel.Target{Service: sh.service, Endpoint: e.Name, Addr: e.Addr})
			}
		}
	}
	if slices.Equal(targets, b.watched) {
		return b, nil
	}
	next := *b
	next.watched = targets
	return &next, []kernel.Effect{kernel.Watch{Endpoints: targets}}
}

// Takes in which hosts the platform says are leaving.
func (b *Book) hosts(e kernel.HostsListed) *Book {
	next := *b
	next.leaving = map[string]bool{}
	for _, ip := range e.Leaving {
		next.leaving[ip] = true
	}
	return &next
}
