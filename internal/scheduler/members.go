package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/estimate"
	"github.com/tacktally/tacktally/internal/prefix"
)

// Member is one entry of a list of upstreams.
type Member struct {
	// ID distinguishes upstreams that use the same address one after another. The default is the
	// address.
	ID      string
	Address string
	Zone    string
	Region  string
	// Slots is the number of requests that it runs concurrently for all instances; 0 means unknown.
	Slots   int
	Leaving bool
	// Incarnation is the number of the upstream's process, if known.
	Incarnation int64
	// Version of its software; empty is unknown.
	Version string
	// ColdUntil is the end of its cold start, as published or as inferred from events.
	ColdUntil time.Time
	// AdvertisedLimit is the request rate that the upstream accepts, if it advertises one.
	AdvertisedLimit balancer.AdvertisedLimit
	// MovedAt is the time at which the upstream moved here from another Core, and Previous the
	// state there. Zero and nil if it did not move.
	MovedAt  time.Time
	Previous *balancer.Upstream
}

func (m Member) id() string { return cmp.Or(m.ID, m.Address) }

// SetMembers replaces the list of upstreams. The state of upstreams that stay in the list is kept;
// removed ones are granted no more requests. An upstream with a new incarnation starts with fresh
// state: requests granted to the previous process do not occupy its slots.
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
	for _, removed := range known {
		removed.Leaving = true
	}
	c.upstreams = next
	c.byID = byID
	c.recountLoads()
}

// UpdateMembers applies changes to the list of upstreams: members that are new or changed, and the
// IDs of those removed. All others stay as they are.
func (c *Core) UpdateMembers(changed []Member, removed []string) {
	for _, id := range removed {
		c.removeMember(id)
	}
	for _, m := range changed {
		c.changeMember(m)
	}
}

func (c *Core) removeMember(id string) {
	removed := c.byID[id]
	if removed == nil {
		return
	}
	removed.Leaving = true
	delete(c.byID, id)
	c.upstreams = slices.DeleteFunc(c.upstreams, func(u *balancer.Upstream) bool { return u == removed })
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
	for _, l := range c.peerLoads {
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

// update applies a list entry to an upstream.
func (c *Core) update(u *balancer.Upstream, m Member) {
	u.Leaving = m.Leaving
	u.Slots = m.Slots
	u.Version = m.Version
	u.MaxBacklog = c.options.MaxBacklog
	u.GrantLimits = c.grantLimitsOf(u.Zone)
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

// MarkLeaving stops new grants to an upstream that announced that it leaves, itself or through a
// peer.
func (c *Core) MarkLeaving(id string) {
	if u := c.byID[id]; u != nil {
		u.Leaving = true
	}
}

// AdoptRates applies speed estimates of an upstream that another instance, the owner of the shard,
// has learned.
func (c *Core) AdoptRates(id string, r estimate.Rates) {
	if u := c.byID[id]; u != nil {
		u.Speed.Adopt(r)
	}
}
