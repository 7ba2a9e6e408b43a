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
	"sync"

	"github.com/valyala/fasthttp"
)

// Server is a running stand-in.
type Server struct {
	listener *Listener
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
	ln, err := Listen(addr)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		listener: ln,
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
		s.killErr = s.listener.Kill()
		<-s.done
		<-s.done
	})
	return s.killErr
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
