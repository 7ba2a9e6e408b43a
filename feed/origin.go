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

// origin is what began a stream.
type origin struct{ service, version string }

// originEntry holds the origins of the streams that began in one window, as the store keeps them. It
// outlasts all nodes, and is removed with its lease.
type originEntry []streamsOfOrigin

// streamsOfOrigin lists the streams that one origin began.
type streamsOfOrigin struct {
	Service  string `json:"service"`
	Version  string `json:"version"`
	Requests string `json:"requests"` // digests of the ids of their requests, one after the other
}

// originDigest returns the digest of a request's id. Its length is the same for all.
func originDigest(request string) string {
	sum := sha256.Sum256([]byte(request))
	return base64.RawURLEncoding.EncodeToString(sum[:9])
}

// originLog decides what this node writes of the streams of the last originMemory that fall to it.
type originLog struct {
	startedAt time.Time                     // of the first window; zero before
	windows   map[int64]map[origin][]string // digests of requests
	known     map[string]int64              // windows of these digests
	unsaved   map[int64]bool
	lease     int64 // under which entries are written; 0 for none
	era       int64 // of the lease
	grantedAt time.Time
}

func newOriginLog() originLog {
	return originLog{windows: map[int64]map[origin][]string{}, known: map[string]int64{}, unsaved: map[int64]bool{}}
}

// windowOf returns the window of a time, counted from the first one that the log was asked for.
func (l *originLog) windowOf(now time.Time) int64 {
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	return int64(now.Sub(l.startedAt) / originWindow)
}

func (l *originLog) add(now time.Time, o origin, request string) {
	w, digest := l.windowOf(now), originDigest(request)
	if _, known := l.known[digest]; known {
		return
	}
	if l.windows[w] == nil {
		l.windows[w] = map[origin][]string{}
	}
	l.windows[w][o] = append(l.windows[w][o], digest)
	l.known[digest], l.unsaved[w] = w, true
}

// originBatch is what one write to the store saves.
type originBatch struct {
	entries map[int64]originEntry // by window
	lease   int64                 // 0 if a new one must be granted first
}

// next returns the windows that the store lacks, at most maxSaved, which count as saved from then on. The
// store may lack what was written in an earlier era than the one given.
func (l *originLog) next(now time.Time, era int64) originBatch {
	l.forget(now)
	if l.lease != 0 && l.era != era {
		l.lease = 0
		for w := range l.windows {
			l.unsaved[w] = true
		}
	}
	b := originBatch{entries: map[int64]originEntry{}}
	if now.Sub(l.grantedAt) < originLeaseUse {
		b.lease = l.lease
	}
	for _, w := range slices.Sorted(maps.Keys(l.unsaved)) {
		if len(b.entries) == maxSaved {
			break
		}
		b.entries[w] = l.entry(w)
		delete(l.unsaved, w)
	}
	return b
}

// failed notes that a batch was not saved. Its lease may have ended.
func (l *originLog) failed(b originBatch) {
	l.lease = 0
	for w := range b.entries {
		l.unsaved[w] = true
	}
}

// entry returns the entry of a window.
func (l *originLog) entry(window int64) originEntry {
	var e originEntry
	for o, digests := range l.windows[window] {
		s := streamsOfOrigin{Service: o.service, Version: o.version}
		for _, d := range digests {
			s.Requests += d
		}
		e = append(e, s)
	}
	return e
}

// forget drops the windows whose streams have ended.
func (l *originLog) forget(now time.Time) {
	oldest := l.windowOf(now) - int64(originMemory/originWindow)
	maps.DeleteFunc(l.windows, func(w int64, _ map[origin][]string) bool { return w < oldest })
	maps.DeleteFunc(l.known, func(_ string, w int64) bool { return w < oldest })
	maps.DeleteFunc(l.unsaved, func(w int64, _ bool) bool { return w < oldest })
}

// decodeOrigins returns what began each stream, by the digest of its request. It passes over what it cannot
// decode.
func decodeOrigins(entries []store.Entry) map[string]origin {
	size := len(originDigest(""))
	read := map[string]origin{}
	for _, e := range entries {
		var list originEntry
		if json.Unmarshal(e.Value, &list) != nil {
			continue
		}
		for _, s := range list {
			for text := s.Requests; len(text) >= size; text = text[size:] {
				read[text[:size]] = origin{s.Service, s.Version}
			}
		}
	}
	return read
}

// origins keeps the origins of streams in the store. Load pattern: while endpoints of several versions serve,
// all nodes end at once, or stop in turn, and every caller whose stream broke takes it up at nodes that have
// just started. While the records of versions name only one version, they tell the origin of each stream, and
// nothing is written.
type origins struct {
	mu     sync.Mutex // guards log
	log    originLog
	readMu sync.Mutex // held while the entries are read, so that many callers cause one read
	read   map[string]origin
	err    error     // of the last read
	readAt time.Time // when that was
}

func newOrigins() *origins { return &origins{log: newOriginLog()} }

// update calls change with the log.
func (o *origins) update(change func(l *originLog)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change(&o.log)
}

// SaveOrigin writes the origin of a stream to the store with the next ones, if the records of versions do
// not tell it. It returns at once.
func (f *Feed) SaveOrigin(now time.Time, o kernel.SaveOrigin) {
	f.origins.update(func(l *originLog) { l.add(now, origin{o.Service, o.Version}, o.Request) })
}

// KeepOrigins writes the origins of streams to the store until ctx ends.
func (f *Feed) KeepOrigins(ctx context.Context) <-chan error {
	due := time.NewTicker(originSaveInterval)
	context.AfterFunc(ctx, due.Stop)
	return f.saveUntil(ctx, nil, due.C, func(ctx context.Context) error { return f.writeOrigins(ctx, time.Now()) })
}

// writeOrigins writes what the store lacks, unless the records of versions tell it.
func (f *Feed) writeOrigins(ctx context.Context, now time.Time) error {
	if fleet.Of(f.cfg.Daemon.State()).SoleOrigin(now) {
		f.origins.update(func(l *originLog) { l.forget(now) })
		return nil
	}
	var b originBatch
	f.origins.update(func(l *originLog) { b = l.next(now, f.era()) })
	if len(b.entries) == 0 {
		return nil
	}
	if err := f.commitOrigins(ctx, now, b); err != nil {
		f.origins.update(func(l *originLog) { l.failed(b) })
		return err
	}
	f.cfg.Daemon.Record(trace.Entry{Kind: "origins-saved", Routine: true, Detail: fmt.Sprintf("the versions that began the streams of %d windows of %s", len(b.entries), originWindow)})
	return nil
}

func (f *Feed) commitOrigins(ctx context.Context, now time.Time, b originBatch) error {
	if b.lease == 0 {
		var err error
		if b.lease, err = f.cfg.Store.GrantLease(ctx, originLeaseSeconds); err != nil {
			return err
		}
		f.origins.update(func(l *originLog) { l.lease, l.era, l.grantedAt = b.lease, f.cfg.Store.Era(), now })
	}
	var writes []store.Write
	for w, e := range b.entries {
		value, err := json.Marshal(e)
		if err != nil {
			return err
		}
		writes = append(writes, store.Write{Key: f.originKey(w), Value: value, Lease: b.lease})
	}
	_, err := f.cfg.Store.Commit(ctx, nil, writes)
	return err
}

// originKey returns the key of the entry of a window. It names the process, as one that starts again does not
// know what the former one wrote in the same window.
func (f *Feed) originKey(window int64) string {
	return fmt.Sprintf("%s%s/%x/%d", originPrefix, f.cfg.Self.GetId(), f.cfg.Self.GetIncarnation(), window)
}

// find returns the origin of the stream of a request, and whether the store holds it.
func (o *origins) find(ctx context.Context, now time.Time, s store.Store, request string) (origin, bool, error) {
	o.readMu.Lock()
	defer o.readMu.Unlock()
	digest := originDigest(request)
	began, found := o.read[digest]
	if !found && now.Sub(o.readAt) >= originReadTTL {
		var r store.Range
		if r, o.err = s.List(ctx, originPrefix, 0); o.err == nil {
			o.read = decodeOrigins(r.Entries)
		}
		o.readAt = now
		began, found = o.read[digest]
	}
	return began, found, o.err
}
