package socket

import (
	"errors"
	"net"
	"syscall"
)

// Quiet reports whether a connection is open and no byte has arrived on it that was not read.
// It does not wait. It is false for connections that are not the kernel's, and a byte that has
// arrived is lost.
func Quiet(conn net.Conn) bool {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		if _, readErr = syscall.Read(int(fd), b[:]); readErr == nil {
			readErr = net.ErrClosed // a byte, or the end
		}
		return true
	})
	return err == nil && (errors.Is(readErr, syscall.EAGAIN) || errors.Is(readErr, syscall.EINTR))
}
