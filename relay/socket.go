package relay

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout makes a connection fail when sent bytes have not been
// acknowledged for userTimeout, as happens in a network partition.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
