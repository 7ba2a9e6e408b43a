package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// arrival is a request that reached a server.
type arrival struct {
	at      time.Time
	id      string
	from    string // IP address of the machine that sent it
	path    string
	parts   string // X-Prompt-Prefix
	lastID  string // Last-Event-Id
	target  string
	expects time.Duration // X-Deadline-Ms
}

// server is a server of a service, as PROTOCOL.md describes it. A process of it ends with crash.
type server struct {
	w       *world
	id      string
	service string
	ip      string
	zone    string
	version string
	slots   int
	// handle answers a request that the server runs. It returns false if the server has crashed.
	handle func(s *server, w http.ResponseWriter, r *http.Request) bool

	mu       sync.Mutex
	born     int64
	seq      int64
	state    string
	ln       net.Listener
	conns    map[net.Conn]bool
	arrivals []arrival
	crashes  []time.Time
}

func (s *server) addr() string { return fmt.Sprintf("%s:%d", s.ip, portServer) }

// start starts a process of the server, and registers it.
func (s *server) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	ln, err := net.Listen("tcp", s.addr())
	if err != nil {
		s.w.fatal("listen at %s: %v", s.addr(), err)
	}
	s.ln, s.conns, s.born, s.seq, s.state = ln, map[net.Conn]bool{}, time.Now().UnixMilli(), 0, "ready"
	conns := s.conns
	h := &http.Server{Handler: s, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if state == http.StateClosed {
			delete(conns, c)
		} else {
			conns[c] = true
		}
	}}
	go func() { _ = h.Serve(ln) }()
	go s.register(s.born)
}

// register writes the server's record as long as its process runs.
func (s *server) register(born int64) {
	for {
		s.mu.Lock()
		running := s.ln != nil && s.born == born
		s.seq++
		record := map[string]any{"service": s.service, "address": s.addr(), "zone": s.zone, "version": s.version, "slot-count": s.slots,
			"state": s.state, "cold-left-ms": 0, "sequence": 1, "born": born, "phase": "colocated", "models": models()}
		s.mu.Unlock()
		if !running {
			return
		}
		s.w.store.mu.Lock()
		same := string(s.w.store.own["servers/"+s.id]) == string(mustJSON(record))
		s.w.store.mu.Unlock()
		if !same {
			s.w.store.write("servers/"+s.id, record)
		}
		time.Sleep(heartbeat)
	}
}

func models() []map[string]any {
	return []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
}

// crash ends the process of the server at once, as a kill does, and starts it again after a time.
// Its record lapses after three heartbeats of silence, or is replaced.
func (s *server) crash(back time.Duration) {
	s.mu.Lock()
	if s.ln == nil {
		s.mu.Unlock()
		return
	}
	s.crashes = append(s.crashes, time.Now())
	_ = s.ln.Close()
	for c := range s.conns {
		_ = c.Close()
	}
	s.ln = nil
	s.mu.Unlock()
	time.AfterFunc(back, s.start)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	born := s.born
	s.mu.Unlock()
	if r.URL.Path == "/report" {
		if t := r.Header.Get("X-Target-Instance"); t != "" && t != s.id {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		reply(w, map[string]any{"phase": "colocated", "models": models(), "busy": false, "sequence": 1, "queued": 0, "in-flight": 0,
			"kv-used": 0, "kv-total": 34261, "handles": 0, "state": "ready", "born": born, "next": 0, "runs": []string{}})
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	ms, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	a := arrival{at: time.Now(), id: r.Header.Get("X-Request-Id"), from: host, path: r.URL.Path, parts: r.Header.Get("X-Prompt-Prefix"),
		lastID: r.Header.Get("Last-Event-Id"), target: r.Header.Get("X-Target-Instance"), expects: time.Duration(ms) * time.Millisecond}
	w.Header().Set("X-Request-Id", a.id)
	if a.target != "" && a.target != s.id || a.id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	s.w.record("%s reaches %s from %s, %s parts %q, %d bytes", a.id, s.id, a.from, a.path, a.parts, len(body))
	if !s.handle(s, w, r) {
		panic(http.ErrAbortHandler)
	}
}

// stream answers with a number of events, after the part of the prompt that crashes servers has been
// looked for: a server that begins to write an answer on it ends.
func stream(harmful string, events int, interval, back time.Duration) func(s *server, w http.ResponseWriter, r *http.Request) bool {
	return func(s *server, w http.ResponseWriter, r *http.Request) bool {
		time.Sleep(30 * time.Millisecond) // the prompt is read
		if harmful != "" && strings.Contains(r.Header.Get("X-Prompt-Prefix"), harmful+":") {
			s.w.record("%s crashes under %s", s.id, r.Header.Get("X-Request-Id"))
			s.crash(back)
			return false
		}
		w.Header().Set("X-Response-Stamp", s.id+"."+r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Weight-Versions", "1")
		w.Header().Set("Content-Type", "text/event-stream")
		first := 1
		if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
			first = last + 1
		}
		for i := first; i <= events; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 200)); err != nil {
				return true
			}
			_ = http.NewResponseController(w).Flush()
			select {
			case <-r.Context().Done():
				return true
			case <-time.After(interval):
			}
		}
		return true
	}
}
