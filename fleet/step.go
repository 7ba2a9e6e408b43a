package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/owner"
	"github.com/plantaindeck/plantaindeck/wire"
)

func step(now time.Time, s kernel.State, e kernel.Event) (*View, []kernel.Effect) {
	v := Of(s)
	if next, effects, ok := v.handleLarge(now, s, e); ok {
		return next, effects
	}
	switch e := e.(type) {
	case kernel.Tick:
		return v.tick(now, s)
	case kernel.ItemsLearned:
		next, effects := v.learn(now, member.Of(s), "", e.Items, e.Complete)
		next.contactAt, next.lastContact, next.contactLostAt = now, now, time.Time{}
		if !v.contactLostAt.IsZero() {
			effects = append(effects, next.sendContact(now, member.Of(s))...) // before others take over
		}
		return next, append(effects, next.settleFetches(now, "", e.Items)...)
	case kernel.StoreFailed:
		return v.loseContact(now, member.Of(s))
	case kernel.LeaveReported:
		return v.recordLeaveReport(now, member.Of(s), e)
	case kernel.LimitReported:
		return v.recordLimit(now, member.Of(s), e)
	case kernel.ColdReported:
		return v.recordCold(now, member.Of(s), e)
	case kernel.LocalUsageReported:
		return v.setLocalUsage(now, member.Of(s), e)
	case kernel.FrameReceived:
		return v.handleFrame(now, member.Of(s), e)
	}
	return v, nil
}

func (v *View) handleFrame(now time.Time, m *member.View, e kernel.FrameReceived) (*View, []kernel.Effect) {
	switch body := e.Frame.GetBody().(type) {
	case *wire.Frame_Items:
		next, effects := v.learn(now, m, e.From, body.Items.GetItems(), false)
		effects = append(effects, next.settleFetches(now, e.From, body.Items.GetItems())...)
		return next.compareDigest(now, m, e.From, body.Items, effects)
	case *wire.Frame_Want:
		return v, v.handleWant(e.From, body.Want)
	case *wire.Frame_Usage:
		next := v.mergeUsage(now, m, e.From, body.Usage)
		effects, _ := next.markLeaving(now, next.decodeLeaving(now, body.Usage))
		effects = append(effects, next.mergeLimits(now, m, body.Usage.GetLimits())...)
		return next, append(effects, next.mergeCold(now, m, body.Usage.GetCold())...)
	}
	return v, nil
}

// learn stores items and forwards the new ones to the neighbours. In a large deployment
// it forwards them only within the data centre, and the readers of the store send them
// to two nodes of each other data centre. A long list of the whole store is not
// forwarded: the other nodes either list the store themselves or find by their digests
// what they lack. The parameter from is the id of the sending node, or empty for the
// store; complete says that items holds every item of the store.
func (v *View) learn(now time.Time, m *member.View, from string, items []*wire.Item, complete bool) (*View, []kernel.Effect) {
	next := *v
	next.setComplete(now, complete)
	var changed []*wire.Item
	var effects []kernel.Effect
	for _, item := range items {
		old, known := next.records.get(item.GetName())
		if known && versionOf(old.item) == versionOf(item) {
			continue
		}
		r, err := decodeItem(item)
		if known && !r.replaces(old) {
			continue
		}
		r.receivedAt = now
		effects = append(effects, next.putRecord(now, r, old, err)...)
		changed = append(changed, item)
	}
	if len(changed) == 0 {
		return &next, nil
	}
	next.updatedAt = now
	if len(changed) >= minRebuildItems {
		next.rebuildServices()
	} else {
		for _, item := range changed {
			next.refreshEndpoint(strings.TrimPrefix(item.GetName(), endpointPrefix))
		}
	}
	if len(next.cold) > 0 {
		next.divideLimits(now, m) // a node that waited for the next Tick could send too much before
	}
	if complete && len(changed) > maxForwardedItems {
		return &next, effects
	}
	for _, id := range m.Neighbours() {
		if id != from && (!isLarge(m) || m.SameCentre(id)) {
			effects = append(effects, next.spreadItems(id, changed)...)
		}
	}
	effects = append(effects, confirmItems(from, changed)...)
	effects = append(effects, announceAcross(m, from, changed)...)
	if from == "" && isLarge(m) {
		for _, id := range relays(m) {
			effects = append(effects, next.spreadItems(id, changed)...)
		}
	}
	return &next, effects
}

// relays returns the nodes of the other data centres to which a reader of the store sends
// changes: two of each.
func relays(m *member.View) []string {
	byCentre := map[string][]string{}
	for _, id := range m.Owners() {
		if p, ok := m.Get(id); ok && !m.SameCentre(id) {
			byCentre[p.Member.GetCentre()] = append(byCentre[p.Member.GetCentre()], id)
		}
	}
	var ids []string
	for _, centre := range slices.Sorted(maps.Keys(byCentre)) {
		first, second := owner.Pick(relayKey, byCentre[centre])
		if ids = append(ids, first); second != "" {
			ids = append(ids, second)
		}
	}
	return ids
}

// relayKey is the key by which the nodes of a data centre are chosen that get the changes
// of the store from readers in other data centres.
const relayKey = "relay"

// putRecord stores the record of one item in place of old, which is zero if there
// was none, and returns the effects that report the change. The error is that of
// decoding the item.
func (v *View) putRecord(now time.Time, r, old record, err error) []kernel.Effect {
	name, version := r.item.GetName(), versionOf(r.item)
	v.era = max(v.era, version.Era)
	if r.item.GetRemoved() {
		r.endpoint.StartMillis = old.endpoint.StartMillis
	}
	v.records.put(name, r)
	if r.table != nil {
		v.table = r.table
		keys, required := r.table.KeyCount()
		return []kernel.Effect{kernel.Record{Kind: "table", Detail: fmt.Sprintf("routing table version %d with %d keys, required %t", r.table.Version(), keys, required)}}
	}
	if centre, evacuation := evacuationOf(r.item); evacuation {
		return v.putEvacuation(centre, r.item)
	}
	if err != nil {
		return []kernel.Effect{kernel.Record{Kind: "item-unreadable", Detail: err.Error()}}
	}
	if service, versions := versionsServiceOf(r.item); versions {
		return v.putVersions(service, r)
	}
	e := r.endpoint
	detail := fmt.Sprintf("%s era %d revision %d", name, version.Era, version.Revision)
	switch {
	case r.item.GetRemoved():
		detail += " removed"
	case e.Leaving:
		detail += " leaving"
	case v.withReport(r).Leaving:
		detail += " leaving (self-reported)"
	case v.outweighs(old, r):
		detail += " leaving, as an earlier era said"
		v.leaveReports = kernel.CloneMap(v.leaveReports)
		v.leaveReports[e.ID] = leaveReport{startMillis: e.StartMillis, record: version, lapsesAt: now.Add(restoreSettleTime)}
	}
	effects := []kernel.Effect{kernel.Record{Kind: "endpoint", Endpoint: e.ID, Detail: detail}}
	if !r.item.GetRemoved() {
		effects = append(effects, v.setColdByRecord(now, e)...)
	}
	if r.item.GetRemoved() || e.Leaving {
		effects = append(effects, kernel.NotifyLeaving{Endpoint: e.ID})
	}
	return effects
}

// outweighs reports whether old, of an earlier era, says that the endpoint of r is
// leaving or gone, and still counts: the store has been restored from a copy, which may
// be older than that notice.
func (v *View) outweighs(old, r record) bool {
	return old.item != nil && versionOf(old.item).Era < versionOf(r.item).Era &&
		old.endpoint.StartMillis == r.endpoint.StartMillis &&
		(old.item.GetRemoved() || v.withReport(old).Leaving)
}

// rebuildServices rebuilds the endpoint lists of all services from the records
// and drops the leave reports that no longer count.
func (v *View) rebuildServices() {
	v.services = map[string][]Endpoint{}
	for _, r := range v.records.all() {
		if r.endpoint.Addr != "" {
			v.services[r.endpoint.Service] = append(v.services[r.endpoint.Service], v.withReport(r))
		}
	}
	for id := range v.leaveReports {
		v.dropStaleReport(id)
	}
	for _, list := range v.services {
		slices.SortFunc(list, byID)
	}
}

// refreshEndpoint updates the endpoint lists after the record or the leave report
// of one endpoint has changed, and drops the report if it no longer counts.
func (v *View) refreshEndpoint(id string) {
	v.dropStaleReport(id)
	v.services = maps.Clone(v.services)
	for service, list := range v.services {
		if i, ok := slices.BinarySearchFunc(list, Endpoint{ID: id}, byID); ok {
			v.services[service] = slices.Delete(slices.Clone(list), i, i+1)
		}
	}
	r, ok := v.records.get(endpointPrefix + id)
	if !ok || r.endpoint.Addr == "" {
		return
	}
	if v.services == nil {
		v.services = map[string][]Endpoint{}
	}
	list := v.services[r.endpoint.Service]
	i, _ := slices.BinarySearchFunc(list, r.endpoint, byID)
	v.services[r.endpoint.Service] = slices.Insert(slices.Clone(list), i, v.withReport(r))
}

func byID(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) }

// dropStaleReport drops an endpoint's leave report if its record shows that the
// report no longer counts.
func (v *View) dropStaleReport(id string) {
	report, ok := v.leaveReports[id]
	if r, known := v.records.get(endpointPrefix + id); ok && known && report.isStale(r) {
		v.leaveReports = maps.Clone(v.leaveReports)
		delete(v.leaveReports, id)
	}
}

// withReport returns the endpoint of a record, marked as leaving if a leave report
// says so.
func (v *View) withReport(r record) Endpoint {
	e := r.endpoint
	if report, ok := v.leaveReports[e.ID]; ok && report.covers(r) {
		e.Leaving = true
	}
	return e
}

func (v *View) sendItems(to string, items []*wire.Item) kernel.Effect {
	body := &wire.Items{Digest: v.records.digest, Listed: v.Ready(), Items: items}
	return kernel.Send{To: to, Frame: &wire.Frame{Body: &wire.Frame_Items{Items: body}}}
}

// returnDigest sends a node the digest for its own. It does not claim to be listed, so that it
// is not answered in turn.
func (v *View) returnDigest(to string) kernel.Effect {
	return kernel.Send{To: to, Frame: &wire.Frame{Body: &wire.Frame_Items{Items: &wire.Items{Digest: v.records.digest}}}}
}

// setComplete records that every item of the store has been learned, if so.
func (v *View) setComplete(now time.Time, complete bool) {
	if complete && !v.complete {
		v.complete, v.completeAt = true, now
	}
}

// compareDigest compares a neighbour's digest with this node's own and, if they
// differ, sends a Want for the items of the differing buckets. Load pattern: in a
// large deployment some update is always in transit, so that most digests differ
// although nothing was lost. So a Want is sent only if no new item has arrived for
// digestSettleTime, or if maxMismatches of the neighbour's digests in a row
// differed.
//
// A node that stops is no node's neighbour any more, but still serves callers on their open
// connections. It gets the digest in return for its own, so that it finds out what it lacks.
func (v *View) compareDigest(now time.Time, m *member.View, from string, items *wire.Items, effects []kernel.Effect) (*View, []kernel.Effect) {
	equal := items.GetDigest() == v.records.digest
	if !equal && items.GetListed() && !m.Usable(from) {
		effects = append(effects, v.returnDigest(from))
	}
	v.setComplete(now, equal && items.GetListed() && v.table != nil)
	if len(items.GetItems()) > 0 || equal && v.mismatches[from] == 0 {
		return v, effects // mismatches are counted only for messages without items
	}
	next := *v
	next.mismatches = kernel.CloneMap(v.mismatches)
	if equal {
		delete(next.mismatches, from)
		return &next, effects
	}
	next.mismatches[from]++
	settling := (now.Sub(v.updatedAt) < digestSettleTime || len(v.large.fetches) > 0) && next.mismatches[from] < maxMismatches
	if settling || now.Sub(v.wantSentAt) < wantTimeout {
		return &next, effects
	}
	delete(next.mismatches, from)
	next.wantSentAt = now
	want := &wire.Want{Digests: v.wantDigests()}
	return &next, append(effects, kernel.Send{To: from, Frame: &wire.Frame{Body: &wire.Frame_Want{Want: want}}})
}

// handleWant sends the items of the buckets in which a neighbour's records differ. It
// announces the large ones if the neighbour understands that.
func (v *View) handleWant(to string, w *wire.Want) []kernel.Effect {
	items := v.records.differingItems(w.GetDigests())
	if understandsAnnouncements(w) {
		return v.spreadItems(to, items)
	}
	return []kernel.Effect{v.sendItems(to, items)}
}

func (v *View) tick(now time.Time, s kernel.State) (*View, []kernel.Effect) {
	m := member.Of(s)
	next := *v
	next.setGroup(now, loadGroupOf(m))
	if next.startedAt.IsZero() {
		next.startedAt, next.run = now, uint32(m.Self().GetIncarnation())|1
	}
	next.divideLimits(now, m)
	// Members on hold serve callers, as in divideLimits.
	next.self, next.sharers = m.Self().GetId(), loadGroupAmong(m, m.UsableIDs()).Nodes()
	effects := next.tickFetches(now, m)
	if now.Sub(v.digestSentAt) >= digestInterval {
		next.digestSentAt = now
		next.expireTombstones(now)
		next.expireReports(now)
		next.expireLimits(now)
		next.expireCold(now)
		next.expireSpentPools(now)
		for _, id := range m.Neighbours() {
			effects = append(effects, next.sendItems(id, nil))
		}
	}
	effects = append(effects, next.tellContact(now, m)...)
	effects = append(effects, next.announceTable(now, s)...)
	if isLarge(m) && now.Sub(v.changesSentAt) >= changesInterval {
		effects = append(effects, next.sendChanges(now, m)...)
	}
	usageInterval := usageIntervalPerNode * time.Duration(m.Len())
	if isLarge(m) {
		usageInterval = largeUsageInterval
		if !slices.Equal(next.group.nodes, v.group.nodes) {
			usageInterval = 0 // new nodes of the group need a full Usage before they can apply changes
		}
	}
	if now.Sub(v.usageSentAt) >= usageInterval {
		next.usageSentAt = now
		effects = append(effects, next.sendFullUsage(now, m)...)
		next.dropStaleUsages(now, m, usageInterval)
	}
	return &next, effects
}

// expireTombstones drops the removals that are older than tombstoneTTL, when no
// older update of the same item can still arrive.
func (v *View) expireTombstones(now time.Time) {
	for name, r := range v.records.all() {
		if r.item.GetRemoved() && now.Sub(r.receivedAt) >= tombstoneTTL {
			v.records.remove(name)
		}
	}
}

// expireReports drops the leave reports that have lapsed, and those older than
// leaveReportTTL of endpoints that are not listed.
func (v *View) expireReports(now time.Time) {
	for id, report := range v.leaveReports {
		_, listed := v.Endpoint(id)
		if report.lapsed(now) || !listed && now.Sub(report.receivedAt) >= leaveReportTTL {
			v.leaveReports = maps.Clone(v.leaveReports)
			delete(v.leaveReports, id)
			v.refreshEndpoint(id)
		}
	}
}
