package socket

import (
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// TestOptionsAgree checks that keep-alive probes and TCP_USER_TIMEOUT give up at the same time,
// on both ends of a connection.
func TestOptionsAgree(t *testing.T) {
	ln, err := ListenConfig().Listen(context.Background(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer ln.Close()
	dialled, err := Dialer(Timeout).Dial("tcp", ln.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer dialled.Close()
	accepted, err := ln.Accept()
	qt.Assert(t, err, qt.IsNil)
	defer accepted.Close()
	for _, conn := range []net.Conn{dialled, accepted} {
		raw, err := conn.(*net.TCPConn).SyscallConn()
		qt.Assert(t, err, qt.IsNil)
		option := func(opt int) (value int) {
			qt.Assert(t, raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, opt) }), qt.IsNil)
			qt.Assert(t, err, qt.IsNil)
			return value
		}
		qt.Assert(t, option(unix.TCP_USER_TIMEOUT), qt.Equals, int(Timeout.Milliseconds()))
		probes := option(unix.TCP_KEEPIDLE) + option(unix.TCP_KEEPINTVL)*option(unix.TCP_KEEPCNT)
		qt.Assert(t, probes, qt.Equals, int(Timeout.Seconds()))
	}
}
