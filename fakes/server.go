// Package fakes holds small stand-ins for the systems around a deployment: a
// model engine, a plain service, the key-value service, the weight store and
// the list of hosts.
//
// Each speaks a published form (HTTP, JSON, server-sent events) and can be
// told to fail. They exist for tests, measurements and the demo; nothing of
// the system itself depends on them.
package fakes

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Server is a running stand-in.
type Server struct {
	listener *trackedListener
	http     *fasthttp.Server
	done     chan error
	stop     context.CancelFunc
	closed   <-chan struct{}
	killed   sync.Once
	killErr  error
}

// Starts a stand-in on addr; port 0 takes a free port. Work runs until the
// server is closed, and may be nil.
func start(addr string, handler fasthttp.RequestHandler, work func(ctx context.Context)) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "stand-in listens on %s", addr)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		listener: &trackedListener{Listener: ln, conns: map[net.Conn]bool{}},
		http:     &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, Logger: quiet{}},
		done:     make(chan error, 2),
		stop:     stop,
		closed:   ctx.Done(),
	}
	go func() { s.done <- s.http.Serve(s.listener) }()
	go func() {
		if work != nil {
			work(ctx)
		}
		s.done <- nil
	}()
	return s, nil
}

// quiet drops the library's own log lines, which report broken connections.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

// Addr returns the address that the stand-in listens on.
func (s *Server) Addr() string {
	return s.listener.Addr().String()
}

// Kill ends the stand-in as a crash would: every connection breaks at once. A
// stand-in that was killed stays so.
func (s *Server) Kill() error {
	s.killed.Do(func() {
		s.stop()
		s.killErr = s.listener.kill()
		<-s.done
		<-s.done
	})
	return s.killErr
}

// trackedListener knows its open connections, so that a crash can break them.
type trackedListener struct {
	net.Listener
	mu     sync.Mutex
	conns  map[net.Conn]bool
	killed bool
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.killed {
		return nil, errors.Wrap(c.Close(), "stand-in was killed")
	}
	l.conns[c] = true
	return &trackedConn{Conn: c, listener: l}, nil
}

func (l *trackedListener) kill() error {
	l.mu.Lock()
	l.killed = true
	l.mu.Unlock()
	err := l.Listener.Close()
	l.cut()
	return err
}

// Breaks every open connection.
func (l *trackedListener) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if t, ok := c.(*net.TCPConn); ok {
			// A reset, as from a host whose process is gone.
			_ = t.SetLinger(0)
		}
		_ = c.Close()
		delete(l.conns, c)
	}
}

// trackedConn tells its listener when it is closed.
type trackedConn struct {
	net.Conn
	listener *trackedListener
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c.Conn)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// Writes v as the response in JSON.
func reply(ctx *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// message is the body of an answer that refuses a request.
type message struct {
	Error string `json:"error"`
}

func refuse(ctx *fasthttp.RequestCtx, status int, text string) {
	reply(ctx, status, message{Error: text})
}

// Decodes the request's JSON body, or answers with 400.
func decode(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, "body is not valid JSON: "+err.Error())
		return false
	}
	return true
}

// Waits for a time, or until ctx ends. It reports whether the time passed.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
