package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Of the store, as PROTOCOL.md states them.
const (
	storeAnswerTime = 4 * time.Millisecond
	storeHistory    = 20 * time.Second
	storePageSize   = 500
	storeMaxWait    = 30 * time.Second
)

// item is a key of the store with its value, or a deleted key.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease-id"`
	Deleted  bool   `json:"deleted,omitempty"`
	at       time.Time
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// store is the platform's metadata store, in memory.
type store struct {
	addr      string
	log       *record
	mu        sync.Mutex
	changed   chan struct{} // closed and replaced at each change
	cut       chan struct{} // closed and replaced when the waiting watches are cut
	revision  int64
	items     map[string]item
	events    []item
	discarded int64 // revision up to which the history is gone
	leases    map[int64]lease
	lastLease int64
	busy      bool // answers 503 to everything
}

// newStore starts a store at a free port of an address.
func newStore(ip string, log *record) (*store, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: ln.Addr().String(), log: log, changed: make(chan struct{}), cut: make(chan struct{}), revision: 10, discarded: 10, items: map[string]item{}, leases: map[int64]lease{}}
	go func() { _ = http.Serve(ln, s) }() // ends with the process
	go s.expireLeases()
	return s, nil
}

// setBusy makes the store answer 503 to every call, or ends that.
func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	s.busy = busy
	cut := s.cut
	s.cut = make(chan struct{})
	s.mu.Unlock()
	if busy {
		close(cut)
	}
	s.log.line("store", "busy: %v", busy)
}

// put writes the JSON form of v for the operator or a server, and returns whether the store took it.
func (s *store) put(key string, v any) bool {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy {
		return false
	}
	s.change(item{Key: key, Value: data})
	return true
}

// change writes or deletes a key and wakes the watches. The mutex is held.
func (s *store) change(e item) {
	old, exists := s.items[e.Key]
	if e.Deleted && !exists {
		return
	}
	s.revision++
	e.Revision, e.Created, e.at = s.revision, s.revision, time.Now()
	if exists {
		e.Created = old.Created
	}
	if e.Deleted {
		delete(s.items, e.Key)
	} else {
		s.items[e.Key] = e
	}
	s.events = append(s.events, e)
	for len(s.events) > 0 && time.Since(s.events[0].at) > storeHistory {
		s.discarded, s.events = s.events[0].Revision, s.events[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases removes the keys of leases that have ended.
func (s *store) expireLeases() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.until) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its keys. The mutex is held.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, e := range s.items {
		if e.Lease == id {
			s.change(item{Key: key, Deleted: true})
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	w.Header().Set("Store-Era", "1")
	s.mu.Lock()
	busy := s.busy
	s.mu.Unlock()
	if busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	call := r.Method + " " + r.URL.Path
	id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
	switch {
	case call == "GET /kv-watch":
		s.watch(w, r)
		return
	case call == "GET /kv-range":
		s.list(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case call == "GET /kv-key":
		e, ok := s.items[r.URL.Query().Get("key")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, e)
	case call == "POST /kv-txn":
		s.commit(w, r)
	case call == "POST /kv-lease":
		var req struct {
			TTL int64 `json:"ttl-ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&req)
		s.lastLease++
		ttl := time.Duration(max(req.TTL, 1000)) * time.Millisecond
		s.leases[s.lastLease] = lease{ttl: ttl, until: time.Now().Add(ttl)}
		writeJSON(w, http.StatusOK, map[string]int64{"lease-id": s.lastLease, "ttl-ms": ttl.Milliseconds()})
	case strings.HasPrefix(call, "POST /kv-keep/"):
		l, ok := s.leases[id]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.leases[id] = lease{ttl: l.ttl, until: time.Now().Add(l.ttl)}
		writeJSON(w, http.StatusOK, map[string]int64{"ttl-ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(call, "DELETE /kv-lease-end/"):
		s.endLease(id)
		writeJSON(w, http.StatusOK, struct{}{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// commit carries out a transaction. The mutex is held.
func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected-rev"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease-id"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, e := range req.Expected {
		if s.items[e.Key].Revision != e.Revision {
			writeJSON(w, http.StatusPreconditionFailed, map[string]any{"entries": []item{s.items[e.Key]}})
			return
		}
	}
	for _, p := range req.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range req.Puts {
		s.change(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
		s.log.line("store", "a node writes %s = %q", p.Key, p.Value)
	}
	for _, key := range req.Remove {
		s.change(item{Key: key, Deleted: true})
	}
	writeJSON(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("path-prefix"), r.URL.Query().Get("after")
	entries := []item{}
	for key, e := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, e)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	more := len(entries) > storePageSize
	writeJSON(w, http.StatusOK, map[string]any{"entries": entries[:min(len(entries), storePageSize)], "has-more": more, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait-ms"))
	begun := false
	timeout := time.After(min(time.Duration(ms)*time.Millisecond, storeMaxWait))
	for {
		s.mu.Lock()
		changed, cut, at := s.changed, s.cut, s.revision
		gone := after < s.discarded || after > s.revision
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("path-prefix")) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) == 0 && !begun { // the head of the answer goes out while the watch waits
			begun = true
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush() // the node may have gone
		}
		if len(events) > 0 {
			writeBody(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler) // closes the connection
		case <-timeout:
			writeBody(w, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// writeBody writes the JSON form of v, after the head if that has not been written yet.
func writeBody(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller may have gone
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may have gone
}
