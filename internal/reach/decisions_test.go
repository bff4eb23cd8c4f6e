package reach

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Upstreams that are down must not look like a path that is cut off: one or two of them, or several while
// others are reached.
func TestIsolated(t *testing.T) {
	start := time.Now()
	for name, test := range map[string]struct {
		observe  func(r *Tracker)
		isolated bool
	}{
		"nothing observed": {func(*Tracker) {}, false},
		"one is down":      {func(r *Tracker) { r.Failed(start, "a"); r.Failed(start, "a"); r.Failed(start, "a") }, false},
		"two are down":     {func(r *Tracker) { r.Failed(start, "a"); r.Failed(start, "b") }, false},
		"all have failed":  {func(r *Tracker) { r.Failed(start, "a"); r.Failed(start, "b"); r.Failed(start, "c") }, true},
		"another responded": {func(r *Tracker) {
			r.Failed(start, "a")
			r.Failed(start, "b")
			r.Failed(start, "c")
			r.Reached(start, "d")
		}, false},
		"they failed long ago": {func(r *Tracker) {
			for _, upstream := range []string{"a", "b", "c"} {
				r.Failed(start.Add(-recentFor), upstream)
			}
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := New()
			test.observe(r)
			is.New(t).Equal(r.Isolated(start), test.isolated)
		})
	}
}

// A path that a peer bypassed is used again once a probe succeeds, and until then only probed, ever less
// often.
func TestBypassedPathIsProbed(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := New()
	is.True(!r.PrefersPeer(now, "a"))
	r.Bypassed(now, "a")
	is.True(r.PrefersPeer(now, "a"))
	is.Equal(r.NextProbes(now, 9), nil) // too soon
	probes := 0
	for range 100 { // 10 s
		now = now.Add(100 * time.Millisecond)
		r.PrefersPeer(now, "a")
		for _, upstream := range r.NextProbes(now, 9) {
			probes++
			r.Failed(now, upstream)
		}
	}
	is.True(probes >= 9 && probes <= 12) // three while the delay grows, then one a second
	is.True(r.PrefersPeer(now, "a"))
	r.Reached(now, "a") // on a connection that was kept
	is.True(r.PrefersPeer(now, "a"))
	r.Connected(now, "a")
	is.True(!r.PrefersPeer(now, "a"))
}

// Paths that no request needs are not probed, and no more at once than asked for.
func TestProbesAreBounded(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	r := New()
	for _, upstream := range []string{"a", "b", "c", "d"} {
		r.PrefersPeer(start, upstream)
		r.Failed(start, upstream)
	}
	is.Equal(len(r.NextProbes(start, 3)), 3)
	is.Equal(len(r.NextProbes(start, 3)), 1) // the others are being probed
	is.Equal(r.NextProbes(start, 3), nil)
	late := start.Add(wantedFor)
	for _, upstream := range []string{"a", "b", "c", "d"} {
		r.Failed(late, upstream)
	}
	is.Equal(r.NextProbes(late, 3), nil)
}

// An upstream that can't be reached, not even through a peer, is not requested for a while; one that a peer
// has found down is.
func TestWithoutPath(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := New()
	r.NoPath(now, "b")
	r.NoPath(now, "a")
	is.Equal(r.WithoutPath(now), []string{"a", "b"})
	r.Connected(now, "a")
	is.Equal(r.WithoutPath(now), []string{"b"})
	is.Equal(r.WithoutPath(now.Add(noPathFor)), nil)
	r.Bypassed(now, "c")
	r.Down("c")
	is.True(!r.PrefersPeer(now, "c"))
}
