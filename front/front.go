// Package front serves callers and operators over HTTP.
//
// Callers ask for the list of addresses, send chat requests to model services
// and calls to plain ones, and reattach to streams. Operators read and change
// documents and read the node's state. Every failure has the JSON form of
// package apierr.
package front

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/claim"
	"github.com/plantaindeck/plantaindeck/daemon"
	"github.com/plantaindeck/plantaindeck/policy"
	"github.com/plantaindeck/plantaindeck/relay"
	"github.com/plantaindeck/plantaindeck/retry"
	"github.com/plantaindeck/plantaindeck/route"
	"github.com/plantaindeck/plantaindeck/spec"
	"github.com/valyala/fasthttp"
)

const (
	headerRequest = "X-Request-Id"
	headerKey     = "Idempotency-Key"

	readTimeout  = 30 * time.Second  // for a whole request to arrive
	writeTimeout = 30 * time.Second  // for a caller to take one part of an answer
	idleTimeout  = 120 * time.Second // between two requests of a connection
	headerLimit  = 16 << 10          // bytes
	maxPerIP     = 4096              // connections
	bodySlack    = 4                 // a body this many times too large is still read, so that its sender sees the answer
)

// Config describes a front.
type Config struct {
	Daemon *daemon.Daemon
	Claims *claim.Claims
	Relay  *relay.Client
	Secret []byte            // key of reattach tokens
	Admin  map[string]string // operators' names by the hash of their key
	TTL    time.Duration     // of the address list
	Body   int               // largest request body, bytes
	Seed   uint64            // of random pauses
}

// Front serves callers and operators.
type Front struct {
	cfg    Config
	http   *fasthttp.Server
	ctx    context.Context
	stop   context.CancelFunc
	jobs   sync.WaitGroup // work that outlives its request
	mu     sync.Mutex
	budget retry.Budget // for repeating attempts that failed
	rand   *rand.Rand
	counters
}

// New returns a front that does not serve yet. Requests end when ctx does.
func New(ctx context.Context, cfg Config) *Front {
	f := &Front{
		cfg:      cfg,
		counters: newCounters(cfg.Daemon.Metrics()),
		budget:   retry.New(),
		rand:     rand.New(rand.NewPCG(cfg.Seed, 4)),
	}
	f.ctx, f.stop = context.WithCancel(ctx)
	f.http = &fasthttp.Server{
		Handler:               f.handle,
		ErrorHandler:          badRequest,
		MaxRequestBodySize:    cfg.Body * bodySlack,
		ReadBufferSize:        headerLimit,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		MaxConnsPerIP:         maxPerIP,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                quiet{},
	}
	return f
}

// quiet drops the library's own log lines, which report broken connections.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

// Serve answers requests until Shutdown.
func (f *Front) Serve(ln net.Listener) error {
	return f.http.Serve(patientListener{ln})
}

// Shutdown takes no new connections and waits until every answer has ended,
// or ctx has.
func (f *Front) Shutdown(ctx context.Context) error {
	err := f.http.ShutdownWithContext(ctx)
	f.stop()
	f.jobs.Wait()
	return err
}

// patientListener bounds each write to a caller by writeTimeout. The library's
// own timeout would bound a whole streamed answer.
type patientListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l patientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return patientConn{c}, nil
}

type patientConn struct {
	net.Conn
}

// Write implements io.Writer.
func (c patientConn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Answers a request that the library could not read.
func badRequest(ctx *fasthttp.RequestCtx, err error) {
	ctx.SetConnectionClose()
	if err == fasthttp.ErrBodyTooLarge {
		apierr.NotRun(fasthttp.StatusRequestEntityTooLarge, apierr.CodeTooLarge, "request body is too large").Write(ctx)
		return
	}
	apierr.NotRun(fasthttp.StatusBadRequest, apierr.CodeBadRequest, "request is not valid HTTP: %v", err).Write(ctx)
}

func (f *Front) handle(ctx *fasthttp.RequestCtx) {
	if route.Of(f.cfg.Daemon.State()).Stopping() {
		ctx.SetConnectionClose()
	}
	if err := f.dispatch(ctx, string(ctx.Path())); err != nil {
		f.failed(err)
		err.Write(ctx)
	}
}

func (f *Front) dispatch(ctx *fasthttp.RequestCtx, path string) *apierr.Error {
	switch {
	case len(ctx.PostBody()) > f.cfg.Body:
		return apierr.NotRun(fasthttp.StatusRequestEntityTooLarge, apierr.CodeTooLarge, "request body has %d bytes, more than %d", len(ctx.PostBody()), f.cfg.Body)
	case path == "/healthz":
		ctx.SetBodyString("ok\n")
		return nil
	case path == "/readyz":
		return f.serveReady(ctx)
	case path == "/metrics":
		f.cfg.Daemon.Metrics().WritePrometheus(ctx)
		return nil
	case path == "/v1/addresses":
		return f.serveAddresses(ctx)
	case path == "/v1/chat/completions":
		return f.serveChat(ctx)
	case strings.HasPrefix(path, "/v1/streams/"):
		return f.serveAttach(ctx, strings.TrimPrefix(path, "/v1/streams/"))
	case strings.HasPrefix(path, "/v1/services/"):
		return f.serveCall(ctx, strings.TrimPrefix(path, "/v1/services/"))
	case strings.HasPrefix(path, "/v1/documents/"):
		return f.serveDocuments(ctx, strings.TrimPrefix(path, "/v1/documents/"))
	case path == "/v1/status":
		return f.serveStatus(ctx)
	case path == "/v1/timeline":
		return f.serveTimeline(ctx)
	}
	return apierr.NotRun(fasthttp.StatusNotFound, apierr.CodeNotFound, "path %q does not exist", path)
}

// Reports an error unless the request has one of the methods.
func allow(ctx *fasthttp.RequestCtx, methods ...string) *apierr.Error {
	for _, m := range methods {
		if string(ctx.Method()) == m {
			return nil
		}
	}
	list := strings.Join(methods, ", ")
	ctx.Response.Header.Set(fasthttp.HeaderAllow, list)
	return apierr.NotRun(fasthttp.StatusMethodNotAllowed, apierr.CodeBadMethod, "method %s is not allowed here, use %s", ctx.Method(), list)
}

func (f *Front) policy() *policy.Set {
	return policy.Of(f.cfg.Daemon.State())
}

func (f *Front) serveReady(ctx *fasthttp.RequestCtx) *apierr.Error {
	if err := f.ready(); err != nil {
		return err
	}
	ctx.SetBodyString("ready\n")
	return nil
}

func (f *Front) ready() *apierr.Error {
	if !f.policy().Ready() {
		return apierr.NotRun(fasthttp.StatusServiceUnavailable, apierr.CodeUnavailable, "this node has not learned the documents yet").WithRetry(time.Second)
	}
	return nil
}

// Returns the key that a request carries.
func bearer(ctx *fasthttp.RequestCtx) (string, bool) {
	return strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
}

// Returns whose key the request carries.
func (f *Front) identify(ctx *fasthttp.RequestCtx) (policy.Identity, *apierr.Error) {
	if err := f.ready(); err != nil {
		return policy.Identity{}, err
	}
	key, ok := bearer(ctx)
	if !ok {
		return policy.Identity{}, apierr.NotRun(fasthttp.StatusUnauthorized, apierr.CodeUnauthorized, "no key: give one as Authorization: Bearer KEY")
	}
	id, ok := f.policy().Identify(spec.HashKey(key))
	if !ok {
		return policy.Identity{}, apierr.NotRun(fasthttp.StatusUnauthorized, apierr.CodeUnauthorized, "the key belongs to no workspace")
	}
	return id, nil
}

// Returns the service, if the workspace may call it.
func (f *Front) service(id policy.Identity, name string, kind spec.Kind) (*spec.Service, *apierr.Error) {
	set := f.policy()
	svc, team, ok := set.Service(name)
	if !ok || svc.Kind != kind {
		return nil, apierr.NotRun(fasthttp.StatusNotFound, apierr.CodeNoService, "%s service %q does not exist", kind, name)
	}
	w, ok := set.Workspace(name, id.Workspace)
	if !ok || team != id.Team || !w.Allows(name) {
		return nil, apierr.NotRun(fasthttp.StatusForbidden, apierr.CodeForbidden, "workspace %q may not call service %q", id.Workspace, name)
	}
	return svc, nil
}

// Returns the operator whose key the request carries.
func (f *Front) operator(ctx *fasthttp.RequestCtx) (string, *apierr.Error) {
	key, _ := bearer(ctx)
	hash := spec.HashKey(key)
	for h, name := range f.cfg.Admin {
		if subtle.ConstantTimeCompare([]byte(h), []byte(hash)) == 1 {
			return name, nil
		}
	}
	return "", apierr.NotRun(fasthttp.StatusUnauthorized, apierr.CodeUnauthorized, "the key belongs to no operator")
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) *apierr.Error {
	data, err := json.Marshal(v)
	if err != nil {
		return apierr.NotRun(fasthttp.StatusInternalServerError, apierr.CodeInternal, "encode answer: %v", err)
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
	return nil
}
