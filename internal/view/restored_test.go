package view

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/virtualtime"
)

// versioned decodes a content like "7 some text" as version 7.
type versioned struct{ source }

func (s versioned) Decode(content []byte) (*routing.Document, error) {
	d, err := s.source.Decode(content)
	if err != nil {
		return nil, err
	}
	version, _, _ := strings.Cut(string(content), " ")
	d.Version, err = strconv.ParseInt(version, 10, 64)
	return d, err
}

func newVersionedView() *View {
	v := newView(nil)
	v.o.Source = versioned{}
	return v
}

// in returns the position of a revision in an epoch.
func in(epoch, revision int64) int64 {
	p, ok := Position(epoch, revision)
	if !ok {
		panic("no position")
	}
	return p
}

func TestPositionBounds(t *testing.T) {
	for name, c := range map[string]struct {
		epoch, revision int64
		ok              bool
	}{
		"no epoch":            {0, 7, true},
		"an epoch":            {3, 7, true},
		"a negative epoch":    {-1, 7, false},
		"a negative revision": {1, -7, false},
		"too many revisions":  {1, epochSpan, false},
		"too many epochs":     {epochSpan, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			position, ok := Position(c.epoch, c.revision)
			is.Equal(ok, c.ok)
			if ok {
				is.Equal(EpochOf(position), c.epoch)
				is.Equal(RevisionOf(position), c.revision)
			}
		})
	}
	is.New(t).True(in(1, 1) > in(0, epochSpan-1))
}

// A source that is restored from a copy issues its revisions again. By revision alone, what it
// publishes would be refused as older, or be taken for the configuration in force.
func TestConfigurationsAreOrderedByVersion(t *testing.T) {
	const inForceIs = "48 in force"
	for name, c := range map[string]struct {
		position int64
		content  string
		inForce  string
		proved   bool
	}{
		"the same":                                  {in(1, 43), inForceIs, inForceIs, true},
		"the same of a later epoch":                 {in(2, 39), inForceIs, inForceIs, true},
		"older, of a copy":                          {in(2, 39), "46 of the copy", inForceIs, false},
		"older, at the same revision":               {in(2, 43), "46 of the copy", inForceIs, false},
		"newer, at a lower revision":                {in(2, 41), "50 written again", "50 written again", true},
		"newer, at the same revision":               {in(2, 43), "50 written again", "50 written again", true},
		"newer, at a higher revision":               {in(2, 99), "50 written again", "50 written again", true},
		"newer, of an earlier epoch":                {in(0, 60), "50 that was lost", "50 that was lost", true},
		"older, of an earlier epoch":                {in(0, 60), "46 that was lost", inForceIs, false},
		"of the same version in a later epoch":      {in(2, 41), "48 otherwise", "48 otherwise", true},
		"of the same version in an earlier epoch":   {in(0, 99), "48 otherwise", inForceIs, false},
		"of the same version at a later revision":   {in(1, 44), "48 otherwise", "48 otherwise", true},
		"older at a later revision of its epoch":    {in(1, 44), "46 by mistake", inForceIs, false},
		"unreadable":                                {in(2, 44), "what", inForceIs, false},
		"newer at an earlier revision of its epoch": {in(1, 42), "50 impossibly", inForceIs, false},
		"two epochs later, newer":                   {in(3, 2), "49 written again", "49 written again", true},
		"two epochs later, the previous one":        {in(3, 2), "40 of the copy", inForceIs, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := newVersionedView()
			v.SetConfiguration(in(1, 43), []byte(inForceIs), time.Now().Add(-4*time.Second))
			for range 2 { // the second time it may be the last refused one
				v.SetConfiguration(c.position, []byte(c.content), time.Now())
			}
			is.Equal(inForce(v), c.inForce)
			age, _ := v.Age()
			is.Equal(age < 2*time.Second, c.proved)
		})
	}
}

// An instance that starts after the restore knows only the copy. A peer's configuration is newer, and
// reads of the copy don't confirm it.
func TestRestoredCopyDoesNotConfirmPeersConfiguration(t *testing.T) {
	is := is.New(t)
	v := newVersionedView()
	v.SetConfiguration(in(2, 39), []byte("46 of the copy"), time.Now())
	is.True(v.IsOlderThan(48, in(1, 43)))
	v.MergeConfiguration(Configuration{Revision: in(1, 43), Content: []byte("48 in force")}, time.Now().Add(-3*time.Second), "p")
	is.Equal(inForce(v), "48 in force")
	v.SetConfiguration(in(2, 39), []byte("46 of the copy"), time.Now())
	age, _ := v.Age()
	is.True(age >= 3*time.Second)
	is.True(!v.IsOlderThan(46, in(2, 39)))
	is.True(v.IsOlderThan(0, in(2, 39))) // a peer that doesn't send versions
	is.True(v.IsOlderThan(50, in(2, 41)))
}

func TestEvacuationOutlivesRestoreOfSource(t *testing.T) {
	both := []string{"bole", "piassa"}
	for name, c := range map[string]struct {
		act   func(v *View)
		zones []string
		later []string // once all retention has expired
	}{
		"nothing":                          {func(*View) {}, both, []string{"piassa"}},
		"it is published again":            {func(v *View) { v.SetEvacuations(both, in(2, 22)) }, both, both},
		"it is lifted":                     {func(v *View) { v.ApplyZoneChanges([]ZoneChange{{"bole", false, in(2, 22)}}, in(2, 21), in(2, 22)) }, []string{"piassa"}, []string{"piassa"}},
		"another one is lifted":            {func(v *View) { v.ApplyZoneChanges([]ZoneChange{{"piassa", false, in(2, 22)}}, in(2, 21), in(2, 22)) }, []string{"bole"}, nil},
		"it is published again and lifted": {func(v *View) { v.SetEvacuations(both, in(2, 22)); v.SetEvacuations(nil, in(2, 23)) }, nil, nil},
		"a second restore":                 {func(v *View) { v.SetEvacuations(nil, in(3, 5)) }, both, nil},
		"a partitioned peer knows of a third": {func(v *View) {
			v.MergeEvacuations(Evacuations{Version: in(1, 50), Zones: []string{"merkato"}}, "p")
		}, []string{"bole", "merkato", "piassa"}, []string{"piassa"}},
		"a partitioned peer knows less": {func(v *View) {
			v.MergeEvacuations(Evacuations{Version: in(1, 30), Zones: []string{"merkato"}}, "p")
		}, both, []string{"piassa"}},
		"a peer holds it once it is lifted": {func(v *View) {
			v.ApplyZoneChanges([]ZoneChange{{"bole", false, in(2, 22)}}, in(2, 21), in(2, 22))
			v.MergeEvacuations(Evacuations{Version: in(2, 21), Zones: both, Retained: map[string]time.Duration{"bole": time.Hour}}, "p")
		}, []string{"piassa"}, []string{"piassa"}},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				is := is.New(t)
				v := newView(nil)
				v.o.Now = time.Now
				v.SetEvacuations([]string{"bole"}, in(1, 40))
				v.SetEvacuations([]string{"piassa"}, in(2, 21)) // lifted in the seconds that the restore lost, and evacuated since
				is.Equal(v.CurrentEvacuations().Zones, both)
				c.act(v)
				is.True(slices.Equal(v.CurrentEvacuations().Zones, c.zones))
				<-time.After(retainAfterRestore + time.Second)
				synctest.Wait()
				is.True(slices.Equal(v.CurrentEvacuations().Zones, c.later))
			})
		})
	}
}

// An instance that starts after the restore receives the evacuations that the copy lacks from peers,
// with the time for which they are still retained.
func TestInstanceStartedAfterRestoreReceivesRetainedEvacuations(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		knows, started := newView(nil), newView(nil)
		knows.o.Now, started.o.Now = time.Now, time.Now
		knows.SetEvacuations([]string{"bole"}, in(1, 40))
		knows.SetEvacuations(nil, in(2, 21))
		started.SetEvacuations(nil, in(2, 21))
		<-time.After(retainAfterRestore / 2)
		started.MergeEvacuations(knows.CurrentEvacuations(), "p")
		is.Equal(started.CurrentEvacuations().Zones, []string{"bole"})
		<-time.After(retainAfterRestore/2 + time.Second)
		synctest.Wait()
		is.Equal(len(started.CurrentEvacuations().Zones), 0)
		is.Equal(len(knows.CurrentEvacuations().Zones), 0)
	})
}

func TestListOutlivesRestoreOfSource(t *testing.T) {
	entry := func(id string, sequence, revision int64, leaving bool) Upstream {
		return Upstream{ID: id, Slots: 1, Sequence: sequence, Revision: revision, Leaving: leaving}
	}
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := newView(nil)
		v.o.Now = time.Now
		v.SetUpstreams([]Upstream{
			entry("stays", 4, in(1, 10), false), entry("leaves", 5, in(1, 30), true), entry("started", 1, in(1, 31), false),
			entry("left", 7, in(1, 32), true), entry("vanished", 3, in(1, 12), false), entry("dies", 2, in(1, 33), false),
		}, in(1, 33), time.Now())
		v.ApplyChanges([]Change{{Removed: true, Upstream: Upstream{ID: "left", Revision: in(1, 34)}}, {Removed: true, Upstream: Upstream{ID: "vanished", Revision: in(1, 35)}}}, in(1, 35), time.Now())
		copied := []Upstream{
			entry("stays", 4, in(2, 10), false), entry("leaves", 4, in(2, 11), false),
			entry("left", 6, in(2, 13), false), entry("vanished", 3, in(2, 12), false), entry("before", 1, in(2, 14), false),
		}
		v.SetUpstreams(copied, in(2, 14), time.Now())
		is.Equal(states(v), "before ready, dies missing, leaves leaving, started missing, stays ready")
		v.MergeSourceUptime(time.Minute, "p") // from before the restore
		is.Equal(states(v), "before ready, dies missing, leaves leaving, started missing, stays ready")
		v.applyReadEntry("stays", Change{Removed: true, Upstream: Upstream{ID: "stays", Revision: in(1, 9)}}) // of the previous epoch
		v.ApplyChanges([]Change{{Upstream: entry("started", 2, in(2, 15), false)}, {Upstream: entry("vanished", 4, in(2, 16), false)}}, in(2, 16), time.Now())
		is.Equal(states(v), "before ready, dies missing, leaves leaving, started ready, stays ready, vanished ready")
		<-time.After(v.upstreams.rewritePeriod + time.Second)
		synctest.Wait()
		is.Equal(states(v), "before ready, leaves leaving, started ready, stays ready, vanished ready")
	})
}

// An upstream that the copy lacks is dropped after the rewrite period. If it writes the same entry again
// later, it is listed again: the dropped entry is of the same epoch and not from a copy.
func TestUpstreamThatRewritesItsEntryLateIsListedAgain(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := newView(nil)
		v.o.Now = time.Now
		started := Upstream{ID: "a", Slots: 1, Sequence: 1, Revision: in(1, 31)}
		v.SetUpstreams([]Upstream{started}, in(1, 31), time.Now())
		v.SetUpstreams(nil, in(2, 14), time.Now())
		<-time.After(v.upstreams.rewritePeriod + time.Second)
		synctest.Wait()
		is.Equal(states(v), "")
		started.Revision = in(2, 20)
		v.ApplyChanges([]Change{{Upstream: started}}, in(2, 20), time.Now())
		is.Equal(states(v), "a ready")
		v.SetUpstreams(nil, in(3, 14), time.Now()) // a second restore
		<-time.After(v.upstreams.rewritePeriod + time.Second)
		synctest.Wait()
		is.Equal(states(v), "")
		started.Revision = in(4, 20) // and a third one, with the entry in the copy
		v.SetUpstreams([]Upstream{started}, in(4, 20), time.Now())
		is.Equal(states(v), "a ready")
	})
}

// Operators publish again what the store has lost. Once a newer configuration shows that they have, an
// evacuation that they don't publish again soon has ended in the meantime.
func TestRetainedEvacuationIsReleasedSoonerAfterNewConfiguration(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := newVersionedView()
		v.o.Now = time.Now
		v.SetEvacuations([]string{"bole"}, in(1, 40))
		v.SetConfiguration(in(1, 41), []byte("48 in force"), time.Now())
		v.SetEvacuations(nil, in(2, 21))
		v.SetConfiguration(in(2, 20), []byte("46 of the copy"), time.Now())
		<-time.After(2 * retainAfterRewrite)
		is.Equal(v.CurrentEvacuations().Zones, []string{"bole"})
		v.SetConfiguration(in(2, 22), []byte("50 written again"), time.Now())
		is.Equal(v.CurrentEvacuations().Zones, []string{"bole"}) // it may be published next
		<-time.After(retainAfterRewrite + time.Millisecond)
		synctest.Wait()
		is.Equal(len(v.CurrentEvacuations().Zones), 0)
	})
}

// applyReadEntry applies the entry read for one upstream.
func (v *View) applyReadEntry(id string, c Change) {
	v.updateList("its own word", func(r *roster, now time.Time) { r.applyEntry(now, r.entries[id], c) })
}

// states returns the states of all upstreams in a view, in order.
func states(v *View) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []string
	for id := range v.upstreams.entries {
		out = append(out, id+" "+string(v.upstreams.stateOf(v.o.Now(), id)))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

// Instances of two epochs exchange lists: a partitioned one has the earlier epoch with higher revisions.
func TestPartitionedInstanceAdoptsLaterEpoch(t *testing.T) {
	is := is.New(t)
	partitioned, reader := newView(nil), newView(nil)
	list := []Upstream{{ID: "a", Sequence: 2, Revision: in(1, 10)}, {ID: "b", Sequence: 2, Revision: in(1, 90), Leaving: true}}
	partitioned.SetUpstreams(list, in(1, 90), time.Now())
	reader.SetUpstreams([]Upstream{{ID: "a", Sequence: 3, Revision: in(2, 11)}, {ID: "b", Sequence: 1, Revision: in(2, 9)}, {ID: "c", Revision: in(2, 12)}}, in(2, 12), time.Now())
	reader.MergeUpstreams(partitioned.ListFor(reader.KnownState()), "partitioned")
	is.Equal(reader.ListVersion(), in(2, 12))
	partitioned.MergeUpstreams(reader.ListFor(partitioned.KnownState()), "reader")
	is.Equal(partitioned.ListVersion(), in(2, 12))
	is.Equal(states(partitioned), "a ready, b leaving, c ready")
	is.True(!reader.MergeUpstreams(partitioned.ListFor(reader.KnownState()), "partitioned")) // they differ: the differing chunks are requested
	reader.MergeUpstreams(partitioned.ListFor(reader.KnownState()), "partitioned")
	is.Equal(states(reader), "a ready, b leaving, c ready")
}
