package carry

import (
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/relay"
	"github.com/plantaindeck/plantaindeck/wire"
)

// carriedConn is a connection to an endpoint that another node carries.
type carriedConn struct {
	carrier *Carrier
	node    string
	addr    string
	stream  Stream
	sending sync.Mutex
	unread  []byte // received and not read yet
	readErr error  // after unread; nil while more may come
	closed  atomic.Bool
	sent    atomic.Uint64 // bytes of the request
}

// Read implements net.Conn. The error is io.EOF only if the endpoint has closed the connection,
// and a *relay.CarrierError if the carrier has failed.
func (c *carriedConn) Read(b []byte) (int, error) {
	for len(c.unread) == 0 && c.readErr == nil {
		f, err := c.stream.Receive()
		piece := f.GetPiece()
		switch {
		case c.closed.Load():
			c.readErr = net.ErrClosed
		case err != nil || piece == nil:
			if err == nil || errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			c.carrier.loseNode(c.node)
			c.readErr = &relay.CarrierError{Node: c.node, Err: err}
		case piece.GetUnsent():
			c.readErr = &relay.CarrierError{Node: c.node, Unsent: true, Err: errors.New(piece.GetBroken())}
		case piece.GetBroken() != "":
			c.readErr = errors.Errorf("as node %s says: %s", c.node, piece.GetBroken())
		case piece.GetEnd() && piece.GetTaken() > 0 && piece.GetTaken() < c.sent.Load():
			c.readErr = errors.Errorf("as node %s says, the connection closed after %d bytes of the request", c.node, piece.GetTaken())
		case piece.GetEnd():
			c.readErr = io.EOF
		}
		c.unread = piece.GetData()
	}
	if len(c.unread) == 0 {
		return 0, c.readErr
	}
	n := copy(b, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *carriedConn) Write(b []byte) (int, error) {
	written := 0
	for part := range slices.Chunk(b, pieceSize) {
		c.sent.Add(uint64(len(part)))
		if err := c.send(&wire.Piece{Data: part}); err != nil {
			return written, &relay.CarrierError{Node: c.node, Err: err}
		}
		written += len(part)
	}
	return written, nil
}

// ReportRest tells the carrier that the endpoint wants no requests from it for a time.
func (c *carriedConn) ReportRest(d time.Duration) {
	// The error is ignored: a carrier that is lost sends nothing.
	_ = c.send(&wire.Piece{Rest: uint32(d.Milliseconds())})
}

func (c *carriedConn) send(p *wire.Piece) error {
	c.sending.Lock()
	defer c.sending.Unlock()
	return c.stream.Send(&wire.Frame{Body: &wire.Frame_Piece{Piece: p}})
}

// Close implements net.Conn.
func (c *carriedConn) Close() error {
	if !c.closed.Swap(true) {
		c.carrier.forget(c.node)
	}
	return c.stream.Close()
}

// LocalAddr implements net.Conn.
func (c *carriedConn) LocalAddr() net.Addr { return textAddr(c.node) }

// RemoteAddr implements net.Conn.
func (c *carriedConn) RemoteAddr() net.Addr { return textAddr(c.addr) }

// SetDeadline implements net.Conn.
func (c *carriedConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *carriedConn) SetReadDeadline(t time.Time) error { return c.stream.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn.
func (c *carriedConn) SetWriteDeadline(t time.Time) error { return c.stream.SetWriteDeadline(t) }

// textAddr is the address of an endpoint or the id of a node.
type textAddr string

// Network implements net.Addr.
func (textAddr) Network() string { return "tcp" }

// String implements net.Addr.
func (a textAddr) String() string { return string(a) }
