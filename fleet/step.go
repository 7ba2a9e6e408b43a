package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/wire"
)

func step(now time.Time, s kernel.State, e kernel.Event) (*View, []kernel.Effect) {
	v := Of(s)
	switch e := e.(type) {
	case kernel.Tick:
		return v.tick(now, member.Of(s))
	case kernel.ItemsLearned:
		next, effects := v.learn(now, member.Of(s), "", e.Items, e.Complete)
		next.contactAt, next.lastContact = now, now
		return next, effects
	case kernel.LeaveReported:
		return v.recordLeaveReport(now, member.Of(s), e)
	case kernel.LocalUsageReported:
		return v.setLocalUsage(now, member.Of(s), e.Uses)
	case kernel.FrameReceived:
		return v.handleFrame(now, member.Of(s), e)
	}
	return v, nil
}

func (v *View) handleFrame(now time.Time, m *member.View, e kernel.FrameReceived) (*View, []kernel.Effect) {
	switch body := e.Frame.GetBody().(type) {
	case *wire.Frame_Items:
		next, effects := v.learn(now, m, e.From, body.Items.GetItems(), false)
		return next.compareDigest(now, e.From, body.Items, effects)
	case *wire.Frame_Want:
		return v, v.handleWant(e.From, body.Want)
	case *wire.Frame_Usage:
		next := v.mergeUsage(now, m, e.From, body.Usage)
		effects := next.markLeaving(decodeLeaving(now, body.Usage))
		return next, effects
	}
	return v, nil
}

// learn stores items and forwards the new ones to the neighbours. In a
// large deployment it forwards them only within the data centre, since each data
// centre has a reader of its own. A long list of the whole store is not forwarded:
// the other nodes either list the store themselves or find by their digests what
// they lack. The parameter from is the id of the sending node, or empty for the
// store; complete says that items holds every item of the store.
func (v *View) learn(now time.Time, m *member.View, from string, items []*wire.Item, complete bool) (*View, []kernel.Effect) {
	next := *v
	next.complete = v.complete || complete
	var changed []*wire.Item
	var effects []kernel.Effect
	for _, item := range items {
		old, known := next.records.get(item.GetName())
		if known && old.item.GetRevision() >= item.GetRevision() {
			continue
		}
		effects = append(effects, next.putItem(now, item)...)
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
	if complete && len(changed) > maxForwardedItems {
		return &next, effects
	}
	for _, id := range m.Neighbours() {
		if id != from && (!isLarge(m) || m.SameCentre(id)) {
			effects = append(effects, next.sendItems(id, changed))
		}
	}
	return &next, effects
}

// putItem stores one item and returns the effects that report the change.
func (v *View) putItem(now time.Time, item *wire.Item) []kernel.Effect {
	r := record{item: item, receivedAt: now}
	detail := fmt.Sprintf("%s revision %d", item.GetName(), item.GetRevision())
	if item.GetName() == tableItem {
		t, err := decodeTable(item)
		if err == nil && (v.table == nil || t.Version() > v.table.Version()) {
			v.table = t
			detail = fmt.Sprintf("routing table version %d", t.Version())
		} else if err != nil {
			detail = err.Error()
		}
		v.records.put(item.GetName(), r)
		return []kernel.Effect{kernel.Record{Kind: "table", Detail: detail}}
	}
	e, err := decodeEndpoint(item)
	if err != nil {
		v.records.put(item.GetName(), r)
		return []kernel.Effect{kernel.Record{Kind: "item-unreadable", Detail: err.Error()}}
	}
	r.endpoint = e
	v.records.put(item.GetName(), r)
	switch {
	case item.GetRemoved():
		detail += " removed"
	case e.Leaving:
		detail += " leaving"
	}
	effects := []kernel.Effect{kernel.Record{Kind: "endpoint", Endpoint: e.ID, Detail: detail}}
	if item.GetRemoved() || e.Leaving {
		effects = append(effects, kernel.NotifyLeaving{Endpoint: e.ID})
	}
	return effects
}

// rebuildServices rebuilds the endpoint lists of all services from the records
// and drops stale leave reports.
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
// of one endpoint has changed, and drops the report if it is stale.
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

// revision returns the revision of an endpoint's record, or 0 if there is none.
func (v *View) revision(id string) int64 {
	r, _ := v.records.get(endpointPrefix + id)
	return r.item.GetRevision()
}

// dropStaleReport drops an endpoint's leave report if its record has changed
// since the report arrived.
func (v *View) dropStaleReport(id string) {
	if r, ok := v.leaveReports[id]; ok && r.revision != v.revision(id) {
		v.leaveReports = maps.Clone(v.leaveReports)
		delete(v.leaveReports, id)
	}
}

// withReport returns the endpoint of a record, marked as leaving if it has
// reported that itself.
func (v *View) withReport(r record) Endpoint {
	e := r.endpoint
	if report, ok := v.leaveReports[e.ID]; ok && report.revision == r.item.GetRevision() {
		e.Leaving = true
	}
	return e
}

func (v *View) sendItems(to string, items []*wire.Item) kernel.Effect {
	body := &wire.Items{Digest: v.records.digest, Listed: v.Ready(), Items: items}
	return kernel.Send{To: to, Frame: &wire.Frame{Body: &wire.Frame_Items{Items: body}}}
}

// compareDigest compares a neighbour's digest with this node's own and, if they
// differ, sends a Want for the items of the differing buckets. Load pattern: in a
// large deployment some update is always in transit, so that most digests differ
// although nothing was lost. So a Want is sent only if no new item has arrived for
// digestSettleTime, or if maxMismatches of the neighbour's digests in a row
// differed.
func (v *View) compareDigest(now time.Time, from string, items *wire.Items, effects []kernel.Effect) (*View, []kernel.Effect) {
	equal := items.GetDigest() == v.records.digest
	if equal && items.GetListed() && v.table != nil {
		v.complete = true
	}
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
	settling := now.Sub(v.updatedAt) < digestSettleTime && next.mismatches[from] < maxMismatches
	if settling || now.Sub(v.wantSentAt) < wantTimeout {
		return &next, effects
	}
	delete(next.mismatches, from)
	next.wantSentAt = now
	want := &wire.Want{Digests: v.records.bucketDigests()}
	return &next, append(effects, kernel.Send{To: from, Frame: &wire.Frame{Body: &wire.Frame_Want{Want: want}}})
}

// handleWant sends the items of the buckets in which a neighbour's records differ.
func (v *View) handleWant(to string, w *wire.Want) []kernel.Effect {
	return []kernel.Effect{v.sendItems(to, v.records.differingItems(w.GetDigests()))}
}

func (v *View) tick(now time.Time, m *member.View) (*View, []kernel.Effect) {
	next := *v
	next.group = loadGroupOf(m)
	var effects []kernel.Effect
	if now.Sub(v.digestSentAt) >= digestInterval {
		next.digestSentAt = now
		next.expireTombstones(now)
		for _, id := range m.Neighbours() {
			effects = append(effects, next.sendItems(id, nil))
		}
	}
	if interval := contactInterval(m); now.Sub(v.contactAt) < interval && now.Sub(v.contactSentAt) >= interval {
		next.contactSentAt = now
		effects = append(effects, sendUsage(m, m.Owners(), &wire.Usage{Changes: true, Contact: v.contactAge(now)})...)
	}
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

// contactInterval returns the time between two messages in which a node tells the
// others that the store responded to it. It grows with the number of recipients.
func contactInterval(m *member.View) time.Duration {
	return max(minContactInterval, contactIntervalPerNode*time.Duration(len(m.Owners())))
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
