// Package client sends requests to a deployment.
//
// A client asks any node which addresses to use and keeps the answer for its
// time to live. It sends a request to the first address, and to the next one
// only while the outcome permits it: a request that may not be repeated is
// sent again only after the outcome not-run, or under its idempotency key,
// which makes a repeat safe.
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
	"github.com/plantaindeck/plantaindeck/wait"
	"github.com/valyala/fasthttp"
)

const (
	dialTimeout    = 2 * time.Second
	addressTimeout = 3 * time.Second
	maxTries       = 6
	maxConns       = 16384
	retryPause     = 200 * time.Millisecond
)

// Config describes a client.
type Config struct {
	Nodes  []string // addresses to ask first
	Centre string   // data centre of the caller; may be empty
	Key    string   // workspace key, or an operator's
}

// Client sends requests. It may be used by several goroutines.
type Client struct {
	cfg   Config
	http  *fasthttp.Client
	mu    sync.Mutex
	list  []string
	until time.Time
}

// New returns a client that has asked nobody yet.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, http: &fasthttp.Client{
		Dial:                     dial,
		NoDefaultUserAgentHeader: true,
		MaxConnsPerHost:          maxConns,
		RetryIfErr:               func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// dialError marks an error that happened before anything was sent.
type dialError struct {
	err error
}

// Error returns the cause's text.
func (e *dialError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.err }

func dial(addr string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, &dialError{err}
	}
	return c, nil
}

// Addresses returns the addresses to use at the time now, the best first.
func (c *Client) Addresses(now time.Time) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.until) && len(c.list) > 0 {
		return c.list, nil
	}
	var last error
	for _, addr := range append(append([]string(nil), c.list...), c.cfg.Nodes...) {
		list, ttl, err := c.resolve(addr)
		if err != nil {
			last = err
			continue
		}
		c.list = list
		c.until = now.Add(ttl)
		return list, nil
	}
	return nil, errors.Wrap(last, "no node tells its addresses")
}

// Forget drops an address that failed, until the list is asked for again.
func (c *Client) Forget(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := make([]string, 0, len(c.list))
	for _, a := range c.list {
		if a != addr {
			kept = append(kept, a)
		}
	}
	c.list = kept
}

func (c *Client) resolve(addr string) ([]string, time.Duration, error) {
	status, body, err := c.http.GetTimeout(nil, "http://"+addr+"/v1/addresses?centre="+c.cfg.Centre, addressTimeout)
	if err != nil {
		return nil, 0, errors.Wrapf(err, "ask %s for addresses", addr)
	}
	var list front.Addresses
	if err := json.Unmarshal(body, &list); err != nil || status != fasthttp.StatusOK {
		return nil, 0, errors.Errorf("ask %s for addresses: status %d", addr, status)
	}
	if len(list.Addresses) == 0 {
		return nil, 0, errors.Errorf("node %s names no address", addr)
	}
	addrs := make([]string, len(list.Addresses))
	for i, a := range list.Addresses {
		addrs[i] = a.Addr
	}
	return addrs, time.Duration(list.TTL * float64(time.Second)), nil
}

// Request is a request of a caller.
type Request struct {
	Method     string
	Path       string
	Key        string // idempotency key
	Idempotent bool   // may be sent again whatever became of it
	Body       []byte
	Last       string // id of the last event of a stream that is gone on with
	Timeout    time.Duration
}

// Response is a whole answer.
type Response struct {
	Addr   string // node that answered
	Status int
	Body   []byte
}

// Do sends a request until a node answers it, as far as its outcome permits.
// An error is an *apierr.Error.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	var answer Response
	err := c.each(ctx, r, func(addr string) error {
		resp := fasthttp.AcquireResponse()
		defer fasthttp.ReleaseResponse(resp)
		if err := c.send(ctx, addr, r, resp); err != nil {
			return err
		}
		answer = Response{Addr: addr, Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}
		return nil
	})
	return answer, err
}

// Ask reads a path of one given node, once.
func (c *Client) Ask(ctx context.Context, addr, path string, timeout time.Duration) ([]byte, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrapf(err, "ask %s for %s", addr, path)
	}
	if err := c.send(ctx, addr, Request{Method: fasthttp.MethodGet, Path: path, Timeout: timeout}, resp); err != nil {
		return nil, err
	}
	return append([]byte(nil), resp.Body()...), nil
}

// Tries addresses in turn until one try succeeds or the outcome of one forbids
// another.
func (c *Client) each(ctx context.Context, r Request, try func(addr string) error) error {
	pause := retryPause
	unsure := false
	for n := 1; ; n++ {
		addrs, err := c.Addresses(time.Now())
		if err != nil {
			e := apierr.NotRun(fasthttp.StatusServiceUnavailable, apierr.CodeUnavailable, "%v", err)
			return overall(e, unsure)
		}
		err = try(addrs[0])
		if err == nil {
			return nil
		}
		var e *apierr.Error
		if !errors.As(err, &e) {
			return err
		}
		if !mayRepeat(r, e) || n == maxTries {
			return overall(e, unsure)
		}
		unsure = unsure || e.Outcome == apierr.OutcomeUnknown
		if e.Code == apierr.CodeUnavailable || e.Code == apierr.CodeLost {
			c.Forget(addrs[0])
		}
		if e.Retry > 0 {
			pause = e.Retry
		}
		if !wait.For(ctx, pause) {
			return overall(e, unsure)
		}
		pause *= 2
	}
}

// Returns the error of a request that was sent several times. That the last
// try did not run says nothing of an earlier one that may have.
func overall(e *apierr.Error, unsure bool) *apierr.Error {
	if unsure && e.Outcome == apierr.OutcomeNotRun {
		return e.WithOutcome(apierr.OutcomeUnknown)
	}
	return e
}

// Reports whether a request may be sent again after an error.
func mayRepeat(r Request, e *apierr.Error) bool {
	switch e.Code {
	case apierr.CodeUnavailable, apierr.CodeOverload, apierr.CodeInProgress:
		return e.Outcome == apierr.OutcomeNotRun || r.Idempotent || r.Key != ""
	case apierr.CodeLost:
		// A node reports this for a key whose outcome is settled as unknown, and
		// for a stream whose generation is gone; a broken connection to the node
		// itself may be tried again.
		return e.Outcome == apierr.OutcomeNotRun || e.Outcome == apierr.OutcomeUnknown && (r.Idempotent || r.Key != "" && e.Status == 0)
	}
	return false
}

func (c *Client) prepare(addr string, r Request, req *fasthttp.Request) {
	req.SetRequestURI("http://" + addr + r.Path)
	req.Header.SetMethod(r.Method)
	if c.cfg.Key != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.cfg.Key)
	}
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
	}
	if r.Last != "" {
		req.Header.Set("Last-Event-ID", r.Last)
	}
	if len(r.Body) > 0 {
		req.Header.SetContentType("application/json")
		req.SetBody(r.Body)
	}
}

// Sends a request to one node, within the deadline of ctx and the request's
// timeout. An error is an *apierr.Error.
func (c *Client) send(ctx context.Context, addr string, r Request, resp *fasthttp.Response) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	c.prepare(addr, r, req)
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
		return answerError(resp)
	}
	return nil
}

func connectionError(addr string, err error) error {
	var dial *dialError
	if errors.As(err, &dial) {
		return apierr.NotRun(0, apierr.CodeUnavailable, "node %s cannot be reached: %v", addr, err)
	}
	return apierr.Unknown(0, apierr.CodeLost, "node %s was lost: %v", addr, err)
}

// Returns the error that a node answered with, or an error of the service
// behind it, which ran.
func answerError(resp *fasthttp.Response) error {
	body := resp.Body()
	if resp.StreamBody {
		if stream := resp.BodyStream(); stream != nil {
			body = readAll(stream)
		}
	}
	e := &apierr.Error{}
	if err := json.Unmarshal(body, e); err != nil || e.Code == "" {
		return &apierr.Error{Status: resp.StatusCode(), Code: apierr.CodeInternal, Message: strings.TrimSpace(string(body)), Outcome: apierr.OutcomeRan}
	}
	if s := string(resp.Header.Peek(fasthttp.HeaderRetryAfter)); s != "" {
		if d, err := time.ParseDuration(s + "s"); err == nil {
			e.Retry = d
		}
	}
	return e
}
