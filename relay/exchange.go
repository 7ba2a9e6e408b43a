package relay

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/socket"
)

// MaxWriteEnd is the time from the end of a response that has neither a length nor chunks until the write of its
// request must have ended. It has before an endpoint that has read the whole request responds.
const MaxWriteEnd = time.Second

const (
	maxHeaderSize    = 64 << 10 // bytes of all response headers of one exchange
	writeBufferSize  = 4 << 10  // bytes
	maxResponseHeads = 4        // responses of one exchange, the interim ones (1xx) included
)

// Request is a request that is sent without changes to its URI, header and body.
type Request struct {
	Addr           string
	ConnectTimeout time.Duration // zero for no limit
	Endpoint       string        // id of the endpoint; empty for whatever process has the address
	Started        bool          // the request goes on with a run, so that the endpoint may be leaving
	RequestID      string        // of the caller's request, for logs; empty for none
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
	// UntilClose says that the body has neither a length nor chunks: it ends when the endpoint
	// closes the connection, as it also does when its process ends. See Client.ConfirmEnd.
	UntilClose bool
	body       io.ReadCloser
	close      func()
	rest       func(d time.Duration) // nil unless another node carries the exchange
}

// Read implements io.Reader.
func (r *Response) Read(p []byte) (int, error) { return r.body.Read(p) }

// Close ends the exchange by closing the connection, so that an endpoint that
// still runs the request can notice.
func (r *Response) Close() { r.close() }

// ReportRest tells the node that carries the exchange, if one does, that the endpoint wants no
// requests from it for a time.
func (r *Response) ReportRest(d time.Duration) {
	if r.rest != nil {
		r.rest(d)
	}
}

// resting is a connection that another node carries.
type resting interface {
	ReportRest(d time.Duration)
}

// Exchange sends a request over a new connection and returns the response once
// its header has been read. Connections are not reused, so that a connection
// cannot carry bytes of the response to an earlier request. When ctx ends, the
// connection is closed.
func (c *Client) Exchange(ctx context.Context, r Request) (*Response, error) {
	conn, err := c.cfg.Dial(ctx, Target{Addr: r.Addr, Timeout: r.ConnectTimeout, Endpoint: r.Endpoint, Started: r.Started, Request: r.RequestID})
	if err != nil {
		return nil, &NotSentError{Addr: r.Addr, Err: err}
	}
	var once sync.Once
	closeConn := func() { once.Do(func() { _ = conn.Close() }) }
	stop := context.AfterFunc(ctx, closeConn)
	resp, err := roundTrip(conn, r)
	if err != nil {
		stop()
		closeConn()
		var carrier *CarrierError
		if errors.As(err, &carrier) && carrier.Unsent {
			return nil, &NotSentError{Addr: r.Addr, Err: err}
		}
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &LostError{Addr: r.Addr, Err: err, BeforeResponse: true}
	}
	resp.close = func() {
		stop()
		closeConn()
	}
	if c, ok := conn.(resting); ok {
		resp.rest = c.ReportRest
	}
	return resp, nil
}

// DialTCP connects to an endpoint.
func DialTCP(ctx context.Context, t Target) (net.Conn, error) {
	return socket.Dialer(t.Timeout).DialContext(ctx, "tcp", t.Addr)
}

// roundTrip writes the request and reads the header of the response at the same
// time, as an endpoint may respond before it has read a long body.
func roundTrip(conn net.Conn, r Request) (*Response, error) {
	written := &requestWrite{done: make(chan struct{})}
	go func() {
		defer close(written.done)
		w := bufio.NewWriterSize(conn, writeBufferSize)
		if written.err = writeRequest(w, r); written.err == nil {
			written.err = w.Flush()
		}
	}()
	req := &http.Request{Method: r.Method}
	limited := &io.LimitedReader{R: conn, N: maxHeaderSize}
	br := bufio.NewReader(limited)
	for range maxResponseHeads {
		resp, err := http.ReadResponse(br, req)
		var carrier *CarrierError
		if err != nil && !errors.As(err, &carrier) {
			select {
			case <-written.done:
				if written.err != nil {
					err = written.err
				}
			default:
			}
		}
		if err != nil {
			return nil, err
		}
		if err := socket.CheckStatus(resp.StatusCode); err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		limited.N = 1 << 62
		untilClose := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
		body := resp.Body
		if untilClose {
			body = &unframedBody{ReadCloser: body, written: written}
		}
		return &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, UntilClose: untilClose, body: body}, nil
	}
	return nil, errors.New("endpoint sent only interim (1xx) responses")
}

// requestWrite is the write of a request, which goes on while its response is read.
type requestWrite struct {
	done chan struct{} // closed when it has ended
	err  error         // valid once done is closed
}

// UnreadError says that a response that ends with its connection has ended before the whole request was written, so
// that it may be a part: the connection may have been reset.
type UnreadError struct {
	Err error // of the write; nil if it has not ended
}

// Error describes the state of the write.
func (e *UnreadError) Error() string {
	if e.Err == nil {
		return "the connection closed before the request was written, so that the response may not be whole"
	}
	return fmt.Sprintf("the connection closed and the response may not be whole, as the write of the request failed: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnreadError) Unwrap() error { return e.Err }

// unframedBody is a body that ends with its connection. Load pattern: an endpoint responds to a long upload at once
// and then resets the connection. The kernel reports a reset once, to the write of the request if that comes first;
// the read that follows sees a proper end.
type unframedBody struct {
	io.ReadCloser
	written *requestWrite
}

// Read implements io.Reader. It returns io.EOF only if the request has been written whole.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	timeout := time.NewTimer(MaxWriteEnd)
	defer timeout.Stop()
	select {
	case <-b.written.done:
		if b.written.err != nil {
			return n, &UnreadError{Err: b.written.err}
		}
		return n, io.EOF
	case <-timeout.C:
		return n, &UnreadError{}
	}
}

// unforwardedHeaders are the headers that writeRequest writes itself or that concern the connection
// to the caller.
var unforwardedHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// writeRequest writes the request with its URI as it is. http.Request.Write does not: it takes a URI
// that begins with two slashes for one that names another host, and writes that as an absolute one.
func writeRequest(w *bufio.Writer, r Request) error {
	for _, text := range []string{r.Method, r.URI, r.Host} {
		if strings.ContainsFunc(text, func(c rune) bool { return c <= ' ' || c == 0x7f }) {
			return errors.Errorf("%q is not valid in a request", text)
		}
	}
	if _, err := fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, cmp.Or(r.URI, "/"), r.Host); err != nil {
		return err
	}
	header := r.Header
	if agent := r.Header["User-Agent"]; len(agent) == 1 && agent[0] == "" {
		header = r.Header.Clone()
		delete(header, "User-Agent")
	}
	if err := header.WriteSubset(w, unforwardedHeaders); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		if _, err := fmt.Fprintf(w, "Content-Length: %d\r\n", len(r.Body)); err != nil {
			return err
		}
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return err
	}
	_, err := w.Write(r.Body)
	return err
}
