// Package wait pauses a goroutine for a time, unless its context ends first.
package wait

import (
	"context"
	"time"
)

// For waits for a time. It reports false when ctx ends first.
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
