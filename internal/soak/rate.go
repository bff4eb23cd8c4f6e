package soak

import (
	"context"

	"golang.org/x/time/rate"
)

// Link limits the bytes per second that proxies forward: each direction has its own limit, which
// all connections share. Safe for concurrent use.
type Link struct{ toTarget, toCaller *rate.Limiter }

// NewLink returns a link of the given bytes per second.
func NewLink(bytesPerSecond int) *Link {
	limiter := func() *rate.Limiter { return rate.NewLimiter(rate.Limit(bytesPerSecond), chunkBytes) }
	return &Link{toTarget: limiter(), toCaller: limiter()}
}

// take blocks until n bytes may be forwarded.
func (l *Link) take(n int, forward bool) {
	limiter := l.toCaller
	if forward {
		limiter = l.toTarget
	}
	_ = limiter.WaitN(context.Background(), n) // fails only for more than a chunk
}
