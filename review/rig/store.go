package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the platform's metadata store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	LeaseID  int64  `json:"lease-id"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// kvStore is the platform's metadata store, in memory.
type kvStore struct {
	mu       sync.Mutex
	changed  chan struct{} // closed and replaced at each change
	era      int64         // stated in all answers
	revision int64
	items    map[string]item
	events   []item
	leases   map[int64]lease
	nextID   int64 // of a lease
	away     bool  // every call gets status 503
	changes  []datedChange
	staleAge func(after string) time.Duration // of a page that a read with allow-stale gets, by the key after which it begins; nil for 0
}

// pageItems is the number of items of one page.
const pageItems = 50

// datedChange is a change with its time.
type datedChange struct {
	at   time.Time
	item item
}

// newStore returns an empty store.
func newStore() *kvStore {
	return &kvStore{changed: make(chan struct{}), era: 1, revision: 10, items: map[string]item{}, leases: map[int64]lease{}, nextID: 100}
}

// listen serves the store and returns its address.
func (s *kvStore) listen() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(ln) }()
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.expireLeases(time.Now())
		}
	}()
	return ln.Addr().String(), nil
}

// change makes a change. The mutex is held.
func (s *kvStore) change(e item) {
	s.revision++
	e.Revision, e.Created = s.revision, s.revision
	if old, ok := s.items[e.Key]; ok {
		e.Created = old.Created
	}
	if e.Deleted {
		delete(s.items, e.Key)
	} else {
		s.items[e.Key] = e
	}
	s.events = append(s.events, e)
	s.changes = append(s.changes, datedChange{time.Now(), e})
	close(s.changed)
	s.changed = make(chan struct{})
}

// itemsAt returns the items as they were at a time, and the revision then. The mutex is held.
func (s *kvStore) itemsAt(at time.Time) (map[string]item, int64) {
	items, revision := map[string]item{}, int64(0)
	for _, c := range s.changes {
		if c.at.After(at) {
			break
		}
		if revision = c.item.Revision; c.item.Deleted {
			delete(items, c.item.Key)
		} else {
			items[c.item.Key] = c.item
		}
	}
	return items, revision
}

// put writes the JSON form of v, as the operator and the servers do. It does nothing while the store is away.
func (s *kvStore) put(key string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.items[key]; !s.away && (!ok || !bytes.Equal(e.Value, data)) {
		s.change(item{Key: key, Value: data})
	}
}

// remove removes a key. It does nothing while the store is away.
func (s *kvStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok && !s.away {
		s.change(item{Key: key, Deleted: true})
	}
}

// get returns the value of a key.
func (s *kvStore) get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.items[key]
	return e.Value, ok
}

// keys returns the keys with a prefix.
func (s *kvStore) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, key)
		}
	}
	slices.Sort(list)
	return list
}

// setAway makes the store go away, or come back.
func (s *kvStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases removes the keys of the leases that have ended.
func (s *kvStore) expireLeases(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return
	}
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease. The mutex is held.
func (s *kvStore) endLease(id int64) {
	delete(s.leases, id)
	for key, e := range s.items {
		if e.LeaseID == id {
			s.change(item{Key: key, Deleted: true})
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	w.Header().Set("Content-Type", "application/json")
	away := s.away
	s.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	path, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch path {
	case "kv-key":
		s.serveKey(w, q.Get("key"))
	case "kv-range":
		s.serveRange(w, q.Get("path-prefix"), q.Get("after"), q.Get("allow-stale") == "1")
	case "kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		s.serveWatch(w, q.Get("path-prefix"), after, time.Duration(wait)*time.Millisecond)
	case "kv-txn":
		s.serveTxn(w, r)
	case "kv-lease":
		s.serveLease(w, r)
	case "kv-keep":
		n, _ := strconv.ParseInt(id, 10, 64)
		s.serveKeep(w, n)
	case "kv-lease-end":
		n, _ := strconv.ParseInt(id, 10, 64)
		s.mu.Lock()
		s.endLease(n)
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// reply writes a JSON body.
func reply(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *kvStore) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	e, ok := s.items[key]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, e)
}

func (s *kvStore) serveRange(w http.ResponseWriter, prefix, after string, stale bool) {
	s.mu.Lock()
	items, at := s.items, s.revision
	if stale && s.staleAge != nil {
		items, at = s.itemsAt(time.Now().Add(-s.staleAge(after)))
	}
	list := []item{}
	for key, e := range items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, e)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(list) > pageItems
	list = list[:min(len(list), pageItems)]
	reply(w, http.StatusOK, map[string]any{"entries": list, "has-more": more, "at": at})
}

func (s *kvStore) serveWatch(w http.ResponseWriter, prefix string, after int64, wait time.Duration) {
	timeout := time.After(wait)
	s.mu.Lock()
	era := s.era
	for {
		if s.away || s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler) // the watch is cut
		}
		if after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		list := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				list = append(list, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(list) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": list, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": list, "at": at})
			return
		}
		s.mu.Lock()
	}
}

func (s *kvStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected-rev"`
		Puts   []item   `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state, holds := []item{}, true
	for _, c := range req.Expected {
		e := s.items[c.Key]
		holds = holds && e.Revision == c.Revision
		state = append(state, item{Key: c.Key, Value: e.Value, Revision: e.Revision})
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"entries": state})
		return
	}
	for _, p := range req.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[p.LeaseID]; p.LeaseID != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range req.Puts {
		s.change(item{Key: p.Key, Value: p.Value, LeaseID: p.LeaseID})
	}
	for _, key := range req.Remove {
		if _, ok := s.items[key]; ok {
			s.change(item{Key: key, Deleted: true})
		}
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *kvStore) serveLease(w http.ResponseWriter, r *http.Request) {
	var req struct {
		TTL int64 `json:"ttl-ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&req)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(req.TTL) * time.Millisecond
	s.leases[s.nextID] = lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease-id": s.nextID, "ttl-ms": req.TTL})
}

func (s *kvStore) serveKeep(w http.ResponseWriter, id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	reply(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}
