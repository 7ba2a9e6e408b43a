package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/queue"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	maxSentWaiting     = 8                      // requests that a node tells its load group of
	minSentWaiting     = 2                      // of a large group
	groupSentWaiting   = 32                     // requests that all nodes of a group together tell each other of
	waitingInterval    = 200 * time.Millisecond // between two messages with waiting requests, less than half of queue.MaxAge, so that the loss of one message does no harm
	minWaitingInterval = 40 * time.Millisecond  // also if requests begin or cease to wait
)

// waitingList holds the first of a node's requests that wait for room, in their order.
// Load pattern: places that one node frees are seen by all nodes of its load group, whose
// waiting requests must take them in one order.
type waitingList struct {
	list  []waitingRequest
	total int // requests that wait, with those that are not in the list
}

// waitingRequest is a request that waits for room at a node.
type waitingRequest struct {
	queue.Request
	service   string
	workspace string
}

// EncodeWaiting returns the message about a request that waits at the time now.
func EncodeWaiting(now time.Time, service, workspace string, r queue.Request) *wire.Waiting {
	return &wire.Waiting{
		Service:   service,
		Priority:  uint32(max(r.Priority, 0)),
		Start:     int32(r.Start.Sub(now).Milliseconds()),
		Tokens:    uint32(max(r.Tokens, 0)),
		Prompt:    uint32(max(r.Prompt, 0)),
		Share:     uint32(max(r.Share, 0)),
		Age:       uint32(max(now.Sub(r.Arrived).Milliseconds(), 0)),
		Workspace: workspace,
	}
}

// decodeWaiting decodes the waiting requests in a message from a node that arrived at the
// time now. A single entry without a service says that nothing waits. The objective is not
// in the message; it is taken as the time from the arrival to the latest start, which
// differs by the expected prefill.
func decodeWaiting(now time.Time, from string, list []*wire.Waiting, total uint32) waitingList {
	var w waitingList
	for i, m := range list {
		if m.GetService() == "" {
			continue
		}
		r := queue.Request{
			ID:       fmt.Sprintf("%s/%d", from, i),
			Priority: int(m.GetPriority()),
			Arrived:  now.Add(-time.Duration(m.GetAge()) * time.Millisecond),
			Start:    now.Add(time.Duration(m.GetStart()) * time.Millisecond),
			Share:    int(m.GetShare()),
			Tokens:   int(m.GetTokens()),
			Prompt:   int(m.GetPrompt()),
			SeenAt:   now,
		}
		r.Objective = max(r.Start.Sub(r.Arrived), time.Millisecond)
		w.list = append(w.list, waitingRequest{Request: r, service: m.GetService(), workspace: m.GetWorkspace()})
	}
	w.total = max(int(total), len(w.list))
	return w
}

// waitingIsDue reports whether the load group is to be told of this node's waiting
// requests: at intervals while some wait, and when the first begins or the last ceases to.
func (v *View) waitingIsDue(now time.Time) bool {
	waits := v.localWaiting.total > 0
	switch age := now.Sub(v.waitingSentAt); {
	case age >= waitingInterval:
		return waits || v.waitingSent
	case age >= minWaitingInterval:
		return waits != v.waitingSent
	}
	return false
}

// addWaiting adds this node's waiting requests to a message for its load group, if that is
// due. In a larger group a node tells of fewer, so that the cost for a node is bounded;
// the places that are free at a time are few.
func (v *View) addWaiting(now time.Time, u *wire.Usage) {
	if !v.waitingIsDue(now) {
		return
	}
	n := min(max(groupSentWaiting/max(len(v.group.nodes), 1), minSentWaiting), maxSentWaiting)
	for _, w := range v.localWaiting.list[:min(n, len(v.localWaiting.list))] {
		u.Waiting = append(u.Waiting, EncodeWaiting(now, w.service, w.workspace, w.Request))
	}
	if u.Queued = uint32(v.localWaiting.total); u.Queued == 0 {
		u.Waiting = []*wire.Waiting{{}}
	}
	v.waitingSentAt, v.waitingSent = now, v.localWaiting.total > 0
}

// GroupWaiting returns the requests for a service that wait at the other nodes of the load
// group, as far as they have told, and an estimate of the number of further ones.
func (v *View) GroupWaiting(now time.Time, service string) (list []queue.Request, more int) {
	for _, p := range v.peers {
		if len(p.waiting.list) == 0 || now.Sub(p.waiting.list[0].SeenAt) > queue.MaxAge {
			continue
		}
		listed := 0
		for _, w := range p.waiting.list {
			if w.service == service {
				list = append(list, w.Request)
				listed++
			}
		}
		more += (p.waiting.total - len(p.waiting.list)) * listed / len(p.waiting.list)
	}
	return list, more
}

// GroupFreed returns the load that the other nodes of the load group have freed on a
// service's endpoints that stay.
func (v *View) GroupFreed(service string) queue.Flow { return v.freed[service] }

// addFreed adds to the flows what a node of the load group has freed between two messages
// about its usage.
func (v *View) addFreed(now time.Time, from string, old, uses map[string]EndpointUsage) {
	if !slices.Contains(v.group.nodes, from) {
		return
	}
	freed := map[string]queue.Load{}
	for id, before := range old {
		after := uses[id]
		e, known := v.Endpoint(id)
		if after.Requests >= before.Requests || !known || e.Leaving {
			continue
		}
		l := freed[e.Service]
		l.Requests += float64(before.Requests - after.Requests)
		l.Tokens += float64(max(before.Tokens-after.Tokens, 0))
		freed[e.Service] = l
	}
	if len(freed) == 0 {
		return
	}
	v.freed = kernel.CloneMap(v.freed)
	for service, l := range freed {
		v.freed[service] = v.freed[service].Add(now, l)
	}
}
