package feed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/store"
	"github.com/plantaindeck/plantaindeck/trace"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	versionPrefix        = "plantaindeck/versions/" // before the name of a service
	versionCheckInterval = 200 * time.Millisecond   // between checks of whether a record is due, if the store changes nothing
	missingRecordDelay   = time.Second              // after which a node reads a record that no other node has told it of
	maxMissingBackoff    = 15 * time.Second         // between two such reads
	rewriteDelay         = 500 * time.Millisecond   // after an answered write until the next one that replaces the same record; longer than a reader waits between two watches
)

// versions holds this node's fleet.VersionKeeper.
type versions struct {
	changed chan struct{} // holds a value if the store may have changed
	mu      sync.Mutex
	keeper  *fleet.VersionKeeper
	// Used by KeepVersions only.
	missing  missingRecords
	answered map[string]answeredWrite // last one, by service
}

// answeredWrite is a write of a record that the store has answered, whether its condition held or not.
type answeredWrite struct {
	revision int64 // of the last change of the record that it replaced
	at       time.Time
}

// missingRecords schedules the reads of records that no other node tells this node of. It is
// immutable. Load pattern: while nodes of an older build read the store for all, which do not pass
// records on, each newer node reads them itself; and all nodes miss a record until one has written it.
type missingRecords struct {
	since   time.Time // when this node first missed a record; zero if it misses none
	backoff time.Duration
	readAt  time.Time // when the records may be read next
}

// next returns the schedule after a check, and whether the records are read now.
func (m missingRecords) next(now time.Time, missing bool) (missingRecords, bool) {
	switch {
	case !missing:
		return missingRecords{}, false
	case m.since.IsZero():
		return missingRecords{since: now, backoff: missingRecordDelay, readAt: now.Add(missingRecordDelay)}, false
	case now.Before(m.readAt):
		return m, false
	}
	m.backoff = min(2*m.backoff, maxMissingBackoff)
	m.readAt = now.Add(m.backoff)
	return m, true
}

func newVersions(firstStart bool) *versions {
	return &versions{changed: make(chan struct{}, 1), keeper: fleet.NewVersionKeeper(firstStart), answered: map[string]answeredWrite{}}
}

// update replaces the keeper by what change returns for it.
func (v *versions) update(change func(k *fleet.VersionKeeper) *fleet.VersionKeeper) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.keeper = change(v.keeper)
}

// wake makes KeepVersions check the records.
func (v *versions) wake() {
	select {
	case v.changed <- struct{}{}:
	default:
	}
}

// versionsRead is what a result of the store says of versions.
type versionsRead struct {
	era       int64
	listed    bool             // the result is the whole content of the store
	records   []store.Entry    // records of versions
	endpoints []fleet.Endpoint // in the order of their changes; a removed one has no service
}

// readVersions returns k after the reading of a result of the store.
func (f *Feed) readVersions(now time.Time, k *fleet.VersionKeeper, r versionsRead) *fleet.VersionKeeper {
	k = k.WithRead(now, r.era, r.listed)
	for _, e := range r.endpoints {
		if e.Service != "" {
			k = k.WithEndpoint(now, e.Service, e.Version)
		}
	}
	for _, e := range r.records {
		service := strings.TrimPrefix(e.Key, versionPrefix)
		if e.Deleted {
			k = k.WithoutRecord(service)
			continue
		}
		record, err := fleet.DecodeVersionRecord(e.Value)
		if err != nil {
			f.reject(e.Key, "", fmt.Errorf("%s: %w", e.Key, err))
		}
		k = k.WithRecord(service, record, e.Revision)
	}
	return k
}

// KeepVersions keeps the records of versions in the store up to date while this node reads the
// store, until ctx ends.
func (f *Feed) KeepVersions(ctx context.Context) <-chan error {
	check := time.NewTicker(versionCheckInterval)
	context.AfterFunc(ctx, check.Stop)
	return f.saveUntil(ctx, f.versions.changed, check.C, func(ctx context.Context) error { return f.writeVersions(ctx, time.Now()) })
}

// writeVersions writes the records that are due.
func (f *Feed) writeVersions(ctx context.Context, now time.Time) error {
	state := f.cfg.Daemon.State()
	if !fleet.Of(state).Ready() {
		return nil
	}
	if !fleet.ReadsStore(state, now) {
		return f.readMissing(ctx, now, fleet.Of(state))
	}
	var writes []fleet.VersionWrite
	f.versions.update(func(k *fleet.VersionKeeper) *fleet.VersionKeeper {
		writes, k = k.Due(now, fleet.Of(state), fleet.ReaderRank(state))
		return k
	})
	var failures []error
	for _, w := range writes {
		if err := f.writeVersion(ctx, now, w); err != nil {
			failures = append(failures, err)
		}
	}
	return errors.Join(failures...)
}

// readMissing reads the records that this node does not know, if it is time to do so. The list may
// be seconds old, which is well within the time for which a record that has ceased to name a version
// counts as uncertain.
func (f *Feed) readMissing(ctx context.Context, now time.Time, v *fleet.View) error {
	var due bool
	f.versions.missing, due = f.versions.missing.next(now, v.MissesRecord())
	if !due {
		return nil
	}
	r, err := f.cfg.Store.ListStale(ctx, versionPrefix)
	if err != nil {
		f.cfg.Daemon.Record(trace.Entry{Kind: "versions-unread", Detail: err.Error()})
		return nil // it is read again later
	}
	var learned kernel.ItemsLearned
	for _, e := range r.Entries {
		learned.Items = append(learned.Items, versionsItem(e, r.Era))
	}
	f.cfg.Daemon.Post(ctx, learned)
	return nil
}

// versionsItem returns the gossip item for an entry with a record of versions.
func versionsItem(e store.Entry, era int64) *wire.Item {
	return fleet.VersionsItem(strings.TrimPrefix(e.Key, versionPrefix), e.Value, fleet.Version{Era: era, Revision: e.Revision})
}

// writeVersion writes or removes a record, unless the one that it replaces has changed. It does not
// repeat an answered write before this node can have read its effect.
func (f *Feed) writeVersion(ctx context.Context, now time.Time, w fleet.VersionWrite) error {
	if last := f.versions.answered[w.Service]; last.revision == w.Revision && now.Sub(last.at) < rewriteDelay {
		return nil
	}
	value, err := json.Marshal(w.Record)
	if err != nil {
		return err
	}
	key := versionPrefix + w.Service
	written, err := f.cfg.Store.Commit(ctx, []store.Condition{{Key: key, Revision: w.Revision}}, []store.Write{{Key: key, Value: value, Delete: w.Removed}})
	if err != nil {
		return err
	}
	f.versions.answered[w.Service] = answeredWrite{revision: w.Revision, at: now}
	switch {
	case written && w.Removed:
		f.cfg.Daemon.Record(trace.Entry{Kind: "versions-saved", Detail: fmt.Sprintf("service %s: removed, as no route has named it of late whose streams callers may take up", w.Service)})
	case written:
		f.cfg.Daemon.Record(trace.Entry{Kind: "versions-saved", Detail: fmt.Sprintf("service %s: %s", w.Service, value)})
	}
	return nil
}

// StoredOrigin returns the service and the software version that began the stream of a request, and
// whether the store tells it: its records of versions name only one that can have begun any stream, or it
// holds the origin of this one.
func (f *Feed) StoredOrigin(ctx context.Context, request string) (service, version string, known bool) {
	r, err := f.cfg.Store.List(ctx, versionPrefix, 0)
	if err == nil {
		service, version, err = soleOrigin(time.Now(), r)
	}
	if err == nil {
		return service, version, true
	}
	o, found, readErr := f.origins.find(ctx, time.Now(), f.cfg.Store, request)
	if found {
		return o.service, o.version, true
	}
	detail := err.Error() + "; the origin of this stream is not saved"
	if readErr != nil {
		detail = err.Error() + "; " + readErr.Error()
	}
	f.cfg.Daemon.Record(trace.Entry{Kind: "version-unknown", Detail: detail})
	return "", "", false
}

// OriginError says why the records of versions do not name the origin of a stream.
type OriginError struct {
	Records []string // as stored
	Era     int64    // of the store
}

// Error names the records and the era.
func (e *OriginError) Error() string {
	return fmt.Sprintf("the records %q do not name a sole service and version in era %d of the store", e.Records, e.Era)
}

// soleOrigin returns the sole service and version of the records in the result of a read.
func soleOrigin(now time.Time, r store.Range) (service, version string, err error) {
	records := map[string]fleet.VersionRecord{}
	var texts []string
	for _, e := range r.Entries {
		record, err := fleet.DecodeVersionRecord(e.Value)
		if err != nil {
			return "", "", err
		}
		records[strings.TrimPrefix(e.Key, versionPrefix)] = record
		texts = append(texts, string(e.Value))
	}
	service, version, sole := fleet.SoleOrigin(now, r.Era, records)
	if !sole {
		return "", "", &OriginError{Records: texts, Era: r.Era}
	}
	return service, version, nil
}
