package reach

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Operators must see how many upstreams an instance reaches, and how many it fails to reach.
func TestCounts(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	r := New()
	r.Reached(start, "a")
	r.Reached(start, "b")
	r.Failed(start.Add(time.Second), "b")
	reached, failing := r.Counts(start.Add(time.Second))
	is.Equal([]int{reached, failing}, []int{2, 1})
	reached, failing = r.Counts(start.Add(recentFor))
	is.Equal([]int{reached, failing}, []int{0, 1}) // only the failure is recent
	r.Reached(start.Add(recentFor), "b")
	reached, failing = r.Counts(start.Add(recentFor))
	is.Equal([]int{reached, failing}, []int{1, 0})
	r.Prune(func(upstream string) bool { return upstream == "a" })
	reached, _ = r.Counts(start.Add(recentFor))
	is.Equal(reached, 0)
}

// Operators' tools read the states that instances write.
func TestStateRoundTrip(t *testing.T) {
	for _, s := range []State{Unknown, Reaching, Isolated} {
		is := is.New(t)
		text, err := s.MarshalText()
		is.NoErr(err)
		read := Isolated
		is.NoErr(read.UnmarshalText(text))
		is.Equal(read, s)
	}
}

// What is announced to peers must not change with each response on a kept connection while new ones are
// refused. An instance that can open connections again must be asked to relay at once: it may be the only one.
func TestAnnouncedState(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := New()
	is.Equal(r.State(now), Unknown)
	r.Reached(now, "a")
	is.Equal(r.State(now), Reaching)
	for _, upstream := range []string{"a", "b", "c"} {
		r.Failed(now, upstream)
	}
	is.Equal(r.State(now), Isolated)
	is.Equal(r.State(now.Add(2*recentFor)), Isolated) // the failures are old, and nothing was reached since
	now = now.Add(time.Second)
	r.Reached(now, "a")
	is.True(!r.Isolated(now))
	is.Equal(r.State(now), Isolated)
	is.Equal(len(r.NextRechecks(now.Add(recentFor))), minFailing) // also if no request needs a new connection
	r.Connected(now, "a")
	is.Equal(r.State(now), Reaching)
}

// An isolated instance that got no requests for 5 s said that it wasn't isolated, and peers asked it to relay.
func TestIsolatedInstanceWithoutRequestsStaysCertain(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := New()
	for _, upstream := range []string{"a", "b", "c", "d"} {
		r.Failed(now, upstream)
	}
	is.Equal(r.NextRechecks(now), nil)
	probes := 0
	for range 300 { // 30 s
		now = now.Add(100 * time.Millisecond)
		due := r.NextRechecks(now)
		probes += len(due)
		is.True(len(r.NextRechecks(now)) == 0 || len(due) == 0) // these are being probed
		for _, upstream := range due {
			r.Failed(now, upstream)
		}
		is.True(r.Isolated(now))
	}
	is.True(probes <= 30*minFailing)
	r.Connected(now, "a")
	is.Equal(r.NextRechecks(now.Add(recentFor-1)), nil)
}
