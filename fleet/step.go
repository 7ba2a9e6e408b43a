package fleet

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/wire"
)

func step(now time.Time, s kernel.State, e kernel.Event) (*View, []kernel.Effect) {
	v := Of(s)
	switch e := e.(type) {
	case kernel.Tick:
		return v.tick(now, member.Of(s))
	case kernel.Learned:
		next, effects := v.learn(now, member.Of(s), "", e.Items, e.Listed)
		next.contact, next.news = now, now
		return next, effects
	case kernel.Heard:
		return v.hear(now, member.Of(s), e.Endpoint)
	case kernel.Used:
		return v.used(s, e.Uses)
	case kernel.Received:
		return v.received(now, member.Of(s), e)
	}
	return v, nil
}

func (v *View) received(now time.Time, m *member.View, e kernel.Received) (*View, []kernel.Effect) {
	switch body := e.Frame.GetBody().(type) {
	case *wire.Frame_Items:
		next, effects := v.learn(now, m, e.From, body.Items.GetItems(), false)
		return next.compare(now, e.From, body.Items, effects)
	case *wire.Frame_Want:
		return v, v.answer(e.From, body.Want)
	case *wire.Frame_Usage:
		next := v.usage(now, e.From, body.Usage)
		effects := next.believe(body.Usage.GetLeaving())
		return next, effects
	}
	return v, nil
}

// Takes in items and passes those that are new to the neighbours.
func (v *View) learn(now time.Time, m *member.View, from string, items []*wire.Item, listed bool) (*View, []kernel.Effect) {
	next := *v
	next.listed = v.listed || listed
	next.records = maps.Clone(v.records)
	if next.records == nil {
		next.records = map[string]record{}
	}
	var fresh []*wire.Item
	var effects []kernel.Effect
	for _, item := range items {
		old, known := next.records[item.GetName()]
		if known && old.item.GetRevision() >= item.GetRevision() {
			continue
		}
		effects = append(effects, next.put(now, item)...)
		fresh = append(fresh, item)
	}
	if len(fresh) == 0 {
		return &next, nil
	}
	next.index()
	for _, id := range m.Neighbours() {
		if id != from {
			effects = append(effects, next.send(id, fresh))
		}
	}
	return &next, effects
}

// Stores one item. The returned effects say what this node now believes.
func (v *View) put(now time.Time, item *wire.Item) []kernel.Effect {
	r := record{item: item, at: now}
	detail := fmt.Sprintf("%s revision %d", item.GetName(), item.GetRevision())
	if item.GetName() == tableItem {
		t, err := decodeTable(item)
		if err == nil && (v.table == nil || t.Version() > v.table.Version()) {
			v.table = t
			v.learned = now
			detail = fmt.Sprintf("routing table version %d", t.Version())
		} else if err != nil {
			detail = err.Error()
		}
		v.records[item.GetName()] = r
		return []kernel.Effect{kernel.Record{Kind: "table", Detail: detail}}
	}
	e, err := decodeEndpoint(item)
	if err != nil {
		v.records[item.GetName()] = r
		return []kernel.Effect{kernel.Record{Kind: "item-unreadable", Detail: err.Error()}}
	}
	r.endpoint = e
	v.records[item.GetName()] = r
	switch {
	case item.GetRemoved():
		detail += " removed"
	case e.Leaving:
		detail += " leaving"
	}
	effects := []kernel.Effect{kernel.Record{Kind: "endpoint", Endpoint: e.ID, Detail: detail}}
	if item.GetRemoved() || e.Leaving {
		effects = append(effects, kernel.Leave{Endpoint: e.ID})
	}
	return effects
}

// Derives what is looked up from the records.
func (v *View) index() {
	v.services = map[string][]Endpoint{}
	v.digest = 0
	for name, r := range v.records {
		if !r.item.GetRemoved() {
			v.digest ^= itemHash(name, r.item.GetRevision())
		}
		if r.endpoint.Addr != "" {
			v.services[r.endpoint.Service] = append(v.services[r.endpoint.Service], v.current(r))
		}
	}
	for id, revision := range v.heard {
		if v.records[endpointPrefix+id].item.GetRevision() != revision {
			v.heard = maps.Clone(v.heard)
			delete(v.heard, id)
		}
	}
	for _, list := range v.services {
		slices.SortFunc(list, func(a, b Endpoint) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
}

// Returns an endpoint as its record and its own word have it.
func (v *View) current(r record) Endpoint {
	e := r.endpoint
	if revision, ok := v.heard[e.ID]; ok && revision == r.item.GetRevision() {
		e.Leaving = true
	}
	return e
}

func itemHash(name string, revision int64) uint64 {
	buf := binary.LittleEndian.AppendUint64(nil, uint64(revision))
	return xxhash.Sum64(append(buf, name...))
}

func (v *View) send(to string, items []*wire.Item) kernel.Effect {
	body := &wire.Items{Digest: v.digest, Listed: v.Ready(), Items: items}
	return kernel.Send{To: to, Frame: &wire.Frame{Body: &wire.Frame_Items{Items: body}}}
}

// Compares what a neighbour holds with what this node holds.
func (v *View) compare(now time.Time, from string, items *wire.Items, effects []kernel.Effect) (*View, []kernel.Effect) {
	if items.GetDigest() == v.digest {
		if items.GetListed() && v.table != nil {
			v.listed = true
		}
		return v, effects
	}
	if now.Sub(v.wanted[from]) < wantTimeout {
		return v, effects
	}
	next := *v
	next.wanted = maps.Clone(v.wanted)
	if next.wanted == nil {
		next.wanted = map[string]time.Time{}
	}
	next.wanted[from] = now
	want := &wire.Want{}
	for _, r := range v.records {
		want.Have = append(want.Have, &wire.Item{Name: r.item.GetName(), Revision: r.item.GetRevision()})
	}
	return &next, append(effects, kernel.Send{To: from, Frame: &wire.Frame{Body: &wire.Frame_Want{Want: want}}})
}

// Sends the items that are newer than what a neighbour has.
func (v *View) answer(to string, w *wire.Want) []kernel.Effect {
	have := make(map[string]int64, len(w.GetHave()))
	for _, item := range w.GetHave() {
		have[item.GetName()] = item.GetRevision()
	}
	var items []*wire.Item
	for name, r := range v.records {
		if r.item.GetRevision() > have[name] {
			items = append(items, r.item)
		}
	}
	return []kernel.Effect{v.send(to, items)}
}

func (v *View) tick(now time.Time, m *member.View) (*View, []kernel.Effect) {
	next := *v
	var effects []kernel.Effect
	if now.Sub(v.digestAt) >= digestPeriod {
		next.digestAt = now
		next.expire(now)
		for _, id := range m.Neighbours() {
			effects = append(effects, next.send(id, nil))
		}
	}
	if now.Sub(v.contact) < contactPause && now.Sub(v.toldAt) >= contactPause {
		next.toldAt = now
		effects = append(effects, sendUsage(m, m.Owners(), &wire.Usage{Changes: true, Contact: v.sinceContact(now)})...)
	}
	period := usageStep * time.Duration(m.Len())
	if now.Sub(v.ownAt) >= period {
		next.ownAt = now
		effects = append(effects, next.tell(now, m)...)
		next.forgetUsages(now, period)
	}
	return &next, effects
}

// Drops removals that no late news can contradict any more.
func (v *View) expire(now time.Time) {
	var old []string
	for name, r := range v.records {
		if r.item.GetRemoved() && now.Sub(r.at) >= removedLife {
			old = append(old, name)
		}
	}
	if len(old) == 0 {
		return
	}
	v.records = maps.Clone(v.records)
	for _, name := range old {
		delete(v.records, name)
	}
	v.index()
}

// Takes in what this node runs, and tells the close nodes what has changed.
// Load pattern: requests that arrive at several nodes within milliseconds must
// not all be given to the engine that was the emptiest a second ago.
func (v *View) used(s kernel.State, uses []*wire.Use) (*View, []kernel.Effect) {
	next := *v
	next.own = usesOf(uses)
	var changes []*wire.Use
	for id, u := range next.own {
		if v.own[id] != u {
			changes = append(changes, wireUse(id, u))
		}
	}
	for id := range v.own {
		if _, still := next.own[id]; !still {
			changes = append(changes, wireUse(id, Use{}))
		}
	}
	if len(changes) == 0 {
		return &next, nil
	}
	m := member.Of(s)
	near := m.OwnersHere()
	if Meshed(s) {
		near = m.Owners()
	}
	return &next, sendUsage(m, near, &wire.Usage{Changes: true, Uses: changes})
}

func usesOf(list []*wire.Use) map[string]Use {
	uses := make(map[string]Use, len(list))
	for _, u := range list {
		uses[u.GetEndpoint()] = useOf(u)
	}
	return uses
}

func useOf(u *wire.Use) Use {
	return Use{Requests: int(u.GetRequests()), Tokens: int(u.GetTokens()), Prompt: int(u.GetPrompt())}
}

func wireUse(id string, u Use) *wire.Use {
	return &wire.Use{Endpoint: id, Requests: uint32(u.Requests), Tokens: uint32(u.Tokens), Prompt: uint32(u.Prompt)}
}

// Tells the other nodes what this one runs.
func (v *View) tell(now time.Time, m *member.View) []kernel.Effect {
	u := &wire.Usage{Leaving: slices.Sorted(maps.Keys(v.heard)), Contact: v.sinceContact(now)}
	for _, id := range slices.Sorted(maps.Keys(v.own)) {
		u.Uses = append(u.Uses, wireUse(id, v.own[id]))
	}
	return sendUsage(m, m.Owners(), u)
}

// Returns the time since the store answered this node, in the form of a Usage.
func (v *View) sinceContact(now time.Time) uint32 {
	if v.contact.IsZero() {
		return 0
	}
	return uint32(now.Sub(v.contact).Milliseconds()) + 1
}

// Sends a Usage to those of the nodes that are not this one.
func sendUsage(m *member.View, nodes []string, u *wire.Usage) []kernel.Effect {
	frame := &wire.Frame{Body: &wire.Frame_Usage{Usage: u}}
	var effects []kernel.Effect
	for _, id := range nodes {
		if id != m.Self().GetId() {
			effects = append(effects, kernel.Send{To: id, Frame: frame})
		}
	}
	return effects
}

// Takes in an endpoint's own word and passes it on at once.
func (v *View) hear(now time.Time, m *member.View, id string) (*View, []kernel.Effect) {
	next := *v
	effects := next.believe([]string{id})
	if len(effects) == 0 {
		return v, nil
	}
	return &next, append(effects, next.tell(now, m)...)
}

// Marks endpoints as leaving. It returns no effect when all were known to be.
func (v *View) believe(ids []string) []kernel.Effect {
	var effects []kernel.Effect
	for _, id := range ids {
		e, listed := v.Endpoint(id)
		if !listed || e.Leaving {
			continue
		}
		if len(effects) == 0 {
			v.heard = maps.Clone(v.heard)
			if v.heard == nil {
				v.heard = map[string]int64{}
			}
		}
		v.heard[id] = v.records[endpointPrefix+id].item.GetRevision()
		effects = append(effects,
			kernel.Record{Kind: "endpoint", Endpoint: id, Detail: "leaving by its own word"},
			kernel.Leave{Endpoint: id})
	}
	if len(effects) > 0 {
		v.index()
	}
	return effects
}

// Takes in what another node runs.
func (v *View) usage(now time.Time, from string, u *wire.Usage) *View {
	next := *v
	if u.GetContact() > 0 {
		if at := now.Add(-time.Duration(u.GetContact()-1) * time.Millisecond); at.After(next.news) {
			next.news = at
		}
	}
	old, known := v.usages[from]
	uses := usesOf(u.GetUses())
	if u.GetChanges() {
		if !known {
			return &next // the whole Usage follows
		}
		uses = maps.Clone(old.uses)
		for _, c := range u.GetUses() {
			if use := useOf(c); use != (Use{}) {
				uses[c.GetEndpoint()] = use
			} else {
				delete(uses, c.GetEndpoint())
			}
		}
	}
	next.usages = maps.Clone(v.usages)
	if next.usages == nil {
		next.usages = map[string]usage{}
	}
	next.usages[from] = usage{at: now, uses: uses}
	next.elsewhere = maps.Clone(v.elsewhere)
	if next.elsewhere == nil {
		next.elsewhere = map[string]Use{}
	}
	next.count(old.uses, -1)
	next.count(uses, 1)
	return &next
}

// Adds what a node runs to the sums over all nodes, or takes it off.
func (v *View) count(uses map[string]Use, sign int) {
	for id, u := range uses {
		s := v.elsewhere[id]
		s.Requests += sign * u.Requests
		s.Tokens += sign * u.Tokens
		s.Prompt += sign * u.Prompt
		if s == (Use{}) {
			delete(v.elsewhere, id)
		} else {
			v.elsewhere[id] = s
		}
	}
}

// Forgets nodes that have not told their usage for long.
func (v *View) forgetUsages(now time.Time, period time.Duration) {
	changed := false
	for id, u := range v.usages {
		if now.Sub(u.at) < usageLife*period {
			continue
		}
		if !changed {
			v.usages = maps.Clone(v.usages)
			v.elsewhere = maps.Clone(v.elsewhere)
			changed = true
		}
		v.count(u.uses, -1)
		delete(v.usages, id)
	}
}
