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

// large is the size of the largest fleets; with the race detector, a test of 300 takes some seconds.
var large = flag.Int("membership-large", 100, "instances of the largest simulated fleets")

// forFleets runs a test with several fleets that have converged.
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

// Instances that all start at once know each other within little more than a second, through three
// seeds of which one is down and none sends a complete list.
func TestFleetStartedAtOnceConverges(t *testing.T) {
	for _, n := range []int{1, 2, 7, 30, *large} {
		s, seeds := startFleet(7, n)
		if n >= 30 {
			s.stop(seeds[1])
		}
		t.Logf("%d instances: %d rounds", n, s.converge(t, 15))
	}
}

// The number of links grows with the fleet at the hubs only, which link to the instances of their zone
// and to the hubs of the others.
func TestLinkCountIsBounded(t *testing.T) {
	forFleets(t, func(t *testing.T, s *simulated, _ []string) {
		for address, i := range s.instances {
			kept := 0
			for other := range i.links {
				wanted := slices.Contains(i.overlay.WantedLinks(s.now), other) || slices.Contains(s.instances[other].overlay.WantedLinks(s.now), address)
				if wanted {
					kept++
				}
			}
			limit := HubsPerZone
			if i.overlay.IsHub(s.now) {
				limit = len(s.instances)/6 + 1 + 6*HubsPerZone
			}
			if kept > limit {
				t.Fatalf("%s keeps %d links", address, kept)
			}
		}
	})
}

// All instances compute the same hubs of each zone.
func TestInstancesAgreeOnHubs(t *testing.T) {
	forFleets(t, func(t *testing.T, s *simulated, _ []string) {
		want := map[string][]string{}
		for _, i := range s.instances {
			for zone, hubs := range i.overlay.allHubs(s.now) {
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

// A lost instance becomes unreachable for all others. A new process at its address is recognised as
// another incarnation.
func TestLostInstanceReturnsAsNewProcess(t *testing.T) {
	forFleets(t, func(t *testing.T, s *simulated, seeds []string) {
		for _, address := range []string{addressOf(5), addressOf(1), addressOf(20)} { // a hub, a seed, any other
			i := s.instances[address].self
			s.stop(address)
			s.converge(t, 4)
			s.settle(time.Second)
			s.start(address, i.Zone, i.Cores, seeds)
			s.converge(t, 8)
			s.settle(bootstrapPeriod) // until then it counts all instances of the Bootstrap update as reachable
		}
	})
}

// All hubs of all zones are lost at once; the others compute the next hubs from what they know. After a
// power failure the links go silent, which is detected after 2 s.
func TestFleetConvergesAfterLossOfAllHubs(t *testing.T) {
	for name, lose := range map[string]struct {
		f     func(*simulated, string)
		limit int
	}{
		"killed":        {(*simulated).stop, 18},
		"without power": {(*simulated).powerOff, silentRounds + 25},
	} {
		t.Run(name, func(t *testing.T) {
			forFleets(t, func(t *testing.T, s *simulated, _ []string) {
				hubs := 0
				for _, address := range slices.Sorted(maps.Keys(s.instances)) {
					if s.instances[address].overlay.IsHub(s.now) {
						hubs++
						s.after(1, func() { lose.f(s, address) })
					}
				}
				is.New(t).Equal(hubs, 6*HubsPerZone)
				t.Logf("%d rounds", s.converge(t, lose.limit))
			})
		})
	}
}

// When a zone is partitioned, both sides see each other as unreachable. A few rounds after the
// partition ends, both know all instances again, including those that changed meanwhile.
func TestFleetConvergesAfterZonePartition(t *testing.T) {
	forFleets(t, func(t *testing.T, s *simulated, seeds []string) {
		s.setPartitioned("zone-2", true)
		s.converge(t, 4)
		s.settle(5 * time.Second)
		lost := s.instances[addressOf(26)].self // in the zone
		s.stop(addressOf(26))
		s.stop(addressOf(6)) // in another zone
		s.settle(time.Second)
		s.start(addressOf(26), lost.Zone, lost.Cores, seeds)
		s.settle(10 * time.Second)
		s.setPartitioned("zone-2", false)
		t.Logf("%d rounds", s.converge(t, 30))
	})
}

// Guards against an instance that starts on one side of a partition, takes the instances that it reaches for the whole fleet,
// and grants all of a quota there.
func TestInstanceThatStartsBehindAPartitionKnowsTheWholeFleet(t *testing.T) {
	forFleets(t, func(t *testing.T, s *simulated, seeds []string) {
		n := len(s.instances)
		s.setPartitioned("zone-2", true)
		s.converge(t, 4)
		s.settle(5 * time.Second)
		for _, started := range []string{addressOf(26), addressOf(6)} { // on either side
			before := s.instances[started].self
			s.stop(started)
			s.start(started, before.Zone, before.Cores, seeds)
		}
		s.settle(5 * time.Second)
		for _, started := range []string{addressOf(26), addressOf(6)} {
			reachable, known := 0, 1
			for _, m := range s.instances[started].overlay.Members(s.now) {
				known++
				if m.Reachable {
					reachable++
				}
			}
			t.Logf("%s: %d known, %d of them reachable", started, known, reachable)
			if known != n || reachable >= n-1 {
				t.Errorf("%s: %d known, %d of them reachable; the fleet has %d", started, known, reachable, n)
			}
		}
		s.settle(forgetAfter)
		if known := s.instances[addressOf(26)].overlay.KnownCount(); known >= n-1 {
			t.Errorf("%d others known after a minute; those that are lost aren't forgotten", known)
		}
		s.setPartitioned("zone-2", false)
		t.Logf("%d rounds", s.converge(t, 40))
	})
}

// Two thirds of the instances are lost at once, including seeds and hubs; the others find each other.
func TestFleetConvergesAfterLossOfTwoThirds(t *testing.T) {
	for name, lose := range map[string]struct {
		f     func(*simulated, string)
		limit int
	}{
		"killed":        {(*simulated).stop, 25},
		"without power": {(*simulated).powerOff, silentRounds + 50},
	} {
		t.Run(name, func(t *testing.T) {
			forFleets(t, func(t *testing.T, s *simulated, _ []string) {
				for _, address := range slices.Sorted(maps.Keys(s.instances)) {
					if s.random.IntN(3) > 0 {
						lose.f(s, address)
					}
				}
				t.Logf("%d rounds", s.converge(t, lose.limit))
			})
		})
	}
}

// Within a second, three quarters as many instances as the fleet has are added.
func TestFleetConvergesAfterBurstOfStarts(t *testing.T) {
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

// Instances that don't come back are forgotten by all others.
func TestLostInstancesAreForgotten(t *testing.T) {
	s, _ := startFleet(3, 60)
	s.converge(t, 12)
	for k := 30; k < 60; k++ {
		s.stop(addressOf(k))
	}
	s.converge(t, 25)
	s.settle(forgetAfter + 2*time.Second)
	for address, i := range s.instances {
		if known := i.overlay.KnownCount(); known != 29 {
			t.Fatalf("%s knows %d", address, known)
		}
	}
}

// Without changes, no records are sent.
func TestUnchangedFleetSendsNoRecords(t *testing.T) {
	forFleets(t, func(t *testing.T, s *simulated, _ []string) {
		for range 20 {
			s.round()
			is.New(t).Equal(s.sent, 0)
		}
	})
}

// A record of an ended process arrives by another path, later than that of the process after it.
func TestDelayedRecordDoesNotRestoreOldProcess(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := NewTable(Member{Address: "a", Zone: "z"})
	old := Record{Address: "b", Zone: "z", Incarnation: 1, Age: time.Minute}
	table.Merge(now, "h1", &Update{Kind: Indirect, Full: true, Records: []Record{old}})
	table.Merge(now, "h2", &Update{Kind: Indirect, Full: true, Records: []Record{{Address: "b", Zone: "z", Incarnation: 2, Age: time.Second}}})
	old.Age = time.Millisecond // the record was delayed
	table.Merge(now, "h3", &Update{Kind: Indirect, Full: true, Records: []Record{old}})
	m, _ := table.Member("b")
	is.Equal(m.Incarnation, uint64(2))
	table.LinkDown(now, "h2") // the other sources attest only the old process
	is.True(!table.Reachable(now, "b"))
	table.LinkUp(now, Member{Address: "b", Zone: "z", Incarnation: 1, Started: now.Add(-time.Minute)})
	m, _ = table.Member("b")
	is.Equal(m.Incarnation, uint64(1)) // a link is proof, whatever the records say
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
