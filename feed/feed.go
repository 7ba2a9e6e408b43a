// Package feed watches the platform's store and posts what it holds to the
// kernel: the routing table, the endpoints and the other nodes. It also keeps
// this node's own record in the store.
//
// Only a few nodes watch the store (fleet.ReadsStore); the others learn of changes
// from them by gossip. Endpoints whose records expire around an outage of the
// store are removed only after their writers have had time to write them again.
package feed

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/daemon"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/store"
	"github.com/plantaindeck/plantaindeck/table"
	"github.com/plantaindeck/plantaindeck/trace"
	"github.com/plantaindeck/plantaindeck/wait"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	watchTimeout        = time.Second            // of one watch without changes; each response shows the other nodes that the store works
	batchDelay          = 60 * time.Millisecond  // before the next watch, so that it returns several changes at once
	readerCheckInterval = 100 * time.Millisecond // between checks of whether this node must watch the store
	minRetryBackoff     = 100 * time.Millisecond // after the first failed call; doubles
	maxRetryBackoff     = time.Second
	outageRemovalDelay  = 2200 * time.Millisecond // from the last failure; time for expired records to be written again
)

// Change is the decoded content of an entry of the store. The set of types is
// closed.
type Change interface {
	isChange()
}

// Table is a routing table.
type Table struct {
	Config table.Config
}

// Endpoint is the record of an endpoint, or its removal.
type Endpoint struct {
	ID      string
	Record  fleet.Endpoint // zero if removed
	Removed bool
}

// Unreadable is an entry that cannot be decoded. An endpoint with such a record
// is not used.
type Unreadable struct {
	Endpoint string // id of the endpoint whose record it is; empty for other entries
	Err      error
}

func (Table) isChange()      {}
func (Endpoint) isChange()   {}
func (Unreadable) isChange() {}

// Config describes a feed.
type Config struct {
	Store  store.Watcher
	Daemon *daemon.Daemon
	Self   *wire.Member
	Seeds  []string // addresses of other nodes, some of which may be stale
	// Decode decodes an entry. It returns nil for an entry to ignore.
	Decode func(e store.Entry) Change
}

// Feed watches the store for one node.
type Feed struct {
	cfg          Config
	nodesByKey   map[string]*wire.Member // nodes that have a record in the store
	lastFailure  time.Time               // of a list or watch; unlike Failing, counts a *store.CompactedError
	heldRemovals map[string]int64        // store revisions of the removals that are held back, by endpoint
	failing      atomic.Bool             // the last list or watch failed
}

// New returns a feed that does nothing until Run or Register is called.
func New(cfg Config) *Feed {
	return &Feed{cfg: cfg, nodesByKey: map[string]*wire.Member{}, heldRemovals: map[string]int64{}}
}

// Failing reports whether this node's last list or watch of the store failed. A
// *store.CompactedError is no failure, as the store responded. It is false while
// this node does not watch the store.
func (f *Feed) Failing() bool { return f.failing.Load() }

// Run watches the store until ctx ends.
func (f *Feed) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		f.follow(ctx)
		done <- nil
	}()
	return done
}

// follow lists the whole store and then watches it for changes, while this node
// is one of those that must.
func (f *Feed) follow(ctx context.Context) {
	f.postNodes(ctx)
	backoff := minRetryBackoff
	var revision int64
	listed := false
	for ctx.Err() == nil {
		if listed && !fleet.ReadsStore(f.cfg.Daemon.State(), time.Now()) {
			f.failing.Store(false)
			wait.For(ctx, readerCheckInterval)
			continue
		}
		var err error
		if listed {
			revision, err = f.watch(ctx, revision)
		} else {
			revision, err = f.list(ctx)
		}
		f.postHeldRemovals(ctx, time.Now())
		var historyLost *store.CompactedError
		listed = (listed || err == nil) && !errors.As(err, &historyLost)
		if failed := err != nil && historyLost == nil; f.failing.Swap(failed) && !failed {
			f.cfg.Daemon.Record(trace.Entry{Kind: "store-back", Detail: fmt.Sprintf("the store responds again, %s after its last failure", time.Since(f.lastFailure).Round(time.Millisecond))})
		}
		if err == nil {
			backoff = minRetryBackoff
			wait.For(ctx, batchDelay)
			continue
		}
		f.recordFailure(err)
		wait.For(ctx, backoff)
		backoff = min(2*backoff, maxRetryBackoff)
	}
}

func (f *Feed) recordFailure(err error) {
	f.lastFailure = time.Now()
	f.cfg.Daemon.Record(trace.Entry{Kind: "store-failed", Detail: err.Error()})
}

// list reads all entries and returns the store's revision. It removes the
// endpoints that this node knows but the store no longer holds.
func (f *Feed) list(ctx context.Context) (int64, error) {
	r, err := f.cfg.Store.List(ctx, "", 0)
	if err != nil {
		return 0, err
	}
	clear(f.nodesByKey)
	present := f.postChanges(ctx, r.Entries, true)
	f.postNodes(ctx)
	var removals kernel.ItemsLearned
	for _, id := range fleet.Of(f.cfg.Daemon.State()).EndpointIDs() {
		if !present[id] {
			if item := f.removalItem(id, r.Revision); item != nil {
				removals.Items = append(removals.Items, item)
			}
		}
	}
	f.cfg.Daemon.Post(ctx, removals)
	return r.Revision, nil
}

// watch waits for changes after a revision, and returns the revision for the next
// watch.
func (f *Feed) watch(ctx context.Context, revision int64) (int64, error) {
	r, err := f.cfg.Store.Watch(ctx, "", revision, watchTimeout)
	if err != nil {
		return revision, err
	}
	f.postChanges(ctx, r.Entries, false)
	return max(revision, r.Revision), nil
}

// postChanges posts the changes in entries to the kernel. If listed is true, the
// entries are the whole content of the store. It returns the ids of the endpoints
// among the entries.
func (f *Feed) postChanges(ctx context.Context, entries []store.Entry, listed bool) map[string]bool {
	present := map[string]bool{}
	learned := kernel.ItemsLearned{Complete: listed}
	nodesChanged := false
	for _, e := range entries {
		if strings.HasPrefix(e.Key, nodePrefix) {
			f.updateNode(e)
			nodesChanged = true
			continue
		}
		change := f.cfg.Decode(e)
		if c, ok := change.(Endpoint); ok {
			present[c.ID] = true
		}
		if item := f.wireItem(e, change); item != nil {
			learned.Items = append(learned.Items, item)
		}
	}
	f.cfg.Daemon.Post(ctx, learned)
	if nodesChanged {
		f.postNodes(ctx)
	}
	return present
}

// wireItem returns the gossip item for the change in an entry, or nil for none.
func (f *Feed) wireItem(e store.Entry, change Change) *wire.Item {
	var item *wire.Item
	var err error
	switch c := change.(type) {
	case Table:
		item, err = fleet.TableItem(c.Config, e.Revision)
	case Endpoint:
		delete(f.heldRemovals, c.ID)
		if c.Removed {
			return f.removalItem(c.ID, e.Revision)
		}
		item, err = fleet.EndpointItem(c.Record, e.Revision)
	case Unreadable:
		f.cfg.Daemon.Record(trace.Entry{Kind: "entry-unreadable", Endpoint: c.Endpoint, Detail: c.Err.Error()})
		if c.Endpoint != "" {
			return fleet.RemovedItem(c.Endpoint, e.Revision)
		}
	}
	if err != nil {
		f.cfg.Daemon.Record(trace.Entry{Kind: "entry-unreadable", Detail: err.Error()})
		return nil
	}
	return item
}

// removalItem returns the gossip item for the removal of an endpoint, or nil if
// the removal is held back. In an outage of the store, writers cannot renew their
// records, which may expire. The removal of an endpoint that is not known to be
// leaving is therefore held back for outageRemovalDelay after a failure.
func (f *Feed) removalItem(id string, revision int64) *wire.Item {
	known, _ := fleet.Of(f.cfg.Daemon.State()).Endpoint(id)
	if !known.Leaving && time.Since(f.lastFailure) < outageRemovalDelay {
		f.heldRemovals[id] = revision
		return nil
	}
	return fleet.RemovedItem(id, revision)
}

// postHeldRemovals removes the endpoints whose records have not been written
// again in time after an outage.
func (f *Feed) postHeldRemovals(ctx context.Context, now time.Time) {
	if len(f.heldRemovals) == 0 || now.Sub(f.lastFailure) < outageRemovalDelay {
		return
	}
	var removals kernel.ItemsLearned
	for id, revision := range f.heldRemovals {
		removals.Items = append(removals.Items, fleet.RemovedItem(id, revision))
	}
	clear(f.heldRemovals)
	f.cfg.Daemon.Post(ctx, removals)
}
