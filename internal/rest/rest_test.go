package rest

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func TestBackoffLastsAsLongAsRequested(t *testing.T) {
	is := is.New(t)
	r := New()
	is.NoErr(r.Claim(at(0), "a"))
	r.Begin(at(0), "a", "a", 3*time.Second)
	r.Begin(at(0.1), "a", "a", time.Second) // an earlier response that arrives later
	r.Clear(at(1), "a", "a")                // response to a request sent before the backoff
	is.Equal(r.Check(at(2.9), "a"), ErrBackingOff)
	is.Equal(r.Claim(at(2.9), "a"), ErrBackingOff)
	is.Equal(r.Remaining(at(1), "a"), 2*time.Second)
	is.Equal(r.BackingOff(at(1)), []string{"a"})
	is.NoErr(r.Check(at(1), "b"))
	is.NoErr(r.Check(at(3), "a"))
	is.Equal(len(r.BackingOff(at(3))), 0)
}

// Without a single first request, all that waited for the end of a backoff would arrive at once.
func TestOneRequestIsLetThroughAfterBackoff(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Begin(at(0), "a", "a", time.Second)
	is.NoErr(r.Claim(at(1), "a"))
	is.Equal(r.Claim(at(1), "a"), ErrBackingOff)
	is.Equal(r.BackingOff(at(1.1)), []string{"a"})
	is.Equal(r.Remaining(at(1.1), "a"), probePollInterval)
	r.ReleaseClaim("a", "a") // the first request got no response
	is.NoErr(r.Claim(at(1.2), "a"))
	is.NoErr(r.Claim(at(1.2).Add(probeTimeout), "a")) // nor did the second one
	r.Begin(at(4), "a", "a", time.Second)             // the upstream requests another backoff
	is.Equal(r.Check(at(4.5), "a"), ErrBackingOff)
	is.NoErr(r.Claim(at(5), "a"))
	r.Clear(at(5.1), "a", "a")
	for range 5 {
		is.NoErr(r.Claim(at(5.2), "a"))
	}
}

// Guards against requests that all go at once after a backoff, since an earlier process of the upstream has
// answered, or failed, meanwhile.
func TestEarlierProcessDoesNotEndTheProbeAfterABackoff(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Begin(at(0), "a", "a@2", time.Second)
	is.NoErr(r.Claim(at(1), "a"))
	r.Clear(at(1.1), "a", "a@1")
	is.Equal(r.Claim(at(1.1), "a"), ErrBackingOff)
	r.ReleaseClaim("a", "a@1")
	is.Equal(r.Claim(at(1.2), "a"), ErrBackingOff)
	r.Clear(at(1.3), "a", "a@2")
	is.NoErr(r.Claim(at(1.3), "a"))
	is.NoErr(r.Claim(at(1.3), "a"))
}

func TestBackoffIsBoundedAndBelongsToOneProcess(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Begin(at(0), "a", "a@1", 1000*time.Hour)
	is.Equal(r.Remaining(at(0), "a"), MaxBackoff)
	r.Begin(at(0), "b", "b", time.Hour)
	r.DropStale("a", "a@1")
	is.Equal(r.Check(at(0), "a"), ErrBackingOff)
	r.DropStale("a", "a@2")
	is.NoErr(r.Check(at(0), "a"))
	is.Equal(r.Check(at(0), "b"), ErrBackingOff)
	r.Begin(at(1), "b", "b@2", time.Second) // another process under the ID requests less
	is.Equal(r.Remaining(at(1), "b"), time.Second)
	r.Prune(at(2))
	is.Equal(len(r.byUpstream), 1)
	r.Prune(at(2.1))
	is.Equal(len(r.byUpstream), 0)
}
