package relay

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/wait"
)

const (
	endChecks       = 3                     // whether a process has ended
	endCheckDelay   = 15 * time.Millisecond // before each of them, as the listener may close after the connections
	endCheckTimeout = 300 * time.Millisecond
	// endHold is for how long a connection must stay open to show that a process is running. The
	// kernel closes the listener of a process that was killed after its connections, in trials with
	// 500 of them on a busy host up to 41 ms later, and resets what the listener has not accepted.
	endHold = 35 * time.Millisecond
)

// UnframedError says that a response without a length or chunks ended with its connection and is
// not known to be complete.
type UnframedError struct {
	Addr string
	Err  error // of the connection that was to show that the endpoint's process is running
}

// Error describes the endpoint and the cause.
func (e *UnframedError) Error() string {
	return fmt.Sprintf("the response ended with its connection, and the process at %s may have ended: %v", e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *UnframedError) Unwrap() error { return e.Err }

// ConfirmEnd checks whether a response that ended with its connection (Response.UntilClose) is
// complete. The kernel closes the connections of a process that was killed as properly as the
// process would, so a response is complete only if the process at the endpoint's address keeps a new
// connection open. The error is an *UnframedError, also if that could not be found out.
func (c *Client) ConfirmEnd(ctx context.Context, addr string) error {
	if !wait.For(ctx, endCheckDelay) {
		return &UnframedError{Addr: addr, Err: ctx.Err()}
	}
	open, err := c.connect(ctx, addr, endHold)
	if err == nil && !open {
		_, err = c.connect(ctx, addr, 0) // a process that has too many connections resets one, too
	}
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return &UnframedError{Addr: addr, Err: err}
	}
	return nil
}

// HasEnded reports whether the process at an address has ended, after a connection to it broke:
// nothing listens there any more.
func (c *Client) HasEnded(ctx context.Context, addr string) bool {
	ended, _ := c.HasEndedIf(ctx, addr, func() bool { return true })
	return ended
}

// HasEndedIf is HasEnded for an endpoint that takes few connections: each one is made only if
// allowed returns true. It also reports whether the last connection failed, so that the process may have
// ended even if ended is false.
func (c *Client) HasEndedIf(ctx context.Context, addr string, allowed func() bool) (ended, unreached bool) {
	for range endChecks {
		if !wait.For(ctx, endCheckDelay) {
			return false, unreached
		}
		if !allowed() {
			continue
		}
		_, err := c.connect(ctx, addr, 0)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true, true
		}
		unreached = err != nil
	}
	return false, unreached
}

// connect connects to an address and keeps the connection for a time. It reports false if the
// other side closed it in that time.
func (c *Client) connect(ctx context.Context, addr string, hold time.Duration) (open bool, err error) {
	conn, err := c.cfg.Dial(ctx, Target{Addr: addr, Timeout: endCheckTimeout, Started: true})
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, hold)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer func() {
		if stop() {
			_ = conn.Close()
		}
	}()
	_, err = conn.Read(make([]byte, 1))
	return err == nil || ctx.Err() != nil, nil
}
