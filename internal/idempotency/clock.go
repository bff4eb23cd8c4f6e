package idempotency

import "time"

// Clock counts the time of one incarnation on the monotonic clock.
// Safe for concurrent use.
type Clock struct {
	start time.Time
}

// NewClock starts a clock.
func NewClock() *Clock { return &Clock{start: time.Now()} }

// Elapsed returns the time since the start.
func (c *Clock) Elapsed() time.Duration { return time.Since(c.start) }
