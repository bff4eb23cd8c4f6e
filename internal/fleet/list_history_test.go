package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/view"
	"github.com/tacktally/tacktally/internal/virtualtime"
	"github.com/tacktally/tacktally/internal/wait"
)

// sendHistory sends the history of one instance to another one.
func (o *originFleet) sendHistory(from, to string) {
	o.instances[to].MergeListHistory(from, o.instances[from].ListHistory(o.listAge[from]))
}

// Guards against refusals, and streams of two versions, after a rolling restart: each instance that starts learns from a peer which
// versions were listed.
func TestInstancesThatReplaceAllOthersKnowTheVersions(t *testing.T) {
	for _, left := range []bool{false, true} {
		virtualtime.Test(t, func(t *testing.T) {
			is := is.New(t)
			o := newOriginFleet(2)
			o.publish("a", "v1")
			wait.For(t.Context(), originLifetime)
			if left {
				o.publish("b", "v2")
				o.remove("a")
			}
			for n, i := range o.list {
				wait.For(t.Context(), time.Second)
				o.restart(i)
				o.sendHistory(o.list[(n+1)%len(o.list)].Address, i.Address)
				if n > 0 {
					o.sendHistory(o.list[n-1].Address, i.Address)
				}
			}
			want := "v1"
			if left {
				want = ""
			}
			is.Equal(o.find(t, "r"), map[string]bool{want: true})
		})
	}
}

// Guards against streams of two versions: a history that ends before the instance had a list, or that isn't up to date, doesn't
// cover the time between.
func TestListHistoryWithAGapIsNotUsed(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOriginFleet(1)
		o.publish("a", "v1")
		wait.For(t.Context(), originLifetime)
		from, to := o.list[0], o.list[1]
		fresh := o.start(to) // has no list yet
		fresh.MergeListHistory(from.Address, o.instances[from.Address].ListHistory(0))
		is.Equal(fresh.Followed(), time.Duration(0))
		o.restart(to)
		o.listAge[from.Address] = 2 * currentListAge
		o.sendHistory(from.Address, to.Address)
		is.Equal(o.instances[to.Address].Followed(), time.Duration(0))
		o.listAge[from.Address] = 0
		wait.For(t.Context(), time.Second)
		o.sendHistory(from.Address, to.Address)
		is.Equal(o.instances[to.Address].Followed(), originLifetime+time.Second)
	})
}

// Guards against streams of two versions: a version that was forgotten must not count as one that never was.
func TestHistoryIsAsLongAsVersionsAreRemembered(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOriginFleet(1)
		o.publish("a", "v1")
		o.publish("b", "v2")
		o.remove("a")
		wait.For(t.Context(), versionMemory+time.Second)
		o.publish("c", "v2") // forgets v1
		f := o.instances[o.list[0].Address]
		is.Equal(f.Followed(), versionMemory)
		_, _, known := f.FindOrigin(t.Context(), ResumedStream{Request: "r", Service: "s", Lifetime: versionMemory + 2*time.Second, OnlyService: always, ConfigAge: listOf(0), ListAge: listOf(0)})
		is.True(!known)
		h := f.ListHistory(0)
		is.True(slices.Equal(h.Versions, []peer.ListedVersion{{Service: "s", Version: "v2"}}))
	})
}

// Guards against streams of two versions: an instance that was cut off may have missed a version that came and went. It
// offers no history until it has followed the list anew, and sends the origins that only it has recorded to the keepers.
func TestListHistoryBeginsAnewAfterAGap(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOriginFleet(2)
		o.publish("a", "v1")
		wait.For(t.Context(), originLifetime)
		began := o.list[0].Address
		o.instances[began].RecordOrigin(BegunStream{Request: "r", Service: "s", Version: "v1", Lifetime: originLifetime, OnlyService: true})
		o.revision++
		for _, f := range o.instances {
			f.ApplyListChange(view.ListChange{Version: o.revision, Gap: 2 * currentListAge})
			is.Equal(f.Followed(), time.Duration(0))
		}
		is.Equal(o.find(t, "unknown"), map[string]bool{"": true})
		o.kill(began)
		is.Equal(o.find(t, "r"), map[string]bool{"v1": true})
		wait.For(t.Context(), originLifetime)
		is.Equal(o.find(t, "unknown"), map[string]bool{"v1": true})
	})
}

// Guards against streams of two versions: a version that a peer has seen counts, also if the peer has followed the list for less.
func TestVersionsOfAPeerCountHoweverLongItFollowed(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOriginFleet(1)
		o.publish("a", "v1")
		wait.For(t.Context(), originLifetime)
		for _, f := range o.instances {
			f.MergeListHistory("peer", &peer.ListHistory{Followed: time.Second, Versions: []peer.ListedVersion{{Service: "s", Version: "v2", Gone: time.Second}}})
		}
		is.Equal(o.find(t, "r"), map[string]bool{"": true})
	})
}

// Guards against refusals of streams that an instance knew which was killed: it had shared their origins with no keeper, since a
// peer's history told it of the second version before its list did.
func TestOriginsAreSharedWhenAPeerTellsOfAVersion(t *testing.T) {
	for _, listed := range []bool{false, true} {
		virtualtime.Test(t, func(t *testing.T) {
			is := is.New(t)
			o := newOriginFleet(2)
			o.publish("a", "v1")
			wait.For(t.Context(), originLifetime)
			began := o.list[1].Address
			o.instances[began].RecordOrigin(BegunStream{Request: "r", Service: "s", Version: "v1", Lifetime: originLifetime, OnlyService: true})
			o.instances[began].MergeListHistory("peer", &peer.ListHistory{Followed: originLifetime, Versions: []peer.ListedVersion{{Service: "s", Version: "v1"}, {Service: "s", Version: "v2"}}})
			if listed {
				o.publish("b", "v2")
			}
			o.kill(began)
			for _, i := range o.list {
				if i.Address != began && i.Zone == o.list[1].Zone {
					is.Equal(o.instances[i.Address].origins.Len(), 1)
				}
			}
			is.Equal(o.find(t, "r"), map[string]bool{"v1": true})
		})
	}
}

// Guards against streams of two versions: an instance that was out of touch while a version came and left took the version
// that it found again for the only one of that time, and told so those that had started since.
func TestVersionsWithinAGapOfTheListAreNotKnown(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOriginFleet(2)
		o.publish("a", "v1")
		wait.For(t.Context(), originLifetime)
		apart := o.list[0].Address
		o.instances[apart].RecordOrigin(BegunStream{Request: "begun before", Service: "s", Version: "v1", Lifetime: originLifetime, OnlyService: true})
		wait.For(t.Context(), 2*currentListAge)
		o.revision++ // v2 came, began streams at others, and left
		o.instances[apart].ApplyListChange(view.ListChange{Version: o.revision, Gap: 2 * currentListAge})
		o.restart(o.list[1:]...)
		for _, i := range o.list[1:] {
			o.sendHistory(apart, i.Address)
		}
		is.Equal(o.find(t, "r"), map[string]bool{"": true})
		is.Equal(o.find(t, "begun before"), map[string]bool{"v1": true})
	})
}

// Guards against refusals after a gap: a peer without one tells which versions were listed meanwhile, so that they are known again.
func TestGapOfTheListIsClosedByAPeer(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOriginFleet(2)
		o.publish("a", "v1")
		wait.For(t.Context(), originLifetime)
		apart := o.instances[o.list[0].Address]
		apart.ApplyListChange(view.ListChange{Version: o.revision})
		is.Equal(apart.Followed(), originLifetime) // current until then
		apart.ApplyListChange(view.ListChange{Version: o.revision, Gap: 2 * currentListAge})
		is.Equal(apart.Followed(), time.Duration(0))
		o.sendHistory(o.list[1].Address, o.list[0].Address)
		is.Equal(apart.Followed(), originLifetime)
		is.Equal(o.find(t, "r"), map[string]bool{"v1": true})
	})
}
