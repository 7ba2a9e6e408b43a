package accept

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/intake"
)

const (
	arrivedReadTimeout = 20 * time.Millisecond  // for the read of a request that has arrived when its connection expires
	lingerTimeout      = time.Second            // for which bytes are discarded after the last response of a connection
	yieldLinger        = 100 * time.Millisecond // lingerTimeout of a connection that yields to others
	minProgress        = 4 << 10                // bytes of a body that count as progress
	writePiece         = 64 << 10               // bytes of a response that are written at once
	requestLineBytes   = 16 << 10               // of a head, besides the limit of its header
	noRoomRetryAfter   = 600 * time.Millisecond // least time until a request for which there was no memory comes again; connections that stall yield earlier
	noRoomJitter       = 300 * time.Millisecond // by which that time varies, so that callers do not come back together
)

// Conn is a connection to one of the node's HTTP servers.
type Conn struct {
	net.Conn
	tracker *Tracker
	id      uint64 // in the tracker's ledger

	largeBuffer bool // the kernel's receive buffer has been enlarged; used by the goroutine that serves the connection

	// Guarded by the tracker's mutex.
	phase     connPhase
	since     time.Time          // when the phase began
	limit     time.Duration      // for the phase when it began
	timer     *time.Timer        // calls checkExpired; set at http.StateNew
	expired   bool               // Reads return an error
	yielding  bool               // the connection ends in favour of others
	refused   bool               // a request was rejected before http.Server had parsed it; Reads return io.EOF
	lingered  bool               // linger was called
	noLinger  bool               // Close resets the connection
	headBytes int                // of the current request that were read until its header was parsed
	headLines int                // among headBytes
	bodyBytes int                // of a body that arrived since the last progress was noted
	cancel    context.CancelFunc // ends the request that is served; nil before the first
	unread    bool               // more has arrived than the request that is served

	// Guarded by mu.
	mu         sync.Mutex
	unanswered int       // bytes of a request that were read, until a part of its response is written
	responding bool      // a part of the response to the last request has been written
	readAt     time.Time // when the last bytes were read
	ended      bool      // the caller has closed its side, or the connection broke or was closed
}

// expire makes the Reads of the connection from now on return an error unless they return bytes. The tracker's
// mutex is held.
func (c *Conn) expire(now time.Time) {
	if c.expired {
		return // would end the read of bytes that have arrived
	}
	c.expired = true
	// The error is ignored: the connection is broken, which the next Read returns.
	_ = c.SetReadDeadline(now)
}

// hasExpired reports whether the wait of the connection has ended. http.Server clears the read deadline
// at times, so that a Read has to ask.
func (c *Conn) hasExpired() bool {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	return c.expired
}

// waitExpired reports whether the wait for the first byte of a request has ended.
func (c *Conn) waitExpired() bool {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	return c.expired && c.phase.waiting()
}

// yield ends the connection in favour of others. The tracker's mutex is held.
func (c *Conn) yield(now time.Time) {
	c.yielding = true
	switch c.phase {
	case phaseClosing:
		c.stopLinger(now)
	case phaseBusy:
		// Its client does not read the response, or has sent more without waiting for it. The error is
		// ignored: the connection is broken, which the Write returns.
		_ = c.SetWriteDeadline(now)
		if c.cancel != nil {
			c.cancel()
		}
	default:
		c.expire(now)
	}
}

// HasYielded reports whether the connection ends in favour of others.
func (c *Conn) HasYielded() bool {
	if c == nil {
		return false
	}
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	return c.yielding
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if e := c.headError(); e != nil {
		c.refuse(e)
	}
	if c.isRefused() {
		return 0, io.EOF
	}
	n, err := 0, os.ErrDeadlineExceeded
	if !c.hasExpired() {
		n, err = c.Conn.Read(p)
	}
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.waitExpired() {
		// A Read whose deadline has passed returns no bytes, also if a request has arrived before.
		// The error is ignored: the connection is broken, which the Read returns.
		_ = c.SetReadDeadline(time.Now().Add(arrivedReadTimeout))
		n, err = c.Conn.Read(p)
	}
	now := time.Now()
	if n > 0 {
		if e := c.account(now, p[:n]); e != nil {
			c.refuse(e)
			return 0, io.EOF
		}
	} else if e := c.headError(); e != nil {
		c.refuse(e)
		return 0, io.EOF
	}
	c.noteRead(now, n, err)
	return n, err
}

// headError returns why the header that is being received is rejected, or nil.
func (c *Conn) headError() *apierr.Error {
	limit := c.tracker.limits().MaxHeaderBytes
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	switch {
	case c.phase != phaseHeader || c.refused:
		return nil
	case c.yielding && c.expired:
		return noRoomError("the request had not arrived completely when others needed its memory")
	case c.headBytes >= limit+requestLineBytes:
		return apierr.NotRun(http.StatusRequestHeaderFieldsTooLarge, apierr.CodeTooLarge, "request header is larger than %d bytes", limit)
	}
	return nil
}

// isRefused reports whether a request of the connection was rejected before it was parsed.
func (c *Conn) isRefused() bool {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	return c.refused
}

// account adds received bytes to what the connection costs. It returns an error if there is no room for
// the header that they belong to. Bytes that follow a request that is served are read one at a time, so that
// the others may fill the kernel's buffer; without room for that, the connection is closed.
func (c *Conn) account(now time.Time, p []byte) *apierr.Error {
	ct := c.tracker
	ct.mu.Lock()
	if c.phase.waiting() {
		ct.enter(now, c, phaseHeader)
		c.headBytes, c.headLines, c.yielding = 0, 0, false
	}
	phase, ok := c.phase, true
	var yield []uint64
	switch {
	case phase == phaseHeader:
		c.headBytes += len(p)
		c.headLines += bytes.Count(p, []byte{'\n'})
		yield, ok = ct.ledger.Set(now, c.id, intake.Receiving, requestCost(c.headBytes, c.headLines))
	case phase == phaseBody:
		// A client that sends single bytes makes no progress.
		if c.bodyBytes += len(p); c.bodyBytes >= minProgress {
			c.bodyBytes = 0
			ct.ledger.Progress(now, c.id)
		}
	case phase == phaseBusy && !c.unread:
		c.unread = true
		ct.ledger.SetPhase(now, c.id, c.ledgerPhase())
		yield, ok = ct.ledger.Grow(now, c.id, intake.UnreadCost)
	}
	ct.mu.Unlock()
	ct.yield(now, yield)
	switch {
	case ok:
		return nil
	case phase == phaseBusy:
		c.ResetOnClose()
		// The error is ignored: the connection may be broken already.
		_ = c.Conn.Close()
		return nil
	}
	return noRoomError("the node has no memory left for the request")
}

// requestCost returns what a connection costs while a request with a head of n bytes in a number of
// lines arrives and is served, without its body.
func requestCost(n, lines int) int64 {
	return intake.ConnCost + intake.RequestCost + intake.HeadCost(n, lines)
}

// BeginRequest notes that a request with a header of n bytes in a number of lines is about to be served, which
// cancel ends. It returns an error if there is no room for it.
func (c *Conn) BeginRequest(now time.Time, n, lines int, cancel context.CancelFunc) *apierr.Error {
	ct := c.tracker
	ct.mu.Lock()
	if c.phase.waiting() { // it was read together with the request before
		ct.enter(now, c, phaseBusy)
	}
	c.yielding = false
	cost := requestCost(n, lines)
	if c.unread {
		cost += intake.UnreadCost
	}
	yield, ok := ct.ledger.Set(now, c.id, c.ledgerPhase(), cost)
	c.cancel = cancel
	ct.mu.Unlock()
	ct.yield(now, yield)
	if !ok {
		return noRoomError("the node has no memory left for the request")
	}
	return nil
}

// receiveBody notes whether the body of a request is being read.
func (c *Conn) receiveBody(now time.Time, reading bool) {
	if c == nil {
		return
	}
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	switch {
	case c.yielding: // ends
	case reading:
		c.tracker.enter(now, c, phaseBody)
	default:
		c.tracker.enter(now, c, phaseBusy)
	}
}

// growBody adds n bytes, which may be negative, to what the connection costs. It reports false, and adds
// nothing, if there is no room for them.
func (c *Conn) growBody(now time.Time, n int64) bool {
	if c == nil {
		return true
	}
	yield, ok := c.tracker.ledger.Grow(now, c.id, n)
	c.tracker.yield(now, yield)
	return ok
}

// receiveLargeBody enlarges the kernel's receive buffer while a large body arrives, if there is room for that.
func (c *Conn) receiveLargeBody(now time.Time) {
	if c == nil || c.largeBuffer || !c.growBody(now, intake.BodyUnreadCost) {
		return
	}
	c.largeBuffer = true
	c.setReadBuffer(intake.BodyBuffer)
}

// setReadBuffer sets the size of the kernel's receive buffer.
func (c *Conn) setReadBuffer(n int) {
	if t, ok := c.Conn.(interface{ SetReadBuffer(int) error }); ok {
		// The error is ignored: the connection works with another size.
		_ = t.SetReadBuffer(n)
	}
}

// refuse answers a request that http.Server has not parsed, whose connection then ends.
func (c *Conn) refuse(e *apierr.Error) {
	body, err := json.Marshal(e)
	if err != nil {
		body = nil
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n", e.Status, http.StatusText(e.Status), len(body))
	if e.RetryAfter > 0 {
		fmt.Fprintf(&b, "Retry-After: %.3f\r\n", e.RetryAfter.Seconds())
	}
	b.WriteString("\r\n")
	b.Write(body)
	c.tracker.mu.Lock()
	c.refused = true
	c.tracker.mu.Unlock()
	// The errors are ignored: the connection is broken, and ends in any case.
	_ = c.SetWriteDeadline(time.Now().Add(lingerTimeout))
	_, _ = c.Write(b.Bytes())
}

// noteRead notes the result of a Read.
func (c *Conn) noteRead(now time.Time, n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && !c.responding {
		c.unanswered += n
		c.readAt = now
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ended = true
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.responding, c.unanswered = true, 0
	c.mu.Unlock()
	defer c.noteWritten()
	written := 0
	for {
		// The client has made progress when it has accepted the piece before.
		c.tracker.ledger.SetPhase(time.Now(), c.id, intake.Sending)
		n, err := c.Conn.Write(p[written:min(written+writePiece, len(p))])
		if written += n; err != nil || written == len(p) {
			return written, err
		}
	}
}

// noteWritten notes that a Write has ended, which may be that of an interim response while a body arrives.
func (c *Conn) noteWritten() {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.tracker.ledger.SetPhase(time.Now(), c.id, c.ledgerPhase())
}

// ledgerPhase returns the connection's phase as the ledger distinguishes it. The tracker's mutex is held.
func (c *Conn) ledgerPhase() intake.Phase {
	if c.phase == phaseBusy && c.unread {
		return intake.Pipelining
	}
	return c.phase.intakePhase()
}

// noteIdle notes that a response has been written completely.
func (c *Conn) noteIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responding, c.unanswered = false, 0
}

// Close implements net.Conn. It reports a request to which no part of a response was written although
// its caller has not left.
func (c *Conn) Close() error {
	c.mu.Lock()
	n, age, ended := c.unanswered, time.Since(c.readAt), c.ended
	c.ended = true
	c.mu.Unlock()
	if n > 0 && !ended {
		c.tracker.record("unanswered", fmt.Sprintf("the connection of %s was closed without a response, after %d bytes of a request had been read, the last of them %s before", c.RemoteAddr(), n, age.Round(time.Millisecond)))
	}
	if !ended {
		c.linger()
	}
	return c.Conn.Close()
}

// linger closes the sending side after the last response, and discards what the client still sends until it
// closes its side too, or the time for that ends. If a connection is closed with bytes unread, it is
// reset, and the client may lose the response.
func (c *Conn) linger() {
	now := time.Now()
	ct := c.tracker
	ct.mu.Lock()
	if c.lingered || c.phase.waiting() || ct.closing || c.noLinger {
		ct.mu.Unlock()
		return
	}
	c.lingered = true
	ct.enter(now, c, phaseClosing)
	ct.ledger.Set(now, c.id, intake.Closing, intake.ConnCost) // does not grow
	timeout := lingerTimeout
	if c.yielding {
		timeout = yieldLinger
	}
	// The errors here and below are ignored: the connection is broken, and closed in any case.
	_ = c.Conn.SetReadDeadline(now.Add(timeout))
	ct.mu.Unlock()
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
	buf := discardBuffers.Get().(*[discardBytes]byte)
	defer discardBuffers.Put(buf)
	for {
		if _, err := c.Conn.Read(buf[:]); err != nil {
			return
		}
	}
}

// stopLinger ends linger. The tracker's mutex is held.
func (c *Conn) stopLinger(now time.Time) {
	// The error is ignored: the connection is broken, which linger notices.
	_ = c.Conn.SetReadDeadline(now)
}

// discardBytes is the size of a buffer of discardBuffers.
const discardBytes = 4 << 10

// discardBuffers holds buffers for bytes that are discarded.
var discardBuffers = sync.Pool{New: func() any { return new([discardBytes]byte) }}

// ResetOnClose makes Close reset the connection, so that its end does not look like that of a response.
func (c *Conn) ResetOnClose() {
	c.tracker.mu.Lock()
	c.noLinger = true
	c.tracker.mu.Unlock()
	if t, ok := c.Conn.(*net.TCPConn); ok {
		// The error is ignored: the connection may be broken already.
		_ = t.SetLinger(0)
	}
}

// CloseWrite closes the sending side, and discards the rest of a request as linger does. net/http calls it
// before it closes a connection with a request that was not read to its end.
func (c *Conn) CloseWrite() error {
	c.linger()
	return nil
}

// noRoomError returns the error of a request for which the node has no memory.
func noRoomError(message string) *apierr.Error {
	return apierr.NotRun(http.StatusServiceUnavailable, apierr.CodeOverload, "%s", message).WithRetryAfter(noRoomRetryAfter + rand.N(noRoomJitter))
}
