package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	maxHeaderSize     = 64 << 10        // bytes of the headers of one exchange
	writeBufferSize   = 4 << 10         // bytes
	maxResponseHeads  = 4               // read until the final one; the earlier ones are interim (1xx)
	userTimeout       = 4 * time.Second // for sent bytes to be acknowledged
	keepAliveInterval = 2 * time.Second
)

// Request is a request that is sent without changes to its URI, header and body.
type Request struct {
	Addr           string
	ConnectTimeout time.Duration // timeout of the connection attempt
	Method         string
	Host           string // value of the Host header
	URI            string // path and query, not normalised
	Header         http.Header
	Body           []byte
}

// Response is an endpoint's response. Its body is read with Read; any error but
// io.EOF means that the body is incomplete.
type Response struct {
	Status int
	Header http.Header
	Length int64 // bytes of the body; -1 if unknown
	body   io.ReadCloser
	close  func()
}

// Read implements io.Reader.
func (r *Response) Read(p []byte) (int, error) { return r.body.Read(p) }

// Close ends the exchange by closing the connection, which an endpoint that is
// still running the request can notice.
func (r *Response) Close() { r.close() }

// Exchange sends a request over a new connection and returns the response once
// its header has been read. Connections are not reused, so that a connection
// cannot carry bytes of the response to an earlier request. When ctx ends, the
// connection is closed.
func (c *Client) Exchange(ctx context.Context, raw Request) (*Response, error) {
	dialer := net.Dialer{
		Timeout:         raw.ConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2},
		Control:         setUserTimeout,
	}
	conn, err := dialer.DialContext(ctx, "tcp", raw.Addr)
	if err != nil {
		return nil, &NotSentError{Addr: raw.Addr, Err: err}
	}
	var once sync.Once
	closeConn := func() { once.Do(func() { _ = conn.Close() }) }
	stop := context.AfterFunc(ctx, closeConn)
	reply, err := roundTrip(conn, raw)
	if err != nil {
		stop()
		closeConn()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &LostError{Addr: raw.Addr, Err: err}
	}
	reply.close = func() {
		stop()
		closeConn()
	}
	return reply, nil
}

// roundTrip writes the request and reads the header of the response at the same
// time, as an endpoint may respond before it has read a long body.
func roundTrip(conn net.Conn, raw Request) (*Response, error) {
	req := &http.Request{
		Method:        raw.Method,
		URL:           &url.URL{Scheme: "http", Host: raw.Host, Opaque: raw.URI},
		Host:          raw.Host,
		Header:        raw.Header,
		ContentLength: int64(len(raw.Body)),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if len(raw.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(raw.Body))
	}
	written := make(chan error, 1)
	go func() {
		w := bufio.NewWriterSize(conn, writeBufferSize)
		err := req.Write(w)
		if err == nil {
			err = w.Flush()
		}
		written <- err
	}()
	limited := &io.LimitedReader{R: conn, N: maxHeaderSize}
	br := bufio.NewReader(limited)
	for range maxResponseHeads {
		resp, err := http.ReadResponse(br, req)
		if err != nil {
			select {
			case writeErr := <-written:
				if writeErr != nil {
					err = writeErr
				}
			default:
			}
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		limited.N = 1 << 62
		return &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, body: resp.Body}, nil
	}
	return nil, errors.New("endpoint sent only interim (1xx) responses")
}
