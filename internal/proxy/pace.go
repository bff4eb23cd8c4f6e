package proxy

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/tacktally/tacktally/internal/exchange"
	"github.com/tacktally/tacktally/internal/membudget"
	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/wait"
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

// awaitPace blocks until n more bytes of the response may be relayed, or the attempt ends. An instance that is shutting down
// has no time to wait: it would cut what its upstream has sent.
func (r *relay) awaitPace(pace *rate.Limiter, n int) error {
	if _, stopping := r.job.handler.graceLeft(); pace == nil || stopping {
		return nil
	}
	return pace.WaitN(r.ctx, n)
}

// largeEventBytesPerSecond is the rate at which the parts of events beyond membudget.FreeBytes are read, for all requests
// together: an event without an end would otherwise be read as fast as it comes, and the one of the next attempt too.
const (
	largeEventBytesPerSecond = 32 << 20
	largeEventBurstBytes     = 4 << 20
)

// newLargeEventPace returns the pace for the parts of large events.
func newLargeEventPace() *rate.Limiter {
	return rate.NewLimiter(largeEventBytesPerSecond, largeEventBurstBytes)
}

// eventReader reads the stream of a relay. While the event that is being read is large, it waits for the pace of such
// events, which isn't the upstream's silence.
type eventReader struct {
	relay *relay
	event *membudget.Buffer // what has been read of the event
}

// Read implements io.Reader.
func (r eventReader) Read(p []byte) (int, error) {
	n, err := r.relay.response.Read(p)
	if r.event.Len() >= membudget.FreeBytes {
		if err := r.relay.awaitLargeEventPace(n); err != nil {
			return 0, err
		}
	}
	return n, err
}

// awaitLargeEventPace blocks until n more bytes of large events may be read, or the attempt ends.
func (r *relay) awaitLargeEventPace(n int) error {
	reservation := r.job.handler.largeEvents.ReserveN(time.Now(), n)
	delay := reservation.Delay()
	if delay == 0 {
		return nil
	}
	if !r.silence.partReceived() {
		reservation.Cancel()
		return errSilent
	}
	if !wait.For(r.ctx, delay) {
		reservation.Cancel()
		return context.Cause(r.ctx)
	}
	r.silence.awaitPart()
	return nil
}
