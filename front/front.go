// Package front serves callers and operators over HTTP.
//
// Callers get the list of addresses, send chat requests to model services and
// calls to plain services, and reattach to streams whose connection broke.
// Operators read and edit documents, and read the node's status and timeline.
// Every error response has the JSON form of package apierr, which states whether
// the request has run.
package front

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/claim"
	"github.com/plantaindeck/plantaindeck/daemon"
	"github.com/plantaindeck/plantaindeck/intake"
	"github.com/plantaindeck/plantaindeck/policy"
	"github.com/plantaindeck/plantaindeck/relay"
	"github.com/plantaindeck/plantaindeck/retry"
	"github.com/plantaindeck/plantaindeck/route"
	"github.com/plantaindeck/plantaindeck/spec"
	"github.com/plantaindeck/plantaindeck/wait"
	"github.com/valyala/fasthttp"
)

const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"

	readTimeout        = 30 * time.Second  // for the caller to send a complete request
	writeTimeout       = 30 * time.Second  // of each write to a caller's connection
	idleTimeout        = 120 * time.Second // between two requests on a connection
	maxHeaderBytes     = 16 << 10
	maxConnsPerIP      = 4096
	finalTimeout       = 500 * time.Millisecond // for the last responses after a shutdown has ended their requests
	finalCheck         = 10 * time.Millisecond  // between two looks whether they have been sent
	oversizeReadFactor = 4                      // a body of up to this many times the limit is still read, so that its sender gets the error response
)

// Config holds the dependencies and settings of a Front.
type Config struct {
	Daemon       *daemon.Daemon
	Claims       *claim.Claims
	Relay        *relay.Client
	Secret       []byte            // key that signs reattach tokens, equal on every node
	Operators    map[string]string // names of the operators by the hash of their key
	AddressTTL   time.Duration     // how long callers may keep the address list
	MaxBodyBytes int               // maximum size of a request body, bytes
	Clients      intake.Limits     // bounds of what callers' connections occupy together
	Seed         uint64            // of the jitter of retry backoffs
}

// Front is the HTTP server of a node for callers and operators.
type Front struct {
	cfg            Config
	http           *fasthttp.Server
	ctx            context.Context
	stop           context.CancelFunc
	conns          *boundedConns  // connections of callers
	open           atomic.Int64   // number of them
	backgroundJobs sync.WaitGroup // jobs that outlive the request that started them
	mu             sync.Mutex
	retryBudget    retry.Budget // limits retries of failed attempts; guarded by mu
	rand           *rand.Rand   // jitter; guarded by mu
	requestMetrics
}

// New returns a front that serves nothing until Serve is called. Requests in
// flight end when ctx does.
func New(ctx context.Context, cfg Config) *Front {
	f := &Front{
		cfg:            cfg,
		requestMetrics: newRequestMetrics(cfg.Daemon.Metrics()),
		conns:          newBoundedConns(cfg.Clients, cfg.MaxBodyBytes*oversizeReadFactor),
		retryBudget:    retry.New(),
		rand:           rand.New(rand.NewPCG(cfg.Seed, 4)),
	}
	f.ctx, f.stop = context.WithCancel(ctx)
	f.http = &fasthttp.Server{
		Handler:               f.handle,
		ErrorHandler:          handleReadError,
		MaxRequestBodySize:    cfg.MaxBodyBytes * oversizeReadFactor,
		ReadBufferSize:        maxHeaderBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		MaxConnsPerIP:         maxConnsPerIP,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		ConnState:             f.countConn,
		Logger:                discardLogger{},
	}
	return f
}

// discardLogger drops the log lines of fasthttp, which report broken connections.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// countConn counts the open connections, as fasthttp does not do after a shutdown, and notes which are idle.
func (f *Front) countConn(conn net.Conn, state fasthttp.ConnState) {
	switch state {
	case fasthttp.StateIdle:
		if c := f.conns.of(conn); c != nil {
			c.idle()
		}
	case fasthttp.StateNew:
		f.open.Add(1)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		f.open.Add(-1)
	}
}

// Serve accepts connections on ln and serves requests until Shutdown is called.
func (f *Front) Serve(ln net.Listener) error {
	return f.http.Serve(writeTimeoutListener{boundedListener{ln, f.conns}})
}

// Shutdown stops accepting connections and waits until every response has ended or
// ctx has. It then ends the remaining requests, gives their handlers finalTimeout to respond, and
// waits for the background jobs. Streams go on until the process ends: their callers reattach
// through other nodes.
func (f *Front) Shutdown(ctx context.Context) error {
	err := f.http.ShutdownWithContext(ctx)
	f.stop()
	final, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalTimeout)
	defer cancel()
	for f.open.Load() > 0 && wait.For(final, finalCheck) {
	}
	f.backgroundJobs.Wait()
	return err
}

// writeTimeoutListener accepts connections on which each write is limited by
// writeTimeout. The write timeout of fasthttp would limit a whole streamed response.
type writeTimeoutListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l writeTimeoutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return writeTimeoutConn{c}, nil
}

// writeTimeoutConn is a connection that limits each write by writeTimeout.
type writeTimeoutConn struct {
	net.Conn
}

// Write implements io.Writer.
func (c writeTimeoutConn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// handleReadError responds to a request that fasthttp could not read.
func handleReadError(ctx *fasthttp.RequestCtx, err error) {
	ctx.SetConnectionClose()
	if err == fasthttp.ErrBodyTooLarge {
		apierr.NotRun(fasthttp.StatusRequestEntityTooLarge, apierr.CodeTooLarge, "request body is too large").Write(ctx)
		return
	}
	var noRoom *NoRoomError
	if errors.As(err, &noRoom) {
		noRoomError(noRoom).Write(ctx)
		return
	}
	apierr.NotRun(fasthttp.StatusBadRequest, apierr.CodeBadRequest, "request cannot be read: %v", err).Write(ctx)
}

func (f *Front) handle(ctx *fasthttp.RequestCtx) {
	if c := f.conns.of(ctx.Conn()); c != nil {
		c.serve()
	}
	if route.Of(f.cfg.Daemon.State()).Stopping() {
		ctx.SetConnectionClose()
	}
	if err := f.dispatch(ctx, string(ctx.Path())); err != nil {
		f.countError(err)
		err.Write(ctx)
	}
}

// dispatch serves the request by its path.
func (f *Front) dispatch(ctx *fasthttp.RequestCtx, path string) *apierr.Error {
	switch {
	case len(ctx.PostBody()) > f.cfg.MaxBodyBytes:
		return apierr.NotRun(fasthttp.StatusRequestEntityTooLarge, apierr.CodeTooLarge, "request body has %d bytes, more than %d", len(ctx.PostBody()), f.cfg.MaxBodyBytes)
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
		return f.serveReattach(ctx, strings.TrimPrefix(path, "/v1/streams/"))
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

// checkMethod returns an error unless the request has one of the methods.
func checkMethod(ctx *fasthttp.RequestCtx, methods ...string) *apierr.Error {
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
	if err := f.checkReady(); err != nil {
		return err
	}
	ctx.SetBodyString("ready\n")
	return nil
}

// checkReady returns an error if the node does not know the documents in force.
func (f *Front) checkReady() *apierr.Error {
	if !f.policy().Ready() {
		return apierr.NotRun(fasthttp.StatusServiceUnavailable, apierr.CodeUnavailable, "this node has not learned the documents yet").WithRetryAfter(time.Second)
	}
	return nil
}

// bearerKey returns the key in the Authorization header of a request.
func bearerKey(ctx *fasthttp.RequestCtx) (string, bool) {
	return strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
}

// identify returns the workspace whose key the request carries.
func (f *Front) identify(ctx *fasthttp.RequestCtx) (policy.Identity, *apierr.Error) {
	if err := f.checkReady(); err != nil {
		return policy.Identity{}, err
	}
	key, ok := bearerKey(ctx)
	if !ok {
		return policy.Identity{}, apierr.NotRun(fasthttp.StatusUnauthorized, apierr.CodeUnauthorized, "the request has no key; send it as Authorization: Bearer KEY")
	}
	id, ok := f.policy().Identify(spec.HashKey(key))
	if !ok {
		return policy.Identity{}, apierr.NotRun(fasthttp.StatusUnauthorized, apierr.CodeUnauthorized, "the key belongs to no workspace")
	}
	return id, nil
}

// findService returns the service called name if it is of the given kind and the
// workspace may call it.
func (f *Front) findService(id policy.Identity, name string, kind spec.Kind) (*spec.Service, *apierr.Error) {
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

// identifyOperator returns the name of the operator whose key the request carries.
func (f *Front) identifyOperator(ctx *fasthttp.RequestCtx) (string, *apierr.Error) {
	key, _ := bearerKey(ctx)
	hash := spec.HashKey(key)
	for h, name := range f.cfg.Operators {
		if subtle.ConstantTimeCompare([]byte(h), []byte(hash)) == 1 {
			return name, nil
		}
	}
	return "", apierr.NotRun(fasthttp.StatusUnauthorized, apierr.CodeUnauthorized, "the key belongs to no operator")
}

// writeJSON sets the body of the response to the JSON form of v.
func writeJSON(ctx *fasthttp.RequestCtx, v any) *apierr.Error {
	data, err := json.Marshal(v)
	if err != nil {
		return apierr.NotRun(fasthttp.StatusInternalServerError, apierr.CodeInternal, "encode response: %v", err)
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
	return nil
}
