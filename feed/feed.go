// Package feed watches the platform's store and posts what it holds to the
// kernel: the routing table, the endpoints, the other nodes and the quarantines. It also
// keeps this node's own record, quarantines, the evidence of crashes and the versions of services in the store.
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
	removalMargin       = 60 * time.Millisecond  // by which a watch outlasts the delay of held removals
	readerCheckInterval = 100 * time.Millisecond // between checks of whether this node must watch the store
	confirmDelay        = time.Second            // after the first list until a node that still watches the store lists it again; by then nodes that start together know which of them do
	minRetryBackoff     = 100 * time.Millisecond // after the first failed call; doubles
	maxRetryBackoff     = time.Second
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

// Evacuation is an order that the endpoints of a data centre get no more requests, or its
// removal.
type Evacuation struct {
	Centre  string
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
func (Evacuation) isChange() {}
func (Unreadable) isChange() {}

// Config describes a feed.
type Config struct {
	Store  store.Watcher
	Daemon *daemon.Daemon
	Self   *wire.Member
	Seeds  []string // addresses of other nodes, some of which may be stale
	// Decode decodes an entry. It returns nil for an entry to ignore.
	Decode func(e store.Entry) Change
	// Cold holds the excess and the slack of the requests to cold endpoints, which become part of
	// the table. An excess of 0 stands for the defaults of both.
	Cold table.ColdBound
	// FirstStart says that the nodes of the deployment have been started for the first time, so
	// that no stream has been begun before.
	FirstStart bool
}

// Feed watches the store for one node.
type Feed struct {
	cfg           Config
	nodesByKey    map[string]*wire.Member  // nodes that have a record in the store
	listed        fleet.Version            // of the last list
	eraSince      time.Time                // when a list of that era was first read
	outage        outage                   // holds back removals; used by the goroutine of Run only
	heldRemovals  map[string]fleet.Version // removals that are held back, by endpoint
	rejected      map[string]string        // reasons why entries of the store cannot be used, by key
	recordWritten bool                     // this node's record may be in the store; used by Register only
	failing       atomic.Bool              // the last list or watch failed
	saver         *saver
	versions      *versions
	origins       *origins
}

// New returns a feed that does nothing until Run or Register is called.
func New(cfg Config) *Feed {
	return &Feed{cfg: cfg, nodesByKey: map[string]*wire.Member{}, heldRemovals: map[string]fleet.Version{}, rejected: map[string]string{}, saver: newSaver(), versions: newVersions(cfg.FirstStart), origins: newOrigins()}
}

// Failing reports whether this node's last list or watch of the store failed. A
// *store.CompactedError is no failure, as the store responded. It is false while
// this node does not watch the store.
func (f *Feed) Failing() bool { return f.failing.Load() }

// Run watches the store until ctx ends.
func (f *Feed) Run(ctx context.Context) <-chan error {
	f.cfg.Daemon.Metrics().GetOrCreateCounter(rejectedMetric) // so that it is served before the first rejection
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
	var at fleet.Version    // of the last result
	var confirmAt time.Time // when the first list is confirmed; zero if it is not
	listed, stale, first, reads := false, true, true, true
	for ctx.Err() == nil {
		reads = f.recordReading(reads, !listed || fleet.ReadsStore(f.cfg.Daemon.State(), time.Now()))
		if !reads {
			f.failing.Store(false)
			confirmAt = time.Time{}
			wait.For(ctx, readerCheckInterval)
			continue
		}
		var err error
		switch {
		case !listed:
			at, err = f.list(ctx, stale)
			stale = false
			if first && err == nil {
				first, confirmAt = false, time.Now().Add(confirmDelay)
			}
		case !confirmAt.IsZero() && !time.Now().Before(confirmAt):
			at, confirmAt, err = f.confirm(ctx, at)
		default:
			at, err = f.watch(ctx, at)
		}
		f.versions.wake()
		f.postHeldRemovals(ctx, time.Now())
		f.postLapsedEvacuations(ctx, time.Now())
		var historyLost *store.CompactedError
		var otherEra *store.EraError
		mustList := errors.As(err, &historyLost) || errors.As(err, &otherEra)
		listed = (listed || err == nil) && !mustList
		if failed := err != nil && !mustList; f.failing.Swap(failed) && !failed {
			f.cfg.Daemon.Record(trace.Entry{Kind: "store-back", Detail: fmt.Sprintf("the store responds again, %s after its last failure", time.Since(f.outage.failedAt).Round(time.Millisecond))})
		}
		if err == nil {
			backoff = minRetryBackoff
			wait.For(ctx, fleet.ReadDelay(f.cfg.Daemon.State()))
			f.versions.wake() // by now the kernel has applied what was read
			continue
		}
		f.cfg.Daemon.Record(trace.Entry{Kind: "store-failed", Detail: err.Error()})
		if !mustList {
			f.outage = f.outage.WithFailure(time.Now(), err)
			f.cfg.Daemon.Post(ctx, kernel.StoreFailed{})
		} else {
			f.outage = f.outage.WithSuccess(time.Now())
		}
		wait.For(ctx, backoff)
		backoff = min(2*backoff, maxRetryBackoff)
	}
}

// recordReading records that this node begins or ceases to watch the store for the others, and
// returns whether it does.
func (f *Feed) recordReading(before, reads bool) bool {
	if reads && !before {
		f.cfg.Daemon.Record(trace.Entry{Kind: "store-reader", Detail: "this node watches the store, as too few others are known to be served by it"})
	} else if before && !reads {
		f.cfg.Daemon.Record(trace.Entry{Kind: "store-reader", Detail: "this node ceases to watch the store, as others do"})
	}
	return reads
}

// list reads all entries and returns the version of the result. It removes the
// endpoints that this node knows but the store no longer holds. Load pattern: when all
// nodes start at once, their lists exceed the store's rate of reads many times over. So a
// node first makes do with a stale list, to which that does not apply: a watch brings the
// readers up to date, and they the others. Readers confirm it later.
func (f *Feed) list(ctx context.Context, stale bool) (fleet.Version, error) {
	var r store.Range
	var err error
	if stale {
		r, err = f.cfg.Store.ListStale(ctx, "")
	} else {
		r, err = f.cfg.Store.List(ctx, "", 0)
	}
	if err != nil {
		return fleet.Version{}, err
	}
	if era := fleet.Of(f.cfg.Daemon.State()).Era(); r.Era < era {
		return fleet.Version{}, &store.EraError{Want: era, Got: r.Era}
	}
	f.outage = f.outage.WithSuccess(time.Now())
	version := fleet.Version{Era: r.Era, Revision: r.Revision}
	if f.listed.Revision != 0 && f.listed.Era != r.Era {
		f.cfg.Daemon.Record(trace.Entry{Kind: "store-restored", Detail: fmt.Sprintf("the store was restored from a copy: era %d after %d, revision %d after %d", r.Era, f.listed.Era, r.Revision, f.listed.Revision)})
		f.outage = f.outage.WithRestoration(time.Now())
	}
	f.cfg.Daemon.Record(trace.Entry{Kind: "store-listed", Detail: fmt.Sprintf("%d entries of the store in era %d, stale %t, read at revisions %d to %d; changes after revision %d follow", len(r.Entries), r.Era, stale, r.Revision, max(r.Revision, r.Newest), version.Revision)})
	f.recordEra(time.Now(), r.Era)
	f.listed = version
	clear(f.nodesByKey)
	present := f.postChanges(ctx, r, true)
	f.postNodes(ctx)
	f.postEndedEvacuations(ctx, r)
	f.postRemovals(ctx, func(id string) bool { return !present[id] })
	return version, nil
}

// confirm lists the store once more after the first list. It returns the version for the next watch, and when
// the list must still be confirmed. What nodes learned of each other's stale lists may include
// endpoints that the store no longer holds, of which no watch tells a node whose list was newer.
// A failure holds back no removals, as the watch goes on.
func (f *Feed) confirm(ctx context.Context, at fleet.Version) (fleet.Version, time.Time, error) {
	version, err := f.list(ctx, false)
	if err == nil {
		err = f.postMissedEnds(ctx, at, version)
	}
	var otherEra *store.EraError
	switch {
	case err == nil:
		return version, time.Time{}, nil
	case errors.As(err, &otherEra):
		return at, time.Time{}, err
	}
	f.cfg.Daemon.Record(trace.Entry{Kind: "store-unconfirmed", Detail: err.Error()})
	return at, time.Now().Add(confirmDelay), nil
}

// postRemovals removes the endpoints for which absent is true, as of the last list.
func (f *Feed) postRemovals(ctx context.Context, absent func(id string) bool) {
	var removals kernel.ItemsLearned
	for _, id := range fleet.Of(f.cfg.Daemon.State()).EndpointIDs() {
		if absent(id) {
			if item := f.removalItem(id, f.listed); item != nil {
				removals.Items = append(removals.Items, item)
			}
		}
	}
	f.cfg.Daemon.Post(ctx, removals)
}

// watch waits for changes after a version, and returns the version for the next watch.
// The error is a *store.EraError if the store has been restored since: the result then
// lacks what has changed before its revision.
func (f *Feed) watch(ctx context.Context, after fleet.Version) (fleet.Version, error) {
	r, err := f.cfg.Store.Watch(ctx, "", after.Revision, f.watchTime(time.Now()))
	if err != nil {
		return after, err
	}
	if r.Era != after.Era {
		return after, &store.EraError{Want: after.Era, Got: r.Era}
	}
	f.outage = f.outage.WithSuccess(time.Now())
	f.postChanges(ctx, r, false)
	after.Revision = max(after.Revision, r.Revision)
	return after, nil
}

// watchTime returns how long a watch waits: until held removals are due, but at most
// watchTimeout.
func (f *Feed) watchTime(now time.Time) time.Duration {
	if left := f.outage.heldUntil.Sub(now); left > 0 {
		return min(left+removalMargin, watchTimeout)
	}
	return watchTimeout
}

// postChanges posts the changes in a result to the kernel. If listed is true, its
// entries are the whole content of the store. It returns the ids of the endpoints
// among the entries.
func (f *Feed) postChanges(ctx context.Context, r store.Range, listed bool) map[string]bool {
	present := map[string]bool{}
	learned := kernel.ItemsLearned{Complete: listed}
	nodesChanged := false
	var read kernel.QuarantinesRead
	versions := versionsRead{era: r.Era, listed: listed}
	for _, e := range r.Entries {
		if q, ok := f.decodeQuarantine(e); ok {
			if q != nil {
				read.List = append(read.List, q)
			}
			continue
		}
		if e.Key == evidenceEntry {
			if evidence, err := decodeEvidence(e); err != nil {
				f.reject(e.Key, "", err)
			} else {
				f.cfg.Daemon.Post(ctx, kernel.EvidenceRead{Evidence: evidence}) // before the items, as for quarantines
			}
			continue
		}
		if strings.HasPrefix(e.Key, originPrefix) {
			continue // read when a caller takes up a stream that no node knows
		}
		if strings.HasPrefix(e.Key, versionPrefix) {
			versions.records = append(versions.records, e)
			learned.Items = append(learned.Items, versionsItem(e, r.Era))
			continue
		}
		if strings.HasPrefix(e.Key, nodePrefix) {
			f.updateNode(e)
			nodesChanged = true
			continue
		}
		change := f.cfg.Decode(e)
		if c, ok := change.(Unreadable); ok {
			f.reject(e.Key, c.Endpoint, c.Err)
		} else {
			delete(f.rejected, e.Key)
		}
		if c, ok := change.(Endpoint); ok {
			present[c.ID] = true
			versions.endpoints = append(versions.endpoints, c.Record)
		}
		if item := f.wireItem(change, fleet.Version{Era: r.Era, Revision: e.Revision}); item != nil {
			learned.Items = append(learned.Items, item)
		}
	}
	if listed {
		f.forgetRejected(r.Entries)
	}
	if len(read.List) > 0 {
		f.cfg.Daemon.Post(ctx, read) // first, as the node serves callers once it has learned all items
	}
	f.cfg.Daemon.Post(ctx, learned)
	f.versions.update(func(k *fleet.VersionKeeper) *fleet.VersionKeeper { return f.readVersions(time.Now(), k, versions) })
	if nodesChanged {
		f.postNodes(ctx)
	}
	return present
}

// wireItem returns the gossip item for a change, or nil for none.
func (f *Feed) wireItem(change Change, v fleet.Version) *wire.Item {
	var item *wire.Item
	var err error
	switch c := change.(type) {
	case Table:
		item, err = fleet.TableItem(withColdBounds(c.Config, f.cfg.Cold), v)
	case Endpoint:
		delete(f.heldRemovals, c.ID)
		if c.Removed {
			return f.removalItem(c.ID, v)
		}
		item, err = fleet.EndpointItem(c.Record, v)
	case Evacuation:
		return evacuationItem(c, v)
	case Unreadable:
		if c.Endpoint != "" {
			return fleet.RemovedItem(c.Endpoint, v)
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
// records, which may expire, and a store that was restored from a copy lacks the later
// ones. The removal of an endpoint that is not known to be leaving is therefore held
// back for a time after an outage or a restoration.
func (f *Feed) removalItem(id string, v fleet.Version) *wire.Item {
	known, _ := fleet.Of(f.cfg.Daemon.State()).Endpoint(id)
	if !known.Leaving && f.outage.Holds(time.Now()) {
		f.heldRemovals[id] = v
		return nil
	}
	return fleet.RemovedItem(id, v)
}

// postHeldRemovals removes the endpoints whose records have not been written again in
// time after an outage or a restoration. Among them are those that other nodes knew of,
// whose records are still of an earlier era.
func (f *Feed) postHeldRemovals(ctx context.Context, now time.Time) {
	if f.outage.Holds(now) {
		return
	}
	var removals kernel.ItemsLearned
	for id, v := range f.heldRemovals {
		removals.Items = append(removals.Items, fleet.RemovedItem(id, v))
	}
	clear(f.heldRemovals)
	for _, id := range fleet.Of(f.cfg.Daemon.State()).EndpointIDsBefore(f.listed.Era) {
		removals.Items = append(removals.Items, fleet.RemovedItem(id, f.listed))
	}
	if len(removals.Items) > 0 {
		f.cfg.Daemon.Post(ctx, removals)
	}
}
