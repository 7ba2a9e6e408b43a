// Package client sends requests to a deployment.
//
// A client gets the list of addresses to use from any node and keeps it for
// the time to live that the node gives. It sends a request to the first address
// of the list. After an error it retries, with backoff, only if the outcome
// permits that: a request that is not idempotent is retried only after the
// outcome not-run, or if it carries an idempotency key, with which the
// deployment runs it at most once.
package client

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/front"
	"github.com/plantaindeck/plantaindeck/socket"
	"github.com/plantaindeck/plantaindeck/wait"
	"github.com/valyala/fasthttp"
)

const (
	dialTimeout     = 2 * time.Second
	addressTimeout  = 3 * time.Second        // for one node to send its address list
	maxAttempts     = 6                      // of one request, the first included
	maxConnsPerNode = 16384                  // open connections to one node
	initialBackoff  = 200 * time.Millisecond // doubles with each attempt; a Retry-After header replaces it
)

// Config describes a client.
type Config struct {
	Nodes  []string // addresses of nodes to get the address list from
	Centre string   // data centre of the caller, whose nodes are preferred; empty for no preference
	Key    string   // key of a workspace or an operator, sent as bearer token; empty for none
}

// Client sends requests to the nodes of a deployment. It is safe for concurrent
// use.
type Client struct {
	cfg           Config
	http          *fasthttp.Client
	mu            sync.Mutex // guards addrs and addrsExpireAt
	addrs         []string   // cached address list, in order of preference
	addrsExpireAt time.Time
}

// New returns a client. It does not connect to any node.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, http: &fasthttp.Client{
		Dial:                     dial,
		NoDefaultUserAgentHeader: true,
		MaxConnsPerHost:          maxConnsPerNode,
		RetryIfErr:               func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// dialError is a failure to connect. No byte of the request has been sent.
type dialError struct {
	err error
}

// Error returns the text of the cause.
func (e *dialError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.err }

func dial(addr string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, &dialError{err}
	}
	return socket.Checked(c), nil
}

// Addresses returns the addresses to use, in order of preference. It asks a node
// for them if the cached list is empty or has expired at the time now.
func (c *Client) Addresses(now time.Time) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.addrsExpireAt) && len(c.addrs) > 0 {
		return c.addrs, nil
	}
	var lastErr error
	for _, addr := range append(append([]string(nil), c.addrs...), c.cfg.Nodes...) {
		list, ttl, err := c.fetchAddresses(addr)
		if err != nil {
			lastErr = err
			continue
		}
		c.addrs = list
		c.addrsExpireAt = now.Add(ttl)
		return list, nil
	}
	return nil, errors.Wrap(lastErr, "no node returned an address list")
}

// Forget removes addr from the cached address list, until the list is next
// fetched. It is used for an address that failed.
func (c *Client) Forget(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := make([]string, 0, len(c.addrs))
	for _, a := range c.addrs {
		if a != addr {
			kept = append(kept, a)
		}
	}
	c.addrs = kept
}

// fetchAddresses asks the node at addr for the address list. It returns the
// addresses and their time to live.
func (c *Client) fetchAddresses(addr string) ([]string, time.Duration, error) {
	status, body, err := c.http.GetTimeout(nil, "http://"+addr+"/v1/addresses?centre="+c.cfg.Centre, addressTimeout)
	if err != nil {
		return nil, 0, errors.Wrapf(err, "get address list from %s", addr)
	}
	var list front.Addresses
	if err := json.Unmarshal(body, &list); err != nil || status != fasthttp.StatusOK {
		return nil, 0, errors.Errorf("get address list from %s: invalid response with status %d", addr, status)
	}
	if len(list.Addresses) == 0 {
		return nil, 0, errors.Errorf("node %s returned an empty address list", addr)
	}
	addrs := make([]string, len(list.Addresses))
	for i, a := range list.Addresses {
		addrs[i] = a.Addr
	}
	return addrs, time.Duration(list.TTL * float64(time.Second)), nil
}

// Request is an HTTP request to the deployment.
type Request struct {
	Method         string
	Path           string
	IdempotencyKey string // empty for none
	Idempotent     bool   // may be retried whatever the outcome of earlier attempts
	Body           []byte
	LastEventID    string        // id of the last event received of a stream that is resumed; empty for none
	Timeout        time.Duration // of each attempt; 0 for no limit but the context's deadline
}

// Response is a complete HTTP response.
type Response struct {
	Addr   string // address of the node that sent it
	Status int
	Body   []byte
}

// Do sends a request and returns the response. It retries after errors whose
// outcome permits that. An error is an *apierr.Error.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	var response Response
	err := c.withRetries(ctx, r, func(addr string) error {
		resp := fasthttp.AcquireResponse()
		defer fasthttp.ReleaseResponse(resp)
		if err := c.send(ctx, addr, r, resp); err != nil {
			return err
		}
		response = Response{Addr: addr, Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}
		return nil
	})
	return response, err
}

// Get sends a GET request for path to the node at addr, without retries, and
// returns the body of the response.
func (c *Client) Get(ctx context.Context, addr, path string, timeout time.Duration) ([]byte, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrapf(err, "request to %s for %s", addr, path)
	}
	if err := c.send(ctx, addr, Request{Method: fasthttp.MethodGet, Path: path, Timeout: timeout}, resp); err != nil {
		return nil, err
	}
	return append([]byte(nil), resp.Body()...), nil
}

// withRetries calls attempt with the preferred address until it succeeds, its
// error does not permit a retry, maxAttempts is reached or ctx ends. After an
// error with the code unavailable or lost, which includes failed connections, the
// address is removed from the list, so that the next attempt uses another one. An
// error that is not an *apierr.Error is returned at once.
func (c *Client) withRetries(ctx context.Context, r Request, attempt func(addr string) error) error {
	backoff := initialBackoff
	mayHaveRun := false
	for n := 1; ; n++ {
		addrs, err := c.Addresses(time.Now())
		if err != nil {
			e := apierr.NotRun(fasthttp.StatusServiceUnavailable, apierr.CodeUnavailable, "%v", err)
			return overallError(e, mayHaveRun)
		}
		err = attempt(addrs[0])
		if err == nil {
			return nil
		}
		var e *apierr.Error
		if !errors.As(err, &e) {
			return err
		}
		if !mayRetry(r, e) || n == maxAttempts {
			return overallError(e, mayHaveRun)
		}
		mayHaveRun = mayHaveRun || e.Outcome == apierr.OutcomeUnknown
		if e.Code == apierr.CodeUnavailable || e.Code == apierr.CodeLost {
			c.Forget(addrs[0])
		}
		if e.RetryAfter > 0 {
			backoff = e.RetryAfter
		}
		if !wait.For(ctx, backoff) {
			return overallError(e, mayHaveRun)
		}
		backoff *= 2
	}
}

// overallError returns the error of a request after several attempts, of which e
// is the last one's error. If an earlier attempt may have run, the outcome is
// unknown even though the last attempt did not run.
func overallError(e *apierr.Error, mayHaveRun bool) *apierr.Error {
	if mayHaveRun && e.Outcome == apierr.OutcomeNotRun {
		return e.WithOutcome(apierr.OutcomeUnknown)
	}
	return e
}

// mayRetry reports whether a request may be retried after an error.
func mayRetry(r Request, e *apierr.Error) bool {
	switch e.Code {
	case apierr.CodeUnavailable, apierr.CodeOverload, apierr.CodeInProgress:
		return e.Outcome == apierr.OutcomeNotRun || r.Idempotent || r.IdempotencyKey != ""
	case apierr.CodeLost:
		// A node returns this code if an endpoint's response was lost, also in the
		// middle of a stream. The outcome of a call with an idempotency key then
		// stays unknown, so a retry is of no use. Status 0 means that the connection
		// to the node itself broke; then a request with an idempotency key may be
		// retried.
		return e.Outcome == apierr.OutcomeNotRun || e.Outcome == apierr.OutcomeUnknown && (r.Idempotent || r.IdempotencyKey != "" && e.Status == 0)
	}
	return false
}

// fillRequest sets the URI, headers and body of req, which goes to the node at
// addr.
func (c *Client) fillRequest(addr string, r Request, req *fasthttp.Request) {
	req.SetRequestURI("http://" + addr + r.Path)
	req.Header.SetMethod(r.Method)
	if c.cfg.Key != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.cfg.Key)
	}
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	if r.LastEventID != "" {
		req.Header.Set("Last-Event-ID", r.LastEventID)
	}
	if len(r.Body) > 0 {
		req.Header.SetContentType("application/json")
		req.SetBody(r.Body)
	}
}

// send sends a request to the node at addr, once. It waits until the deadline of
// ctx or the timeout of the request, whichever comes first; cancelling ctx does not
// interrupt it. An error is an *apierr.Error.
func (c *Client) send(ctx context.Context, addr string, r Request, resp *fasthttp.Response) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	c.fillRequest(addr, r, req)
	deadline, bounded := ctx.Deadline()
	if end := time.Now().Add(r.Timeout); r.Timeout > 0 && (!bounded || end.Before(deadline)) {
		deadline, bounded = end, true
	}
	var err error
	if bounded {
		err = c.http.DoDeadline(req, resp, deadline)
	} else {
		err = c.http.Do(req, resp)
	}
	if err != nil {
		return connectionError(addr, err)
	}
	if resp.StatusCode() >= fasthttp.StatusBadRequest {
		return responseError(resp)
	}
	return nil
}

// connectionError returns the error of a request whose connection to the node at
// addr failed. The request has not run if the connection was never made.
func connectionError(addr string, err error) error {
	var dial *dialError
	if errors.As(err, &dial) {
		return apierr.NotRun(0, apierr.CodeUnavailable, "node %s cannot be reached: %v", addr, err)
	}
	return apierr.Unknown(0, apierr.CodeLost, "connection to node %s was lost: %v", addr, err)
}

// responseError returns the error of a response that has an error status. If the
// body is not an apierr.Error, the response is that of the service behind the node,
// which ran the request.
func responseError(resp *fasthttp.Response) error {
	body := resp.Body()
	if resp.StreamBody {
		if stream := resp.BodyStream(); stream != nil {
			body = readErrorBody(stream)
		}
	}
	e := &apierr.Error{}
	if err := json.Unmarshal(body, e); err != nil || e.Code == "" {
		return &apierr.Error{Status: resp.StatusCode(), Code: apierr.CodeInternal, Message: strings.TrimSpace(string(body)), Outcome: apierr.OutcomeRan}
	}
	if s := string(resp.Header.Peek(fasthttp.HeaderRetryAfter)); s != "" {
		if d, err := time.ParseDuration(s + "s"); err == nil {
			e.RetryAfter = d
		}
	}
	return e
}
