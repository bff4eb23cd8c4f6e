package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/estimate"
	"github.com/tacktally/tacktally/internal/prefix"
)

// Member is an upstream as a list names it.
type Member struct {
	// ID tells apart upstreams that have the same address one after the other;
	// the address where absent.
	ID      string
	Address string
	Zone    string
	Region  string
	// Slots is how many requests it runs at once for all instances; 0 is unknown.
	Slots   int
	Leaving bool
	// Incarnation tells its processes apart, where it is known.
	Incarnation int64
	// ColdUntil is until when it is cold, by what is published of it or has happened to it.
	ColdUntil time.Time
	// AdvertisedLimit is what it has named.
	AdvertisedLimit balancer.AdvertisedLimit
	// MovedAt is when it moved to this core from another one, which knew Before of it; zero and nil
	// where it wasn't.
	MovedAt  time.Time
	Previous *balancer.Upstream
}

func (m Member) id() string { return cmp.Or(m.ID, m.Address) }

// SetMembers replaces the list of upstreams. What was learned of those that stay
// is kept. Those gone from the list get nothing new. One that has started again under its ID
// is another upstream: what runs by grants of before doesn't run there any more.
func (c *Core) SetMembers(members []Member) {
	known := make(map[string]*balancer.Upstream, len(c.upstreams))
	for _, u := range c.upstreams {
		known[u.ID] = u
	}
	next := make([]*balancer.Upstream, 0, len(members))
	byID := make(map[string]*balancer.Upstream, len(members))
	for _, m := range members {
		u := known[m.id()]
		if u == nil || u.Incarnation != m.Incarnation {
			u = newUpstream(m, c.options.PrefixIndexBlocks)
			if !m.MovedAt.IsZero() {
				u.MoveFrom(m.MovedAt, m.Previous)
			}
		} else {
			delete(known, m.id())
		}
		c.update(u, m)
		next = append(next, u)
		byID[u.ID] = u
	}
	for _, gone := range known {
		gone.Leaving = true
	}
	c.upstreams = next
	c.byID = byID
	c.countOthers()
}

// UpdateMembers takes members that are new or have changed, and the IDs of those that have left the
// list. All others stay as they are.
func (c *Core) UpdateMembers(changed []Member, gone []string) {
	for _, id := range gone {
		c.removeMember(id)
	}
	for _, m := range changed {
		c.changeMember(m)
	}
}

func (c *Core) removeMember(id string) {
	gone := c.byID[id]
	if gone == nil {
		return
	}
	gone.Leaving = true
	delete(c.byID, id)
	c.upstreams = slices.DeleteFunc(c.upstreams, func(u *balancer.Upstream) bool { return u == gone })
}

func (c *Core) changeMember(m Member) {
	known := c.byID[m.id()]
	if known != nil && known.Incarnation == m.Incarnation {
		c.update(known, m)
		return
	}
	u := newUpstream(m, c.options.PrefixIndexBlocks)
	c.update(u, m)
	c.byID[u.ID] = u
	for _, l := range c.others {
		u.PendingElsewhere += l.Pending[u.ID]
		u.RunningElsewhere += l.Running[u.ID]
	}
	if known == nil {
		c.upstreams = append(c.upstreams, u)
		return
	}
	known.Leaving = true
	c.upstreams[slices.Index(c.upstreams, known)] = u
}

// update takes what a list says of an upstream.
func (c *Core) update(u *balancer.Upstream, m Member) {
	u.Leaving = m.Leaving
	u.Slots = m.Slots
	u.GrantLimits = c.limitsOf(u.Zone)
	u.AdvertisedLimit = m.AdvertisedLimit
	u.SetRateLimit(c.rateOf(u))
	u.KeepColdUntil(m.ColdUntil)
}

func newUpstream(m Member, blocks int) *balancer.Upstream {
	u := &balancer.Upstream{ID: m.id(), Address: m.Address, Zone: m.Zone, Region: m.Region, Incarnation: m.Incarnation}
	u.Speed, u.Window = newEstimates()
	if blocks > 0 {
		u.PrefixIndex = prefix.NewIndex(blocks)
	}
	return u
}

// MarkLeaving stops new work to an upstream at its own word or a peer's.
func (c *Core) MarkLeaving(id string) {
	if u := c.byID[id]; u != nil {
		u.Leaving = true
	}
}

// AdoptRates takes what another instance, which owns the shard, has learned of an upstream's speed.
func (c *Core) AdoptRates(id string, r estimate.Rates) {
	if u := c.byID[id]; u != nil {
		u.Speed.Adopt(r)
	}
}
