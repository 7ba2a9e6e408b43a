package fakes

import (
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Listener tracks its open connections, so that it can reset them as a crash of
// the process would.
type Listener struct {
	net.Listener
	mu     sync.Mutex
	conns  map[net.Conn]bool // open connections
	killed bool
}

// Listen listens on a TCP address.
func Listen(addr string) (*Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", addr)
	}
	return &Listener{Listener: ln, conns: map[net.Conn]bool{}}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.killed {
		return nil, errors.Wrap(c.Close(), "listener was killed")
	}
	l.conns[c] = true
	return &trackedConn{Conn: c, listener: l}, nil
}

// Kill closes the listener and resets its open connections.
func (l *Listener) Kill() error {
	l.mu.Lock()
	l.killed = true
	l.mu.Unlock()
	err := l.Listener.Close()
	l.ResetConns()
	return err
}

// ResetConns resets every open connection and leaves the listener open.
func (l *Listener) ResetConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if t, ok := c.(*net.TCPConn); ok {
			// With a linger time of 0, Close sends a reset, like the host of a
			// crashed process.
			_ = t.SetLinger(0)
		}
		_ = c.Close()
		delete(l.conns, c)
	}
}

// trackedConn is a connection that its listener stops tracking when it is closed.
type trackedConn struct {
	net.Conn
	listener *Listener
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c.Conn)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
