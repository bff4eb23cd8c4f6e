package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Returning requests are late anyway. Their work must not make new requests of lower ranks look late:
// on a day without overload a few of them caused refusals, which caused further returns.
func TestReturningRequestsCauseNoPredictedLateness(t *testing.T) {
	is := is.New(t)
	c := newRetryCore(true, 1, 100)
	c.Submit(start, retryRequest(start, 0, 0))
	_, now := queueReturned(t, c, 0, 7)
	c.drain.smoothed = 1 // token per second
	is.Equal(c.predictedWait(retryRequest(now, 2, 0)), time.Duration(0))
	is.Equal(len(c.Submit(now, retryRequest(now, 2, 0)).Sheds), 0)
}

// A request object that waited as a returning one may be submitted again. It must be in one queue only,
// so that it is granted once.
func TestReturnedRequestIsGrantedOnceWhenSubmittedAgain(t *testing.T) {
	is := is.New(t)
	c := newRetryCore(true, 1, 100)
	running := c.Submit(start, retryRequest(start, 0, 0)).Grants
	returned, now := queueReturned(t, c, 1, 7)
	granted := c.End(now, running[0], Completed, 0).Grants
	is.Equal(granted[0].Request, returned)
	returned.Arrived, returned.Digest = now, 0
	is.Equal(len(c.Submit(now, returned).Grants), 0)
	granted = c.End(now, granted[0], Completed, 0).Grants
	is.Equal(len(granted), 1)
	is.Equal(granted[0].Request, returned)
	is.Equal(c.waiting(), 0)
	is.Equal(len(c.End(now, granted[0], Completed, 0).Grants), 0)
}
