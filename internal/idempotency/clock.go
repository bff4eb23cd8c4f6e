package idempotency

import "time"

// Clock measures time since the start of an incarnation on the monotonic clock. It is safe for
// concurrent use.
type Clock struct {
	start time.Time
}

// NewClock returns a clock that starts now.
func NewClock() *Clock { return &Clock{start: time.Now()} }

// Elapsed returns the time since the start.
func (c *Clock) Elapsed() time.Duration { return time.Since(c.start) }
