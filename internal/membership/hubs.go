package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// isHubCandidate tells whether a member may be taken for a hub.
func (t *Table) isHubCandidate(now time.Time, e *entry) bool {
	lately := e.lastAliveAt.After(e.linkFailedAt) && now.Sub(e.lastAliveAt) < candidatePeriod
	return !e.Draining && (lately || t.isReachable(now, e))
}

// candidates are the members of a zone from which its hubs come: those within reach, those
// that lately were, and all.
type candidates struct{ reachable, recent, known ranking }

// candidates returns those of each zone, so many of each at most.
func (t *Table) candidates(now time.Time, most int) map[string]*candidates {
	zones := map[string]*candidates{t.self.Zone: {}}
	if !t.self.Draining {
		zones[t.self.Zone].reachable.add(&t.self, most)
	}
	for _, e := range t.members {
		if e.Zone == "" {
			continue
		}
		c := zones[e.Zone]
		if c == nil {
			c = &candidates{}
			zones[e.Zone] = c
		}
		c.known.add(&e.Member, most)
		switch {
		case e.Draining:
		case t.isReachable(now, e):
			c.reachable.add(&e.Member, most)
		case t.isHubCandidate(now, e):
			c.recent.add(&e.Member, most)
		}
	}
	return zones
}

// strongest returns the strongest of them: of those that are or lately were within reach, and, where
// there is none, the strongest that are known, to be tried.
func (c *candidates) strongest(most int) []string {
	if len(c.reachable)+len(c.recent) == 0 {
		return c.known.addresses()[:min(len(c.known), most)]
	}
	for _, m := range c.recent {
		c.reachable.add(m.Member, most)
	}
	return c.reachable.addresses()[:min(len(c.reachable), most)]
}

// ranking is the strongest of some members in order: those with most processor time, and
// among equals an order that has nothing to do with which of them are seeds.
type ranking []ranked

type ranked struct {
	*Member
	hash uint64
}

func rankedOf(m *Member) ranked { return ranked{m, xxhash.Sum64String(m.Address)} }

func compareRanked(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.hash, b.hash))
}

// add adds a member if it is among the first.
func (r *ranking) add(m *Member, most int) {
	new := rankedOf(m)
	at, _ := slices.BinarySearchFunc(*r, new, compareRanked)
	if at >= most {
		return
	}
	*r = slices.Insert(*r, at, new)
	*r = (*r)[:min(len(*r), most)]
}

func (r ranking) addresses() []string {
	out := make([]string, len(r))
	for i, m := range r {
		out[i] = m.Address
	}
	return out
}
