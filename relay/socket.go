package relay

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Ends a connection whose sent bytes are not acknowledged for userTimeout, as
// behind a partition.
func limitUnacknowledged(_, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
