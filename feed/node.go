package feed

import (
	"context"
	"encoding/json"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/store"
	"github.com/plantaindeck/plantaindeck/trace"
	"github.com/plantaindeck/plantaindeck/wait"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	nodePrefix         = "plantaindeck/nodes/"
	leaseSeconds       = 15 // of the node's own record; long, as the other nodes detect its failure without the record
	leaseRenewInterval = 5 * time.Second
	maxRenewBackoff    = 3 * time.Second // between failed renewals, so that three of them fit within the lease
	revokeLeaseTimeout = time.Second
)

// nodeRecord is the record of a node in the store.
type nodeRecord struct {
	Peer   string `json:"peer"`
	Front  string `json:"front"`
	Centre string `json:"centre"`
}

// updateNode updates nodesByKey from an entry of the store.
func (f *Feed) updateNode(e store.Entry) {
	if e.Deleted {
		delete(f.nodesByKey, e.Key)
		return
	}
	var record nodeRecord
	if err := json.Unmarshal(e.Value, &record); err != nil {
		f.cfg.Daemon.Record(trace.Entry{Kind: "entry-unreadable", Detail: e.Key + ": " + err.Error()})
		return
	}
	f.nodesByKey[e.Key] = &wire.Member{Id: record.Peer, Front: record.Front, Centre: record.Centre}
}

// postNodes posts the other nodes in the store, and the seeds, to the kernel.
func (f *Feed) postNodes(ctx context.Context) {
	var listed kernel.HostsListed
	for _, m := range f.nodesByKey {
		if m.GetId() != f.cfg.Self.GetId() {
			listed.Nodes = append(listed.Nodes, m)
		}
	}
	for _, id := range f.cfg.Seeds {
		listed.Nodes = append(listed.Nodes, &wire.Member{Id: id})
	}
	f.cfg.Daemon.Post(ctx, listed)
}

// Register keeps this node's own record in the store until ctx ends, and then
// removes it.
func (f *Feed) Register(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		f.register(ctx)
		done <- nil
	}()
	return done
}

func (f *Feed) register(ctx context.Context) {
	var lease int64
	backoff := minRetryBackoff
	for ctx.Err() == nil {
		held, err := f.renew(ctx, lease)
		lease = held
		delay := leaseRenewInterval
		if err != nil {
			f.cfg.Daemon.Record(trace.Entry{Kind: "register-failed", Detail: err.Error()})
			delay = backoff
			maxBackoff := maxRetryBackoff
			if lease != 0 {
				maxBackoff = maxRenewBackoff
			}
			backoff = min(2*backoff, maxBackoff)
		} else {
			backoff = minRetryBackoff
		}
		wait.For(ctx, delay)
	}
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeLeaseTimeout)
	defer cancel()
	if err := f.cfg.Store.RevokeLease(ctx, lease); err != nil {
		f.cfg.Daemon.Record(trace.Entry{Kind: "register-failed", Detail: err.Error()})
	}
}

// renew renews the lease of this node's record, or writes the record under a new
// lease if there is none or it has expired. It returns the lease of the record,
// or 0 if there is none.
func (f *Feed) renew(ctx context.Context, lease int64) (int64, error) {
	if lease != 0 {
		held, err := f.cfg.Store.RenewLease(ctx, lease)
		if held || err != nil {
			return lease, err
		}
	}
	lease, err := f.cfg.Store.GrantLease(ctx, leaseSeconds)
	if err != nil {
		return 0, err
	}
	self := f.cfg.Self
	value, err := json.Marshal(nodeRecord{Peer: self.GetId(), Front: self.GetFront(), Centre: self.GetCentre()})
	if err != nil {
		return 0, err
	}
	if _, err := f.cfg.Store.Commit(ctx, nil, []store.Write{{Key: nodePrefix + self.GetId(), Value: value, Lease: lease}}); err != nil {
		return 0, err
	}
	return lease, nil
}
