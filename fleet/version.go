package fleet

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
)

const (
	// versionMemory is the time for which a stream may go on that a version began which is no
	// longer listed.
	versionMemory = 5 * time.Minute
	// clockTolerance is how far the times of day of two nodes may be apart before one of them
	// writes a VersionRecord again that the other has written.
	clockTolerance = 10 * time.Second
	versionStagger = 50 * time.Millisecond  // by which each reader of the store waits longer to write a record than the one ranked before it
	maxVersionRank = 10                     // readers from this rank on wait as long as the one of this rank
	uncertainDelay = 2 * time.Second        // by which a reader waits longer that does not know whether the listed version was the only one
	narrowDelay    = 300 * time.Millisecond // by which a reader waits longer if the record names all listed versions already: it may have applied the record before the endpoints of one of them
	maxReadGap     = 5 * time.Second        // between two reads of the store, within which no version comes and goes: a server serves for seconds after its notice
)

// listedVersions returns the distinct versions of the listed endpoints of a service, sorted.
func (v *View) listedVersions(service string) []string {
	var versions []string
	for _, e := range v.services[service] {
		if i, found := slices.BinarySearch(versions, e.Version); !found {
			versions = slices.Insert(versions, i, e.Version)
		}
	}
	return versions
}

// wallMillis returns the time of day in Unix milliseconds. A record outlives the processes whose
// monotonic clocks could be compared. A clock that jumps forward shortens versionMemory, which is
// minutes longer than streams last; one that jumps back lengthens it.
func wallMillis(t time.Time) int64 { return t.UnixMilli() }

// VersionRecord says which software versions of a service have been in use. It is kept in the
// platform's store, where it outlives all nodes. Nodes decide by it whether a stream of unknown
// version may go on: what a node remembers has gaps, from before its start and while it was cut off.
type VersionRecord struct {
	Versions []string `json:"versions"` // listed when the record was written; sorted
	Since    int64    `json:"since"`    // Unix milliseconds; no other versions have been listed from then on. 0: since the first start of the deployment
	Era      int64    `json:"era"`      // of the store when the record was written; a later era may lack a newer record
}

// DecodeVersionRecord decodes the JSON form of a VersionRecord.
func DecodeVersionRecord(data []byte) (VersionRecord, error) {
	var r VersionRecord
	err := json.Unmarshal(data, &r)
	return r, err
}

// SoleVersion returns the only version of the record, and whether no stream that still runs can
// have been begun by another version, if the store is in the given era.
func (r VersionRecord) SoleVersion(now time.Time, era int64) (string, bool) {
	if r.Era != era || len(r.Versions) != 1 || r.Since != 0 && wallMillis(now)-r.Since < versionMemory.Milliseconds() {
		return "", false
	}
	return r.Versions[0], true
}

// SoleOrigin returns the service and the version that have begun all streams which may still run, and
// whether the records, by service, say that there is only one of each. A route may have moved from one
// service to another, so that a stream may have begun at any service that has a record.
func SoleOrigin(now time.Time, era int64, records map[string]VersionRecord) (service, version string, sole bool) {
	if len(records) != 1 {
		return "", "", false
	}
	for service, r := range records {
		version, sole = r.SoleVersion(now, era)
		return service, version, sole
	}
	return "", "", false
}

// VersionWrite replaces or removes the record of a service in the store.
type VersionWrite struct {
	Service  string
	Record   VersionRecord // ignored if the record is removed
	Removed  bool
	Revision int64 // of the last change of the record that it replaces; 0 for none
}

// storedVersions is the record of a service in the store.
type storedVersions struct {
	record   VersionRecord
	revision int64 // of its last change
}

// seenVersion is the version of the endpoint of a service that a node read of last.
type seenVersion struct {
	version   string
	changedAt time.Time // when it last differed from the one before; zero if it never did
}

// VersionKeeper is what a reader of the store has read of versions and their records. It is
// immutable.
type VersionKeeper struct {
	firstStart bool                      // the nodes of the deployment have been started for the first time, and this one has read the store all along
	era        int64                     // of the last read of the store
	readAt     time.Time                 // when that was
	stored     map[string]storedVersions // by service
	trusted    map[string]VersionRecord  // last record that was read in the era in which it was written, by service
	seen       map[string]seenVersion    // by service
	dueAt      map[string]time.Time      // since when the record of a service must be replaced
}

// NewVersionKeeper returns the VersionKeeper of a node that has read nothing. The parameter says
// that the nodes of the deployment have been started for the first time, so that no stream has
// been begun before.
func NewVersionKeeper(firstStart bool) *VersionKeeper { return &VersionKeeper{firstStart: firstStart} }

// WithRead returns the keeper at the beginning of a result of the store, which is the whole of its
// content if listed is true. What was read in an earlier era is no longer trusted after a gap in
// which versions may have come and gone: a store that was restored from a copy does not tell of them.
func (k *VersionKeeper) WithRead(now time.Time, era int64, listed bool) *VersionKeeper {
	next := *k
	if listed {
		next.stored = nil
	}
	gap := !k.readAt.IsZero() && now.Sub(k.readAt) > maxReadGap
	if era != k.era && gap {
		next.trusted = nil
	}
	if gap {
		next.firstStart = false
	}
	next.era, next.readAt = era, now
	return &next
}

// WithRecord returns the keeper after the reading of a record and the revision of its last change. A
// record without versions is one that could not be decoded, and is replaced.
func (k *VersionKeeper) WithRecord(service string, r VersionRecord, revision int64) *VersionKeeper {
	next := *k
	next.stored = kernel.CloneMap(k.stored)
	next.stored[service] = storedVersions{record: r, revision: revision}
	if r.Era == k.era && len(r.Versions) > 0 {
		next.trusted = kernel.CloneMap(k.trusted)
		next.trusted[service] = r
	}
	return &next
}

// WithoutRecord returns the keeper after the reading that a record was deleted.
func (k *VersionKeeper) WithoutRecord(service string) *VersionKeeper {
	next := *k
	next.stored = kernel.CloneMap(k.stored)
	delete(next.stored, service)
	return &next
}

// WithEndpoint returns the keeper after the reading of an endpoint.
func (k *VersionKeeper) WithEndpoint(now time.Time, service, version string) *VersionKeeper {
	last, known := k.seen[service]
	if known && last.version == version {
		return k
	}
	next := *k
	next.seen = kernel.CloneMap(k.seen)
	if known {
		last.changedAt = now
	}
	next.seen[service] = seenVersion{version: version, changedAt: last.changedAt}
	return &next
}

// Due returns the records that the node writes now if it is the reader of the given rank, and the
// keeper after that.
//
// Load pattern: a change reaches all readers of the store at once, and one of them must write it,
// if possible one that knows whether the listed version has been the only one. So each waits longer
// than the one ranked before it, and one that does not know longer than all others, unless the record
// lacks a listed version: endpoints of that version begin no resumable streams before it is written.
func (k *VersionKeeper) Due(now time.Time, v *View, rank int) ([]VersionWrite, *VersionKeeper) {
	next := *k
	next.dueAt = map[string]time.Time{}
	var writes []VersionWrite
	resumable := v.Table().ResumableServices()
	services := slices.Concat(resumable, slices.Sorted(maps.Keys(k.stored)))
	slices.Sort(services)
	for _, service := range slices.Compact(services) {
		stored, isStored := k.stored[service]
		w := VersionWrite{Service: service, Removed: !slices.Contains(resumable, service), Revision: stored.revision}
		due, certain := isStored, true
		if !w.Removed {
			w.Record, due, certain = k.next(now, v, service)
		}
		if !due {
			continue
		}
		at, waiting := k.dueAt[service]
		if !waiting {
			at = now
		}
		next.dueAt[service] = at
		delay := versionStagger * time.Duration(min(rank, maxVersionRank))
		switch {
		case w.Removed:
			delay += versionMemory
		case isStored && containsAll(stored.record.Versions, w.Record.Versions):
			delay += narrowDelay
			if !certain {
				delay += uncertainDelay
			}
		}
		if now.Sub(at) >= delay {
			writes = append(writes, w)
		}
	}
	return writes, &next
}

// containsAll reports whether list contains all of the given versions.
func containsAll(list, versions []string) bool {
	return !slices.ContainsFunc(versions, func(version string) bool { return !slices.Contains(list, version) })
}

// next returns the record that the store must hold of a service, and whether the one that it
// holds must be replaced. If certain is false, this node does not know whether the listed version
// has been the only one.
//
// Load pattern: in a release, versions change twice for each service, and then all nodes may end
// while the former version leaves. So each change is written, and what was written in an
// earlier era of the store counts only if a node confirms it.
func (k *VersionKeeper) next(now time.Time, v *View, service string) (r VersionRecord, due, certain bool) {
	listed := v.listedVersions(service)
	if len(listed) == 0 {
		return VersionRecord{}, false, false
	}
	r = VersionRecord{Versions: listed, Since: wallMillis(now), Era: k.era}
	stored, isStored := k.stored[service]
	valid := isStored && stored.record.Era == k.era && slices.Equal(stored.record.Versions, listed)
	if len(listed) > 1 {
		return r, !valid, true
	}
	trusted, certain := k.trusted[service]
	switch {
	case certain && slices.Equal(trusted.Versions, listed):
		r.Since = trusted.Since
	case !certain && !isStored && k.firstStart && (v.startedAt.IsZero() || now.Sub(v.startedAt) < versionMemory):
		r.Since, certain = 0, true
	}
	if at := k.seen[service].changedAt; !at.IsZero() {
		r.Since = max(r.Since, wallMillis(at))
	}
	return r, !valid || r.Since-stored.record.Since > clockTolerance.Milliseconds(), certain
}
