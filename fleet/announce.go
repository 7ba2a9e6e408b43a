package fleet

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/owner"
	"github.com/plantaindeck/plantaindeck/wire"
)

// Large items are announced, and each node fetches the newest version from one announcer
// at a time.
//
// Load pattern: a routing table of 150 KB that changes three times a second, sent whole to
// five neighbours, fills links of 10 to 25 Mbit/s for longer than the time between two
// changes, so that nodes fall behind by seconds.

const (
	maxPushedBytes    = 8 << 10                // larger bodies are announced and fetched
	maxUploads        = 2                      // bodies that a node sends at once; more would share its link, and all would arrive late
	fetchBaseTimeout  = 300 * time.Millisecond // for the answer to a Fetch, plus the time for the body
	minFetchRate      = 250 << 10              // bytes per second at which a body is expected to arrive at least: two uploads on 10 Mbit/s take half of the link each, with a reserve
	offerTime         = 50 * time.Millisecond  // for which an upload is kept for a node that was offered it
	fetchRetryDelay   = 50 * time.Millisecond  // after all announcers have been busy, until they are asked again
	readerFetchDelay  = 300 * time.Millisecond // for which a reader of the store waits for the item from there: several of its reads
	readerContactTime = time.Second            // a reader without contact for longer fetches at once
	announceInterval  = time.Second            // between two announcements of the routing table to all members; with a fetch, well within the 3 s in which a change must be in force
	announceTime      = 4 * time.Second        // after a change of the table for which it is announced: the 3 s, and one more interval
	maxStandInBytes   = 16 << 10               // limit of a table that a reader announces because it stands in for another; a link of 10 Mbit/s takes 77 of them in announceInterval
	minLosses         = 2                      // members that do not respond, from which on the readers announce the table to all members; a single one cuts off no other
)

// fetch is the state of an item of which a newer version has been announced than this
// node has.
type fetch struct {
	want       Version // newest that was announced
	size       int     // of its body
	announcers []string
	busy       []string  // announcers that had too many uploads when they were asked
	from       string    // node that was asked; empty for none
	deadline   time.Time // of its answer
	startAt    time.Time // when the next node may be asked first
	retryAt    time.Time // when the busy announcers may be asked again
}

// largeItems is the state of the exchange of large items. It is immutable.
type largeItems struct {
	fetches  map[string]fetch     // by item name
	rejected map[string]Version   // by item name; last version received that was not newer than the one held, although its era and revision are
	uploads  map[string]time.Time // by receiving node; when it counts as ended without a reply
	waiting  []waiter             // nodes that were told that this one is busy, in order of their first Fetch
	askedAt  time.Time            // when the neighbours were last asked to announce what they have
	fetched  int                  // answers to Fetches
	timeouts int                  // Fetches without an answer in time
}

// waiter is a node that waits for an upload.
type waiter struct {
	id        string
	name      string    // of the item
	offeredAt time.Time // when it was told that there is an upload for it; zero if it was not
}

// FetchCounts returns how many large items this node has fetched from others, and how
// many times it did not get an answer in time.
func (v *View) FetchCounts() (fetched, timeouts int) { return v.large.fetched, v.large.timeouts }

func isLargeItem(item *wire.Item) bool { return len(item.GetBody()) > maxPushedBytes }

// fetchTimeout returns the time allowed for fetching a body of the given size.
func fetchTimeout(size int) time.Duration {
	return fetchBaseTimeout + time.Duration(size)*time.Second/minFetchRate
}

// announceTo announces the given items to a node. Busy says that this node cannot send
// their bodies at the moment, which is stated as a size of 0.
func announceTo(to string, items []*wire.Item, busy bool) kernel.Effect {
	a := &wire.Announce{}
	for _, item := range items {
		size := uint32(len(item.GetBody()))
		if busy {
			size = 0
		}
		a.Items = append(a.Items, &wire.Item{Name: item.GetName(), Era: item.GetEra(), Revision: item.GetRevision()})
		a.Sizes = append(a.Sizes, size)
	}
	return kernel.Send{To: to, Frame: &wire.Frame{Body: &wire.Frame_Announce{Announce: a}}}
}

// spreadItems sends the small ones of the items to a node and announces the large ones.
func (v *View) spreadItems(to string, items []*wire.Item) []kernel.Effect {
	var small, large []*wire.Item
	for _, item := range items {
		if isLargeItem(item) {
			large = append(large, item)
		} else {
			small = append(small, item)
		}
	}
	var effects []kernel.Effect
	if len(small) > 0 || len(large) == 0 {
		effects = append(effects, v.sendItems(to, small))
	}
	if len(large) > 0 {
		effects = append(effects, announceTo(to, large, false))
	}
	return effects
}

// announceAcross announces large items to nodes at distances that double, within the data
// centre of a large deployment. Load pattern: the neighbours are the next three on a ring,
// so that a body crosses a data centre of 33 nodes in up to eleven steps, each of which
// takes the time of its transfer. A reader of the store does not do so: its link is needed
// for its neighbours and the other data centres.
func announceAcross(m *member.View, from string, items []*wire.Item) []kernel.Effect {
	large := largeOf(items)
	if from == "" || len(large) == 0 || !isLarge(m) {
		return nil
	}
	inCentre, neighbours := m.OwnersInCentre(), m.Neighbours()
	self, ok := slices.BinarySearch(inCentre, m.Self().GetId())
	if !ok {
		return nil
	}
	var effects []kernel.Effect
	for distance := 1; distance < len(inCentre); distance *= 2 {
		id := inCentre[(self+distance)%len(inCentre)]
		if id != from && !slices.Contains(neighbours, id) {
			effects = append(effects, announceTo(id, large, false))
		}
	}
	return effects
}

// announceTable announces the routing table to all members, if this node reads the store, the table
// has changed of late, and some members do not respond or this node stands in for another reader. It
// announces the version that it held one announceInterval before, which most nodes have by then; an
// answer to a Fetch holds the newest one anyway. A node that has just begun to read announces what it
// has: no other node may have read that.
//
// Load pattern: when most nodes lose power at once, all nodes that would forward changes to a node,
// and all with which it compares digests, may be among them. Until they are declared dead, which
// takes seconds, and the same again for each of their successors, only the readers reach it. If
// these announced each version to all at once, far nodes would wait for a large table from them
// rather than fetch it from their neighbours, and all would be late.
func (v *View) announceTable(now time.Time, s kernel.State) []kernel.Effect {
	since := now.Sub(v.announcedAt)
	r, known := v.records.get(tableItem)
	if !known || since < announceInterval || !v.inContact(now, minContactTTL) || !ReadsStore(s, now) {
		return nil
	}
	m := member.Of(s)
	version := v.announceNext
	v.announcedAt, v.announceNext = now, versionOf(r.item)
	if since >= 2*announceInterval {
		version = v.announceNext
	}
	size := len(r.item.GetBody())
	needed := m.Unresponsive(now) >= minLosses || standsIn(m) && size <= maxStandInBytes
	if !needed || now.Sub(r.receivedAt) >= announceTime {
		return nil
	}
	a := &wire.Announce{Items: []*wire.Item{{Name: tableItem, Era: version.Era, Revision: version.Revision}}, Sizes: []uint32{uint32(size)}}
	return m.SendTo(m.UsableIDs(), &wire.Frame{Body: &wire.Frame_Announce{Announce: a}})
}

// standsIn reports whether this node reads the store in place of a node that is ranked before it: it
// does not know how many others were lost with that.
func standsIn(m *member.View) bool {
	nodes := m.UsableIDs()
	return len(nodes) > maxMeshNodes && owner.Rank(readerKey, m.Self().GetId(), nodes) >= storeReaders
}

// largeOf returns the large ones of the items.
func largeOf(items []*wire.Item) []*wire.Item {
	return slices.DeleteFunc(slices.Clone(items), func(item *wire.Item) bool { return !isLargeItem(item) })
}

// confirmItems tells the sender of large items that they have arrived, which ends its
// uploads to this node.
func confirmItems(to string, items []*wire.Item) []kernel.Effect {
	large := largeOf(items)
	if to == "" || len(large) == 0 {
		return nil
	}
	return []kernel.Effect{announceTo(to, large, false)}
}

// wantDigests returns the digests for a Want. One more than there are buckets says that
// this node understands announcements; builds that do not ignore it.
func (v *View) wantDigests() []uint32 { return append(v.records.bucketDigests(), 0) }

// understandsAnnouncements reports whether the sender of a Want does.
func understandsAnnouncements(w *wire.Want) bool { return len(w.GetDigests()) > bucketCount }

// handleLarge handles the events that concern large items only. The last result says
// whether e is one.
func (v *View) handleLarge(now time.Time, s kernel.State, e kernel.Event) (*View, []kernel.Effect, bool) {
	next := *v
	switch e := e.(type) {
	case kernel.PeerLost:
		return &next, next.dropAnnouncer(now, e.Peer), true
	case kernel.FrameReceived:
		switch body := e.Frame.GetBody().(type) {
		case *wire.Frame_Announce:
			return &next, next.handleAnnounce(now, s, e.From, body.Announce), true
		case *wire.Frame_Fetch:
			return &next, next.handleFetch(now, e.From, body.Fetch), true
		}
	}
	return v, nil, false
}

// handleAnnounce notes which versions a node has and fetches those that are newer than
// what this node has. An Announce without items asks for announcements.
func (v *View) handleAnnounce(now time.Time, s kernel.State, from string, a *wire.Announce) []kernel.Effect {
	if len(a.GetItems()) == 0 {
		if large := v.largeRecords(); len(large) > 0 {
			return []kernel.Effect{announceTo(from, large, false)}
		}
		return nil
	}
	var effects []kernel.Effect
	for i, item := range a.GetItems() {
		size := 0
		if i < len(a.GetSizes()) {
			size = int(a.GetSizes()[i])
		}
		effects = append(effects, v.handleAnnounced(now, s, from, item, size)...)
	}
	return effects
}

func (v *View) handleAnnounced(now time.Time, s kernel.State, from string, item *wire.Item, size int) []kernel.Effect {
	name, version := item.GetName(), versionOf(item)
	f, fetching := v.large.fetches[name]
	if size == 0 {
		if fetching && f.from == from {
			f.from, f.retryAt = "", now.Add(fetchRetryDelay)
			f.busy = append(slices.Clone(f.busy), from)
			return v.continueFetch(now, name, f)
		}
		return nil
	}
	held, known := v.records.get(name)
	if known && versionOf(held.item) == version {
		return v.endUpload(now, from)
	}
	if known && v.large.rejected[name] == version {
		return []kernel.Effect{v.sendItems(from, []*wire.Item{held.item})}
	}
	if known && version.Compare(versionOf(held.item)) < 0 || version.Compare(f.want) < 0 {
		return nil
	}
	if !fetching && v.willRead(now, s) {
		f.startAt = now.Add(readerFetchDelay)
	}
	if version != f.want {
		f.want, f.size, f.announcers, f.busy = version, size, nil, nil
	}
	isFrom := func(id string) bool { return id == from }
	f.busy = slices.DeleteFunc(slices.Clone(f.busy), isFrom)
	f.announcers = append(slices.DeleteFunc(slices.Clone(f.announcers), isFrom), from)
	return v.continueFetch(now, name, f)
}

// willRead reports whether this node is likely to read a change from the store soon.
func (v *View) willRead(now time.Time, s kernel.State) bool {
	return ReadsStore(s, now) && (!v.complete || now.Sub(v.contactAt) < readerContactTime)
}

// continueFetch stores the state of a fetch and asks the next announcer, if none has been
// asked yet. The latest is asked first, since fewer nodes have had the time to ask it. If
// no announcer is left, it drops the fetch, and the digests repair the difference.
func (v *View) continueFetch(now time.Time, name string, f fetch) []kernel.Effect {
	v.large.fetches = kernel.CloneMap(v.large.fetches)
	if len(f.announcers) == 0 && len(f.busy) > 0 && !now.Before(f.retryAt) {
		f.announcers, f.busy = f.busy, nil
	}
	if f.from == "" && len(f.announcers) == 0 && len(f.busy) == 0 {
		delete(v.large.fetches, name)
		return nil
	}
	var effects []kernel.Effect
	if last := len(f.announcers) - 1; f.from == "" && last >= 0 && !now.Before(f.startAt) {
		f.from, f.deadline = f.announcers[last], now.Add(fetchTimeout(f.size))
		f.announcers = slices.Clone(f.announcers[:last])
		ask := &wire.Fetch{Name: name, Era: f.want.Era, Revision: f.want.Revision}
		effects = append(effects, kernel.Send{To: f.from, Frame: &wire.Frame{Body: &wire.Frame_Fetch{Fetch: ask}}})
	}
	v.large.fetches[name] = f
	return effects
}

// handleFetch sends the held version of an item, or says that this node is busy. The
// version is the newest that this node knows, whatever the asker has heard of: an older
// one ends the wait of the asker as well.
func (v *View) handleFetch(now time.Time, to string, ask *wire.Fetch) []kernel.Effect {
	held, known := v.records.get(ask.GetName())
	if !known {
		return nil
	}
	items := []*wire.Item{held.item}
	if !isLargeItem(held.item) {
		return []kernel.Effect{v.sendItems(to, items)} // takes no link for long, and is not confirmed
	}
	_, again := v.large.uploads[to]
	place := slices.IndexFunc(v.large.waiting, func(w waiter) bool { return w.id == to })
	if place < 0 {
		place = len(v.large.waiting)
	}
	if !again && place >= maxUploads-len(v.large.uploads) {
		if place == len(v.large.waiting) {
			v.large.waiting = append(slices.Clone(v.large.waiting), waiter{id: to, name: ask.GetName()})
		}
		return []kernel.Effect{announceTo(to, items, true)}
	}
	v.dropWaiters(func(w waiter) bool { return w.id == to })
	v.large.uploads = kernel.CloneMap(v.large.uploads)
	v.large.uploads[to] = now.Add(fetchTimeout(len(held.item.GetBody())) - fetchBaseTimeout)
	return []kernel.Effect{v.sendItems(to, items)}
}

func (v *View) dropWaiters(drop func(waiter) bool) {
	v.large.waiting = slices.DeleteFunc(slices.Clone(v.large.waiting), drop)
}

// endUpload ends the upload to a node, if there is one, and offers it to the next that
// waits. Load pattern: nodes that hear of each new version first would otherwise always
// ask first, and the others would get none while the versions change.
func (v *View) endUpload(now time.Time, to string) []kernel.Effect {
	if _, ok := v.large.uploads[to]; !ok {
		return nil
	}
	v.large.uploads = maps.Clone(v.large.uploads)
	delete(v.large.uploads, to)
	return v.offerUploads(now)
}

// offerUploads announces the item again to the waiting nodes whose turn it is.
func (v *View) offerUploads(now time.Time) []kernel.Effect {
	var effects []kernel.Effect
	v.large.waiting = slices.Clone(v.large.waiting)
	free := max(maxUploads-len(v.large.uploads), 0)
	for i, w := range v.large.waiting[:min(free, len(v.large.waiting))] {
		held, known := v.records.get(w.name)
		if known && w.offeredAt.IsZero() {
			v.large.waiting[i].offeredAt = now
			effects = append(effects, announceTo(w.id, []*wire.Item{held.item}, false))
		}
	}
	return effects
}

// settleFetches ends the fetches of items that have been learned from a node, or from the
// store if from is empty. A large item that is not newer although its era and revision are
// higher, because its table version is lower, is answered with the one held: the sender
// would not fetch that by its version.
func (v *View) settleFetches(now time.Time, from string, items []*wire.Item) []kernel.Effect {
	var effects []kernel.Effect
	for _, item := range items {
		name := item.GetName()
		held, known := v.records.get(name)
		if !known {
			continue
		}
		version := versionOf(held.item)
		if from != "" && isLargeItem(item) && versionOf(item).Compare(version) > 0 {
			v.large.rejected = kernel.CloneMap(v.large.rejected)
			v.large.rejected[name] = versionOf(item)
			effects = append(effects, v.sendItems(from, []*wire.Item{held.item}))
		}
		f, fetching := v.large.fetches[name]
		if !fetching {
			continue
		}
		if from != "" && f.from == from {
			f.from = ""
			v.large.fetched++
		}
		if version.Compare(f.want) >= 0 || versionOf(item) == f.want {
			f = fetch{}
		}
		effects = append(effects, v.continueFetch(now, name, f)...)
	}
	return effects
}

// tickFetches asks other announcers where the answer is late, and ends uploads that were
// not confirmed. A node without a routing table asks its neighbours for announcements, as
// it would otherwise wait for their next digests.
func (v *View) tickFetches(now time.Time, m *member.View) []kernel.Effect {
	var effects []kernel.Effect
	for _, name := range slices.Sorted(maps.Keys(v.large.fetches)) {
		f := v.large.fetches[name]
		if f.from != "" && !now.Before(f.deadline) {
			effects = append(effects, kernel.Record{Kind: "fetch-timeout", Detail: fmt.Sprintf("%s era %d revision %d of %d bytes did not arrive from %s", name, f.want.Era, f.want.Revision, f.size, f.from)})
			f.from = ""
			v.large.timeouts++
		}
		effects = append(effects, v.continueFetch(now, name, f)...)
	}
	for _, id := range slices.Sorted(maps.Keys(v.large.uploads)) {
		if !now.Before(v.large.uploads[id]) {
			effects = append(effects, v.endUpload(now, id)...)
		}
	}
	v.dropWaiters(func(w waiter) bool { return !w.offeredAt.IsZero() && now.Sub(w.offeredAt) >= offerTime })
	effects = append(effects, v.offerUploads(now)...)
	if v.table == nil && now.Sub(v.large.askedAt) >= digestInterval && len(m.Neighbours()) > 0 {
		v.large.askedAt = now
		for _, id := range m.Neighbours() {
			effects = append(effects, announceTo(id, nil, false))
		}
	}
	return effects
}

// dropAnnouncer continues the fetches from a node to which the session was lost with other
// announcers.
func (v *View) dropAnnouncer(now time.Time, id string) []kernel.Effect {
	v.dropWaiters(func(w waiter) bool { return w.id == id })
	effects := v.endUpload(now, id)
	isLost := func(other string) bool { return other == id }
	for _, name := range slices.Sorted(maps.Keys(v.large.fetches)) {
		f := v.large.fetches[name]
		if f.from == id {
			f.from = ""
		}
		f.announcers = slices.DeleteFunc(slices.Clone(f.announcers), isLost)
		f.busy = slices.DeleteFunc(slices.Clone(f.busy), isLost)
		effects = append(effects, v.continueFetch(now, name, f)...)
	}
	return effects
}

// largeRecords returns the large items that this node has.
func (v *View) largeRecords() []*wire.Item {
	var items []*wire.Item
	for _, r := range v.records.all() {
		if isLargeItem(r.item) {
			items = append(items, r.item)
		}
	}
	return items
}
