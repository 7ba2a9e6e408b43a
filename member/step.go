package member

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/wire"
)

// draft is a View under construction during one Step.
type draft struct {
	View
	now         time.Time
	effects     []kernel.Effect
	peersCopied bool // peers is the draft's own copy, which may be changed
	indexStale  bool // the fields that rebuildIndex derives must be recomputed
	rng         *rand.Rand
}

func step(now time.Time, s kernel.State, e kernel.Event) (*View, []kernel.Effect) {
	v := Of(s)
	switch e := e.(type) {
	case kernel.Tick:
		d := v.draft(now, s.Config.Seed)
		d.tick()
		return d.finish()
	case kernel.FrameReceived:
		return v.handleFrame(now, s.Config.Seed, e)
	case kernel.PeerLost:
		d := v.draft(now, s.Config.Seed)
		d.handlePeerLost(e.Peer)
		return d.finish()
	case kernel.HostsListed:
		d := v.draft(now, s.Config.Seed)
		d.seeds = e.Nodes
		if d.seedsAt.IsZero() && slices.ContainsFunc(e.Nodes, func(m *wire.Member) bool { return m.GetId() != d.self.GetId() }) {
			d.seedsAt = now
		}
		return d.finish()
	case kernel.Stopping:
		d := v.draft(now, s.Config.Seed)
		d.announceLeaving()
		return d.finish()
	}
	return v, nil
}

func (v *View) handleFrame(now time.Time, seed uint64, e kernel.FrameReceived) (*View, []kernel.Effect) {
	switch body := e.Frame.GetBody().(type) {
	case *wire.Frame_Ping:
		d := v.draft(now, seed)
		d.handlePing(e.From, body.Ping)
		return d.finish()
	case *wire.Frame_Ack:
		d := v.draft(now, seed)
		d.handleAck(e.From, body.Ack)
		return d.finish()
	case *wire.Frame_Probe:
		d := v.draft(now, seed)
		d.relayProbe(e.From, body.Probe)
		return d.finish()
	}
	return v, nil
}

func (v *View) draft(now time.Time, seed uint64) *draft {
	d := &draft{View: *v, now: now}
	d.probes = maps.Clone(v.probes)
	d.relayed = maps.Clone(v.relayed)
	d.lastSync = maps.Clone(v.lastSync)
	d.seq++
	d.rng = rand.New(rand.NewPCG(seed, d.seq))
	return d
}

func (d *draft) finish() (*View, []kernel.Effect) {
	if d.indexStale {
		d.rebuildIndex(d.now)
	}
	v := d.View
	return &v, d.effects
}

func (d *draft) send(to string, f *wire.Frame) {
	d.effects = append(d.effects, kernel.Send{To: to, Frame: f})
}

// put stores a peer and marks the derived fields as stale.
func (d *draft) put(p Peer) {
	if !d.peersCopied {
		d.peers = maps.Clone(d.peers)
		d.peersCopied = true
	}
	d.peers[p.Member.GetId()] = p
	d.indexStale = true
}

// learn stores a record if it replaces the known one, and queues it for the
// neighbours. A record of this node itself is not stored, but refuted if it would
// replace the node's own.
func (d *draft) learn(m *wire.Member) {
	if m.GetId() == d.self.GetId() {
		d.refute(m)
		return
	}
	old, known := d.peers[m.GetId()]
	if known && !replaces(m, old.Member) {
		return
	}
	p := Peer{Member: m, Since: d.now, Flaps: old.Flaps, HoldUntil: old.HoldUntil}
	if known && old.Member.GetState() == wire.State_DEAD && m.GetState() == wire.State_ALIVE {
		p.Flaps++
		p.HoldUntil = d.now.Add(holdTime(p.Flaps))
	}
	d.put(p)
	d.updates = append(slices.Clip(d.updates), m)
	if !known || old.Member.GetState() != m.GetState() {
		d.effects = append(d.effects, kernel.Record{Kind: "member", Detail: m.GetId() + " is " + stateName(m.GetState())})
	}
}

// holdTime returns how long a member is not an owner after it has flapped the given
// number of times.
func holdTime(flaps int) time.Duration {
	hold := minHold << min(flaps-1, 10)
	return min(hold, maxHold)
}

func stateName(s wire.State) string {
	switch s {
	case wire.State_SUSPECT:
		return "suspect"
	case wire.State_LEAVING:
		return "leaving"
	case wire.State_DEAD:
		return "dead"
	}
	return "alive"
}

// refute raises this node's incarnation if another node holds a record of it that
// would replace its own, such as a suspicion.
func (d *draft) refute(m *wire.Member) {
	if !replaces(m, d.self) {
		return
	}
	self := copyMember(d.self)
	self.Incarnation = m.GetIncarnation() + 1
	d.setSelf(self)
}

func (d *draft) setSelf(m *wire.Member) {
	d.self = m
	d.put(Peer{Member: m, Since: d.now})
	d.updates = append(slices.Clip(d.updates), m)
}

// announceLeaving marks this node as leaving and sends that to its neighbours.
func (d *draft) announceLeaving() {
	self := copyMember(d.self)
	self.State = wire.State_LEAVING
	d.setSelf(self)
	d.sendUpdates()
}

func copyMember(m *wire.Member) *wire.Member {
	return &wire.Member{
		Id:          m.GetId(),
		Front:       m.GetFront(),
		Centre:      m.GetCentre(),
		Incarnation: m.GetIncarnation(),
		State:       m.GetState(),
	}
}

func (d *draft) tick() {
	if !d.lastTick.IsZero() && d.now.Sub(d.lastTick) > maxTickGap {
		// This process was paused, so missing responses say nothing about other members.
		clear(d.probes)
		d.lastProbe = time.Time{}
	}
	d.lastTick = d.now
	d.checkProbes()
	d.checkUnsettled()
	d.dropUnansweredRelays()
	if d.now.Sub(d.lastProbe) >= probeInterval {
		d.lastProbe = d.now
		d.probeAll()
	}
	if d.now.Sub(d.lastJoinPing) >= d.currentJoinInterval() {
		d.lastJoinPing = d.now
		d.sendJoinPing()
	}
	d.sendUpdates()
}

// currentJoinInterval returns the time between two pings to seeds and dead
// members. It is shorter for a node without neighbours, and for one that has just started: if
// several start at once, each may have found only others that know no more than itself.
func (d *draft) currentJoinInterval() time.Duration {
	if len(d.neighbours) == 0 || d.now.Sub(d.seedsAt) < startTime {
		return probeInterval / 2
	}
	return joinInterval
}

func (d *draft) probeAll() {
	for _, id := range d.neighbours {
		if _, waiting := d.probes[id]; waiting {
			continue
		}
		d.probes[id] = probe{sentAt: d.now}
		d.sendPing(id, nil)
	}
}

func (d *draft) sendPing(id string, updates []*wire.Member) {
	d.seq++
	d.sendPingSeq(id, d.seq, updates)
}

func (d *draft) sendPingSeq(id string, seq uint64, updates []*wire.Member) {
	d.send(id, &wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{Seq: seq, News: updates, Roster: d.digest}}})
}

// checkProbes handles unanswered probes: it asks other members to probe too, and
// later suspects the neighbour.
func (d *draft) checkProbes() {
	for _, id := range sortedKeys(d.probes) {
		p := d.probes[id]
		age := d.now.Sub(p.sentAt)
		switch {
		case !slices.Contains(d.neighbours, id):
			delete(d.probes, id)
		case age >= probeTimeout:
			delete(d.probes, id)
			d.worsenState(id, wire.State_SUSPECT)
		case age >= directProbeTimeout && !p.indirect:
			d.requestIndirectProbes(id)
			d.probes[id] = probe{sentAt: p.sentAt, indirect: true}
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// requestIndirectProbes asks a few other neighbours, chosen at random, to probe a
// member.
func (d *draft) requestIndirectProbes(target string) {
	others := make([]string, 0, len(d.neighbours))
	for _, id := range d.neighbours {
		if id != target {
			others = append(others, id)
		}
	}
	d.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, id := range others[:min(indirectProbers, len(others))] {
		d.send(id, &wire.Frame{Body: &wire.Frame_Probe{Probe: &wire.Probe{Seq: d.seq, Target: target}}})
	}
}

// worsenState records a worse state of a member in its present incarnation.
func (d *draft) worsenState(id string, s wire.State) {
	p, ok := d.peers[id]
	if !ok || p.Member.GetState() >= s {
		return
	}
	m := copyMember(p.Member)
	m.State = s
	d.learn(m)
}

// checkUnsettled declares members dead whose suspicion has timed out, forgets
// members that have been dead for deadTTL, and ends holds.
func (d *draft) checkUnsettled() {
	for _, id := range d.unsettled {
		p := d.peers[id]
		age := d.now.Sub(p.Since)
		switch {
		case id == d.self.GetId():
		case p.Member.GetState() == wire.State_SUSPECT && age >= suspicionTimeout:
			d.worsenState(id, wire.State_DEAD)
		case p.Member.GetState() == wire.State_DEAD && age >= deadTTL:
			d.removePeer(id)
		case !p.HoldUntil.IsZero() && !d.now.Before(p.HoldUntil):
			p.HoldUntil = time.Time{}
			d.put(p)
		}
	}
}

func (d *draft) removePeer(id string) {
	p := d.peers[id]
	d.put(p) // copies peers, which other states share, before the change
	delete(d.peers, id)
}

func (d *draft) dropUnansweredRelays() {
	for seq, r := range d.relayed {
		if d.now.Sub(r.sentAt) > probeTimeout {
			delete(d.relayed, seq)
		}
	}
}

// sendJoinPing pings one seed or dead member at random, so that nodes find each
// other at the start and again after a partition.
func (d *draft) sendJoinPing() {
	var candidates []*wire.Member
	for _, m := range d.seeds {
		p, known := d.peers[m.GetId()]
		if m.GetId() != d.self.GetId() && (!known || p.Member.GetState() == wire.State_DEAD) {
			candidates = append(candidates, m)
		}
	}
	for _, id := range sortedKeys(d.peers) {
		if p := d.peers[id]; p.Member.GetState() == wire.State_DEAD {
			candidates = append(candidates, p.Member)
		}
	}
	if len(candidates) == 0 {
		return
	}
	m := candidates[d.rng.IntN(len(candidates))]
	d.sendPing(m.GetId(), []*wire.Member{d.self})
}

// sendUpdates sends the records that changed since the last Tick to every
// neighbour.
func (d *draft) sendUpdates() {
	if len(d.updates) == 0 {
		return
	}
	for _, id := range d.neighbours {
		d.sendPing(id, d.updates)
	}
	d.updates = nil
}

func (d *draft) handlePing(from string, p *wire.Ping) {
	_, known := d.peers[from]
	d.learnAll(p.GetNews())
	ack := &wire.Ack{Seq: p.GetSeq(), Roster: d.digest, News: d.suspicionOf(from)}
	if !known || knowsOnlyItself(from, p) || d.needsSync(from, p.GetRoster()) {
		ack.News = d.allMembers()
	}
	d.send(from, &wire.Frame{Body: &wire.Frame_Ack{Ack: ack}})
}

func (d *draft) handleAck(from string, a *wire.Ack) {
	d.learnAll(a.GetNews())
	if relay, ok := d.relayed[a.GetSeq()]; ok {
		delete(d.relayed, a.GetSeq())
		d.send(relay.requester, &wire.Frame{Body: &wire.Frame_Ack{Ack: &wire.Ack{Seq: relay.seq, About: from, Roster: d.digest}}})
	}
	target := from
	if a.GetAbout() != "" {
		target = a.GetAbout()
	}
	delete(d.probes, target)
	suspicion, missing := d.suspicionOf(from), d.missingFrom(from, a.GetNews())
	switch {
	case len(missing) > 0:
		d.sendPing(from, missing)
	case d.needsSync(from, a.GetRoster()):
		d.sendPing(from, d.allMembers())
	case len(suspicion) > 0:
		d.sendPing(from, suspicion)
	}
}

// missingFrom returns the known members that the list of another node lacks; none if news is not
// its whole list, which has its own record. Without them, two groups of nodes that find each
// other would learn of some members only when their digests have differed for digestSettleTime.
func (d *draft) missingFrom(from string, news []*wire.Member) []*wire.Member {
	listed := map[string]bool{}
	for _, m := range news {
		listed[m.GetId()] = true
	}
	if !listed[from] {
		return nil
	}
	return slices.DeleteFunc(d.allMembers(), func(m *wire.Member) bool { return listed[m.GetId()] })
}

// knowsOnlyItself reports whether the sender of a Ping knows no other member: it has just
// started.
func knowsOnlyItself(from string, p *wire.Ping) bool {
	return slices.ContainsFunc(p.GetNews(), func(m *wire.Member) bool {
		return m.GetId() == from && hashRecord(m) == p.GetRoster()
	})
}

// suspicionOf returns the record of a member from which a message has come although
// it is not listed as alive. The member is sent the record so that it can refute it.
func (d *draft) suspicionOf(from string) []*wire.Member {
	p, ok := d.peers[from]
	if !ok || p.Member.GetState() == wire.State_ALIVE {
		return nil
	}
	return []*wire.Member{p.Member}
}

func (d *draft) learnAll(updates []*wire.Member) {
	for _, m := range updates {
		d.learn(m)
	}
}

// needsSync reports whether a full exchange is due with a member whose digest is
// given, and if so records the time of it. None is due soon after a change of this
// node's list, as digests differ while the updates are in transit.
func (d *draft) needsSync(id string, digest uint64) bool {
	if digest == d.currentDigest() || d.now.Sub(d.digestChangedAt) < digestSettleTime || d.now.Sub(d.lastSync[id]) < syncInterval {
		return false
	}
	d.lastSync[id] = d.now
	return true
}

// currentDigest returns the digest of the members as they are at this point of the
// Step, and updates the derived fields if they are stale.
func (d *draft) currentDigest() uint64 {
	if d.indexStale {
		d.rebuildIndex(d.now)
		d.indexStale = false
	}
	return d.digest
}

func (d *draft) allMembers() []*wire.Member {
	list := make([]*wire.Member, 0, len(d.peers))
	for _, id := range sortedKeys(d.peers) {
		list = append(list, d.peers[id].Member)
	}
	return list
}

// relayProbe pings a member on behalf of another, which gets an Ack if the member
// answers.
func (d *draft) relayProbe(from string, p *wire.Probe) {
	d.seq++
	d.relayed[d.seq] = relayedProbe{requester: from, seq: p.GetSeq(), sentAt: d.now}
	d.sendPingSeq(p.GetTarget(), d.seq, nil)
}

// handlePeerLost asks other members at once to probe a neighbour whose connection
// broke.
func (d *draft) handlePeerLost(id string) {
	if _, ok := d.peers[id]; !ok || !slices.Contains(d.neighbours, id) {
		return
	}
	if p := d.probes[id]; !p.indirect {
		d.requestIndirectProbes(id)
		d.probes[id] = probe{sentAt: d.now.Add(-directProbeTimeout), indirect: true}
	}
}
