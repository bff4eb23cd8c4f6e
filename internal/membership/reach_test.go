package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/reach"
)

// report makes an instance report to all that are linked to it whether it reaches upstreams, as a heartbeat
// does.
func (s *simulated) report(address string, reached reach.State) {
	for other := range s.instances[address].links {
		s.instances[other].overlay.SetReported(s.now, address, false, reached)
	}
}

// wrongReach returns an instance that doesn't know whether the given ones reach upstreams, "" if there is none.
func (s *simulated) wrongReach(addresses []string, want reach.State) string {
	for address, i := range s.instances {
		for _, other := range addresses {
			if m, _ := i.overlay.Member(other); other != address && m.Reach != want {
				return fmt.Sprintf("%s: %s is %v, want %v", address, other, m.Reach, want)
			}
		}
	}
	return ""
}

// Instances without a link to one that reached no upstream believed that it did, and asked it in vain to relay.
func TestReachIsKnownWithoutALink(t *testing.T) {
	const steps = 4 // to the hubs, to those of the other zones, to their zones, and in the order of a round
	forFleets(t, func(t *testing.T, s *simulated, _ []string) {
		var zone []string
		for address, i := range s.instances {
			if i.self.Zone == s.instances[addressOf(1)].self.Zone {
				zone = append(zone, address)
			}
		}
		slices.Sort(zone)
		for _, reached := range []reach.State{reach.Reaching, reach.Isolated, reach.Reaching} {
			for _, address := range zone {
				s.report(address, reached)
			}
			records := 0
			for range steps {
				s.round()
				records += s.sent
			}
			if wrong := s.wrongReach(zone, reached); wrong != "" {
				t.Error(wrong)
			}
			hubs := 6 * HubsPerZone // each gets a record from every other, each instance one from those of its zone
			if limit := len(zone) * (len(s.instances)*HubsPerZone + hubs*hubs); records > limit {
				t.Errorf("%d records were sent, of %d at most", records, limit)
			}
		}
	})
}

// A process that is new says itself whether it reaches upstreams, whatever the one before it said.
func TestReachOfNewProcessIsUnknown(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := NewTable(Member{Address: "a", Zone: "z"})
	table.LinkUp(now, Member{Address: "b", Zone: "z", Incarnation: 1})
	table.SetReported(now, "b", false, reach.Isolated)
	m, _ := table.Member("b")
	is.Equal(m.Reach, reach.Isolated)
	table.LinkUp(now, Member{Address: "b", Zone: "z", Incarnation: 2})
	m, _ = table.Member("b")
	is.Equal(m.Reach, reach.Unknown)
}

// A peer whose link had ended without a last heartbeat counted on as it had been, though hubs had told the change.
func TestRecordCountsOnceTheLinkHasEnded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := NewTable(Member{Address: "a", Zone: "z"})
	table.LinkUp(now, Member{Address: "b", Zone: "z", Incarnation: 1})
	table.SetReported(now, "b", false, reach.Reaching)
	table.Merge(now, "hub", &Update{Kind: Indirect, Full: true, Records: []Record{{Address: "b", Zone: "z", Incarnation: 1, Draining: true, Reach: reach.Isolated}}})
	m, _ := table.Member("b")
	is.Equal(m.Reach, reach.Reaching) // it says so itself
	is.True(!m.Draining)
	table.LinkDown(now, "b")
	m, _ = table.Member("b")
	is.Equal(m.Reach, reach.Isolated)
	is.True(m.Draining)
	table.LinkUp(now, Member{Address: "c", Zone: "z", Incarnation: 1})
	table.SetReported(now, "c", false, reach.Reaching)
	table.LinkDown(now, "c")
	m, _ = table.Member("c")
	is.Equal(m.Reach, reach.Unknown) // nobody says
}
