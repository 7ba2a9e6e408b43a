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
//   - Each OriginAsked leads to at most one OriginFound. The asker sets the time limit.
package origin

import (
	"maps"
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/owner"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	originTTL  = time.Minute // for which a record is kept at least; streams last up to two thirds of it
	askTTL     = time.Second // for which the answers to a question are awaited
	holders    = 3           // nodes that are told of a stream
	askedNodes = 2 * holders // nodes that are asked, as the members may have changed meanwhile
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
	unanswered int // nodes that have not answered
	expiresAt  time.Time
}

// View is the state of the plug-in: the records that this node holds and its unanswered
// questions. It is immutable.
type View struct {
	recent    *records       // learned since rotatedAt
	older     *records       // learned in the originTTL before
	rotatedAt time.Time      // when recent became older
	asks      map[string]ask // by id
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
		return v.expire(now), nil
	case kernel.StreamBegan:
		began := &wire.Began{Request: e.Request, Service: e.Service, Version: e.Version}
		return v.withRecord(began), sendTo(member.Of(s), owner.Top(e.Request, holders, member.Of(s).Owners()), &wire.Frame{Body: &wire.Frame_Began{Began: began}})
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
			return v.answer(body.Found)
		}
	}
	return v, nil
}

// sendTo sends a frame to each of the nodes except this one.
func sendTo(m *member.View, nodes []string, f *wire.Frame) []kernel.Effect {
	var effects []kernel.Effect
	for _, id := range nodes {
		if id != m.Self().GetId() {
			effects = append(effects, kernel.Send{To: id, Frame: f})
		}
	}
	return effects
}

// withRecord returns the view with the record of a stream, unless it has one.
func (v *View) withRecord(b *wire.Began) *View {
	if _, known := v.get(b.GetRequest()); known {
		return v
	}
	next := *v
	next.recent = v.recent.Set(b.GetRequest(), record{service: b.GetService(), version: b.GetVersion()})
	return &next
}

// ask answers a question from this node's own records, or asks other nodes.
func (v *View) ask(now time.Time, m *member.View, e kernel.OriginAsked) (*View, []kernel.Effect) {
	if r, known := v.get(e.Request); known {
		return v, []kernel.Effect{kernel.OriginFound{Ask: e.Ask, Known: true, Service: r.service, Version: r.version}}
	}
	seek := &wire.Seek{Ask: e.Ask, Request: e.Request}
	effects := sendTo(m, owner.Top(e.Request, askedNodes, m.Owners()), &wire.Frame{Body: &wire.Frame_Seek{Seek: seek}})
	if len(effects) == 0 {
		return v, []kernel.Effect{kernel.OriginFound{Ask: e.Ask}}
	}
	next := *v
	next.asks = kernel.CloneMap(v.asks)
	next.asks[e.Ask] = ask{unanswered: len(effects), expiresAt: now.Add(askTTL)}
	return &next, effects
}

// answer handles the answer of one node to a question.
func (v *View) answer(f *wire.Found) (*View, []kernel.Effect) {
	a, waiting := v.asks[f.GetAsk()]
	if !waiting {
		return v, nil
	}
	next := *v
	next.asks = kernel.CloneMap(v.asks)
	if a.unanswered--; !f.GetKnown() && a.unanswered > 0 {
		next.asks[f.GetAsk()] = a
		return &next, nil
	}
	delete(next.asks, f.GetAsk())
	return &next, []kernel.Effect{kernel.OriginFound{Ask: f.GetAsk(), Known: f.GetKnown(), Service: f.GetService(), Version: f.GetVersion()}}
}

// expire drops the records that were learned more than two originTTLs ago, and the
// questions whose time is over.
func (v *View) expire(now time.Time) *View {
	next := *v
	if now.Sub(v.rotatedAt) >= originTTL {
		next.recent, next.older, next.rotatedAt = newRecords(), v.recent, now
	}
	for id, a := range v.asks {
		if !now.Before(a.expiresAt) {
			next.asks = maps.Clone(next.asks)
			delete(next.asks, id)
		}
	}
	return &next
}
