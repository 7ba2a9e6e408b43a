package origin

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/owner"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	transferBatch = 50                     // records that a stopping node sends in one tick
	transferRetry = 400 * time.Millisecond // after which an unconfirmed record is sent again
	transferAsk   = "transfer "            // before the node and the request in the id of a question that confirms a record
)

// transfer is a record that a stopping node hands to the nodes that are its holders without it.
type transfer struct {
	record    record
	confirmed []string  // nodes that have said that they hold it
	sentAt    time.Time // zero before it is sent
}

// transferID returns the id of the question by which a node confirms that it holds a record.
func transferID(node, request string) string { return transferAsk + node + " " + request }

// parseTransferID is the inverse of transferID. It reports false for another question.
func parseTransferID(id string) (node, request string, ok bool) {
	text, ok := strings.CutPrefix(id, transferAsk)
	if !ok {
		return "", "", false
	}
	return strings.Cut(text, " ")
}

// HandedOver reports whether other nodes have confirmed all records that this node holds, or there
// is none that could. Only a stopping node hands records over.
func (v *View) HandedOver() bool { return v.stopping && len(v.transfers) == 0 || v.owners == 0 }

// Transfers returns the number of records that a stopping node has not handed over yet.
func (v *View) Transfers() int { return len(v.transfers) }

// withTransfers returns the view of a node that begins to stop: it hands over all its records.
// Load pattern: in a planned update all nodes are restarted, in turn or several at a time, within the
// time that a stream takes, so that after it no node would know the streams from before.
func (v *View) withTransfers() *View {
	if v.stopping {
		return v
	}
	next := *v
	next.stopping = true
	next.transfers = map[string]transfer{}
	for _, held := range []*records{v.older, v.recent} {
		for it := held.Iterator(); !it.Done(); {
			request, r, _ := it.Next()
			next.transfers[request] = transfer{record: r}
		}
	}
	return &next
}

// withTransfer returns the view with one more record to hand over, if this node is stopping.
func (v *View) withTransfer(request string, r record) *View {
	if _, known := v.transfers[request]; known || !v.stopping {
		return v
	}
	next := *v
	next.transfers = kernel.CloneMap(v.transfers)
	next.transfers[request] = transfer{record: r}
	return &next
}

// confirm handles the answer of a node that says whether it holds a record. One that does not is
// sent the record again after transferRetry.
func (v *View) confirm(m *member.View, node, request string, known bool) *View {
	t, ok := v.transfers[request]
	if !ok || !known || slices.Contains(t.confirmed, node) {
		return v
	}
	next := *v
	next.transfers = kernel.CloneMap(v.transfers)
	t.confirmed = append(slices.Clip(t.confirmed), node)
	if len(t.missing(m, request)) == 0 {
		delete(next.transfers, request)
	} else {
		next.transfers[request] = t
	}
	return &next
}

// missing returns the holders of a stream, among the other nodes, that have not confirmed its record.
func (t transfer) missing(m *member.View, request string) []string {
	others := slices.DeleteFunc(slices.Clone(m.Owners()), func(id string) bool { return id == m.Self().GetId() })
	return slices.DeleteFunc(owner.Top(request, holders, others), func(id string) bool { return slices.Contains(t.confirmed, id) })
}

// sendTransfers returns the effects that hand over the records which have not been sent or
// confirmed for a time, at most transferBatch of them. Each one is followed by a question, whose
// answer confirms it.
func (v *View) sendTransfers(now time.Time, m *member.View) (map[string]transfer, []kernel.Effect) {
	if len(v.transfers) == 0 || v.owners == 0 {
		return v.transfers, nil
	}
	next := kernel.CloneMap(v.transfers)
	var effects []kernel.Effect
	sent := 0
	// Those that have waited longest come first: one holder without answers may leave many unconfirmed.
	order := slices.SortedFunc(maps.Keys(v.transfers), func(a, b string) int {
		return cmp.Or(next[a].sentAt.Compare(next[b].sentAt), cmp.Compare(a, b))
	})
	for _, request := range order {
		t := next[request]
		if !t.sentAt.IsZero() && now.Sub(t.sentAt) < transferRetry {
			continue
		}
		if sent++; sent > transferBatch {
			break
		}
		t.sentAt = now
		next[request] = t
		missing := t.missing(m, request)
		if len(missing) == 0 {
			delete(next, request)
		}
		began := &wire.Frame{Body: &wire.Frame_Began{Began: &wire.Began{Request: request, Service: t.record.service, Version: t.record.version}}}
		for _, node := range missing {
			seek := &wire.Seek{Ask: transferID(node, request), Request: request}
			effects = append(effects, kernel.Send{To: node, Frame: began}, kernel.Send{To: node, Frame: &wire.Frame{Body: &wire.Frame_Seek{Seek: seek}}})
		}
	}
	return next, effects
}
