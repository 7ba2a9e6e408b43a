// Package fakes holds small fakes of the systems around a deployment: a
// model engine, a plain service, the key-value service, the weight store and
// the list of hosts.
//
// Each has a documented interface (HTTP, JSON, server-sent events). The engine, the
// plain service and the key-value service can inject faults. The fakes exist for
// tests, measurements and the demo; no production code depends on them.
package fakes

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/valyala/fasthttp"
)

// Server is the part that all fakes share: an HTTP server and a background
// function.
type Server struct {
	listener *Listener
	http     *fasthttp.Server
	stopped  chan error         // receives once from the HTTP server and once from the background function
	cancel   context.CancelFunc // ends the background function
	closed   <-chan struct{}    // closed when the server is killed
	killOnce sync.Once
	killErr  error
}

// startServer starts a server on addr, in which port 0 stands for any free port.
// The function background, which may be nil, must return when its context ends,
// which happens when the server is killed.
func startServer(addr string, handler fasthttp.RequestHandler, background func(ctx context.Context)) (*Server, error) {
	ln, err := Listen(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		listener: ln,
		http:     &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, Logger: discardLogger{}},
		stopped:  make(chan error, 2),
		cancel:   cancel,
		closed:   ctx.Done(),
	}
	go func() { s.stopped <- s.http.Serve(s.listener) }()
	go func() {
		if background != nil {
			background(ctx)
		}
		s.stopped <- nil
	}()
	return s, nil
}

// discardLogger discards the log lines of fasthttp, which report broken
// connections.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Addr returns the address on which the fake listens.
func (s *Server) Addr() string {
	return s.listener.Addr().String()
}

// Kill ends the fake as a crash would: it resets every open connection. A killed
// fake cannot be started again, and further calls return the result of the first.
func (s *Server) Kill() error {
	s.killOnce.Do(func() {
		s.cancel()
		s.killErr = s.listener.Kill()
		<-s.stopped
		<-s.stopped
	})
	return s.killErr
}

// replyJSON responds with v as JSON.
func replyJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// errorResponse is the body of a response that reports an error.
type errorResponse struct {
	Error string `json:"error"`
}

// replyError responds with an error.
func replyError(ctx *fasthttp.RequestCtx, status int, text string) {
	replyJSON(ctx, status, errorResponse{Error: text})
}

// decodeBody decodes the JSON body of a request into v. It reports false after
// responding with status 400 if the body is not valid.
func decodeBody(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		replyError(ctx, fasthttp.StatusBadRequest, "body is not valid JSON: "+err.Error())
		return false
	}
	return true
}
