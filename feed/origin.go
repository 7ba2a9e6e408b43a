package feed

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/store"
	"github.com/plantaindeck/plantaindeck/trace"
)

const (
	originPrefix       = "plantaindeck/origins/" // before the process that wrote an entry and its window
	originSaveInterval = time.Second             // between two writes of this node
	originWindow       = 5 * time.Second         // in which the streams of one entry began
	originMemory       = time.Minute             // for which a stream may run
	originLeaseUse     = 15 * time.Second        // for which entries are written under one lease
	originLeaseSeconds = 75                      // originMemory and originLeaseUse
	originReadTTL      = 500 * time.Millisecond  // for which a read of all entries answers for streams that it lacks
)

// originEntry holds the origins of the streams that began in one window, as the store keeps them. It
// outlasts all nodes, and is removed with its lease.
type originEntry []streamOrigin

// streamOrigin is the software that began some streams.
type streamOrigin struct {
	Service  string `json:"service"`
	Version  string `json:"version"`
	Requests string `json:"requests"` // digests of the ids of their requests, one after the other
}

// originDigest returns the digest of a request's id. Its length is the same for all.
func originDigest(request string) string {
	sum := sha256.Sum256([]byte(request))
	return base64.RawURLEncoding.EncodeToString(sum[:9])
}

// software is a version of a service.
type software struct{ service, version string }

// originLog holds the streams of the last originMemory that fall to this node, by window, in memory. It
// has no lock of its own.
type originLog struct {
	startedAt time.Time                       // of the first window; zero before
	windows   map[int64]map[software][]string // digests of requests
	unsaved   map[int64]bool
	lease     int64 // under which entries are written; 0 for none
	era       int64 // of the lease
	granted   time.Time
}

// origins keeps the origins of streams in the store. Load pattern: while servers of several versions serve,
// all nodes end at once, or stop in turn, and every caller whose stream broke takes it up at nodes that have
// just started. While the records of versions name only one version, they tell the origin of each stream, and
// nothing is written.
type origins struct {
	mu     sync.Mutex // guards log
	log    originLog
	readMu sync.Mutex // held while the entries are read, so that many callers cause one read
	read   map[string]software
	err    error     // of the last read
	readAt time.Time // when that was
}

func newOrigins() *origins {
	return &origins{log: originLog{windows: map[int64]map[software][]string{}, unsaved: map[int64]bool{}}}
}

// windowOf returns the window of a time, counted from the first one that the log was asked for.
func (l *originLog) windowOf(now time.Time) int64 {
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	return int64(now.Sub(l.startedAt) / originWindow)
}

// SaveOrigin writes the origin of a stream to the store with the next ones, if the records of versions do
// not tell it. It returns at once.
func (f *Feed) SaveOrigin(now time.Time, o kernel.SaveOrigin) {
	f.origins.mu.Lock()
	defer f.origins.mu.Unlock()
	l := &f.origins.log
	w := l.windowOf(now)
	if l.windows[w] == nil {
		l.windows[w] = map[software][]string{}
	}
	key := software{o.Service, o.Version}
	l.windows[w][key] = append(l.windows[w][key], originDigest(o.Request))
	l.unsaved[w] = true
}

// KeepOrigins writes the origins of streams to the store until ctx ends.
func (f *Feed) KeepOrigins(ctx context.Context) <-chan error {
	due := time.NewTicker(originSaveInterval)
	context.AfterFunc(ctx, due.Stop)
	return f.saveUntil(ctx, nil, due.C, func(ctx context.Context) error { return f.writeOrigins(ctx, time.Now()) })
}

// writeOrigins writes the windows that the store lacks. Those that it fails to write stay unsaved.
func (f *Feed) writeOrigins(ctx context.Context, now time.Time) error {
	l := &f.origins.log
	f.origins.mu.Lock()
	l.forget(now)
	if l.lease != 0 && l.era != f.era() { // the store may lack what was written in the earlier era
		l.lease = 0
		for w := range l.windows {
			l.unsaved[w] = true
		}
	}
	lease, unsaved := l.lease, len(l.unsaved)
	if now.Sub(l.granted) >= originLeaseUse {
		lease = 0
	}
	f.origins.mu.Unlock()
	if unsaved == 0 || fleet.Of(f.cfg.Daemon.State()).SoleOrigin(now) {
		return nil
	}
	if lease == 0 {
		var err error
		if lease, err = f.cfg.Store.GrantLease(ctx, originLeaseSeconds); err != nil {
			return err
		}
		f.origins.mu.Lock()
		l.lease, l.era, l.granted = lease, f.cfg.Store.Era(), now
		f.origins.mu.Unlock()
	}
	writes, taken := f.takeOrigins(lease)
	if len(writes) == 0 {
		return nil
	}
	_, err := f.cfg.Store.Commit(ctx, nil, writes)
	if err != nil {
		f.origins.mu.Lock()
		l.lease = 0 // it may have ended
		for _, w := range taken {
			l.unsaved[w] = true
		}
		f.origins.mu.Unlock()
		return err
	}
	f.cfg.Daemon.Record(trace.Entry{Kind: "origins-saved", Routine: true, Detail: fmt.Sprintf("the versions that began the streams of %d windows of %s", len(writes), originWindow)})
	return nil
}

// takeOrigins returns the writes of the unsaved windows under a lease, at most maxSaved, and these windows,
// which count as saved from then on.
func (f *Feed) takeOrigins(lease int64) ([]store.Write, []int64) {
	f.origins.mu.Lock()
	defer f.origins.mu.Unlock()
	l := &f.origins.log
	var writes []store.Write
	taken := slices.Sorted(maps.Keys(l.unsaved))
	taken = taken[:min(len(taken), maxSaved)]
	for _, w := range taken {
		delete(l.unsaved, w)
		value, err := json.Marshal(l.entry(w))
		if err != nil {
			f.cfg.Daemon.Record(trace.Entry{Kind: "save-failed", Detail: err.Error()})
			continue
		}
		writes = append(writes, store.Write{Key: f.originKey(w), Value: value, Lease: lease})
	}
	return writes, taken
}

// originKey returns the key of the entry of a window. It names the process, as one that starts again does not
// know what the former one wrote in the same window.
func (f *Feed) originKey(window int64) string {
	return fmt.Sprintf("%s%s/%x/%d", originPrefix, f.cfg.Self.GetId(), f.cfg.Self.GetIncarnation(), window)
}

// entry returns the entry of a window.
func (l *originLog) entry(window int64) originEntry {
	var e originEntry
	for s, digests := range l.windows[window] {
		o := streamOrigin{Service: s.service, Version: s.version}
		for _, d := range digests {
			o.Requests += d
		}
		e = append(e, o)
	}
	return e
}

// forget drops the windows whose streams have ended.
func (l *originLog) forget(now time.Time) {
	oldest := l.windowOf(now) - int64(originMemory/originWindow)
	maps.DeleteFunc(l.windows, func(w int64, _ map[software][]string) bool { return w < oldest })
	maps.DeleteFunc(l.unsaved, func(w int64, _ bool) bool { return w < oldest })
}

// find returns the origin of the stream of a request, and whether the store holds it.
func (o *origins) find(ctx context.Context, now time.Time, s store.Store, request string) (kernel.SaveOrigin, bool, error) {
	o.readMu.Lock()
	defer o.readMu.Unlock()
	digest := originDigest(request)
	sw, found := o.read[digest]
	if !found && now.Sub(o.readAt) >= originReadTTL {
		var r store.Range
		if r, o.err = s.List(ctx, originPrefix, 0); o.err == nil {
			o.read = decodeOrigins(r.Entries)
		}
		o.readAt = now
		sw, found = o.read[digest]
	}
	return kernel.SaveOrigin{Request: request, Service: sw.service, Version: sw.version}, found, o.err
}

// decodeOrigins returns what began each stream, by the digest of its request. It passes over what it cannot
// decode.
func decodeOrigins(entries []store.Entry) map[string]software {
	size := len(originDigest(""))
	read := map[string]software{}
	for _, e := range entries {
		var list originEntry
		if json.Unmarshal(e.Value, &list) != nil {
			continue
		}
		for _, o := range list {
			for text := o.Requests; len(text) >= size; text = text[size:] {
				read[text[:size]] = software{o.Service, o.Version}
			}
		}
	}
	return read
}
