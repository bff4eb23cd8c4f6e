package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// isHubCandidate reports whether a member may become a hub: it doesn't drain, and it is reachable, or
// was attested within candidatePeriod and no link to it has failed since.
func (t *Table) isHubCandidate(now time.Time, e *entry) bool {
	recently := e.lastAliveAt.After(e.linkFailedAt) && now.Sub(e.lastAliveAt) < candidatePeriod
	return !e.Draining && (recently || t.isReachable(now, e))
}

// candidates are the members of a zone from which its hubs are selected: those that are reachable,
// those that recently were, and all.
type candidates struct{ reachable, recent, known ranking }

// candidates returns the strongest candidates of each zone, at most limit in each ranking.
func (t *Table) candidates(now time.Time, limit int) map[string]*candidates {
	zones := map[string]*candidates{t.self.Zone: {}}
	if !t.self.Draining {
		zones[t.self.Zone].reachable.add(&t.self, limit)
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
		c.known.add(&e.Member, limit)
		switch {
		case e.Draining:
		case t.isReachable(now, e):
			c.reachable.add(&e.Member, limit)
		case t.isHubCandidate(now, e):
			c.recent.add(&e.Member, limit)
		}
	}
	return zones
}

// strongest returns the addresses of the strongest candidates that are or recently were reachable, or
// of the strongest known members where there is none, so that links to them are tried.
func (c *candidates) strongest(limit int) []string {
	if len(c.reachable)+len(c.recent) == 0 {
		return c.known.addresses()[:min(len(c.known), limit)]
	}
	for _, m := range c.recent {
		c.reachable.add(m.Member, limit)
	}
	return c.reachable.addresses()[:min(len(c.reachable), limit)]
}

// ranking holds the strongest of some members in order: by processor time, and where that is equal by
// a hash of the address, which is independent of which members are seeds.
type ranking []ranked

type ranked struct {
	*Member
	hash uint64
}

func rankedOf(m *Member) ranked { return ranked{m, xxhash.Sum64String(m.Address)} }

func compareRanked(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.hash, b.hash))
}

// add adds a member if it ranks among the first limit members.
func (r *ranking) add(m *Member, limit int) {
	new := rankedOf(m)
	at, _ := slices.BinarySearchFunc(*r, new, compareRanked)
	if at >= limit {
		return
	}
	*r = slices.Insert(*r, at, new)
	*r = (*r)[:min(len(*r), limit)]
}

func (r ranking) addresses() []string {
	out := make([]string, len(r))
	for i, m := range r {
		out[i] = m.Address
	}
	return out
}
