package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/socket"
	"golang.org/x/sync/semaphore"
)

const (
	keptConnTTL     = 2 * time.Second // of an idle connection
	keptTimeout     = 2 * time.Second // of a call whose context has no deadline
	maxKeptHead     = 8 << 10         // bytes of all heads of one call
	maxKeptResponse = 128 << 10       // bytes of all heads and the body of one call
	freeKeptBytes   = 4 << 10         // bytes of one call that do not count towards maxKeptTotal: sound responses have fewer
	maxKeptTotal    = 1 << 20         // bytes of all calls at the same time
	keptReaderSize  = 1 << 10         // bytes
)

// KeptRequest is a request of Get.
type KeptRequest struct {
	Addr     string
	Path     string
	IDHeader string      // name of the header that identifies a call and that endpoints echo; empty for none
	ID       string      // value of that header; unique
	Header   http.Header // further headers; nil for none
	Once     bool        // the call has a connection of its own
}

// KeptResponse is the response to a Get.
type KeptResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// ForeignResponseError says that an endpoint has sent a response to another call.
type ForeignResponseError struct {
	Addr string
	ID   string // that the response states; empty if it states none
}

// Error names the endpoint and the call.
func (e *ForeignResponseError) Error() string {
	return fmt.Sprintf("endpoint %s sent the response to another call, %q", e.Addr, e.ID)
}

// KeptSizeError says that a response has more bytes than may be read.
type KeptSizeError struct {
	Addr  string
	Read  int64 // bytes that were read
	Short bool  // all calls together read too much
}

// Error says which bound the response exceeds.
func (e *KeptSizeError) Error() string {
	if e.Short {
		return fmt.Sprintf("no memory left for the response of %s after %d bytes of it", e.Addr, e.Read)
	}
	return fmt.Sprintf("response of %s has more than %d bytes", e.Addr, e.Read)
}

// keptConns keeps one idle connection for each endpoint. Load pattern: nodes ask each engine
// for its report every 600 ms, so that half of all connections to engines are opened for
// reports; and many engines whose responses never end are asked at once.
//
// Only calls whose responses no caller gets may use it: on a connection that is used again, a
// response may be an endpoint's late second one to the call before. It is recognised by bytes
// that have arrived before the next request is sent, or by the id of its call.
type keptConns struct {
	dial func(ctx context.Context, t Target) (net.Conn, error)
	free *semaphore.Weighted // bytes, of maxKeptTotal
	mu   sync.Mutex          // guards idle
	idle map[string]*keptConn
}

// keptConn is a connection of a keptConns.
type keptConn struct {
	net.Conn
	owner  *keptConns
	addr   string
	r      *bufio.Reader // reads from the keptConn
	limit  int64         // bytes that the present call may read
	read   int64         // bytes that the present call has read
	taken  int64         // of owner.free
	echoes bool          // the endpoint has stated the id of a call
	expiry *time.Timer   // closes the connection while it is idle
}

func newKeptConns(dial func(ctx context.Context, t Target) (net.Conn, error)) *keptConns {
	return &keptConns{dial: dial, free: semaphore.NewWeighted(maxKeptTotal), idle: map[string]*keptConn{}}
}

// Read implements io.Reader within the bounds of one call and of all calls.
func (c *keptConn) Read(p []byte) (int, error) {
	if c.read >= c.limit {
		return 0, &KeptSizeError{Addr: c.addr, Read: c.read}
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), keptReaderSize, c.limit-c.read)])
	c.read += int64(n)
	if more := c.read - freeKeptBytes - c.taken; more > 0 {
		if !c.owner.free.TryAcquire(more) {
			return 0, &KeptSizeError{Addr: c.addr, Read: c.read, Short: true}
		}
		c.taken += more
	}
	return n, err
}

// take returns the idle connection to an endpoint, or nil if there is none on which nothing has
// arrived since the last response.
func (k *keptConns) take(addr string) *keptConn {
	k.mu.Lock()
	c := k.idle[addr]
	delete(k.idle, addr)
	k.mu.Unlock()
	if c == nil {
		return nil
	}
	c.expiry.Stop()
	if !socket.Quiet(c.Conn) {
		_ = c.Close()
		return nil
	}
	return c
}

// put keeps a connection whose response was read, unless there is an idle one already.
func (k *keptConns) put(c *keptConn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.idle[c.addr] != nil || c.r.Buffered() > 0 || !socket.Quiet(c.Conn) {
		_ = c.Close()
		return
	}
	k.idle[c.addr] = c
	c.expiry = time.AfterFunc(keptConnTTL, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.idle[c.addr] == c {
			delete(k.idle, c.addr)
			_ = c.Close()
		}
	})
}

// connect opens a connection to an endpoint.
func (k *keptConns) connect(ctx context.Context, addr string) (*keptConn, error) {
	t := Target{Addr: addr}
	if deadline, ok := ctx.Deadline(); ok {
		t.Timeout = time.Until(deadline)
	}
	conn, err := k.dial(ctx, t)
	if err != nil {
		return nil, &NotSentError{Addr: addr, Err: err}
	}
	c := &keptConn{Conn: conn, owner: k, addr: addr}
	c.r = bufio.NewReaderSize(c, keptReaderSize)
	return c, nil
}

// Get asks an endpoint for a state that no caller gets, over a connection that is kept for
// later calls of Get. On a connection that was used before, a call is made once more on a new
// one if the endpoint has closed it or the response is that to another call.
func (c *Client) Get(ctx context.Context, r KeptRequest) (KeptResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, keptTimeout)
	defer cancel()
	var conn *keptConn
	if !r.Once {
		conn = c.kept.take(r.Addr)
	}
	if conn != nil {
		resp, err := conn.get(ctx, r)
		var foreign *ForeignResponseError
		if err == nil || ctx.Err() != nil || conn.read > 0 && !errors.As(err, &foreign) {
			return resp, err
		}
	}
	conn, err := c.kept.connect(ctx, r.Addr)
	if err != nil {
		return KeptResponse{}, err
	}
	return conn.get(ctx, r)
}

// get makes a call, and keeps or closes the connection. Its errors are of type *LostError.
func (c *keptConn) get(ctx context.Context, r KeptRequest) (KeptResponse, error) {
	c.read, c.taken, c.limit = 0, 0, maxKeptHead
	defer func() { c.owner.free.Release(c.taken) }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	resp, reusable, err := c.exchange(ctx, r)
	if !stop() || !reusable || r.Once || err != nil {
		_ = c.Close()
	} else {
		c.owner.put(c)
	}
	if err != nil {
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return KeptResponse{}, &LostError{Addr: c.addr, Err: err}
	}
	return resp, nil
}

// exchange sends a request and reads the whole response. It reports whether the connection can be
// used again.
func (c *keptConn) exchange(ctx context.Context, r KeptRequest) (_ KeptResponse, reusable bool, _ error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Addr+r.Path, nil)
	if err != nil {
		return KeptResponse{}, false, err
	}
	maps.Copy(req.Header, r.Header)
	req.Header["User-Agent"] = []string{""} // keeps the HTTP client from adding its own
	if r.IDHeader != "" {
		req.Header.Set(r.IDHeader, r.ID)
	}
	if err := req.Write(c.Conn); err != nil {
		return KeptResponse{}, false, err
	}
	for range maxResponseHeads {
		resp, err := http.ReadResponse(c.r, req)
		if err != nil {
			return KeptResponse{}, false, err
		}
		if err := socket.CheckStatus(resp.StatusCode); err != nil {
			return KeptResponse{}, false, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.IDHeader != "" {
			id := resp.Header.Get(r.IDHeader)
			if id != r.ID && (id != "" || c.echoes) {
				return KeptResponse{}, false, &ForeignResponseError{Addr: r.Addr, ID: id}
			}
			c.echoes = id != ""
		}
		c.limit = maxKeptResponse
		body, err := io.ReadAll(resp.Body)
		framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
		return KeptResponse{Status: resp.StatusCode, Header: resp.Header, Body: body}, framed && !resp.Close, err
	}
	return KeptResponse{}, false, errors.New("endpoint sent only interim (1xx) responses")
}
