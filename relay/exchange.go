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
	maxHeader    = 64 << 10 // bytes of an answer's header
	writeBuffer  = 4 << 10  // bytes
	maxInformal  = 4        // 1xx answers before the final one
	userTimeout  = 4 * time.Second
	keepAliveGap = 2 * time.Second
)

// Raw is a request that is passed on as it came.
type Raw struct {
	Addr    string
	Connect time.Duration // longest wait for the connection
	Method  string
	Host    string // value of the Host field
	URI     string // path and query
	Header  http.Header
	Body    []byte
}

// Reply is an endpoint's answer. Its body is read with Read; any error but
// io.EOF means that the answer is not whole.
type Reply struct {
	Status int
	Header http.Header
	Length int64 // bytes of the body, -1 if unknown
	body   io.ReadCloser
	close  func()
}

// Read implements io.Reader.
func (r *Reply) Read(p []byte) (int, error) { return r.body.Read(p) }

// Close ends the exchange. An endpoint that is still at work sees its
// connection close.
func (r *Reply) Close() { r.close() }

// Exchange sends a request over a connection of its own and returns the
// header of the answer. A connection that no other request has used cannot
// carry bytes of another answer. When ctx ends the connection is closed.
func (c *Client) Exchange(ctx context.Context, raw Raw) (*Reply, error) {
	dialer := net.Dialer{
		Timeout:         raw.Connect,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveGap, Interval: keepAliveGap, Count: 2},
		Control:         limitUnacknowledged,
	}
	conn, err := dialer.DialContext(ctx, "tcp", raw.Addr)
	if err != nil {
		return nil, &NotSentError{Addr: raw.Addr, Err: err}
	}
	var once sync.Once
	shut := func() { once.Do(func() { _ = conn.Close() }) }
	stop := context.AfterFunc(ctx, shut)
	reply, err := exchange(conn, raw)
	if err != nil {
		stop()
		shut()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &LostError{Addr: raw.Addr, Err: err}
	}
	reply.close = func() {
		stop()
		shut()
	}
	return reply, nil
}

// Writes the request while it reads the answer: an endpoint may answer before
// it has read a long body.
func exchange(conn net.Conn, raw Raw) (*Reply, error) {
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
		w := bufio.NewWriterSize(conn, writeBuffer)
		err := req.Write(w)
		if err == nil {
			err = w.Flush()
		}
		written <- err
	}()
	limited := &io.LimitedReader{R: conn, N: maxHeader}
	br := bufio.NewReader(limited)
	for range maxInformal {
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
		return &Reply{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, body: resp.Body}, nil
	}
	return nil, errors.New("endpoint sent only interim answers")
}
