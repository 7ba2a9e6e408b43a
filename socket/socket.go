// Package socket sets how long a TCP connection may be silent before it fails.
//
// TCP_USER_TIMEOUT bounds the time for which sent bytes may be unacknowledged. Where it is set,
// it also decides when keep-alive probes give up, whatever their number, so that the options
// are chosen to agree: a connection fails after Timeout without an acknowledgement, whether it
// has bytes to send or not. Load pattern: in a partition, or when a connection falls silent
// without a reset, neither side would notice for many minutes.
package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	Timeout       = 4 * time.Second // longer than a process or a link is silent that is sound
	probeIdle     = 2 * time.Second // without a byte until the first keep-alive probe
	probeInterval = time.Second
	probeCount    = int((Timeout - probeIdle) / probeInterval)
)

// Dialer returns a dialer whose connections fail after Timeout of silence. Connecting takes at
// most connectTimeout; zero for no limit.
func Dialer(connectTimeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: connectTimeout, KeepAliveConfig: keepAlive(), Control: setUserTimeout}
}

// ListenConfig returns a configuration of listeners whose connections fail after Timeout of
// silence.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAlive(), Control: setUserTimeout}
}

// CallerListenConfig returns a configuration of listeners whose connections have a receive buffer of n
// bytes in the kernel, which bounds what it holds for connections that are not read. Their silence is
// bounded by the program.
func CallerListenConfig(n int) *net.ListenConfig {
	return &net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// The error is ignored: the connections work with another size.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, n)
		})
	}}
}

// MaxOpen returns the number of descriptors that the process may have open, or 0 if it is not known.
func MaxOpen() int {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil || l.Cur > 1<<30 {
		return 0
	}
	return int(l.Cur)
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(Timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
