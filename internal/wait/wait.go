// Package wait provides a sleep that a context can interrupt.
package wait

import (
	"context"
	"time"
)

// For blocks for d or until ctx is done. It reports whether d has passed.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
