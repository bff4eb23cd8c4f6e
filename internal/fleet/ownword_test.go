package fleet

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/view"
)

// What an upstream says of itself in an answer holds for that process: an entry that was written before
// and comes after doesn't undo it, and another process under its ID hasn't said it.
func TestTheWordOfAProcessThatItLeavesHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := fleetOf("10.0.0.9:1", instances(1))
		list := func(version int64, upstreams ...view.Upstream) {
			f.SetUpstreams(view.List{Version: version, Upstreams: upstreams})
		}
		a, b := view.Upstream{ID: "a", Service: "app", Address: "10.0.0.1:80", Slots: 4, Incarnation: 1}, view.Upstream{ID: "b", Service: "app", Address: "10.0.0.2:80", Slots: 4}
		is.True(!f.SaysLeaving("a")) // it isn't on the list
		list(1, a, b)
		is.NoErr(f.MayBeSent("a"))
		is.True(f.SaysLeaving("a"))
		is.True(!f.SaysLeaving("a")) // no news
		is.Equal(f.SaidLeaving(), []string{"a@1"})
		list(2, a, b) // ready, as before
		is.True(errors.Is(f.MayBeSent("a"), ErrLeaving))
		is.NoErr(f.MayBeSent("b"))
		list(3, b)
		<-time.After(wordKept) // virtual time
		list(4, a, b)
		is.True(errors.Is(f.MayBeSent("a"), ErrLeaving)) // its entry is back, around an outage
		a.Incarnation = 2
		list(5, a, b)
		is.NoErr(f.MayBeSent("a"))
		<-time.After(wordKept + time.Second)
		list(6, a, b)
		is.Equal(len(f.SaidLeaving()), 0) // nothing is kept for ever
	})
}

func TestPeersTellWhoHasSaidThatItLeaves(t *testing.T) {
	is := is.New(t)
	f := fleetOf("10.0.0.9:1", instances(1))
	f.SetUpstreams(view.List{Version: 1, Upstreams: []view.Upstream{{ID: "a", Service: "app", Address: "10.0.0.1:80", Slots: 4, Incarnation: 3}}})
	is.True(!f.LearnLeaving("peer", []string{"a", "a@2", "other"})) // none of them is on the list
	is.NoErr(f.MayBeSent("a"))
	is.True(f.LearnLeaving("peer", []string{"a@3"}))
	is.True(!f.LearnLeaving("peer", []string{"a@3"}))
	is.True(errors.Is(f.MayBeSent("a"), ErrLeaving))
}

// A message to peers is small however many have said that they leave: it repeats what is new, and one that
// hears nothing but messages hears of all in the end.
func TestPeersHearOfAllThatLeaveAFewAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSized(300, 0)
		for _, u := range s.list[:200] {
			is.True(s.fleet.SaysLeaving(u.ID))
		}
		is.Equal(len(s.fleet.SaidLeaving()), mostNew)
		is.Equal(len(s.fleet.AllSaidLeaving()), 200)
		<-time.After(newFor)
		is.True(s.fleet.SaysLeaving(s.list[250].ID))
		heard := map[string]bool{}
		for range 200/inTurn + 1 {
			told := s.fleet.SaidLeaving()
			is.Equal(len(told), inTurn+1)
			is.Equal(told[0], processName(s.list[250].ID, s.list[250].Incarnation)) // the new one each time
			for _, process := range told {
				heard[process] = true
			}
		}
		is.Equal(len(heard), 201)
	})
}

// An entry that lapses around an outage comes back: its process has asked for rest all the same. Another process under
// the ID hasn't.
func TestARestOutlivesTheEntryOfItsUpstream(t *testing.T) {
	is := is.New(t)
	f := fleetOf("10.0.0.1:1", instances(1))
	entry := view.Upstream{ID: "i-7", Service: "s", Address: "127.0.0.1:1", Slots: 9}
	f.Rest("i-7", time.Minute)
	f.ChangeUpstreams(view.ListChange{Version: 2, Removed: []string{"i-7"}})
	f.ChangeUpstreams(view.ListChange{Version: 3, Changed: []view.Upstream{entry}})
	is.Equal(f.MayBeSent("i-7"), ErrResting)
	entry.Incarnation = 9
	f.ChangeUpstreams(view.ListChange{Version: 4, Changed: []view.Upstream{entry}})
	is.NoErr(f.MayBeSent("i-7"))
	f.Rest("i-7", time.Minute)
	f.ChangeUpstreams(view.ListChange{Version: 5, Removed: []string{"i-7"}})
	entry.Incarnation = 10
	f.ChangeUpstreams(view.ListChange{Version: 6, Changed: []view.Upstream{entry}})
	is.NoErr(f.MayBeSent("i-7"))
}
