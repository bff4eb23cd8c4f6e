package rest

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func TestAnUpstreamRestsForAsLongAsItAsked(t *testing.T) {
	is := is.New(t)
	r := New()
	is.NoErr(r.Claim(at(0), "a"))
	r.Begin(at(0), "a", "a", 3*time.Second)
	r.Begin(at(0.1), "a", "a", time.Second) // an earlier answer that came later
	r.Clear(at(1), "a")                     // that of a request from before
	is.Equal(r.Check(at(2.9), "a"), ErrBackingOff)
	is.Equal(r.Claim(at(2.9), "a"), ErrBackingOff)
	is.Equal(r.Remaining(at(1), "a"), 2*time.Second)
	is.Equal(r.BackingOff(at(1)), []string{"a"})
	is.NoErr(r.Check(at(1), "b"))
	is.NoErr(r.Check(at(3), "a"))
	is.Equal(len(r.BackingOff(at(3))), 0)
}

// All that waited for the end of a rest would arrive at once: one goes first.
func TestOneRequestGoesFirstAfterARest(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Begin(at(0), "a", "a", time.Second)
	is.NoErr(r.Claim(at(1), "a"))
	is.Equal(r.Claim(at(1), "a"), ErrBackingOff)
	is.Equal(r.BackingOff(at(1.1)), []string{"a"})
	is.Equal(r.Remaining(at(1.1), "a"), trialPause)
	r.ReleaseClaim("a") // it wasn't answered
	is.NoErr(r.Claim(at(1.2), "a"))
	is.NoErr(r.Claim(at(1.2).Add(trialFor), "a")) // nor was this one
	r.Begin(at(4), "a", "a", time.Second)         // it wants more
	is.Equal(r.Check(at(4.5), "a"), ErrBackingOff)
	is.NoErr(r.Claim(at(5), "a"))
	r.Clear(at(5.1), "a")
	for range 5 {
		is.NoErr(r.Claim(at(5.2), "a"))
	}
}

func TestARestIsOfOneProcessAndBounded(t *testing.T) {
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
	r.Begin(at(1), "b", "b@2", time.Second) // another one under the ID asks for less
	is.Equal(r.Remaining(at(1), "b"), time.Second)
	r.Prune(at(2))
	is.Equal(len(r.by), 1)
	r.Prune(at(2.1))
	is.Equal(len(r.by), 0)
}
