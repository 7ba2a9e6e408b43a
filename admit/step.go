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

func step(now time.Time, s kernel.State, e kernel.Event) (*ShardTable, []kernel.Effect) {
	t := Of(s)
	switch e := e.(type) {
	case kernel.FrameReceived:
		next, effects := t.handleFrame(now, s, e)
		return next, deliverLocally(s, effects)
	case kernel.Tick:
		next, effects := t.handleTick(now, s)
		return next, deliverLocally(s, effects)
	case kernel.LoadRead:
		return t.recordLoad(now, e), nil
	case kernel.HostsListed:
		return t.recordLeavingHosts(e), nil
	}
	return t, nil
}

// deliverLocally replaces each message to this node itself by the event of its
// arrival.
func deliverLocally(s kernel.State, effects []kernel.Effect) []kernel.Effect {
	self := s.Config.Self.GetId()
	for i, f := range effects {
		if m, ok := f.(kernel.Send); ok && m.To == self {
			effects[i] = kernel.Raise{Event: kernel.FrameReceived{From: self, Frame: m.Frame}}
		}
	}
	return effects
}

func (t *ShardTable) handleFrame(now time.Time, s kernel.State, e kernel.FrameReceived) (*ShardTable, []kernel.Effect) {
	switch body := e.Frame.GetBody().(type) {
	case *wire.Frame_Ask:
		return t.handleAsk(now, s, e.From, body.Ask)
	case *wire.Frame_Withdraw:
		w := body.Withdraw
		return t.updateShard(now, s, w.GetService(), w.GetShard(), func(sh *Shard) *Shard {
			return sh.withoutQueued(w.GetRequest()).withoutGranted(w.GetRequest())
		})
	case *wire.Frame_Release:
		r := body.Release
		return t.updateShard(now, s, r.GetService(), r.GetShard(), func(sh *Shard) *Shard {
			return sh.handleRelease(now, r)
		})
	case *wire.Frame_Progress:
		p := body.Progress
		var responses []kernel.Effect
		next, effects := t.updateShard(now, s, p.GetService(), p.GetShard(), func(sh *Shard) *Shard {
			sh, responses = sh.handleProgress(now, epoch(s), e.From, p)
			return sh
		})
		return next, append(responses, effects...)
	}
	return t, nil
}

// epoch returns this node's incarnation, within which the numbers of its grants
// are unique.
func epoch(s kernel.State) uint64 {
	return s.Config.Self.GetIncarnation()
}

// updateShard applies update to a shard and then grants queued requests the
// capacity that has become free.
func (t *ShardTable) updateShard(now time.Time, s kernel.State, service string, index uint32, update func(*Shard) *Shard) (*ShardTable, []kernel.Effect) {
	key, sh := t.shardOrNew(now, service, index)
	weights, endpoints := shardSpec(s, service, int(index))
	next, effects := update(sh).grantQueued(now, epoch(s), weights, t.usable(endpoints))
	return t.withShard(key, next), effects
}

// shardSpec returns the weights of a shard's service and the shard's endpoints
// from the document in force. Both are empty if no document names the service.
func shardSpec(s kernel.State, service string, index int) (spec.Weights, []spec.Endpoint) {
	svc, _, ok := policy.Of(s).Service(service)
	if !ok {
		return spec.Weights{}, nil
	}
	return svc.Weigh, shard.Endpoints(svc, index)
}

func (t *ShardTable) handleAsk(now time.Time, s kernel.State, from string, a *wire.Ask) (*ShardTable, []kernel.Effect) {
	key, sh := t.shardOrNew(now, a.GetService(), a.GetShard())
	if _, ok := sh.granted.Get(a.GetRequest()); ok {
		return t, []kernel.Effect{sh.grantEffect(epoch(s), a.GetRequest())}
	}
	accept := kernel.Send{To: from, Frame: &wire.Frame{Body: &wire.Frame_Accept{Accept: &wire.Accept{Request: a.GetRequest()}}}}
	if at, ok := sh.positions.Get(a.GetRequest()); ok {
		return t.withShard(key, sh.withLastSeen(at, now)), []kernel.Effect{accept}
	}
	svc, _, ok := policy.Of(s).Service(a.GetService())
	if !ok {
		// The entry node knows the service, so this node's documents are stale or
		// it has just started. It sends no response, so that the entry node asks
		// the standby.
		return t, nil
	}
	if sh.queue.Len() >= maxQueueLen {
		return t, []kernel.Effect{refuseEffect(from, a, kernel.ReasonOverload, queueFullRetryAfter)}
	}
	q := queuedRequest{ask: a, entry: from, priority: priority(svc, a), share: share(s, a), arrived: now, lastSeen: now, deadline: now.Add(time.Duration(a.GetWait()))}
	next, effects := sh.withQueued(q).grantQueued(now, epoch(s), svc.Weigh, t.usable(shard.Endpoints(svc, int(a.GetShard()))))
	return t.withShard(key, next), append([]kernel.Effect{accept}, effects...)
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

func refuseEffect(to string, a *wire.Ask, reason kernel.Reason, retryAfter time.Duration) kernel.Effect {
	r := &wire.Refuse{Request: a.GetRequest(), Reason: string(reason), Retry: int64(retryAfter)}
	return kernel.Send{To: to, Frame: &wire.Frame{Body: &wire.Frame_Refuse{Refuse: r}}}
}

func (sh *Shard) withLastSeen(at position, now time.Time) *Shard {
	q, _ := sh.queue.Get(at)
	q.lastSeen = now
	next := *sh
	next.queue = sh.queue.Set(at, q)
	return &next
}

func (sh *Shard) handleRelease(now time.Time, r *wire.Release) *Shard {
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
		return u.afterRelease(now, r)
	})
}

// afterRelease returns the usage of an endpoint after one of its requests has
// ended. An endpoint that failed gets a backoff, which doubles with each failure
// in a row; an endpoint that is leaving gets leavingBackoff.
func (u usage) afterRelease(now time.Time, r *wire.Release) usage {
	switch {
	case r.GetLeaving():
		u.backoffUntil = now.Add(leavingBackoff)
	case r.GetFailed():
		backoff := min(minFailureBackoff<<min(u.failures, 10), maxFailureBackoff)
		u.backoffUntil = now.Add(backoff)
		u.failures++
	case r.GetTokens() > 0:
		u.failures = 0
	}
	return u
}

// handleProgress records an entry node's report of its running requests.
// Requests that the report describes in full are adopted, and their entry node
// is sent a grant with their number. If the report uses a number that this
// owner does not know, the entry node is asked to describe its requests in full.
func (sh *Shard) handleProgress(now time.Time, epoch uint64, from string, p *wire.Progress) (*Shard, []kernel.Effect) {
	next := sh
	var effects []kernel.Effect
	unknown := p.GetEpoch() != epoch && len(p.GetNumbers()) > 0
	for i, number := range p.GetNumbers() {
		id, ok := next.requestByNumber.Get(number)
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

// adopt records the grant of a running request that another owner granted.
func (sh *Shard) adopt(now time.Time, from string, r *wire.Running) *Shard {
	id := r.GetAsk().GetRequest()
	if g, ok := sh.granted.Get(id); ok && g.endpoint == r.GetEndpoint() {
		return sh.withProgress(g, int(r.GetTokens()), now)
	}
	// The request runs on the endpoint that the entry node names, whatever this
	// node granted.
	sh = sh.withoutGranted(id)
	g := grantedRequest{ask: r.GetAsk(), entry: from, endpoint: r.GetEndpoint(), tokens: int(r.GetTokens()), lastReported: now}
	return sh.withoutQueued(id).withGranted(g).withUsage(g.endpoint, func(u usage) usage {
		u.unknownRequests = max(0, u.unknownRequests-1)
		u.unknownMemory = max(0, u.unknownMemory-int(g.ask.GetPrompt())-g.tokens)
		return u
	})
}

func (t *ShardTable) handleTick(now time.Time, s kernel.State) (*ShardTable, []kernel.Effect) {
	next := t
	var effects []kernel.Effect
	for _, key := range slices.Sorted(maps.Keys(t.shards)) {
		sh, rejects := t.shards[key].expire(now)
		weights, endpoints := shardSpec(s, sh.service, sh.index)
		filled, grants := sh.grantQueued(now, epoch(s), weights, t.usable(endpoints))
		if filled != t.shards[key] {
			next = next.withShard(key, filled)
		}
		effects = append(effects, rejects...)
		effects = append(effects, grants...)
	}
	watched, watch := next.watchEngines(s)
	return watched, append(effects, watch...)
}

// expire drops queued requests whose deadline has passed, and queued requests
// and grants that their entry node no longer repeats or reports. It also moves
// overdue requests to the front of the queue and sheds requests that would miss
// their deadline.
func (sh *Shard) expire(now time.Time) (*Shard, []kernel.Effect) {
	next := sh
	var effects []kernel.Effect
	for itr := sh.queue.Iterator(); !itr.Done(); {
		_, q, _ := itr.Next()
		switch {
		case !now.Before(q.deadline):
			next = next.withoutQueued(q.ask.GetRequest())
			effects = append(effects, refuseEffect(q.entry, q.ask, kernel.ReasonDeadline, 0))
		case now.Sub(q.lastSeen) >= askTTL:
			next = next.withoutQueued(q.ask.GetRequest())
		}
	}
	next, shed := next.withOverdueFirst(now).shed(now)
	effects = append(effects, shed...)
	for itr := sh.granted.Iterator(); !itr.Done(); {
		id, g, _ := itr.Next()
		if now.Sub(g.lastReported) >= grantTTL {
			next = next.withoutGranted(id)
		}
	}
	return next, effects
}

// recordLoad records an engine's load report in the shards of its service. The
// report may say that the engine is leaving. A new owner attributes the load
// beyond its known grants to requests that it does not know yet.
func (t *ShardTable) recordLoad(now time.Time, e kernel.LoadRead) *ShardTable {
	next := t
	for _, key := range slices.Sorted(maps.Keys(t.shards)) {
		sh := t.shards[key]
		if sh.service != e.Service {
			continue
		}
		next = next.withShard(key, sh.withUsage(e.Endpoint, func(u usage) usage {
			u.reported = true
			if e.Load.Leaving {
				u.backoffUntil = now.Add(leavingBackoff)
			}
			if now.Sub(sh.firstSeen) < unknownLoadTTL {
				u.unknownRequests = max(0, e.Load.Running+e.Load.Waiting-u.slots)
				u.unknownMemory = max(0, e.Load.KVTokens-int(u.memoryMean))
			}
			return u
		}))
	}
	return next
}

// watchEngines asks the driver for the load of the engines that this node
// admits to, if they have changed: the engines of the shards that it owns and
// of those for which it queues requests as the standby.
func (t *ShardTable) watchEngines(s kernel.State) (*ShardTable, []kernel.Effect) {
	var targets []kernel.LoadTarget
	for _, key := range slices.Sorted(maps.Keys(t.shards)) {
		sh := t.shards[key]
		first, _ := owner.Pick(key, member.Of(s).Owners())
		if first != s.Config.Self.GetId() && sh.queue.Len() == 0 {
			continue
		}
		_, endpoints := shardSpec(s, sh.service, sh.index)
		for _, e := range endpoints {
			if e.Memory > 0 {
				targets = append(targets, kernel.LoadTarget{Service: sh.service, Endpoint: e.Name, Addr: e.Addr})
			}
		}
	}
	if slices.Equal(targets, t.watched) {
		return t, nil
	}
	next := *t
	next.watched = targets
	return &next, []kernel.Effect{kernel.WatchLoad{Endpoints: targets}}
}

// recordLeavingHosts records the hosts that the platform lists as leaving.
func (t *ShardTable) recordLeavingHosts(e kernel.HostsListed) *ShardTable {
	next := *t
	next.leavingHosts = map[string]bool{}
	for _, ip := range e.Leaving {
		next.leavingHosts[ip] = true
	}
	return &next
}
