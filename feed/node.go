package feed

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/store"
	"github.com/plantaindeck/plantaindeck/trace"
	"github.com/plantaindeck/plantaindeck/wait"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	nodePrefix          = "plantaindeck/nodes/"
	leaseSeconds        = 15 // of the node's own record; long, as the other nodes detect its failure without the record
	leaseRenewInterval  = 5 * time.Second
	maxRenewBackoff     = 3 * time.Second        // between failed renewals, so that three of them fit within the lease
	eraCheckInterval    = 500 * time.Millisecond // between checks of whether the store has been restored
	registerSpread      = time.Second            // longest delay after a restoration of the store, in which all nodes write their records again
	removeRecordTimeout = time.Second
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
		delete(f.rejected, e.Key)
		return
	}
	var record nodeRecord
	err := errors.Wrap(json.Unmarshal(e.Value, &record), e.Key)
	if err == nil {
		err = record.check(e.Key)
	}
	if err != nil {
		f.reject(e.Key, "", err)
		return
	}
	delete(f.rejected, e.Key)
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
	var r registration
	backoff := minRetryBackoff
	for ctx.Err() == nil {
		next, err := f.renew(ctx, r)
		r = next
		until := time.Now().Add(leaseRenewInterval)
		if err != nil {
			f.cfg.Daemon.Record(trace.Entry{Kind: "register-failed", Detail: err.Error()})
			until = time.Now().Add(backoff)
			maxBackoff := maxRetryBackoff
			if r.lease != 0 {
				maxBackoff = maxRenewBackoff
			}
			backoff = min(2*backoff, maxBackoff)
		} else {
			backoff = minRetryBackoff
		}
		f.waitForRenewal(ctx, until, r)
	}
	if !f.recordWritten {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), removeRecordTimeout)
	defer cancel()
	// The record is removed by its key, as the lease may belong to another node if the
	// store has been restored since.
	if _, err := f.cfg.Store.Commit(ctx, nil, []store.Write{{Key: f.nodeKey(), Delete: true}}); err != nil {
		f.cfg.Daemon.Record(trace.Entry{Kind: "register-failed", Detail: err.Error()})
	}
}

// waitForRenewal waits until the next renewal is due. If the store is restored in the
// meantime, it waits for this node's part of registerSpread instead, so that not all
// nodes write their records at once.
func (f *Feed) waitForRenewal(ctx context.Context, until time.Time, r registration) {
	for time.Now().Before(until) {
		if r.lease != 0 && r.era < f.era() {
			wait.For(ctx, time.Duration(xxhash.Sum64String(f.cfg.Self.GetId())%uint64(registerSpread)))
			return
		}
		if !wait.For(ctx, min(time.Until(until), eraCheckInterval)) {
			return
		}
	}
}

// era returns the highest era of the store that this node has learned of, from the
// store or from other nodes.
func (f *Feed) era() int64 {
	return max(f.cfg.Store.Era(), fleet.Of(f.cfg.Daemon.State()).Era())
}

func (f *Feed) nodeKey() string { return nodePrefix + f.cfg.Self.GetId() }

// registration is the lease of this node's record in the store. The store gives out the
// ids of leases again after it has been restored, so that a lease is valid in its era
// only.
type registration struct {
	lease int64 // 0 if there is no record
	era   int64
}

// renew renews the lease of this node's record, or writes the record under a new
// lease if there is none, it has expired, or it is of an earlier era.
func (f *Feed) renew(ctx context.Context, r registration) (registration, error) {
	if r.lease != 0 && r.era == f.era() {
		held, err := f.cfg.Store.RenewLease(ctx, r.lease)
		if err != nil || held && r.era == f.era() {
			return r, err
		}
	}
	lease, err := f.cfg.Store.GrantLease(ctx, leaseSeconds)
	if err != nil {
		return registration{}, err
	}
	next := registration{lease: lease, era: f.cfg.Store.Era()}
	self := f.cfg.Self
	value, err := json.Marshal(nodeRecord{Peer: self.GetId(), Front: self.GetFront(), Centre: self.GetCentre()})
	if err != nil {
		return registration{}, err
	}
	f.recordWritten = true
	if _, err := f.cfg.Store.Commit(ctx, nil, []store.Write{{Key: f.nodeKey(), Value: value, Lease: lease}}); err != nil {
		return registration{}, err
	}
	if era := f.era(); era != next.era {
		return registration{}, &store.EraError{Want: next.era, Got: era}
	}
	return next, nil
}
