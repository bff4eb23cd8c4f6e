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

// in is a position.
func in(era, revision int64) int64 {
	p, ok := Position(era, revision)
	if !ok {
		panic("no position")
	}
	return p
}

func TestWhichRevisionsHaveAPosition(t *testing.T) {
	for name, c := range map[string]struct {
		era, revision int64
		ok            bool
	}{
		"no era":              {0, 7, true},
		"an era":              {3, 7, true},
		"a negative era":      {-1, 7, false},
		"a negative revision": {1, -7, false},
		"too many revisions":  {1, epochSpan, false},
		"too many eras":       {epochSpan, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			position, ok := Position(c.era, c.revision)
			is.Equal(ok, c.ok)
			if ok {
				is.Equal(EpochOf(position), c.era)
				is.Equal(RevisionOf(position), c.revision)
			}
		})
	}
	is.New(t).True(in(1, 1) > in(0, epochSpan-1))
}

// A source came back from a copy, gave its revisions out again, and what it published was refused as older, or taken
// for what was in force.
func TestConfigurationsAreOrderedByTheirOwnVersion(t *testing.T) {
	const inForceIs = "48 in force"
	for name, c := range map[string]struct {
		position int64
		content  string
		inForce  string
		proved   bool
	}{
		"the same":                                 {in(1, 43), inForceIs, inForceIs, true},
		"the same of a later era":                  {in(2, 39), inForceIs, inForceIs, true},
		"older, of a copy":                         {in(2, 39), "46 of the copy", inForceIs, false},
		"older, at the same revision":              {in(2, 43), "46 of the copy", inForceIs, false},
		"newer, at a lower revision":               {in(2, 41), "50 written again", "50 written again", true},
		"newer, at the same revision":              {in(2, 43), "50 written again", "50 written again", true},
		"newer, at a higher revision":              {in(2, 99), "50 written again", "50 written again", true},
		"newer, of an earlier era":                 {in(0, 60), "50 that was lost", "50 that was lost", true},
		"older, of an earlier era":                 {in(0, 60), "46 that was lost", inForceIs, false},
		"of the same version in a later era":       {in(2, 41), "48 otherwise", "48 otherwise", true},
		"of the same version in an earlier era":    {in(0, 99), "48 otherwise", inForceIs, false},
		"of the same version at a later revision":  {in(1, 44), "48 otherwise", "48 otherwise", true},
		"older at a later revision of its era":     {in(1, 44), "46 by mistake", inForceIs, false},
		"unreadable":                               {in(2, 44), "what", inForceIs, false},
		"newer at an earlier revision of its era":  {in(1, 42), "50 impossibly", inForceIs, false},
		"two eras later, newer":                    {in(3, 2), "49 written again", "49 written again", true},
		"two eras later, what was in force before": {in(3, 2), "40 of the copy", inForceIs, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := newVersionedView()
			v.SetConfiguration(in(1, 43), []byte(inForceIs), time.Now().Add(-4*time.Second))
			for range 2 { // the second time it may be known
				v.SetConfiguration(c.position, []byte(c.content), time.Now())
			}
			is.Equal(inForce(v), c.inForce)
			age, _ := v.Age()
			is.Equal(age < 2*time.Second, c.proved)
		})
	}
}

// One that has just started knows only the copy. What a peer has in force is newer, and reads of the copy prove nothing
// of it.
func TestACopyProvesNothingOfWhatAPeerKnows(t *testing.T) {
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
	is.True(v.IsOlderThan(0, in(2, 39))) // a peer that doesn't tell versions
	is.True(v.IsOlderThan(50, in(2, 41)))
}

func TestAnEvacuationOutlivesTheReturnOfItsSource(t *testing.T) {
	both := []string{"bole", "piassa"}
	for name, c := range map[string]struct {
		happens func(v *View)
		zones   []string
		later   []string // once nothing is held any more
	}{
		"nothing":                     {func(*View) {}, both, []string{"piassa"}},
		"it is written again":         {func(v *View) { v.SetEvacuations(both, in(2, 22)) }, both, both},
		"it is lifted":                {func(v *View) { v.ApplyZoneChanges([]ZoneChange{{"bole", false, in(2, 22)}}, in(2, 22)) }, []string{"piassa"}, []string{"piassa"}},
		"another one is lifted":       {func(v *View) { v.ApplyZoneChanges([]ZoneChange{{"piassa", false, in(2, 22)}}, in(2, 22)) }, []string{"bole"}, nil},
		"it is seen again and lifted": {func(v *View) { v.SetEvacuations(both, in(2, 22)); v.SetEvacuations(nil, in(2, 23)) }, nil, nil},
		"a second return":             {func(v *View) { v.SetEvacuations(nil, in(3, 5)) }, both, nil},
		"a peer that was cut off knows of a third": {func(v *View) {
			v.MergeEvacuations(Evacuations{Version: in(1, 50), Zones: []string{"merkato"}}, "p")
		}, []string{"bole", "merkato", "piassa"}, []string{"piassa"}},
		"a peer that was cut off knows less": {func(v *View) {
			v.MergeEvacuations(Evacuations{Version: in(1, 30), Zones: []string{"merkato"}}, "p")
		}, both, []string{"piassa"}},
		"a peer holds it once it is lifted": {func(v *View) {
			v.ApplyZoneChanges([]ZoneChange{{"bole", false, in(2, 22)}}, in(2, 22))
			v.MergeEvacuations(Evacuations{Version: in(2, 21), Zones: both, Held: map[string]time.Duration{"bole": time.Hour}}, "p")
		}, []string{"piassa"}, []string{"piassa"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				v := newView(nil)
				v.o.Now = time.Now
				v.SetEvacuations([]string{"bole"}, in(1, 40))
				v.SetEvacuations([]string{"piassa"}, in(2, 21)) // lifted in the seconds that were lost, and evacuated since
				is.Equal(v.CurrentEvacuations().Zones, both)
				c.happens(v)
				is.True(slices.Equal(v.CurrentEvacuations().Zones, c.zones))
				<-time.After(holdAfterRestore + time.Second)
				synctest.Wait()
				is.True(slices.Equal(v.CurrentEvacuations().Zones, c.later))
			})
		})
	}
}

// One that has just started hears from peers of what the copy lacks, and for how long it is still believed.
func TestWhoKnowsOnlyTheCopyHearsOfEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		knows, started := newView(nil), newView(nil)
		knows.o.Now, started.o.Now = time.Now, time.Now
		knows.SetEvacuations([]string{"bole"}, in(1, 40))
		knows.SetEvacuations(nil, in(2, 21))
		started.SetEvacuations(nil, in(2, 21))
		<-time.After(holdAfterRestore / 2)
		started.MergeEvacuations(knows.CurrentEvacuations(), "p")
		is.Equal(started.CurrentEvacuations().Zones, []string{"bole"})
		<-time.After(holdAfterRestore/2 + time.Second)
		synctest.Wait()
		is.Equal(len(started.CurrentEvacuations().Zones), 0)
		is.Equal(len(knows.CurrentEvacuations().Zones), 0)
	})
}

func TestAListOutlivesTheReturnOfItsSource(t *testing.T) {
	entry := func(id string, sequence, revision int64, leaving bool) Upstream {
		return Upstream{ID: id, Slots: 1, Sequence: sequence, Revision: revision, Leaving: leaving}
	}
	synctest.Test(t, func(t *testing.T) {
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
		v.MergeSourceUptime(time.Minute, "p") // before it came back
		is.Equal(states(v), "before ready, dies missing, leaves leaving, started missing, stays ready")
		v.applyDoubt("stays", Change{Removed: true, Upstream: Upstream{ID: "stays", Revision: in(1, 9)}}) // of the era before
		v.ApplyChanges([]Change{{Upstream: entry("started", 2, in(2, 15), false)}, {Upstream: entry("vanished", 4, in(2, 16), false)}}, in(2, 16), time.Now())
		is.Equal(states(v), "before ready, dies missing, leaves leaving, started ready, stays ready, vanished ready")
		<-time.After(v.upstreams.rewritePeriod + time.Second)
		synctest.Wait()
		is.Equal(states(v), "before ready, leaves leaving, started ready, stays ready, vanished ready")
	})
}

// An upstream that the copy lacks is given up in its time. Where it writes the same entry again later, it is back: the
// one that was given up is of the same era, and no copy's.
func TestAnUpstreamThatWritesItsEntryAgainLateIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
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
		v.SetUpstreams(nil, in(3, 14), time.Now()) // a second return
		<-time.After(v.upstreams.rewritePeriod + time.Second)
		synctest.Wait()
		is.Equal(states(v), "")
		started.Revision = in(4, 20) // and a third one, with the entry in the copy
		v.SetUpstreams([]Upstream{started}, in(4, 20), time.Now())
		is.Equal(states(v), "a ready")
	})
}

// Operators write again what the store has lost. Once a newer configuration shows that they have, an evacuation that
// they haven't written again was taken back meanwhile.
func TestAnEvacuationIsNotHeldForLongOnceOperatorsHaveWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := newVersionedView()
		v.o.Now = time.Now
		v.SetEvacuations([]string{"bole"}, in(1, 40))
		v.SetConfiguration(in(1, 41), []byte("48 in force"), time.Now())
		v.SetEvacuations(nil, in(2, 21))
		v.SetConfiguration(in(2, 20), []byte("46 of the copy"), time.Now())
		<-time.After(2 * holdAfterRewrite)
		is.Equal(v.CurrentEvacuations().Zones, []string{"bole"})
		v.SetConfiguration(in(2, 22), []byte("50 written again"), time.Now())
		is.Equal(v.CurrentEvacuations().Zones, []string{"bole"}) // it may be written next
		<-time.After(holdAfterRewrite + time.Millisecond)
		synctest.Wait()
		is.Equal(len(v.CurrentEvacuations().Zones), 0)
	})
}

// applyDoubt takes what was read of one upstream.
func (v *View) applyDoubt(id string, c Change) {
	v.updateList("its own word", func(r *roster, now time.Time) { r.applyEntry(now, r.entries[id], c) })
}

// states names what a view believes of all upstreams, in order.
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

// Both eras meet among instances: one that was cut off holds the earlier one with higher revisions.
func TestAnInstanceThatWasCutOffTakesTheLaterEra(t *testing.T) {
	is := is.New(t)
	cut, reads := newView(nil), newView(nil)
	list := []Upstream{{ID: "a", Sequence: 2, Revision: in(1, 10)}, {ID: "b", Sequence: 2, Revision: in(1, 90), Leaving: true}}
	cut.SetUpstreams(list, in(1, 90), time.Now())
	reads.SetUpstreams([]Upstream{{ID: "a", Sequence: 3, Revision: in(2, 11)}, {ID: "b", Sequence: 1, Revision: in(2, 9)}, {ID: "c", Revision: in(2, 12)}}, in(2, 12), time.Now())
	reads.MergeUpstreams(cut.ListFor(reads.KnownState()), "cut")
	is.Equal(reads.ListVersion(), in(2, 12))
	cut.MergeUpstreams(reads.ListFor(cut.KnownState()), "reads")
	is.Equal(cut.ListVersion(), in(2, 12))
	is.Equal(states(cut), "a ready, b leaving, c ready")
	is.True(!reads.MergeUpstreams(cut.ListFor(reads.KnownState()), "cut")) // they are unlike: their parts are asked for
	reads.MergeUpstreams(cut.ListFor(reads.KnownState()), "cut")
	is.Equal(states(reads), "a ready, b leaving, c ready")
}
