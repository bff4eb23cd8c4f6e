package view

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// No configuration is in force before the evacuated zones are known: an instance that starts would
// send requests there.
func TestNoConfigurationIsInForceBeforeEvacuationsAreKnown(t *testing.T) {
	is := is.New(t)
	v := newView(nil)
	v.evacuations = evacuations{}
	v.SetConfiguration(7, []byte("seven"), time.Now())
	is.Equal(inForce(v), "")
	_, known := v.Age()
	is.True(!known) // the instance isn't ready either
	v.MergeEvacuations(Evacuations{Version: 9, Zones: []string{"bole"}}, "p")
	is.Equal(inForce(v), "seven")
	is.Equal(v.CurrentEvacuations().Zones, []string{"bole"})
}

// A watch that began before anything was known says nothing about the zones that it doesn't name.
func TestZoneChangesBeforeAFullReadAreIgnored(t *testing.T) {
	is := is.New(t)
	v := newView(nil)
	v.evacuations = evacuations{}
	v.ApplyZoneChanges([]ZoneChange{{Zone: "bole", Evacuated: true, Revision: 4}}, 3, 4)
	is.Equal(v.CurrentEvacuations().Version, int64(0))
}

// Evacuations are received from reads, from a watch and from peers, late, twice and in any order. The
// result is always what the source had at the highest revision received.
func TestEvacuationsAreThoseOfTheHighestReceivedRevision(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		v := newView(nil)
		zones := []string{"a", "b", "c"}
		history := []Evacuations{{Version: 1}} // by revision
		var changes []ZoneChange
		for revision := int64(2); revision < 30; revision++ {
			before := history[len(history)-1].Zones
			c := ZoneChange{Zone: zones[random.IntN(len(zones))], Revision: revision}
			c.Evacuated = !slices.Contains(before, c.Zone)
			now := slices.DeleteFunc(slices.Clone(before), func(z string) bool { return z == c.Zone })
			if c.Evacuated {
				now = append(now, c.Zone)
			}
			slices.Sort(now)
			history = append(history, Evacuations{Version: revision, Zones: now})
			changes = append(changes, c)
		}
		highest, watched := int64(1), 0
		for range 60 {
			received := history[random.IntN(len(history))]
			switch random.IntN(3) {
			case 0:
				v.SetEvacuations(slices.Clone(received.Zones), received.Version)
			case 1:
				v.MergeEvacuations(received, "p")
			default: // the watch returns the next changes, in order
				until := min(watched+1+random.IntN(3), len(changes))
				if until == watched {
					continue
				}
				received = history[until]
				v.ApplyZoneChanges(changes[watched:until], history[watched].Version, received.Version)
				watched = until
			}
			highest = max(highest, received.Version)
			want := history[highest-1]
			if got := v.CurrentEvacuations(); got.Version != want.Version || !slices.Equal(got.Zones, want.Zones) {
				t.Fatalf("seed %d: the view has %+v, the source had %+v", seed, got, want)
			}
		}
	}
}

// An entry gives the time for which its upstream stays cold. A peer that receives it later gets the
// remaining time, and the same entry read again changes nothing.
func TestRemainingColdTimeAgesInTransit(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := newRoster(4 * time.Second)
	r.replace(now, []Upstream{{ID: "a", Revision: 3, Cold: 3 * time.Second}}, 3)
	is.Equal(r.coldRemaining(now.Add(time.Second), "a"), 2*time.Second)
	r.replace(now.Add(time.Second), []Upstream{{ID: "a", Revision: 3, Cold: 3 * time.Second}}, 4) // read again
	is.Equal(r.coldRemaining(now.Add(time.Second), "a"), 2*time.Second)
	peer := newRoster(4 * time.Second)
	peer.merge(now.Add(time.Second), r.listFor(now.Add(time.Second), KnownState{}))
	is.Equal(peer.coldRemaining(now.Add(2*time.Second), "a"), time.Second)
	r.apply(now.Add(2*time.Second), []Change{{Upstream: Upstream{ID: "a", Revision: 5}}}, 5)
	is.Equal(r.coldRemaining(now.Add(2*time.Second), "a"), time.Duration(0)) // its cold start ended earlier than its entry gave
	version := r.version
	r.replace(now.Add(3*time.Second), []Upstream{{ID: "a", Revision: 7, Cold: 2 * time.Second}}, 7)
	is.True(r.version > version) // becoming cold again is a change
}
