package main

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// connList is a listener that knows its connections.
type connList struct {
	net.Listener
	reset chan struct{} // closed when the connections have been reset
	mu    sync.Mutex
	conns []net.Conn
}

// Accept implements net.Listener.
func (l *connList) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, conn)
		l.mu.Unlock()
	}
	return conn, err
}

// resetAll resets the connections that are still open.
func (l *connList) resetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // it may be closed
		}
		_ = conn.Close()
	}
	close(l.reset)
}

// silentListener takes an address so that connecting to it gets no answer, as at a machine without
// power: the queue of new connections is full. It returns a function that ends this.
func silentListener(addr string) (end func(), err error) {
	a, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	sa := &syscall.SockaddrInet4{Port: a.Port, Addr: [4]byte(a.IP.To4())}
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(fd, sa)
	}
	if err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		_ = syscall.Close(fd)
		return nil, err
	}
	var fillers []net.Conn
	for range 3 { // those that the queue does not hold get no answer, either
		if conn, err := net.DialTimeout("tcp", addr, 50*time.Millisecond); err == nil {
			fillers = append(fillers, conn)
		}
	}
	return func() {
		_ = syscall.Close(fd)
		for _, conn := range fillers {
			_ = conn.Close()
		}
	}, nil
}
