// Package relay sends requests to endpoints and reads their responses.
//
// A token of a stream is identified by its generation and index. A Stream
// returns the tokens of one generation in order, each once: it drops tokens
// that it has returned before and never skips one. After a broken connection it
// resumes the same generation at the next index, or it ends with an error.
//
// The type of an error says whether the endpoint may have run the request:
// *NotSentError if no byte of it was sent, *RefusedError if the endpoint said
// that it will not run it, and *LostError if that is unknown.
package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/socket"
	"github.com/valyala/fasthttp"
)

const (
	dialTimeout         = 2 * time.Second
	maxConnsPerEndpoint = 4096
	maxResponseSize     = 8 << 20 // bytes of a plain service's response, or of one event of a Stream
	idleConnTimeout     = 30 * time.Second
	identityLength      = -2 // that fasthttp gives for a body which ends with its connection
)

// Target is an endpoint to connect to.
type Target struct {
	Addr     string
	Timeout  time.Duration // for connecting; zero for no limit
	Endpoint string        // id; empty for whatever process has the address
	Started  bool          // no new request is sent there: the endpoint may be leaving
	Request  string        // id of the caller's request, for logs; empty for none
}

// Config describes how endpoints are reached.
type Config struct {
	// Dial connects to an endpoint. It is nil for DialTCP.
	Dial         func(ctx context.Context, t Target) (net.Conn, error)
	StallTimeout time.Duration // longest time without a byte from an endpoint; zero for no limit. Exchange has no such limit
}

// Client sends requests to endpoints. It may be used by several goroutines. Each request of a
// caller has a connection of its own, as an endpoint may send a second response late, which the
// next request on the connection would get. Only Get keeps connections.
type Client struct {
	cfg         Config
	kept        *keptConns // for Get
	mu          sync.Mutex
	hostClients map[string]*fasthttp.HostClient // by address
}

// NewClient returns a client without connections.
func NewClient(cfg Config) *Client {
	if cfg.Dial == nil {
		cfg.Dial = DialTCP
	}
	return &Client{cfg: cfg, kept: newKeptConns(cfg.Dial), hostClients: map[string]*fasthttp.HostClient{}}
}

// NotSentError says that no byte of a request was sent to the endpoint.
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

// RefusedError says that the endpoint refused a request and will not run it.
type RefusedError struct {
	Addr       string
	Status     int
	Leaving    bool   // the endpoint accepts no new requests
	RetryAfter string // seconds for which the endpoint wants no requests from this node, as it sent them; empty for none
	Body       []byte
}

// Error describes the endpoint's response.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("endpoint %s refused the request with status %d", e.Addr, e.Status)
}

// LostError says that no complete response was received, so that the endpoint
// may have run the request.
type LostError struct {
	Addr           string
	Err            error
	BeforeResponse bool // the connection broke before the header of a response arrived
}

// Error describes the endpoint and the cause.
func (e *LostError) Error() string {
	return fmt.Sprintf("endpoint %s was lost: %v", e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// hostClient returns the client for an address and creates it if there is none.
func (c *Client) hostClient(addr string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.hostClients[addr]
	if !ok {
		h = &fasthttp.HostClient{
			Addr:                addr,
			Dial:                c.dial,
			MaxConns:            maxConnsPerEndpoint,
			MaxIdleConnDuration: idleConnTimeout,
			MaxResponseBodySize: maxResponseSize,
			// The callers of this package decide on retries, by the type of the error.
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		}
		c.hostClients[addr] = h
	}
	return h
}

// dialError marks a failure to connect, before anything was sent.
type dialError struct {
	err error
}

// Error returns the text of the cause.
func (e *dialError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.err }

func (c *Client) dial(addr string) (net.Conn, error) {
	conn, err := c.cfg.Dial(context.Background(), Target{Addr: addr, Timeout: dialTimeout})
	if err != nil {
		return nil, &dialError{err}
	}
	return socket.Checked(&stallConn{Conn: conn, timeout: c.cfg.StallTimeout}), nil
}

// stallConn is a connection whose reads fail when no byte arrives within the
// timeout.
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

// classifyError returns a *NotSentError for an error that happened before
// anything was sent, and otherwise a *LostError.
func classifyError(addr string, err error) error {
	var dialErr *dialError
	var carrier *CarrierError
	if errors.As(err, &dialErr) || errors.Is(err, fasthttp.ErrNoFreeConns) || errors.As(err, &carrier) && carrier.Unsent {
		return &NotSentError{Addr: addr, Err: err}
	}
	return &LostError{Addr: addr, Err: err}
}

// CarrierError says that the node that carried the connection to an endpoint failed, which says
// nothing about the endpoint.
type CarrierError struct {
	Node   string
	Unsent bool // the endpoint has received nothing
	Err    error
}

// Error describes the node and the cause.
func (e *CarrierError) Error() string {
	return fmt.Sprintf("node %s, which carried the connection, failed: %v", e.Node, e.Err)
}

// Unwrap returns the cause.
func (e *CarrierError) Unwrap() error { return e.Err }

// PlainResponse is the response of a plain service.
type PlainResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// PlainRequest is a request to a plain service.
type PlainRequest struct {
	Addr           string
	Method         string
	Path           string // with the query
	RequestID      string
	IdempotencyKey string // empty for none
	ContentType    string
	Body           []byte
}

// Do sends a request to a plain service and reads the whole response. If ctx has no
// deadline, the request times out after StallTimeout, and so at once if that is zero.
// If ctx is cancelled, Do returns a *LostError at once.
func (c *Client) Do(ctx context.Context, call PlainRequest) (PlainResponse, error) {
	type result struct {
		resp PlainResponse
		err  error
	}
	done := make(chan result, 1)
	go func() {
		resp, err := c.do(ctx, call)
		done <- result{resp, err}
	}()
	select {
	case r := <-done:
		return r.resp, r.err
	case <-ctx.Done():
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r := <-done // it ends at the same deadline, and tells the cause
		return r.resp, r.err
	}
	return PlainResponse{}, &LostError{Addr: call.Addr, Err: ctx.Err()}
}

// do is Do without the end by a cancelled ctx, which fasthttp does not know.
func (c *Client) do(ctx context.Context, call PlainRequest) (PlainResponse, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.StreamBody = true // else the response does not tell how its body ended
	req.SetRequestURI("http://" + call.Addr + call.Path)
	req.Header.SetMethod(call.Method)
	req.Header.Set("X-Request-Id", call.RequestID)
	if call.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	if call.ContentType != "" {
		req.Header.SetContentType(call.ContentType)
	}
	req.SetBody(call.Body)
	req.SetConnectionClose()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(c.cfg.StallTimeout)
	}
	if err := c.hostClient(call.Addr).DoDeadline(req, resp, deadline); err != nil {
		return PlainResponse{}, classifyError(call.Addr, err)
	}
	untilClose := resp.Header.ContentLength() == identityLength && resp.BodyStream() != nil
	body, err := readStream(resp)
	if err != nil {
		return PlainResponse{}, classifyError(call.Addr, err)
	}
	if resp.StatusCode() == fasthttp.StatusServiceUnavailable || resp.StatusCode() == fasthttp.StatusTooManyRequests {
		return PlainResponse{}, newRefusedError(call.Addr, resp, body)
	}
	if untilClose {
		for h := range Heads(body) {
			if h.Cut || h.Header.Get("X-Request-Id") != "" {
				return PlainResponse{}, &LostError{Addr: call.Addr, Err: &SecondResponseError{Addr: call.Addr}}
			}
		}
		if err := c.ConfirmEnd(ctx, call.Addr); err != nil {
			return PlainResponse{}, &LostError{Addr: call.Addr, Err: err}
		}
	}
	return PlainResponse{Status: resp.StatusCode(), ContentType: string(resp.Header.ContentType()), Body: body}, nil
}

// readStream reads the whole body of a response with StreamBody, and ends its connection.
func readStream(resp *fasthttp.Response) ([]byte, error) {
	if resp.BodyStream() == nil {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.BodyStream(), maxResponseSize+1))
	if closeErr := resp.CloseBodyStream(); err == nil {
		err = closeErr
	}
	if err == nil && len(body) > maxResponseSize {
		err = fasthttp.ErrBodyTooLarge
	}
	return body, err
}

func newRefusedError(addr string, resp *fasthttp.Response, body []byte) *RefusedError {
	return &RefusedError{
		Addr:    addr,
		Status:  resp.StatusCode(),
		Leaving: string(resp.Header.Peek("X-Leaving")) == "true",
		Body:    body,
	}
}
