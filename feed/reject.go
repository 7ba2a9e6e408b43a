package feed

import (
	"fmt"
	"net/netip"

	"github.com/plantaindeck/plantaindeck/store"
	"github.com/plantaindeck/plantaindeck/trace"
)

// rejectedMetric counts the entries of the store that could not be used.
const rejectedMetric = "plantaindeck_entries_rejected_total"

// reject records and counts an entry of the store that cannot be used, unless this node has
// rejected it for the same reason before: its writer may write it again every second, and each
// list of the store shows it again. The endpoint is empty for other entries.
func (f *Feed) reject(key, endpoint string, err error) {
	reason := err.Error()
	if last, ok := f.rejected[key]; ok && last == reason {
		return
	}
	f.rejected[key] = reason
	f.cfg.Daemon.Metrics().GetOrCreateCounter(rejectedMetric).Inc()
	f.cfg.Daemon.Record(trace.Entry{Kind: "entry-unreadable", Endpoint: endpoint, Detail: reason})
}

// forgetRejected forgets the rejected entries that are not among the entries of a list.
func (f *Feed) forgetRejected(entries []store.Entry) {
	present := make(map[string]bool, len(f.rejected))
	for _, e := range entries {
		if _, ok := f.rejected[e.Key]; ok {
			present[e.Key] = true
		}
	}
	for key := range f.rejected {
		if !present[key] {
			delete(f.rejected, key)
		}
	}
}

// NodeRecordError says that the record of a node in the store cannot be used.
type NodeRecordError struct {
	Key  string
	Peer string // address that the record states
}

// Error implements error.
func (e *NodeRecordError) Error() string {
	return fmt.Sprintf("%.100s: peer %.100q is not the IP address and port in the key", e.Key, e.Peer)
}

// check returns a *NodeRecordError if the record, which is stored under key, names no node.
func (r nodeRecord) check(key string) error {
	if _, err := netip.ParseAddrPort(r.Peer); err != nil || key != nodePrefix+r.Peer {
		return &NodeRecordError{Key: key, Peer: r.Peer}
	}
	return nil
}
