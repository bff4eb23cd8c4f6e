package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/platform"
	"github.com/tacktally/tacktally/internal/virtualtime"
	"github.com/tacktally/tacktally/internal/wait"
)

// newListed returns a dispatcher and a function that applies a list with the states of engine "a", empty if it isn't
// listed, and of engine "b".
func newListed() (d *Dispatcher, apply func(a, b platform.State)) {
	d = New(Options{Zone: "bole", Subset: 48})
	return d, func(a, b platform.State) {
		list := []platform.Instance{{Address: "b", Zone: "bole", Set: "readers", State: b}}
		if a != "" {
			list = append(list, platform.Instance{Address: "a", Zone: "bole", Set: "readers", State: a})
		}
		d.SetInstances(list)
	}
}

// isGranted reports whether engine "a" may be granted requests, by the scheduler and by the list of members.
func isGranted(is *is.I, d *Dispatcher) bool {
	is.Helper()
	for _, u := range d.Upstreams("readers") {
		if u.Address == "a" {
			is.Equal(d.isLeaving("readers", "a"), u.Leaving)
			return !u.Leaving
		}
	}
	return false
}

// Guards against an engine that gets no requests, since the one before it at its address has announced that it leaves: the
// notice held for a minute whatever the list said, and after it until the list changed.
func TestLeavingNoticeDoesNotHoldForTheNextEngine(t *testing.T) {
	const live, leaving = platform.Live, platform.Leaving
	for name, c := range map[string]struct {
		lists   [][2]platform.State // after the notice, of "a" and "b"
		after   time.Duration
		granted bool
	}{
		"no new list":                {nil, time.Second, false},
		"a list without news":        {[][2]platform.State{{live, leaving}}, time.Second, false},
		"listed as leaving":          {[][2]platform.State{{leaving, live}}, 2 * leavingNoticeTTL, false},
		"removed and listed anew":    {[][2]platform.State{{"", live}, {live, live}}, time.Second, true},
		"leaving and listed as live": {[][2]platform.State{{leaving, live}, {live, live}}, time.Second, true},
		"no new list, expired":       {nil, leavingNoticeTTL + time.Second, true},
	} {
		for _, repeated := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, repeated %t", name, repeated), func(t *testing.T) {
				virtualtime.Test(t, func(t *testing.T) {
					is := is.New(t)
					d, apply := newListed()
					apply(live, live)
					is.True(isGranted(is, d))
					if repeated {
						d.MarkLeaving("a")
						wait.For(t.Context(), leavingNoticeTTL/2)
					}
					d.MarkLeaving("a")
					is.True(!isGranted(is, d))
					for _, l := range c.lists {
						apply(l[0], l[1])
					}
					wait.For(t.Context(), c.after)
					is.Equal(isGranted(is, d), c.granted)
				})
			})
		}
	}
}

// Guards against an engine that gets no requests, since a response of the one before it at its address comes late.
func TestLeavingNoticeOfAFormerEngineIsIgnored(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, apply := newListed()
		apply(platform.Live, platform.Live)
		sentAt := time.Now()
		wait.For(t.Context(), time.Second)
		apply("", platform.Live)
		apply(platform.Live, platform.Live)
		d.recordLeavingNotice("a", sentAt)
		is.True(isGranted(is, d))
		wait.For(t.Context(), time.Second)
		d.recordLeavingNotice("a", time.Now())
		is.True(!isGranted(is, d))
	})
}
