package front

import (
	"bytes"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/intake"
	"github.com/valyala/fasthttp"
)

const (
	noRoomRetryAfter = time.Second // until a request for which there was no memory comes again; connections that stall yield earlier
	minProgress      = 4 << 10     // bytes of a request that count as progress
	bufferFactor     = 2           // by which buffers of a request may exceed the bytes that were read
)

// NoRoomError says that a node has no memory left for a request that has not arrived completely.
type NoRoomError struct {
	Read int // bytes of the request that were read
}

// Error implements error.
func (e *NoRoomError) Error() string { return "the node has no memory left for the request" }

// boundedListener accepts the connections of callers for which the ledger has room.
type boundedListener struct {
	net.Listener
	conns *boundedConns
}

// boundedConns are the connections of callers, whose memory a ledger bounds.
type boundedConns struct {
	ledger  *intake.Ledger
	maxBody int // bytes of a body that is read
	mu      sync.Mutex
	byID    map[uint64]*boundedConn
	byAddr  map[string]*boundedConn // by the caller's address
}

func newBoundedConns(l intake.Limits, maxBody int) *boundedConns {
	return &boundedConns{ledger: intake.New(l), maxBody: maxBody, byID: map[uint64]*boundedConn{}, byAddr: map[string]*boundedConn{}}
}

// of returns the bounded connection of a caller, or nil. fasthttp wraps connections, so that they are found by
// the caller's address.
func (b *boundedConns) of(conn net.Conn) *boundedConn {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byAddr[conn.RemoteAddr().String()]
}

// Accept implements net.Listener.
func (l boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.conns.admit(time.Now(), conn); c != nil {
			return c, nil
		}
		// The error is ignored: the connection may be broken already.
		_ = conn.Close()
	}
}

// admit returns a bounded connection for conn, or nil if there is no room for it.
func (b *boundedConns) admit(now time.Time, conn net.Conn) *boundedConn {
	id, yield, ok := b.ledger.Open(now, intake.ConnCost)
	b.yield(yield)
	if !ok {
		return nil
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// The error is ignored: the connection works with another size.
		_ = tcp.SetReadBuffer(intake.BodyBuffer)
	}
	c := &boundedConn{Conn: conn, conns: b, id: id}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.byID[id], b.byAddr[conn.RemoteAddr().String()] = c, c
	return c
}

// yield ends connections in favour of others: their Reads return an error.
func (b *boundedConns) yield(ids []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range ids {
		// A connection that has gone on meanwhile no longer yields.
		if c := b.byID[id]; c != nil && b.ledger.Yields(id) {
			c.yielding = true
			// The errors are ignored: the connection is broken, which the next call returns.
			_ = c.SetReadDeadline(time.Now())
			_ = c.Conn.SetWriteDeadline(time.Now())
		}
	}
}

// boundedConn is a connection of a caller.
type boundedConn struct {
	net.Conn
	conns *boundedConns
	id    uint64

	head      []byte // of the current request, until its end; used by the reading goroutine only, as headEnded
	headEnded bool

	// Guarded by the mutex of conns.
	yielding bool // the connection ends in favour of others
	serving  bool // the handler runs
	read     int  // bytes of the current request
	noted    int  // of them when progress was last noted
}

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	if err := c.noRoom(); err != nil {
		return 0, err
	}
	if len(p) > maxHeaderBytes {
		// fasthttp has reserved the rest of a body of known length.
		if err := c.account(time.Now(), 0, len(p)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		if noRoom := c.noRoom(); noRoom != nil {
			return 0, noRoom
		}
		return 0, err
	}
	rest := 0
	if len(p) > maxHeaderBytes {
		rest = len(p) - n
	} else {
		rest = c.declaredLength(p[:n])
	}
	if err := c.account(time.Now(), n, rest); err != nil {
		return 0, err
	}
	return n, err
}

// declaredLength returns the length of the body that the header of the current request states, of which p was
// read last, or 0 if it is not known. fasthttp reserves that much as soon as it has the header. An upper
// estimate is enough, as fasthttp checks the header.
func (c *boundedConn) declaredLength(p []byte) int {
	if c.headEnded || len(c.head)+len(p) > maxHeaderBytes {
		return 0
	}
	c.head = append(c.head, p...)
	header, _, ended := bytes.Cut(c.head, []byte("\r\n\r\n"))
	if !ended {
		return 0
	}
	c.headEnded = true
	length := 0
	for line := range bytes.SplitSeq(header, []byte("\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !bytes.EqualFold(bytes.TrimSpace(name), []byte("Content-Length")) {
			continue
		}
		if n, err := strconv.Atoi(string(bytes.TrimSpace(value))); err == nil && n <= c.conns.maxBody {
			length = max(length, n)
		}
	}
	c.head = nil
	return length
}

// account adds n bytes that were read to the current request, for which rest more are reserved. It returns a
// *NoRoomError if there is no room for them.
func (c *boundedConn) account(now time.Time, n, rest int) error {
	b := c.conns
	b.mu.Lock()
	c.read += n
	read := c.read
	if read-c.noted >= minProgress {
		c.noted = read
		b.ledger.Progress(now, c.id)
	}
	b.mu.Unlock()
	yield, ok := b.ledger.Set(now, c.id, intake.Receiving, intake.ConnCost+intake.RequestCost+int64(max(bufferFactor*read, read+rest)))
	b.yield(yield)
	if !ok {
		return &NoRoomError{Read: read}
	}
	return nil
}

// noRoom returns an error if the connection yields: a *NoRoomError in the middle of a request.
func (c *boundedConn) noRoom() error {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	switch {
	case !c.yielding || c.serving:
		return nil
	case c.read > 0:
		return &NoRoomError{Read: c.read}
	}
	return net.ErrClosed
}

// Write implements net.Conn.
func (c *boundedConn) Write(p []byte) (int, error) {
	c.conns.ledger.SetPhase(time.Now(), c.id, intake.Sending)
	defer c.noteWritten()
	return c.Conn.Write(p)
}

// noteWritten notes that a Write has ended, which may be that of an interim response while a body arrives.
func (c *boundedConn) noteWritten() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	phase := intake.Receiving
	if c.serving {
		phase = intake.Serving
	}
	c.conns.ledger.SetPhase(time.Now(), c.id, phase)
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.conns.mu.Lock()
	delete(c.conns.byID, c.id)
	if addr := c.RemoteAddr().String(); c.conns.byAddr[addr] == c {
		delete(c.conns.byAddr, addr)
	}
	c.conns.mu.Unlock()
	c.conns.ledger.Close(c.id)
	return c.Conn.Close()
}

// serve notes that a request has been read and its handler runs.
func (c *boundedConn) serve() {
	c.conns.mu.Lock()
	c.serving = true
	c.conns.mu.Unlock()
	c.conns.ledger.SetPhase(time.Now(), c.id, intake.Serving)
}

// idle notes that the response to a request has been sent.
func (c *boundedConn) idle() {
	c.head, c.headEnded = nil, false
	c.conns.mu.Lock()
	c.serving, c.read, c.noted = false, 0, 0
	c.conns.mu.Unlock()
	c.conns.ledger.Set(time.Now(), c.id, intake.Idle, intake.ConnCost) // does not grow
}

// noRoomError returns the response to a request for which the node has no memory.
func noRoomError(e *NoRoomError) *apierr.Error {
	return apierr.NotRun(fasthttp.StatusServiceUnavailable, apierr.CodeOverload, "%v", e).WithRetryAfter(noRoomRetryAfter)
}
