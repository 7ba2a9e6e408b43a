package peer

import (
	"net"
	"sync"
	"time"

	"github.com/plantaindeck/plantaindeck/intake"
)

const (
	acceptTimeout = 10 * time.Second // from the acceptance of a connection until its Hello; it may pause for helloTimeout in between
	maxHelloBytes = 16 << 10         // of a Hello
	maxEarlyBytes = 16 << 10         // that are read from a connection before its Hello has been handled
	earlyBuffer   = 16 << 10         // bytes of the kernel's receive buffer before that
	sessionBuffer = 256 << 10        // bytes of the kernel's receive buffer after that
	// strangerCost is what a connection costs before its Hello, in bytes: its early and unread bytes, goroutines and buffers.
	strangerCost = maxEarlyBytes + earlyBuffer + 16<<10
)

// stranger is an accepted connection whose other side has not sent its Hello yet. It keeps a connection that
// is no node's from occupying memory: bytes beyond maxEarlyBytes are not read until the Hello has been handled.
type stranger struct {
	net.Conn
	transport  *Transport
	id         uint64 // in the transport's ledger
	left       int    // bytes that may be read before the Hello has been handled; used by Read only
	identified chan struct{}
	closed     chan struct{}
	closeOnce  sync.Once
	timer      *time.Timer
}

// admit returns a connection as a stranger, or nil if there is no room for it. Connections that have waited
// for long give way to new ones.
func (t *Transport) admit(now time.Time, conn net.Conn) *stranger {
	id, yield, ok := t.cfg.Strangers.Open(now, strangerCost)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, other := range yield {
		if s := t.strangers[other]; s != nil {
			s.expire()
		}
	}
	if !ok {
		return nil
	}
	s := &stranger{Conn: conn, transport: t, id: id, left: maxEarlyBytes, identified: make(chan struct{}), closed: make(chan struct{})}
	s.setReadBuffer(earlyBuffer)
	s.timer = time.AfterFunc(acceptTimeout, s.expire)
	t.strangers[id] = s
	return s
}

// setReadBuffer sets the size of the kernel's receive buffer.
func (s *stranger) setReadBuffer(n int) {
	if c, ok := s.Conn.(interface{ SetReadBuffer(int) error }); ok {
		// The error is ignored: the connection works with another size.
		_ = c.SetReadBuffer(n)
	}
}

// expire ends the connection. The session notices it by its Reads.
func (s *stranger) expire() {
	// The error is ignored: the connection may be broken already.
	_ = s.Close()
}

// identify ends the restrictions, as the Hello has been handled.
func (s *stranger) identify() {
	s.forget()
	s.setReadBuffer(sessionBuffer)
	close(s.identified)
}

// forget removes the connection from those whose other side is not known.
func (s *stranger) forget() {
	s.timer.Stop()
	t := s.transport
	t.mu.Lock()
	delete(t.strangers, s.id)
	t.mu.Unlock()
	t.cfg.Strangers.Close(s.id)
}

// Read implements net.Conn.
func (s *stranger) Read(p []byte) (int, error) {
	if s.left <= 0 {
		select {
		case <-s.identified:
		case <-s.closed:
			return 0, net.ErrClosed
		}
	}
	n, err := s.Conn.Read(p)
	s.left -= min(n, s.left)
	return n, err
}

// Close implements net.Conn.
func (s *stranger) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	return s.Conn.Close()
}

// defaultStrangers returns a ledger for a process whose limits are not known.
func defaultStrangers() *intake.Ledger { return intake.New(intake.StrangerLimitsFor(0, 0)) }
