// Package route obtains a grant on an endpoint for each request that arrives at
// this node.
//
// The node asks the owner of a shard of the service, which queues the request
// and grants it a slot on an endpoint. The node then sends the request to the
// endpoint itself, so that tokens do not pass through the owner, and reports the
// progress of its running requests to the owner once a second.
//
// Invariants:
//   - A request uses at most one grant at a time. A second grant, which a
//     second owner may send, is released unused.
//   - Until a Grant has been emitted for a request, nothing of it has been sent
//     to an endpoint, so a rejected request has never run.
//   - When an owner is lost, this node sends the Asks of its pending requests
//     to another one, and describes its running requests to the new owner in
//     full.
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
	acceptTimeout    = 300 * time.Millisecond // time without an Accept after which the standby is asked if the owner was asked last, and the owner otherwise
	askInterval      = 2 * time.Second        // between two Asks for a queued request
	progressInterval = time.Second            // between two progress reports
)

var handle kernel.Handle[*RequestTable]

func init() {
	handle = kernel.Register(kernel.Plugin[*RequestTable]{
		Name: "route",
		Rank: 30,
		Init: newRequestTable,
		Step: step,
	})
}

// Of returns the request table in s.
func Of(s kernel.State) *RequestTable {
	return handle.Of(s)
}

// RequestTable holds the requests that arrived at this node. It is immutable.
type RequestTable struct {
	pending    *immutable.Map[string, pendingRequest] // by request
	running    *immutable.Map[string, runningRequest] // by request
	lastReport time.Time                              // last progress report
	owners     []string                               // nodes that could own a shard at the last report
	stopping   bool
}

// pendingRequest is a request without a grant.
type pendingRequest struct {
	ask       *wire.Ask
	askedNode string // node that was asked last: the owner of the shard or its standby
	lastAsk   time.Time
	accepted  bool      // askedNode has queued the request
	deadline  time.Time // the request is rejected if it has no grant by then
}

// runningRequest is a request with a grant.
type runningRequest struct {
	ask      *wire.Ask
	owner    string // node that knows the grant by its number; empty if none does
	number   uint64 // of the grant
	epoch    uint64 // incarnation of the owner within which the number is unique
	endpoint string
	tokens   int // output tokens so far
}

func newRequestTable(kernel.Config) *RequestTable {
	return &RequestTable{
		pending: immutable.NewMap[string, pendingRequest](nil),
		running: immutable.NewMap[string, runningRequest](nil),
	}
}

// Pending returns the number of requests without a grant.
func (t *RequestTable) Pending() int {
	return t.pending.Len()
}

// Running returns the number of requests with a grant.
func (t *RequestTable) Running() int {
	return t.running.Len()
}

// Stopping reports whether this node has been asked to stop. A stopping node is
// no longer in the address list that callers get.
func (t *RequestTable) Stopping() bool {
	return t.stopping
}

func (t *RequestTable) withPending(id string, p pendingRequest) *RequestTable {
	next := *t
	next.pending = t.pending.Set(id, p)
	return &next
}

func (t *RequestTable) withoutPending(id string) *RequestTable {
	next := *t
	next.pending = t.pending.Delete(id)
	return &next
}

func (t *RequestTable) withRunning(id string, r runningRequest) *RequestTable {
	next := *t
	next.running = t.running.Set(id, r)
	return &next
}

func (t *RequestTable) withoutRunning(id string) *RequestTable {
	next := *t
	next.running = t.running.Delete(id)
	return &next
}

func step(now time.Time, s kernel.State, e kernel.Event) (*RequestTable, []kernel.Effect) {
	t := Of(s)
	switch e := e.(type) {
	case kernel.RequestArrived:
		return t.addRequest(now, s, e.Request)
	case kernel.RequestAbandoned:
		return t.abandonRequest(s, e.Request)
	case kernel.RequestProgressed:
		return t.recordProgress(e)
	case kernel.RequestEnded:
		return t.endRequest(s, e)
	case kernel.Tick:
		return t.handleTick(now, s)
	case kernel.PeerLost:
		return t.handlePeerLost(now, s, e.Peer)
	case kernel.FrameReceived:
		return t.handleFrame(s, e)
	case kernel.Stopping:
		next := *t
		next.stopping = true
		return &next, nil
	}
	return t, nil
}

// sendEffect returns the effect that delivers a message to a node, which may be
// this node.
func sendEffect(s kernel.State, to string, f *wire.Frame) kernel.Effect {
	self := s.Config.Self.GetId()
	if to == self {
		return kernel.Raise{Event: kernel.FrameReceived{From: self, Frame: f}}
	}
	return kernel.Send{To: to, Frame: f}
}

func (t *RequestTable) addRequest(now time.Time, s kernel.State, r kernel.Request) (*RequestTable, []kernel.Effect) {
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
		Prompt:    uint32(r.PromptTokens),
		Limit:     uint32(r.MaxOutputTokens),
		Prefix:    r.PrefixHash,
		Shard:     uint32(pickShard(svc, r, s.Config.Self.GetCentre())),
		Avoid:     r.Avoid,
	}
	first, _ := owner.Pick(shard.Key(ask.GetService(), int(ask.GetShard())), member.Of(s).Owners())
	p := pendingRequest{ask: ask, askedNode: first, lastAsk: now, deadline: r.Deadline}
	record := kernel.Record{Kind: "ask", Request: r.ID, Workspace: r.Workspace, Detail: "owner " + first}
	return t.withPending(r.ID, p), []kernel.Effect{record, askEffect(now, s, p)}
}

// pickShard returns the index of the shard for a request. It picks by the hash
// of the prompt's prefix, or by the request id if there is no prefix, among the
// shards that have endpoints in this data centre, or among all if none has.
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
		if shard.HasEndpointIn(svc, i, centre) {
			local = append(local, key)
		}
	}
	choices := all
	if len(local) > 0 {
		choices = local
	}
	key := r.ID
	if r.PrefixHash != 0 {
		key = string(binaryKey(r.PrefixHash))
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

func askEffect(now time.Time, s kernel.State, p pendingRequest) kernel.Effect {
	ask := copyAsk(p.ask)
	ask.Wait = int64(p.deadline.Sub(now))
	return sendEffect(s, p.askedNode, &wire.Frame{Body: &wire.Frame_Ask{Ask: ask}})
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

func (t *RequestTable) abandonRequest(s kernel.State, id string) (*RequestTable, []kernel.Effect) {
	if p, ok := t.pending.Get(id); ok {
		return t.withoutPending(id), []kernel.Effect{withdrawEffect(s, p)}
	}
	if _, ok := t.running.Get(id); ok {
		return t.endRequest(s, kernel.RequestEnded{Request: id})
	}
	return t, nil
}

func withdrawEffect(s kernel.State, p pendingRequest) kernel.Effect {
	w := &wire.Withdraw{Request: p.ask.GetRequest(), Service: p.ask.GetService(), Shard: p.ask.GetShard()}
	return sendEffect(s, p.askedNode, &wire.Frame{Body: &wire.Frame_Withdraw{Withdraw: w}})
}

func (t *RequestTable) recordProgress(e kernel.RequestProgressed) (*RequestTable, []kernel.Effect) {
	r, ok := t.running.Get(e.Request)
	if !ok {
		return t, nil
	}
	r.tokens = e.Tokens
	return t.withRunning(e.Request, r), nil
}

func (t *RequestTable) endRequest(s kernel.State, e kernel.RequestEnded) (*RequestTable, []kernel.Effect) {
	r, ok := t.running.Get(e.Request)
	if !ok {
		return t, nil
	}
	rel := newRelease(r.ask)
	rel.Tokens = uint32(e.Tokens)
	rel.Failed = e.Failed
	rel.Leaving = e.Leaving
	record := kernel.Record{Kind: "release", Request: e.Request, Workspace: r.ask.GetWorkspace(), Endpoint: r.endpoint}
	to := r.owner
	if to == "" {
		to = currentOwner(s, r.ask)
	}
	return t.withoutRunning(e.Request), []kernel.Effect{record, releaseEffect(s, to, rel)}
}

func newRelease(a *wire.Ask) *wire.Release {
	return &wire.Release{Request: a.GetRequest(), Service: a.GetService(), Shard: a.GetShard()}
}

func releaseEffect(s kernel.State, to string, rel *wire.Release) kernel.Effect {
	return sendEffect(s, to, &wire.Frame{Body: &wire.Frame_Release{Release: rel}})
}
