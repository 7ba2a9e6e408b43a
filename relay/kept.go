package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	keptConnTTL     = 2 * time.Second // of an idle connection
	maxKeptResponse = 1 << 20         // bytes; the rest is not read, and the connection is closed
)

// KeptResponse is the response to a Get.
type KeptResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// newKeptClient returns an HTTP client that keeps one idle connection for each endpoint.
// Load pattern: nodes ask each engine for its report every 600 ms, so that half of all
// connections to engines are opened for reports.
//
// Only calls whose responses no caller gets may use it: on a connection that is used again,
// a response may be an endpoint's late second one to the call before. The transport ends a
// connection on which bytes arrive while it is idle, and calls again on a new one if the
// endpoint has closed it meanwhile.
func newKeptClient(dial func(ctx context.Context, t Target) (net.Conn, error)) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			t := Target{Addr: addr}
			if deadline, ok := ctx.Deadline(); ok {
				t.Timeout = time.Until(deadline)
			}
			return dial(ctx, t)
		},
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     keptConnTTL,
		DisableCompression:  true,
	}}
}

// Get asks an endpoint for a state that no caller gets, over a connection that is kept for
// later calls of Get.
func (c *Client) Get(ctx context.Context, addr, path string) (KeptResponse, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return KeptResponse{}, &NotSentError{Addr: addr, Err: err}
	}
	req.Header["User-Agent"] = []string{""} // keeps the HTTP client from adding its own
	resp, err := c.kept.Do(req)
	if err != nil {
		return KeptResponse{}, &LostError{Addr: addr, Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxKeptResponse))
	if err != nil {
		return KeptResponse{}, &LostError{Addr: addr, Err: err}
	}
	return KeptResponse{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}
