package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat     = 1200 * time.Millisecond
	eventInterval = 60 * time.Millisecond // between two events of an engine's stream
	stride        = 4                     // tokens in one event
	promptRate    = 14                    // prompt tokens that an engine reads in a millisecond
)

// stamp returns the X-Response-Stamp of a request's answer.
func stamp(requestID string) string {
	sum := sha256.Sum256([]byte("stamp " + requestID))
	return hex.EncodeToString(sum[:8])
}

// eventText returns the data of an event of a stream: it is the same at all servers of a version.
func eventText(version string, n int) string { return fmt.Sprintf("%s piece %d", version, n) }

// server is a server of a service, or an engine if it has streams.
type server struct {
	d       *deployment
	id      string
	service string
	zone    string
	addr    string
	slots   int
	work    time.Duration // of a request of a plain service
	engine  bool
	// isHarmful says which requests crash the server when it begins to run them; nil for none.
	isHarmful func(r *http.Request, body string) bool
	dark      bool   // its connections stay open and silent after a crash, until it is back
	onHarmful func() // crashes it and starts it again

	mu       sync.Mutex
	version  string
	born     int64
	sequence int
	http     *http.Server // nil while it is down
	conns    *connList    // of the lifetime
	life     context.Context
	end      context.CancelFunc
	running  int
	accepted int
}

// newServer returns a server with an address of its own that is not started yet.
func (d *deployment) newServer(id, service, version string, engine bool) (*server, error) {
	ln, err := net.Listen("tcp", d.serverIP+":0")
	if err != nil {
		return nil, err
	}
	s := &server{d: d, id: id, service: service, zone: d.zones[len(d.servers)%len(d.zones)], addr: ln.Addr().String(), version: version, engine: engine, slots: 6, work: 60 * time.Millisecond}
	if engine {
		s.slots = 24
	}
	d.servers = append(d.servers, s)
	s.serve(ln)
	go s.beat()
	return s, nil
}

// serve begins a lifetime of the server.
func (s *server) serve(ln net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.born, s.sequence, s.running = time.Now().UnixMilli(), 0, 0
	s.life, s.end = context.WithCancel(context.Background())
	s.http, s.conns = &http.Server{Handler: s}, &connList{Listener: ln, reset: make(chan struct{})}
	h, list := s.http, s.conns
	go func() { _ = h.Serve(list) }()
	s.d.log.line(s.id, "starts at %s with version %s, born %d", s.addr, s.version, s.born)
}

// crash ends the server's process without notice: its connections break and nothing listens.
func (s *server) crash() {
	s.mu.Lock()
	h, end := s.http, s.end
	s.http = nil
	s.mu.Unlock()
	end()
	_ = h.Close()
	s.d.log.line(s.id, "its process ends")
}

// goDark ends the server as a machine that has crashed: it sends nothing, to those that are connected
// nor to those that try to connect, until the time is over. Then it starts again, and the connections
// of the process before are reset.
func (s *server) goDark(d time.Duration) error {
	s.mu.Lock()
	list, end := s.conns, s.end
	s.http = nil
	s.mu.Unlock()
	_ = list.Close()
	end()
	s.d.log.line(s.id, "it sends nothing any more")
	unanswered, err := silentListener(s.addr)
	if err != nil {
		return err
	}
	time.Sleep(d)
	unanswered()
	err = s.restart(s.version)
	list.resetAll()
	return err
}

// restart starts the server again under its id and address.
func (s *server) restart(version string) error {
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.version = version
	s.mu.Unlock()
	s.serve(ln)
	s.register()
	return nil
}

// beat writes the server's record about every heartbeat.
func (s *server) beat() {
	s.register()
	for range time.Tick(heartbeat) {
		s.register()
	}
}

// register writes the server's record, unless it is down.
func (s *server) register() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http == nil {
		return
	}
	s.sequence++
	entry := map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": s.version, "slot-count": s.slots, "state": "ready",
		"cold-left-ms": 0, "sequence": s.sequence, "born": s.born,
	}
	if s.engine {
		entry["phase"] = "colocated"
		entry["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
	}
	if !s.d.store.put("servers/"+s.id, entry) {
		s.d.log.line(s.id, "the store does not take its record (version %s, born %d)", s.version, s.born)
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	life, version, reset := s.life, s.version, s.conns.reset
	s.mu.Unlock()
	switch r.URL.Path {
	case "/health":
		w.Header().Set("X-Instance-Id", s.id)
		return
	case "/report":
		s.report(w)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	full := s.running >= s.slots
	if !full {
		s.running++
		s.accepted++
	}
	s.mu.Unlock()
	if full {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(life, cancel)()
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	harmful := s.isHarmful != nil && s.isHarmful(r, string(body))
	s.d.ran(s, r, len(body), harmful)
	if harmful {
		go s.onHarmful()
		<-life.Done()
		s.awaitReset(reset)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Stamp", stamp(id))
	if s.engine {
		s.stream(ctx, w, r, version)
		return
	}
	if !pause(ctx, s.work) {
		if life.Err() != nil {
			s.awaitReset(reset)
		}
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, answerText(id)) // the node may have gone
}

// awaitReset waits, if the server goes dark when it crashes, until the connections of the lifetime
// are reset.
func (s *server) awaitReset(reset <-chan struct{}) {
	if s.dark {
		<-reset
	}
}

// answerText returns the body of a plain service's answer.
func answerText(id string) string { return "done " + id }

// report serves the engine's statement of its state.
func (s *server) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"phase": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "sequence": s.accepted,
		"queued": 0, "in-flight": s.running, "kv-used": 1000 * s.running, "kv-total": 34261, "handles": 0, "state": "ready", "born": s.born, "runs": []any{},
	})
}

// stream sends the events of a generation that come after Last-Event-Id. It ends without its end
// if the server ends.
func (s *server) stream(ctx context.Context, w http.ResponseWriter, r *http.Request, version string) {
	prompt, output, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	promptTokens, _ := strconv.Atoi(prompt)
	tokens, _ := strconv.Atoi(output)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if !pause(ctx, time.Duration(promptTokens/promptRate)*time.Millisecond) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	flusher := http.NewResponseController(w)
	for n := last + 1; n <= tokens/stride; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventText(version, n)); err != nil {
			return
		}
		if err := flusher.Flush(); err != nil {
			return
		}
		if !pause(ctx, eventInterval) {
			panic(http.ErrAbortHandler)
		}
	}
}

// pause waits, and returns false if ctx ends before.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
