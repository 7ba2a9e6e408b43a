package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	drainTime = 2 * time.Second // drain-ms
	drainMore = time.Second     // for which a leaving server serves beyond that
)

// serverConfig describes a server.
type serverConfig struct {
	ID      string
	Service string
	Zone    string
	Version string
	Slots   int
	Engine  bool
	Work    time.Duration // of a plain request
	Pace    time.Duration // between two events
	Events  int           // of a stream
	// Header, if set, returns headers for an answer; it may be called for each one.
	Header func() map[string]string
	// Crash, if set, says whether the server crashes as it begins to answer a request.
	Crash func(r *http.Request) bool
	// CrashAfter, if set, says after how many events the server crashes; 0 for never.
	CrashAfter func(r *http.Request) int
	// Turn, if set, turns a request away: it returns the headers of the 503, or nil.
	Turn func(r *http.Request) map[string]string
	Back time.Duration // after a crash until it is back
}

// arrival is a request that reached a server.
type arrival struct {
	at      time.Time
	server  string
	id      string
	ran     bool
	version string
	from    string // Last-Event-Id
	part    string // X-Prompt-Prefix
	tenant  string // X-Tenant
}

// server is a stand-in for a server of a service.
type server struct {
	cfg      serverConfig
	rig      *rig
	addr     string
	mu       sync.Mutex
	http     *http.Server
	born     int64
	sequence int
	running  int
	state    string
	gone     bool
	handler  http.Handler // nil for the server itself
}

// start starts the server.
func (s *server) start() error {
	addr := s.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.addr, s.born, s.sequence, s.running, s.state, s.gone = ln.Addr().String(), time.Now().UnixMilli(), 0, 0, "ready", false
	s.http = &http.Server{Handler: s}
	if s.handler != nil {
		s.http.Handler = s.handler
	}
	h := s.http
	s.mu.Unlock()
	go func() { _ = h.Serve(ln) }()
	s.beat()
	return nil
}

// beat writes the server's entry, which changes the item in the store only if the entry has changed.
func (s *server) beat() {
	s.mu.Lock()
	if s.gone {
		s.mu.Unlock()
		return
	}
	entry := map[string]any{
		"service": s.cfg.Service, "address": s.addr, "zone": s.cfg.Zone, "version": s.cfg.Version, "slot-count": s.cfg.Slots,
		"state": s.state, "cold-left-ms": 0, "sequence": s.sequence, "born": s.born,
	}
	s.mu.Unlock()
	s.rig.store.put("servers/"+s.cfg.ID, entry)
}

// drain says that the server is leaving. It goes on serving for drainTime and a little longer, and then leaves.
func (s *server) drain() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.beat()
	time.AfterFunc(drainTime+drainMore, func() {
		s.mu.Lock()
		s.gone = true
		h := s.http
		s.mu.Unlock()
		_ = h.Close()
		s.rig.store.remove("servers/" + s.cfg.ID)
		s.rig.record("server %s has left", s.cfg.ID)
	})
}

// crash ends the server's process. It is back after some seconds, if Back is set.
func (s *server) crash() {
	s.mu.Lock()
	if s.gone {
		s.mu.Unlock()
		return
	}
	s.gone = true
	h := s.http
	s.mu.Unlock()
	s.rig.record("server %s crashed", s.cfg.ID)
	_ = h.Close()
	if s.cfg.Back > 0 {
		time.AfterFunc(s.cfg.Back, func() {
			if err := s.start(); err != nil {
				s.rig.record("server %s could not start again: %v", s.cfg.ID, err)
				return
			}
			s.rig.record("server %s is back", s.cfg.ID)
		})
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Instance-Id", s.cfg.ID)
	if s.cfg.Header != nil {
		for name, value := range s.cfg.Header() {
			h.Set(name, value)
		}
	}
	s.mu.Lock()
	if s.state == "draining" {
		h.Set("Server-Leaving", "1")
	}
	s.mu.Unlock()
	if id := r.Header.Get("X-Request-Id"); id != "" {
		h.Set("X-Request-Id", id)
	}
	switch {
	case r.URL.Path == "/report":
		s.mu.Lock()
		body := map[string]any{"phase": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": s.sequence, "queued": 0, "in-flight": s.running, "kv-used": 0, "kv-total": 34261, "handles": 0, "state": s.state, "born": s.born, "runs": []any{}}
		s.mu.Unlock()
		h.Set("Content-Type", "application/json")
		reply(w, http.StatusOK, body)
		return
	case r.URL.Path == "/health":
		w.WriteHeader(http.StatusOK)
		return
	case strings.HasPrefix(r.URL.Path, "/kv-"):
		w.WriteHeader(http.StatusNotFound)
		return
	}
	a := arrival{at: time.Now(), server: s.cfg.ID, id: r.Header.Get("X-Request-Id"), version: s.cfg.Version, from: r.Header.Get("Last-Event-Id"), part: r.Header.Get("X-Prompt-Prefix"), tenant: r.Header.Get("X-Tenant")}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.cfg.ID {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.cfg.Turn != nil {
		if extra := s.cfg.Turn(r); extra != nil {
			s.rig.arrived(a)
			for name, value := range extra {
				h.Set(name, value)
			}
			h.Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	s.mu.Lock()
	full := s.running >= s.cfg.Slots
	if !full {
		s.running++
	}
	s.mu.Unlock()
	a.ran = !full
	s.rig.arrived(a)
	if full {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	if s.cfg.Crash != nil && s.cfg.Crash(r) {
		time.Sleep(s.cfg.Work)
		s.crash()
		panic(http.ErrAbortHandler)
	}
	h.Set("X-Response-Stamp", "stamp-"+a.id)
	if s.cfg.Engine {
		s.stream(w, r, a)
		return
	}
	select {
	case <-time.After(s.cfg.Work):
	case <-r.Context().Done():
		return
	}
	_, _ = fmt.Fprintf(w, "%s ran at %s\n", a.id, s.cfg.ID)
}

// stream sends the events of a stream, from the one after Last-Event-Id.
func (s *server) stream(w http.ResponseWriter, r *http.Request, a arrival) {
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(a.from)
	events := s.cfg.Events
	if n, err := strconv.Atoi(r.Header.Get("X-Length-Hint")); err == nil {
		events = n
	}
	time.Sleep(s.cfg.Work)
	crashAfter := 0
	if s.cfg.CrashAfter != nil {
		crashAfter = s.cfg.CrashAfter(r)
	}
	for i := after + 1; i <= events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, a.version, i); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		if crashAfter > 0 && i-after == crashAfter {
			time.Sleep(s.cfg.Pace)
			s.crash()
			panic(http.ErrAbortHandler)
		}
		select {
		case <-time.After(s.cfg.Pace):
		case <-r.Context().Done():
			return
		}
	}
}
