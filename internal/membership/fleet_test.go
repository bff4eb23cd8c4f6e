package membership

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// large is the size of the largest fleets; with the race detector 300 take some seconds a test.
var large = flag.Int("membership-large", 100, "instances of the largest simulated fleets")

// forFleets runs a test with fleets that have found each other.
func forFleets(t *testing.T, f func(t *testing.T, s *simulated, seeds []string)) {
	for _, c := range []struct {
		instances int
		seed      uint64
	}{{30, 1}, {30, 2}, {*large, 1}} {
		t.Run(fmt.Sprintf("%d instances, seed %d", c.instances, c.seed), func(t *testing.T) {
			t.Parallel()
			s, seeds := startFleet(c.seed, c.instances)
			s.converge(t, 12)
			s.settle(startupPeriod)
			f(t, s, seeds)
		})
	}
}

// All that start at once know each other within little more than a second, by three seeds
// of which one is down and none tells a whole list.
func TestAFleetThatStartsAtOnceFindsItself(t *testing.T) {
	for _, n := range []int{1, 2, 7, 30, *large} {
		s, seeds := startFleet(7, n)
		if n >= 30 {
			s.stop(seeds[1])
		}
		t.Logf("%d instances: %d rounds", n, s.converge(t, 15))
	}
}

// Links don't grow with the fleet but at the hubs, which have those of their zone and the
// hubs of the others.
func TestLinksAreFew(t *testing.T) {
	forFleets(t, func(t *testing.T, s *simulated, _ []string) {
		for address, i := range s.instances {
			kept := 0
			for other := range i.links {
				wanted := slices.Contains(i.plan.WantedLinks(s.now), other) || slices.Contains(s.instances[other].plan.WantedLinks(s.now), address)
				if wanted {
					kept++
				}
			}
			most := HubsPerZone
			if i.plan.IsHub(s.now) {
				most = len(s.instances)/6 + 1 + 6*HubsPerZone
			}
			if kept > most {
				t.Fatalf("%s keeps %d links", address, kept)
			}
		}
	})
}

// All agree on the hubs of each zone.
func TestAllAgreeOnHubs(t *testing.T) {
	forFleets(t, func(t *testing.T, s *simulated, _ []string) {
		want := map[string][]string{}
		for _, i := range s.instances {
			for zone, hubs := range i.plan.allHubs(s.now) {
				if want[zone] == nil {
					want[zone] = hubs
				}
				if !slices.Equal(want[zone], hubs) {
					t.Fatalf("%v and %v are hubs of %s", want[zone], hubs, zone)
				}
			}
		}
	})
}

// One that is lost is out of reach of all, and one that comes back under its address as
// another process is known as that.
func TestAnInstanceIsLostAndComesBack(t *testing.T) {
	forFleets(t, func(t *testing.T, s *simulated, seeds []string) {
		for _, address := range []string{addressOf(5), addressOf(1), addressOf(20)} { // a hub, a seed, any
			i := s.instances[address].self
			s.stop(address)
			s.converge(t, 4)
			s.settle(time.Second)
			s.start(address, i.Zone, i.Cores, seeds)
			s.converge(t, 8)
			s.settle(bootstrapPeriod) // until then it counts those in reach that it was introduced to
		}
	})
}

// All hubs of all zones are lost at once: the next ones are known before. Without power
// their links go silent, which is noticed after 2 s.
func TestAllHubsAreLostAtOnce(t *testing.T) {
	for name, lose := range map[string]struct {
		f    func(*simulated, string)
		most int
	}{
		"killed":        {(*simulated).stop, 18},
		"without power": {(*simulated).darken, silentRounds + 25},
	} {
		t.Run(name, func(t *testing.T) {
			forFleets(t, func(t *testing.T, s *simulated, _ []string) {
				hubs := 0
				for _, address := range slices.Sorted(maps.Keys(s.instances)) {
					if s.instances[address].plan.IsHub(s.now) {
						hubs++
						s.in(1, func() { lose.f(s, address) })
					}
				}
				is.New(t).Equal(hubs, 6*HubsPerZone)
				t.Logf("%d rounds", s.converge(t, lose.most))
			})
		})
	}
}

// A zone that is cut off knows it, and so do the others; it is back within a few rounds
// after it is healed, with what changed meanwhile.
func TestAZoneIsCutOffAndHealed(t *testing.T) {
	forFleets(t, func(t *testing.T, s *simulated, seeds []string) {
		s.cutZone("zone-2", true)
		s.converge(t, 4)
		s.settle(5 * time.Second)
		lost := s.instances[addressOf(26)].self // of the zone
		s.stop(addressOf(26))
		s.stop(addressOf(6)) // of another one
		s.settle(time.Second)
		s.start(addressOf(26), lost.Zone, lost.Cores, seeds)
		s.settle(10 * time.Second)
		s.cutZone("zone-2", false)
		t.Logf("%d rounds", s.converge(t, 30))
	})
}

// Two thirds are lost at once, seeds and hubs among them; those that are left have each
// other.
func TestAShareIsLostAtOnce(t *testing.T) {
	for name, lose := range map[string]struct {
		f    func(*simulated, string)
		most int
	}{
		"killed":        {(*simulated).stop, 25},
		"without power": {(*simulated).darken, silentRounds + 50},
	} {
		t.Run(name, func(t *testing.T) {
			forFleets(t, func(t *testing.T, s *simulated, _ []string) {
				for _, address := range slices.Sorted(maps.Keys(s.instances)) {
					if s.draw.IntN(3) > 0 {
						lose.f(s, address)
					}
				}
				t.Logf("%d rounds", s.converge(t, lose.most))
			})
		})
	}
}

// Three quarters of the fleet's size are added within a second.
func TestInstancesJoinInABurst(t *testing.T) {
	forFleets(t, func(t *testing.T, s *simulated, seeds []string) {
		n := len(s.instances)
		for k := range n * 3 / 4 {
			s.start(addressOf(n+k), fmt.Sprintf("zone-%d", (n+k)%6), 0.2, seeds)
			if k%(n/10) == 0 {
				s.round()
			}
		}
		t.Logf("%d rounds", s.converge(t, 12))
	})
}

// Those that have gone for good are forgotten everywhere.
func TestThoseThatLeftAreForgotten(t *testing.T) {
	s, _ := startFleet(3, 60)
	s.converge(t, 12)
	for k := 30; k < 60; k++ {
		s.stop(addressOf(k))
	}
	s.converge(t, 25)
	s.settle(forgetAfter + 2*time.Second)
	for address, i := range s.instances {
		if known := i.plan.KnownCount(); known != 29 {
			t.Fatalf("%s knows %d", address, known)
		}
	}
}

// A quiet fleet tells nothing.
func TestAQuietFleetTellsNothing(t *testing.T) {
	forFleets(t, func(t *testing.T, s *simulated, _ []string) {
		for range 20 {
			s.round()
			is.New(t).Equal(s.told, 0)
		}
	})
}

// News of a process that is gone comes by another path, later than that of the next one.
func TestAnOldProcessDoesNotComeBack(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := NewTable(Member{Address: "a", Zone: "z"})
	old := Record{Address: "b", Zone: "z", Incarnation: 1, Age: time.Minute}
	table.Merge(now, "h1", &Update{Kind: Indirect, Full: true, Records: []Record{old}})
	table.Merge(now, "h2", &Update{Kind: Indirect, Full: true, Records: []Record{{Address: "b", Zone: "z", Incarnation: 2, Age: time.Second}}})
	old.Age = time.Millisecond // it was delayed
	table.Merge(now, "h3", &Update{Kind: Indirect, Full: true, Records: []Record{old}})
	m, _ := table.Member("b")
	is.Equal(m.Incarnation, uint64(2))
	table.LinkDown(now, "h2") // the others vouch for the old one alone
	is.True(!table.Reachable(now, "b"))
	table.LinkUp(now, Member{Address: "b", Zone: "z", Incarnation: 1, Started: now.Add(-time.Minute)})
	m, _ = table.Member("b")
	is.Equal(m.Incarnation, uint64(1)) // a link is proof, whatever was told
}

func BenchmarkRound(b *testing.B) {
	for _, n := range []int{30, 300, 1000} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			s, _ := startFleet(1, n)
			s.settle(10 * time.Second)
			b.ResetTimer()
			for range b.N {
				s.round()
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(n), "us/instance")
		})
	}
}
