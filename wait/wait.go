// Package wait pauses a goroutine until a time has passed or its context ends.
package wait

import (
	"context"
	"time"
)

// For waits until d has passed or ctx ends, and reports whether d has passed.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// ForSignal waits until d has passed, signal receives a value or ctx ends, and reports
// whether ctx has not ended. A nil signal never receives one.
func ForSignal(ctx context.Context, signal <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-signal:
	case <-t.C:
	}
	return ctx.Err() == nil
}
