package view

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/virtualtime"
)

func TestEntriesThatLapseInAnOutageMayComeBack(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		var list []Upstream
		v := newReachedView(following(&list))
		v.SetUpstreams([]Upstream{{ID: "a", Revision: 1}, {ID: "b", Revision: 2}, {ID: "c", Revision: 3, Leaving: true}}, 3, time.Now())
		outage(v) // and no peer reached it either
		v.SetUpstreams(nil, 6, time.Now())
		is.Equal(ids(list), []string{"a", "b"}) // c announced that it leaves
		v.ApplyChanges([]Change{{Upstream: Upstream{ID: "a", Revision: 9}}}, 9, time.Now())
		<-time.After(2 * time.Second)
		synctest.Wait()
		is.Equal(ids(list), []string{"a"}) // b didn't come back
	})
}

// An instance that the source rejected, or that was partitioned from it, has received from its peers
// that they reached it. Entries that it then finds absent were removed.
func TestEntriesAbsentWhileAPeerReachedTheSourceAreRemoved(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		var list []Upstream
		v := newReachedView(following(&list))
		v.SetUpstreams([]Upstream{{ID: "a", Revision: 1}, {ID: "b", Revision: 2}}, 2, time.Now())
		v.SourceUnreachable("list", errors.New("turned away"))
		<-time.After(9 * time.Second)
		v.MergeConfiguration(Configuration{Revision: 7}, time.Now().Add(-time.Second), "p")
		v.SourceReached()
		v.SetUpstreams([]Upstream{{ID: "b", Revision: 2}}, 3, time.Now())
		is.Equal(ids(list), []string{"b"})
	})
}

// Only one instance lost the source, since its connections had gone silent, and it keeps absent entries
// as missing as after an outage for all. A peer that reached the source throughout reports so: the
// missing entries were removed. A peer that has reached it for a shorter time can't know.
func TestPeerSourceUptimeEndsWaitForMissingEntries(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		var list []Upstream
		v := newReachedView(following(&list))
		v.SetUpstreams([]Upstream{{ID: "a", Revision: 1}, {ID: "b", Revision: 2}}, 2, time.Now())
		outage(v)
		v.SetUpstreams([]Upstream{{ID: "a", Revision: 1}}, 4, time.Now())
		is.Equal(ids(list), []string{"a", "b"})
		v.MergeSourceUptime(time.Second, "p")
		is.Equal(ids(list), []string{"a", "b"})
		v.MergeSourceUptime(2*time.Second, "p")
		is.Equal(ids(list), []string{"a"})
		v.ApplyChanges([]Change{{Removed: true, Upstream: Upstream{ID: "a", Revision: 5}}}, 5, time.Now())
		is.Equal(len(list), 0) // the list no longer settles
	})
}

// The source's uptime runs while there is no gap between proofs in which entries may lapse.
func TestSourceUptime(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := newView(nil)
		proveFor := func(span time.Duration) {
			for end := time.Now().Add(span); time.Now().Before(end); <-time.After(time.Second) {
				v.SetConfiguration(7, []byte("seven"), time.Now())
			}
		}
		is.Equal(v.SourceUptime(), time.Duration(0))
		proveFor(5 * time.Second)
		is.Equal(v.SourceUptime(), 5*time.Second)
		<-time.After(1500 * time.Millisecond)
		is.Equal(v.SourceUptime(), time.Duration(0)) // no proof for 2.5 s
		proveFor(3 * time.Second)
		is.Equal(v.SourceUptime(), 3*time.Second)
	})
}

func TestRemovalWhileSourceRespondsTakesEffectAtOnce(t *testing.T) {
	is := is.New(t)
	var list []Upstream
	v := newView(following(&list))
	v.SourceReached()
	v.SetUpstreams([]Upstream{{ID: "a", Revision: 1}, {ID: "b", Revision: 2}}, 2, time.Now())
	v.ApplyChanges([]Change{{Removed: true, Upstream: Upstream{ID: "a", Revision: 3}}}, 3, time.Now())
	is.Equal(ids(list), []string{"b"})
}

// outage makes the source unreachable for long enough for entries to lapse.
func outage(v *View) {
	v.SourceUnreachable("list", errors.New("down"))
	<-time.After(3 * time.Second)
	v.SourceReached()
}
