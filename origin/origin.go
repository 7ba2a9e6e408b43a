// Package origin remembers which software version began each stream that its caller may
// take up again, so that any node can continue the stream at that version.
//
// It is a plug-in of the kernel. The node that sends the first event of a stream tells a
// few nodes, the holders, which rendezvous hashing chooses by the id of the request. A node
// to which the caller comes back with that id asks them.
//
// Load pattern: servers of several versions serve side by side during a release, and a
// caller whose node ends comes back to any other node at once, with all the other callers
// of that node. What only the lost node knew is gone then.
//
// Invariants:
//   - A record never changes: the version of a stream is that of its first event.
//   - A record is kept for at least originTTL at each holder that does not end.
//   - A node that stops hands its records to the other nodes that are their holders without it, and
//     they confirm them before it ends, if they answer in its grace period.
//   - Each OriginAsked leads to one OriginFound, after joinAskTTL at the latest.
//   - What a node begins or asks before it has joined is told or asked again as it learns of
//     other nodes.
//   - One node, the writer, is told of each stream too. It holds no record of it, and asks its driver
//     to save one where it outlasts all nodes. Its successor is told of all streams that are still remembered.
package origin

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/owner"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	originTTL  = time.Minute            // for which a record is kept at least; streams last up to two thirds of it
	holders    = 3                      // nodes that are told of a stream
	askedNodes = 2 * holders            // nodes that are asked, as the members may have changed meanwhile
	askTTL     = 200 * time.Millisecond // for which the answers to a question are awaited
	joinTime   = 3 * time.Second        // after the start of a node in which it may not know all members yet
	joinAskTTL = time.Second            // askTTL of a node in this time
)

var handle kernel.Handle[*View]

func init() {
	handle = kernel.Register(kernel.Plugin[*View]{
		Name: "origin",
		Rank: 30,
		Init: func(kernel.Config) *View { return &View{recent: newRecords(), older: newRecords()} },
		Step: step,
	})
}

// Of returns the View in s.
func Of(s kernel.State) *View {
	return handle.Of(s)
}

// record says which software began a stream.
type record struct {
	service string
	version string
}

// records holds records by the id of the request that brought the first event.
type records = immutable.Map[string, record]

func newRecords() *records { return immutable.NewMap[string, record](nil) }

// ask is a question that is not answered yet.
type ask struct {
	request    string // id of the request that brought the first event
	unanswered int    // nodes that have been asked and have not answered
	expiresAt  time.Time
}

// View is the state of the plug-in: the records that this node holds and its unanswered
// questions. It is immutable.
type View struct {
	recent    *records       // learned since rotatedAt
	older     *records       // learned in the originTTL before
	rotatedAt time.Time      // when recent became older
	asks      map[string]ask // by id
	startedAt time.Time      // first Tick; zero before
	early     []*wire.Began  // streams that this node began before it had joined
	owners    int            // members that may be holders, at the last Tick; while stopping without this node
	stopping  bool
	transfers map[string]transfer // by request: records that are not handed over; nil unless stopping
	writers   []writer            // at the last Tick
}

// joined reports whether this node has run for joinTime.
func (v *View) joined(now time.Time) bool {
	return !v.startedAt.IsZero() && now.Sub(v.startedAt) >= joinTime
}

// Len returns the number of records that this node holds.
func (v *View) Len() int { return v.recent.Len() + v.older.Len() }

func (v *View) get(request string) (record, bool) {
	if r, ok := v.recent.Get(request); ok {
		return r, true
	}
	return v.older.Get(request)
}

func step(now time.Time, s kernel.State, e kernel.Event) (*View, []kernel.Effect) {
	v := Of(s)
	switch e := e.(type) {
	case kernel.Tick:
		return v.tick(now, member.Of(s))
	case kernel.StreamBegan:
		return v.begin(now, member.Of(s), &wire.Began{Request: e.Request, Service: e.Service, Version: e.Version})
	case kernel.Stopping:
		return v.withTransfers(), nil
	case kernel.OriginAsked:
		return v.ask(now, member.Of(s), e)
	case kernel.FrameReceived:
		switch body := e.Frame.GetBody().(type) {
		case *wire.Frame_Began:
			return v.withRecord(body.Began), nil
		case *wire.Frame_Seek:
			r, known := v.get(body.Seek.GetRequest())
			found := &wire.Found{Ask: body.Seek.GetAsk(), Known: known, Service: r.service, Version: r.version}
			return v, []kernel.Effect{kernel.Send{To: e.From, Frame: &wire.Frame{Body: &wire.Frame_Found{Found: found}}}}
		case *wire.Frame_Found:
			if request, ok := strings.CutPrefix(body.Found.GetAsk(), saveAsk); ok {
				return v, []kernel.Effect{kernel.SaveOrigin{Request: request, Service: body.Found.GetService(), Version: body.Found.GetVersion()}}
			}
			if node, request, ok := parseTransferID(body.Found.GetAsk()); ok {
				return v.confirm(member.Of(s), node, request, body.Found.GetKnown()), nil
			}
			return v.answer(now, body.Found)
		}
	}
	return v, nil
}

// withRecord returns the view with the record of a stream, unless it has one.
func (v *View) withRecord(b *wire.Began) *View {
	if _, known := v.get(b.GetRequest()); known {
		return v
	}
	next, r := *v, record{service: b.GetService(), version: b.GetVersion()}
	next.recent = v.recent.Set(b.GetRequest(), r)
	return next.withTransfer(b.GetRequest(), r)
}

// tell returns the effects that tell the holders and the writer of a stream.
func tell(m *member.View, b *wire.Began) []kernel.Effect {
	effects := m.SendTo(owner.Top(b.GetRequest(), holders, m.Owners()), &wire.Frame{Body: &wire.Frame_Began{Began: b}})
	return append(effects, save(m, writers(m), b.GetRequest(), record{service: b.GetService(), version: b.GetVersion()}))
}

// begin records a stream of this node and tells its holders.
func (v *View) begin(now time.Time, m *member.View, b *wire.Began) (*View, []kernel.Effect) {
	next := *v.withRecord(b)
	if !v.joined(now) {
		next.early = append(slices.Clip(v.early), b)
	}
	return &next, tell(m, b)
}

// seek returns the effects that ask other nodes a question.
func seek(m *member.View, id, request string) []kernel.Effect {
	return m.SendTo(owner.Top(request, askedNodes, m.Owners()), &wire.Frame{Body: &wire.Frame_Seek{Seek: &wire.Seek{Ask: id, Request: request}}})
}

// ask answers a question from this node's own records, or asks other nodes.
func (v *View) ask(now time.Time, m *member.View, e kernel.OriginAsked) (*View, []kernel.Effect) {
	if r, known := v.get(e.Request); known {
		return v, []kernel.Effect{kernel.OriginFound{Ask: e.Ask, Known: true, Service: r.service, Version: r.version}}
	}
	effects, ttl := seek(m, e.Ask, e.Request), askTTL
	if !v.joined(now) {
		ttl = joinAskTTL
	} else if len(effects) == 0 {
		return v, []kernel.Effect{kernel.OriginFound{Ask: e.Ask}}
	}
	next := *v
	next.asks = kernel.CloneMap(v.asks)
	next.asks[e.Ask] = ask{request: e.Request, unanswered: len(effects), expiresAt: now.Add(ttl)}
	return &next, effects
}

// answer handles the answer of one node to a question. That no node knows the stream is
// final only if this node has joined.
func (v *View) answer(now time.Time, f *wire.Found) (*View, []kernel.Effect) {
	a, waiting := v.asks[f.GetAsk()]
	if !waiting {
		return v, nil
	}
	next := *v
	next.asks = kernel.CloneMap(v.asks)
	if a.unanswered--; !f.GetKnown() && (a.unanswered > 0 || !v.joined(now)) {
		next.asks[f.GetAsk()] = a
		return &next, nil
	}
	delete(next.asks, f.GetAsk())
	return &next, []kernel.Effect{kernel.OriginFound{Ask: f.GetAsk(), Known: f.GetKnown(), Service: f.GetService(), Version: f.GetVersion()}}
}

// tick drops the records that were learned more than two originTTLs ago and answers the
// questions whose time is over. Until the node has joined, it also tells and asks again
// when it has learned of other nodes.
func (v *View) tick(now time.Time, m *member.View) (*View, []kernel.Effect) {
	next := *v
	var effects []kernel.Effect
	if v.startedAt.IsZero() {
		next.startedAt = now
	}
	if now.Sub(v.rotatedAt) >= originTTL {
		next.recent, next.older, next.rotatedAt = newRecords(), v.recent, now
	}
	joined := next.joined(now)
	next.owners = len(m.Owners())
	if v.stopping && slices.Contains(m.Owners(), m.Self().GetId()) {
		next.owners--
	}
	again := !joined && next.owners != v.owners
	if again {
		for _, b := range v.early {
			effects = append(effects, tell(m, b)...)
		}
	}
	if joined {
		next.early = nil
	}
	if len(v.asks) > 0 {
		next.asks = maps.Clone(v.asks)
	}
	effects = append(effects, next.tellWriters(m)...)
	transfers, sends := next.sendTransfers(now, m)
	next.transfers, effects = transfers, append(effects, sends...)
	for _, id := range slices.Sorted(maps.Keys(v.asks)) {
		a := v.asks[id]
		switch {
		case !now.Before(a.expiresAt):
			delete(next.asks, id)
			effects = append(effects, kernel.OriginFound{Ask: id})
		case again:
			seeks := seek(m, id, a.request)
			a.unanswered += len(seeks)
			next.asks[id] = a
			effects = append(effects, seeks...)
		}
	}
	return &next, effects
}
