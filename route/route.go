// Package route gets a place on an endpoint for each request that arrives at
// this node.
//
// The node asks the owner of a shard of the service, which queues the request
// and grants a place. The node then sends the request to the endpoint itself,
// so that tokens never cross the owner, and reports the progress of its
// running requests to the owner once a second.
//
// Invariants:
//   - A request has at most one place at a time. A second grant, which a
//     second owner may give, is released unused.
//   - Until Place has been emitted for a request, nothing of it has been sent
//     to an endpoint, so that Reject is always true.
//   - An owner that is lost is replaced: pending requests are asked for again,
//     and running ones are described to the new owner in full.
package route

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/owner"
	"github.com/plantaindeck/plantaindeck/policy"
	"github.com/plantaindeck/plantaindeck/shard"
	"github.com/plantaindeck/plantaindeck/spec"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	acceptTimeout  = 300 * time.Millisecond // without an Accept, ask the standby
	repeatPeriod   = 2 * time.Second        // a queued request is asked for again
	progressPeriod = time.Second
)

var handle kernel.Handle[*Table]

func init() {
	handle = kernel.Register(kernel.Plugin[*Table]{
		Name: "route",
		Rank: 30,
		Init: newTable,
		Step: step,
	})
}

// Of returns the requests of this node in s.
func Of(s kernel.State) *Table {
	return handle.Of(s)
}

// Table holds the requests that arrived at this node. It is immutable.
type Table struct {
	pending  *immutable.Map[string, pending]
	running  *immutable.Map[string, running]
	reported time.Time
	owners   []string // members that could own something at the last report
	stopping bool
}

// pending is a request without a place.
type pending struct {
	ask      *wire.Ask
	owner    string
	asked    time.Time
	accepted bool
	deadline time.Time
}

// running is a request with a place.
type running struct {
	ask      *wire.Ask
	owner    string // the owner that knows of it; empty for none
	number   uint64 // of the grant
	epoch    uint64 // of the owner
	endpoint string
	tokens   int
}

func newTable(kernel.Config) *Table {
	return &Table{
		pending: immutable.NewMap[string, pending](nil),
		running: immutable.NewMap[string, running](nil),
	}
}

// Pending returns the number of requests without a place.
func (t *Table) Pending() int {
	return t.pending.Len()
}

// Running returns the number of requests with a place.
func (t *Table) Running() int {
	return t.running.Len()
}

// Stopping reports whether the node takes no new requests from the address
// list.
func (t *Table) Stopping() bool {
	return t.stopping
}

func (t *Table) withPending(id string, p pending) *Table {
	next := *t
	next.pending = t.pending.Set(id, p)
	return &next
}

func (t *Table) withoutPending(id string) *Table {
	next := *t
	next.pending = t.pending.Delete(id)
	return &next
}

func (t *Table) withRunning(id string, r running) *Table {
	next := *t
	next.running = t.running.Set(id, r)
	return &next
}

func (t *Table) withoutRunning(id string) *Table {
	next := *t
	next.running = t.running.Delete(id)
	return &next
}

func step(now time.Time, s kernel.State, e kernel.Event) (*Table, []kernel.Effect) {
	t := Of(s)
	switch e := e.(type) {
	case kernel.Arrived:
		return t.arrived(now, s, e.Request)
	case kernel.Abandoned:
		return t.abandoned(s, e.Request)
	case kernel.Moved:
		return t.moved(e)
	case kernel.Ended:
		return t.ended(s, e)
	case kernel.Tick:
		return t.tick(now, s)
	case kernel.PeerLost:
		return t.lost(now, s, e.Peer)
	case kernel.Received:
		return t.received(s, e)
	case kernel.Stopping:
		next := *t
		next.stopping = true
		return &next, nil
	}
	return t, nil
}

// Returns the effect that takes a message to a node, this one included.
func send(s kernel.State, to string, f *wire.Frame) kernel.Effect {
	self := s.Config.Self.GetId()
	if to == self {
		return kernel.Raise{Event: kernel.Received{From: self, Frame: f}}
	}
	return kernel.Send{To: to, Frame: f}
}

func (t *Table) arrived(now time.Time, s kernel.State, r kernel.Request) (*Table, []kernel.Effect) {
	svc, _, ok := policy.Of(s).Service(r.Service)
	if !ok || len(svc.Endpoints) == 0 {
		return t, []kernel.Effect{kernel.Reject{Request: r.ID, Reason: kernel.ReasonNoService}}
	}
	ask := &wire.Ask{
		Request:   r.ID,
		Service:   r.Service,
		Workspace: r.Workspace,
		Caller:    r.Caller,
		Class:     r.Class,
		Model:     r.Model,
		Prompt:    uint32(r.Prompt),
		Limit:     uint32(r.Limit),
		Prefix:    r.Prefix,
		Shard:     uint32(pickShard(svc, r, s.Config.Self.GetCentre())),
		Avoid:     r.Avoid,
	}
	first, _ := owner.Pick(shard.Key(ask.GetService(), int(ask.GetShard())), member.Of(s).Owners())
	p := pending{ask: ask, owner: first, asked: now, deadline: r.Deadline}
	record := kernel.Record{Kind: "ask", Request: r.ID, Workspace: r.Workspace, Detail: "owner " + first}
	return t.withPending(r.ID, p), []kernel.Effect{record, askOwner(now, s, p)}
}

// Picks a shard by the prompt's prefix, or else by the request, among those in
// this data centre if there are any.
func pickShard(svc *spec.Service, r kernel.Request, centre string) int {
	n := shard.Count(svc)
	if n == 1 {
		return 0
	}
	all := make([]string, 0, n)
	local := make([]string, 0, n)
	for i := range n {
		key := shard.Key(svc.Name, i)
		all = append(all, key)
		if shard.Local(svc, i, centre) {
			local = append(local, key)
		}
	}
	choices := all
	if len(local) > 0 {
		choices = local
	}
	key := r.ID
	if r.Prefix != 0 {
		key = string(binaryKey(r.Prefix))
	}
	first, _ := owner.Pick(key, choices)
	return slices.Index(all, first)
}

func binaryKey(n uint64) []byte {
	var b [8]byte
	for i := range b {
		b[i] = byte(n >> (8 * i))
	}
	return b[:]
}

func askOwner(now time.Time, s kernel.State, p pending) kernel.Effect {
	ask := copyAsk(p.ask)
	ask.Wait = int64(p.deadline.Sub(now))
	return send(s, p.owner, &wire.Frame{Body: &wire.Frame_Ask{Ask: ask}})
}

func copyAsk(a *wire.Ask) *wire.Ask {
	return &wire.Ask{
		Request:   a.GetRequest(),
		Service:   a.GetService(),
		Workspace: a.GetWorkspace(),
		Caller:    a.GetCaller(),
		Class:     a.GetClass(),
		Model:     a.GetModel(),
		Prompt:    a.GetPrompt(),
		Limit:     a.GetLimit(),
		Prefix:    a.GetPrefix(),
		Shard:     a.GetShard(),
		Avoid:     a.GetAvoid(),
	}
}

func (t *Table) abandoned(s kernel.State, id string) (*Table, []kernel.Effect) {
	if p, ok := t.pending.Get(id); ok {
		return t.withoutPending(id), []kernel.Effect{withdraw(s, p)}
	}
	if _, ok := t.running.Get(id); ok {
		return t.ended(s, kernel.Ended{Request: id})
	}
	return t, nil
}

func withdraw(s kernel.State, p pending) kernel.Effect {
	w := &wire.Withdraw{Request: p.ask.GetRequest(), Service: p.ask.GetService(), Shard: p.ask.GetShard()}
	return send(s, p.owner, &wire.Frame{Body: &wire.Frame_Withdraw{Withdraw: w}})
}

func (t *Table) moved(e kernel.Moved) (*Table, []kernel.Effect) {
	r, ok := t.running.Get(e.Request)
	if !ok {
		return t, nil
	}
	r.tokens = e.Tokens
	return t.withRunning(e.Request, r), nil
}

func (t *Table) ended(s kernel.State, e kernel.Ended) (*Table, []kernel.Effect) {
	r, ok := t.running.Get(e.Request)
	if !ok {
		return t, nil
	}
	rel := release(r.ask)
	rel.Tokens = uint32(e.Tokens)
	rel.Failed = e.Failed
	rel.Leaving = e.Leaving
	record := kernel.Record{Kind: "release", Request: e.Request, Workspace: r.ask.GetWorkspace(), Endpoint: r.endpoint}
	to := r.owner
	if to == "" {
		to = presentOwner(s, r.ask)
	}
	return t.withoutRunning(e.Request), []kernel.Effect{record, sendRelease(s, to, rel)}
}

func release(a *wire.Ask) *wire.Release {
	return &wire.Release{Request: a.GetRequest(), Service: a.GetService(), Shard: a.GetShard()}
}

func sendRelease(s kernel.State, to string, rel *wire.Release) kernel.Effect {
	return send(s, to, &wire.Frame{Body: &wire.Frame_Release{Release: rel}})
}
