package member

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/wire"
)

// draft builds the next View of one Step.
type draft struct {
	View
	now      time.Time
	effects  []kernel.Effect
	copied   bool // peers is a copy of its own
	reindex  bool
	seedRand *rand.Rand
}

func step(now time.Time, s kernel.State, e kernel.Event) (*View, []kernel.Effect) {
	v := Of(s)
	switch e := e.(type) {
	case kernel.Tick:
		d := v.draft(now, s.Config.Seed)
		d.tick()
		return d.finish()
	case kernel.Received:
		return v.received(now, s.Config.Seed, e)
	case kernel.PeerLost:
		d := v.draft(now, s.Config.Seed)
		d.lost(e.Peer)
		return d.finish()
	case kernel.HostsListed:
		d := v.draft(now, s.Config.Seed)
		d.seeds = e.Nodes
		return d.finish()
	case kernel.Stopping:
		d := v.draft(now, s.Config.Seed)
		d.leave()
		return d.finish()
	}
	return v, nil
}

func (v *View) received(now time.Time, seed uint64, e kernel.Received) (*View, []kernel.Effect) {
	switch body := e.Frame.GetBody().(type) {
	case *wire.Frame_Ping:
		d := v.draft(now, seed)
		d.ping(e.From, body.Ping)
		return d.finish()
	case *wire.Frame_Ack:
		d := v.draft(now, seed)
		d.ack(e.From, body.Ack)
		return d.finish()
	case *wire.Frame_Probe:
		d := v.draft(now, seed)
		d.probeFor(e.From, body.Probe)
		return d.finish()
	}
	return v, nil
}

func (v *View) draft(now time.Time, seed uint64) *draft {
	d := &draft{View: *v, now: now}
	d.probes = maps.Clone(v.probes)
	d.asked = maps.Clone(v.asked)
	d.lastSync = maps.Clone(v.lastSync)
	d.seq++
	d.seedRand = rand.New(rand.NewPCG(seed, d.seq))
	return d
}

func (d *draft) finish() (*View, []kernel.Effect) {
	if d.reindex {
		d.index(d.now)
	}
	v := d.View
	return &v, d.effects
}

func (d *draft) send(to string, f *wire.Frame) {
	d.effects = append(d.effects, kernel.Send{To: to, Frame: f})
}

// Stores a peer and derives the lists anew at the end of the Step.
func (d *draft) put(p Peer) {
	if !d.copied {
		d.peers = maps.Clone(d.peers)
		d.copied = true
	}
	d.peers[p.Member.GetId()] = p
	d.reindex = true
}

// Takes in a record if it replaces the one that is known.
func (d *draft) learn(m *wire.Member) {
	if m.GetId() == d.self.GetId() {
		d.refute(m)
		return
	}
	old, known := d.peers[m.GetId()]
	if known && !replaces(m, old.Member) {
		return
	}
	p := Peer{Member: m, Since: d.now, Flaps: old.Flaps, Hold: old.Hold}
	if known && old.Member.GetState() == wire.State_DEAD && m.GetState() == wire.State_ALIVE {
		p.Flaps++
		p.Hold = d.now.Add(holdTime(p.Flaps))
	}
	d.put(p)
	d.news = append(slices.Clip(d.news), m)
	if !known || old.Member.GetState() != m.GetState() {
		d.effects = append(d.effects, kernel.Record{Kind: "member", Detail: m.GetId() + " is " + stateName(m.GetState())})
	}
}

func holdTime(flaps int) time.Duration {
	hold := holdBase << min(flaps-1, 10)
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

// Answers a record of this node itself that says less than the truth.
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
	d.news = append(slices.Clip(d.news), m)
}

func (d *draft) leave() {
	self := copyMember(d.self)
	self.State = wire.State_LEAVING
	d.setSelf(self)
	d.spread()
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
	if !d.lastTick.IsZero() && d.now.Sub(d.lastTick) > pauseGap {
		// This process was paused, so missing answers say nothing of others.
		clear(d.probes)
		d.lastProbe = time.Time{}
	}
	d.lastTick = d.now
	d.checkProbes()
	d.checkSuspects()
	d.dropAsked()
	if d.now.Sub(d.lastProbe) >= probePeriod {
		d.lastProbe = d.now
		d.probeAll()
	}
	if d.now.Sub(d.lastRetry) >= d.retryPeriod() {
		d.lastRetry = d.now
		d.retryOne()
	}
	d.spread()
}

// A node that knows nobody tries its seeds at a higher rate.
func (d *draft) retryPeriod() time.Duration {
	if len(d.around) == 0 {
		return probePeriod / 2
	}
	return retryPeriod
}

func (d *draft) probeAll() {
	for _, id := range d.around {
		if _, waiting := d.probes[id]; waiting {
			continue
		}
		d.probes[id] = probe{sent: d.now}
		d.sendPing(id, nil)
	}
}

func (d *draft) sendPing(id string, news []*wire.Member) {
	d.seq++
	d.sendPingSeq(id, d.seq, news)
}

func (d *draft) sendPingSeq(id string, seq uint64, news []*wire.Member) {
	d.send(id, &wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{Seq: seq, News: news, Roster: d.roster}}})
}

func (d *draft) checkProbes() {
	for _, id := range sortedKeys(d.probes) {
		p := d.probes[id]
		age := d.now.Sub(p.sent)
		switch {
		case !slices.Contains(d.around, id):
			delete(d.probes, id)
		case age >= suspectAfter:
			delete(d.probes, id)
			d.mark(id, wire.State_SUSPECT)
		case age >= indirectAfter && !p.indirect:
			d.askHelpers(id)
			d.probes[id] = probe{sent: p.sent, indirect: true}
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

func (d *draft) askHelpers(target string) {
	others := make([]string, 0, len(d.around))
	for _, id := range d.around {
		if id != target {
			others = append(others, id)
		}
	}
	d.seedRand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, id := range others[:min(helpers, len(others))] {
		d.send(id, &wire.Frame{Body: &wire.Frame_Probe{Probe: &wire.Probe{Seq: d.seq, Target: target}}})
	}
}

// Records a worse state of a member, in its present incarnation.
func (d *draft) mark(id string, s wire.State) {
	p, ok := d.peers[id]
	if !ok || p.Member.GetState() >= s {
		return
	}
	m := copyMember(p.Member)
	m.State = s
	d.learn(m)
}

func (d *draft) checkSuspects() {
	for _, id := range d.unsettled {
		p := d.peers[id]
		age := d.now.Sub(p.Since)
		switch {
		case id == d.self.GetId():
		case p.Member.GetState() == wire.State_SUSPECT && age >= deadAfter:
			d.mark(id, wire.State_DEAD)
		case p.Member.GetState() == wire.State_DEAD && age >= forgetAfter:
			d.forget(id)
		case !p.Hold.IsZero() && !d.now.Before(p.Hold):
			p.Hold = time.Time{}
			d.put(p)
		}
	}
}

func (d *draft) forget(id string) {
	p := d.peers[id]
	d.put(p)
	delete(d.peers, id)
}

func (d *draft) dropAsked() {
	for seq, a := range d.asked {
		if d.now.Sub(a.sent) > suspectAfter {
			delete(d.asked, seq)
		}
	}
}

// Tries one seed or dead member, so that nodes find each other at the start
// and again after a partition.
func (d *draft) retryOne() {
	var tries []*wire.Member
	for _, m := range d.seeds {
		p, known := d.peers[m.GetId()]
		if m.GetId() != d.self.GetId() && (!known || p.Member.GetState() == wire.State_DEAD) {
			tries = append(tries, m)
		}
	}
	for _, id := range sortedKeys(d.peers) {
		if p := d.peers[id]; p.Member.GetState() == wire.State_DEAD {
			tries = append(tries, p.Member)
		}
	}
	if len(tries) == 0 {
		return
	}
	m := tries[d.seedRand.IntN(len(tries))]
	d.sendPing(m.GetId(), []*wire.Member{d.self})
}

// Sends the changes of this Tick to every neighbour.
func (d *draft) spread() {
	if len(d.news) == 0 {
		return
	}
	for _, id := range d.around {
		d.sendPing(id, d.news)
	}
	d.news = nil
}

func (d *draft) ping(from string, p *wire.Ping) {
	_, known := d.peers[from]
	d.learnAll(p.GetNews())
	ack := &wire.Ack{Seq: p.GetSeq(), Roster: d.roster, News: d.doubts(from)}
	if !known || d.needsSync(from, p.GetRoster()) {
		ack.News = d.all()
	}
	d.send(from, &wire.Frame{Body: &wire.Frame_Ack{Ack: ack}})
}

func (d *draft) ack(from string, a *wire.Ack) {
	d.learnAll(a.GetNews())
	if by, ok := d.asked[a.GetSeq()]; ok {
		delete(d.asked, a.GetSeq())
		d.send(by.by, &wire.Frame{Body: &wire.Frame_Ack{Ack: &wire.Ack{Seq: by.seq, About: from, Roster: d.roster}}})
	}
	about := from
	if a.GetAbout() != "" {
		about = a.GetAbout()
	}
	delete(d.probes, about)
	switch doubts := d.doubts(from); {
	case d.needsSync(from, a.GetRoster()):
		d.sendPing(from, d.all())
	case len(doubts) > 0:
		d.sendPing(from, doubts)
	}
}

// Returns the record of a member that is heard although it is held to be
// suspect or dead, so that it learns of it and refutes.
func (d *draft) doubts(from string) []*wire.Member {
	p, ok := d.peers[from]
	if !ok || p.Member.GetState() == wire.State_ALIVE {
		return nil
	}
	return []*wire.Member{p.Member}
}

func (d *draft) learnAll(news []*wire.Member) {
	for _, m := range news {
		d.learn(m)
	}
}

// Reports whether a full exchange with a node whose list differs is due. A
// list that changed just now differs while the news is on its way.
func (d *draft) needsSync(id string, roster uint64) bool {
	if roster == d.currentRoster() || d.now.Sub(d.rosterAt) < settleTime || d.now.Sub(d.lastSync[id]) < syncPeriod {
		return false
	}
	d.lastSync[id] = d.now
	return true
}

// Returns the hash over the members as they are now, within the Step.
func (d *draft) currentRoster() uint64 {
	if d.reindex {
		d.index(d.now)
		d.reindex = false
	}
	return d.roster
}

func (d *draft) all() []*wire.Member {
	list := make([]*wire.Member, 0, len(d.peers))
	for _, id := range sortedKeys(d.peers) {
		list = append(list, d.peers[id].Member)
	}
	return list
}

func (d *draft) probeFor(from string, p *wire.Probe) {
	d.seq++
	d.asked[d.seq] = asked{by: from, seq: p.GetSeq(), sent: d.now}
	d.sendPingSeq(p.GetTarget(), d.seq, nil)
}

// A broken connection is a reason to ask third members at once.
func (d *draft) lost(id string) {
	if _, ok := d.peers[id]; !ok || !slices.Contains(d.around, id) {
		return
	}
	if p := d.probes[id]; !p.indirect {
		d.askHelpers(id)
		d.probes[id] = probe{sent: d.now.Add(-indirectAfter), indirect: true}
	}
}
