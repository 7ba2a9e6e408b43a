// Package relay sends requests to endpoints and reads their answers.
//
// A token of a stream is known by its generation and its index. A Stream
// yields the tokens of one generation in order, each once: it drops a token
// that it has seen, never skips one, and after a broken link goes on with the
// same generation at the next index or ends with an error.
//
// Errors tell how far a request came: *NotSentError where no byte of it was
// handed to the endpoint, *RefusedError where the endpoint said that it does
// not run it, and *LostError where that is unknown.
package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	dialTimeout = 2 * time.Second
	maxConns    = 4096
	maxAnswer   = 8 << 20 // bytes of a plain service's answer
	idleConns   = 30 * time.Second
)

// Config describes how endpoints are reached.
type Config struct {
	StallTimeout time.Duration // longest silence of an endpoint within an answer
}

// Client sends requests to endpoints. It may be used by several goroutines.
type Client struct {
	cfg   Config
	mu    sync.Mutex
	hosts map[string]*fasthttp.HostClient
}

// NewClient returns a client without connections.
func NewClient(cfg Config) *Client {
	return &Client{cfg: cfg, hosts: map[string]*fasthttp.HostClient{}}
}

// NotSentError says that no byte of a request was handed to the endpoint.
type NotSentError struct {
	Addr string
	Err  error
}

// Error describes the endpoint and the cause.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("request not sent to %s: %v", e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// RefusedError says that the endpoint refused a request and does not run it.
type RefusedError struct {
	Addr    string
	Status  int
	Leaving bool // the endpoint takes no new work
	Body    []byte
}

// Error describes the endpoint's answer.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("endpoint %s refused the request with status %d", e.Addr, e.Status)
}

// LostError says that a request may have run.
type LostError struct {
	Addr string
	Err  error
}

// Error describes the endpoint and the cause.
func (e *LostError) Error() string {
	return fmt.Sprintf("endpoint %s was lost: %v", e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// Returns the client of one address.
func (c *Client) host(addr string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.hosts[addr]
	if !ok {
		h = &fasthttp.HostClient{
			Addr:                addr,
			Dial:                c.dial,
			MaxConns:            maxConns,
			MaxIdleConnDuration: idleConns,
			MaxResponseBodySize: maxAnswer,
			// Whether to repeat a request is decided above, by its outcome.
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		}
		c.hosts[addr] = h
	}
	return h
}

// dialError marks an error that happened before anything was sent.
type dialError struct {
	err error
}

// Error returns the cause's text.
func (e *dialError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.err }

func (c *Client) dial(addr string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, &dialError{err}
	}
	return &stallConn{Conn: conn, timeout: c.cfg.StallTimeout}, nil
}

// stallConn fails a read that gets no byte for a time.
type stallConn struct {
	net.Conn
	timeout time.Duration
}

// Read implements io.Reader.
func (c *stallConn) Read(p []byte) (int, error) {
	if c.timeout > 0 {
		if err := c.Conn.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

// Tells an error before the first byte from a later one.
func sendError(addr string, err error) error {
	var dial *dialError
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return &NotSentError{Addr: addr, Err: err}
	}
	return &LostError{Addr: addr, Err: err}
}

// Answer is a plain service's answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Call is a request to a plain service.
type Call struct {
	Addr        string
	Method      string
	Path        string // with the query
	Request     string // id
	Key         string // idempotency key
	ContentType string
	Body        []byte
}

// Do sends a call to a plain service and reads its answer.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + call.Addr + call.Path)
	req.Header.SetMethod(call.Method)
	req.Header.Set("X-Request-Id", call.Request)
	if call.Key != "" {
		req.Header.Set("Idempotency-Key", call.Key)
	}
	if call.ContentType != "" {
		req.Header.SetContentType(call.ContentType)
	}
	req.SetBody(call.Body)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(c.cfg.StallTimeout)
	}
	if err := c.host(call.Addr).DoDeadline(req, resp, deadline); err != nil {
		return Answer{}, sendError(call.Addr, err)
	}
	if resp.StatusCode() == fasthttp.StatusServiceUnavailable || resp.StatusCode() == fasthttp.StatusTooManyRequests {
		return Answer{}, refused(call.Addr, resp)
	}
	return Answer{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        append([]byte(nil), resp.Body()...),
	}, nil
}

func refused(addr string, resp *fasthttp.Response) *RefusedError {
	return &RefusedError{
		Addr:    addr,
		Status:  resp.StatusCode(),
		Leaving: string(resp.Header.Peek("X-Leaving")) == "true",
		Body:    append([]byte(nil), resp.Body()...),
	}
}
