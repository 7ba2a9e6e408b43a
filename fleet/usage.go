package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/wire"
)

// setLocalUsage stores the local usage and sends its changes to the load group at
// once; in a large deployment, Ticks send them together with later changes. Load
// pattern: requests that arrive at several nodes within milliseconds must not all
// go to the engine that had the least load a second ago.
func (v *View) setLocalUsage(now time.Time, m *member.View, e kernel.LocalUsageReported) (*View, []kernel.Effect) {
	next := *v
	next.localUsage, next.localPooled = decodeUses(e.Uses), e.Pooled
	next.localWaiting = decodeWaiting(now, "", e.Waiting, e.Queued)
	if isLarge(m) {
		return &next, nil
	}
	return &next, next.sendChanges(now, m)
}

// isLarge reports whether the deployment is so large that its data centres are
// divided into load groups, and changes of usage are collected before they are
// sent.
func isLarge(m *member.View) bool { return len(m.Owners()) >= minLargeNodes }

// sendChanges sends the load group the changes of the local usage since the last
// message that carried changes.
func (v *View) sendChanges(now time.Time, m *member.View) []kernel.Effect {
	var changes []*wire.Use
	sent := kernel.CloneMap(v.sentUsage)
	for id, u := range v.localUsage {
		if u.differs(sent[id]) {
			changes = append(changes, u.Wire(id))
			sent[id] = u
		}
	}
	for id := range v.sentUsage {
		if _, still := v.localUsage[id]; !still {
			changes = append(changes, EndpointUsage{}.Wire(id))
			delete(sent, id)
		}
	}
	if len(changes) == 0 && !v.pooledRose() && !v.waitingIsDue(now) {
		return nil
	}
	v.sentUsage, v.sentPooled, v.changesSentAt = sent, v.localPooled, now
	u := &wire.Usage{Changes: true, Uses: changes}
	v.addWaiting(now, u)
	return v.sendUsage(m, v.group.nodes, u)
}

// pooledRose reports whether this node has taken more retries at a service from the pool
// than it last told its load group.
func (v *View) pooledRose() bool {
	for service, n := range v.localPooled {
		if n > v.sentPooled[service] {
			return true
		}
	}
	return false
}

func decodeUses(list []*wire.Use) map[string]EndpointUsage {
	uses := make(map[string]EndpointUsage, len(list))
	for _, u := range list {
		uses[u.GetEndpoint()] = decodeUse(u)
	}
	return uses
}

func decodeUse(u *wire.Use) EndpointUsage {
	return EndpointUsage{
		Unreachable:   countIf(u.GetUnreachable()),
		Brittle:       countIf(u.GetBrittle()),
		Full:          countIf(u.GetFull()),
		Requests:      int(u.GetRequests()),
		Tokens:        int(u.GetTokens()),
		PendingPrompt: int(u.GetPrompt()),
		Successes:     int(u.GetGood()),
		Failures:      int(u.GetBad()),
		Slow:          int(u.GetSlow()),
		SlowNodes:     countIf(u.GetSlow() > 0),
		Prefill:       int(u.GetPrefill()),
		PrefillNodes:  countIf(u.GetPrefill() > 0),
	}
}

func countIf(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Wire returns the usage of the endpoint with the given id as a message.
func (u EndpointUsage) Wire(id string) *wire.Use {
	return &wire.Use{
		Endpoint:    id,
		Unreachable: u.Unreachable > 0,
		Brittle:     u.Brittle > 0,
		Full:        u.Full > 0,
		Requests:    uint32(u.Requests),
		Tokens:      uint32(u.Tokens),
		Prompt:      uint32(u.PendingPrompt),
		Good:        uint32(u.Successes),
		Bad:         uint32(u.Failures),
		Slow:        uint32(u.Slow),
		Prefill:     uint32(u.Prefill),
	}
}

// sendFullUsage sends the whole local usage to all other nodes, or only to the
// load group in a large deployment: nodes outside the group receive no changes, so
// that what they know of it would soon be stale.
func (v *View) sendFullUsage(now time.Time, m *member.View) []kernel.Effect {
	u := v.statusMessage(now, m)
	for _, id := range slices.Sorted(maps.Keys(v.localUsage)) {
		u.Uses = append(u.Uses, v.localUsage[id].Wire(id))
	}
	if isLarge(m) {
		return v.sendUsage(m, v.group.nodes, u)
	}
	return v.sendUsage(m, m.Owners(), u)
}

// statusMessage returns a Usage without uses. It says which endpoints reported
// that they are leaving, each with the time left in milliseconds plus 1, or 0 if
// that is unknown, which rate limits endpoints have stated, and when the store last
// responded to this node.
func (v *View) statusMessage(now time.Time, m *member.View) *wire.Usage {
	u := &wire.Usage{Contact: v.contactAge(now, m)}
	v.addLeaving(now, u)
	v.addLimits(u)
	v.addCold(now, u)
	return u
}

// sendUsage sends a Usage to each of the nodes except this one. Each Usage holds the retries from
// the pool, which replace those of the last one.
func (v *View) sendUsage(m *member.View, nodes []string, u *wire.Usage) []kernel.Effect {
	u.Pooled, u.Run = v.localPooled, v.run
	return m.SendTo(nodes, &wire.Frame{Body: &wire.Frame_Usage{Usage: u}})
}

// mergeUsage stores the usage that another node sent, either in full or as changes
// to what it sent before.
func (v *View) mergeUsage(now time.Time, m *member.View, from string, u *wire.Usage) *View {
	next := *v
	if u.GetContact() > 0 {
		next.recordContact(now, from, now.Add(-time.Duration(u.GetContact()-1)*time.Millisecond))
	}
	old, known := v.peers[from]
	uses := decodeUses(u.GetUses())
	if u.GetChanges() {
		if !known {
			return &next // changes need a full Usage first, which follows
		}
		uses = maps.Clone(old.uses)
		for _, change := range u.GetUses() {
			if use := decodeUse(change); use != (EndpointUsage{}) {
				uses[change.GetEndpoint()] = use
			} else {
				delete(uses, change.GetEndpoint())
			}
		}
	}
	if old.run != u.GetRun() {
		next.keepSpent(now, from, old.pooled)
	}
	next.peers = kernel.CloneMap(v.peers)
	p := peerUsage{receivedAt: now, uses: uses, sameCentre: m.SameCentre(from), pooled: u.GetPooled(), run: u.GetRun(), waiting: old.waiting}
	if len(u.GetWaiting()) > 0 {
		p.waiting = decodeWaiting(now, from, u.GetWaiting(), u.GetQueued())
	}
	next.peers[from] = p
	next.addFreed(now, from, old.uses, uses)
	next.remoteUsage = kernel.CloneMap(v.remoteUsage)
	next.addUsage(old, -1)
	next.addUsage(next.peers[from], 1)
	return &next
}

// addUsage adds a node's usage to the remote usage, or subtracts it if sign is -1.
// Outcomes count only if the node is in this node's data centre, since another
// data centre may reach an endpoint by a broken path or not at all.
func (v *View) addUsage(p peerUsage, sign int) {
	for id, u := range p.uses {
		s := v.remoteUsage[id]
		s.Requests += sign * u.Requests
		s.Tokens += sign * u.Tokens
		s.PendingPrompt += sign * u.PendingPrompt
		s.Brittle += sign * u.Brittle
		s.Full += sign * u.Full
		s.addSpeed(u, sign)
		if p.sameCentre {
			s.Successes += sign * u.Successes
			s.Failures += sign * u.Failures
			s.Unreachable += sign * u.Unreachable
		}
		if s == (EndpointUsage{}) {
			delete(v.remoteUsage, id)
		} else {
			v.remoteUsage[id] = s
		}
	}
}

// dropStaleUsages drops the usage of nodes that are not usable, or that have not
// sent any for usageTTLIntervals of the given interval.
func (v *View) dropStaleUsages(now time.Time, m *member.View, interval time.Duration) {
	changed := false
	for id, u := range v.peers {
		if now.Sub(u.receivedAt) < usageTTLIntervals*interval && m.Usable(id) {
			continue
		}
		if !changed {
			v.peers = maps.Clone(v.peers)
			v.remoteUsage = maps.Clone(v.remoteUsage)
			changed = true
		}
		v.addUsage(u, -1)
		v.keepSpent(now, id, u.pooled)
		delete(v.peers, id)
	}
}
