package fleet

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/view"
	"github.com/tacktally/tacktally/internal/virtualtime"
)

// A leaving notice holds for the process that sent it: an older list entry that arrives later must not
// undo it, and it doesn't apply to another process under the same ID.
func TestLeavingNoticeHoldsForItsProcess(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := fleetOf("10.0.0.9:1", instances(1))
		list := func(version int64, upstreams ...view.Upstream) {
			f.SetUpstreams(view.List{Version: version, Upstreams: upstreams})
		}
		a, b := view.Upstream{ID: "a", Service: "app", Address: "10.0.0.1:80", Slots: 4, Incarnation: 1}, view.Upstream{ID: "b", Service: "app", Address: "10.0.0.2:80", Slots: 4}
		is.True(!f.RecordLeavingNotice("a@1")) // it isn't on the list
		list(1, a, b)
		is.NoErr(f.CheckUsable("a"))
		is.True(f.RecordLeavingNotice("a@1"))
		is.True(!f.RecordLeavingNotice("a@1")) // known already
		is.Equal(f.NextLeavingNotices(), []string{"a@1"})
		list(2, a, b) // unchanged entry
		is.True(errors.Is(f.CheckUsable("a"), ErrLeaving))
		is.NoErr(f.CheckUsable("b"))
		list(3, b)
		<-time.After(processStateTTL) // virtual time
		list(4, a, b)
		is.True(errors.Is(f.CheckUsable("a"), ErrLeaving)) // its entry is back after an outage of the source
		a.Incarnation = 2
		list(5, a, b)
		is.NoErr(f.CheckUsable("a"))
		<-time.After(processStateTTL + time.Second)
		list(6, a, b)
		is.Equal(len(f.NextLeavingNotices()), 0) // pruned
	})
}

// Guards against an orderly termination that is taken for a crash: what a process announced counts for it, and for no other
// process of the same upstream.
func TestProcessesThatAreLeaving(t *testing.T) {
	is := is.New(t)
	f := fleetOf("10.0.0.9:1", instances(1))
	said, listed := view.Upstream{ID: "a", Service: "app", Address: "10.0.0.1:80", Slots: 4, Incarnation: 1}, view.Upstream{ID: "b", Service: "app", Address: "10.0.0.2:80", Slots: 4}
	f.SetUpstreams(view.List{Version: 1, Upstreams: []view.Upstream{said, listed}})
	is.True(!f.IsLeaving("a@1"))
	is.True(!f.IsLeaving("b"))
	f.RecordLeavingNotice("a@1")
	is.True(f.IsLeaving("a@1"))
	said.Incarnation, listed.Leaving = 2, true
	f.SetUpstreams(view.List{Version: 2, Upstreams: []view.Upstream{said, listed}})
	is.True(f.IsLeaving("a@1")) // it was replaced
	is.True(!f.IsLeaving("a@2"))
	is.True(f.IsLeaving("b"))
	is.True(!f.IsLeaving("c"))
}

func TestMergeLeavingNotices(t *testing.T) {
	is := is.New(t)
	f := fleetOf("10.0.0.9:1", instances(1))
	f.SetUpstreams(view.List{Version: 1, Upstreams: []view.Upstream{{ID: "a", Service: "app", Address: "10.0.0.1:80", Slots: 4, Incarnation: 3}}})
	is.True(!f.MergeLeavingNotices("peer", []string{"a", "a@2", "other"})) // none of them is on the list
	is.NoErr(f.CheckUsable("a"))
	is.True(f.MergeLeavingNotices("peer", []string{"a@3"}))
	is.True(!f.MergeLeavingNotices("peer", []string{"a@3"}))
	is.True(errors.Is(f.CheckUsable("a"), ErrLeaving))
}

// A message to peers is small however many leaving notices there are: it repeats recent ones, and a peer
// that receives nothing else gets all of them in the end.
func TestNextLeavingNoticesIsBoundedAndCoversAll(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSizedFleet(300, 0)
		for _, u := range s.list[:200] {
			is.True(s.fleet.RecordLeavingNotice(processName(u.ID, u.Incarnation)))
		}
		is.Equal(len(s.fleet.NextLeavingNotices()), maxRecent)
		is.Equal(len(s.fleet.AllLeavingNotices()), 200)
		<-time.After(recentFor)
		is.True(s.fleet.RecordLeavingNotice(processName(s.list[250].ID, s.list[250].Incarnation)))
		received := map[string]bool{}
		for range 200/olderPerMessage + 1 {
			notices := s.fleet.NextLeavingNotices()
			is.Equal(len(notices), olderPerMessage+1)
			is.Equal(notices[0], processName(s.list[250].ID, s.list[250].Incarnation)) // the new one each time
			for _, process := range notices {
				received[process] = true
			}
		}
		is.Equal(len(received), 201)
	})
}

// An entry that lapses during an outage comes back: the backoff of its process still applies, but not to
// another process under the ID.
func TestBackoffOutlivesListEntry(t *testing.T) {
	is := is.New(t)
	f := fleetOf("10.0.0.1:1", instances(1))
	entry := view.Upstream{ID: "i-7", Service: "s", Address: "127.0.0.1:1", Slots: 9}
	f.BeginBackoff("i-7", time.Minute)
	f.ApplyListChange(view.ListChange{Version: 2, Removed: []string{"i-7"}})
	f.ApplyListChange(view.ListChange{Version: 3, Changed: []view.Upstream{entry}})
	is.Equal(f.CheckUsable("i-7"), ErrBackingOff)
	entry.Incarnation = 9
	f.ApplyListChange(view.ListChange{Version: 4, Changed: []view.Upstream{entry}})
	is.NoErr(f.CheckUsable("i-7"))
	f.BeginBackoff("i-7@9", time.Minute)
	f.ApplyListChange(view.ListChange{Version: 5, Removed: []string{"i-7"}})
	entry.Incarnation = 10
	f.ApplyListChange(view.ListChange{Version: 6, Changed: []view.Upstream{entry}})
	is.NoErr(f.CheckUsable("i-7"))
}
