package proxy

import (
	"context"

	"golang.org/x/time/rate"

	"github.com/tacktally/tacktally/internal/exchange"
	"github.com/tacktally/tacktally/internal/routing"
)

// The rates at which responses without a stated length are relayed, after a burst. Such a response may never end.
// Events cost more processor time than other bytes; engines send less than a tenth of this.
const (
	plainBytesPerSecond  = 8 << 20
	plainBurstBytes      = 8 << 20
	streamBytesPerSecond = 1 << 20
	streamBurstBytes     = 2 << 20 // more than the largest event
)

// newPace returns the pace of a response; nil if its length is stated.
func newPace(kind routing.Kind, framing exchange.Framing) *rate.Limiter {
	switch {
	case framing == exchange.ByLength:
		return nil
	case kind == routing.Stream:
		return rate.NewLimiter(streamBytesPerSecond, streamBurstBytes)
	default:
		return rate.NewLimiter(plainBytesPerSecond, plainBurstBytes)
	}
}

// awaitPace blocks until n more bytes of the response may be relayed, or ctx ends.
func awaitPace(ctx context.Context, pace *rate.Limiter, n int) error {
	if pace == nil {
		return nil
	}
	return pace.WaitN(ctx, n)
}
