package scheduler

import (
	"maps"
	"time"

	"github.com/tacktally/tacktally/internal/balancer"
)

// ColdStart says how the upstreams of a service start: what they bear while they are cold. Bounds
// hold over all instances, whether they reach each other or not.
type ColdStart struct {
	// Duration is how long an upstream is cold; 0 where it never is.
	Duration time.Duration
	// PerSecond is how many requests a second a cold one bears.
	PerSecond float64
	// MaxPerSecond is how many requests a cold one may get in any second at most; 0 is unknown.
	MaxPerSecond float64
}

// IsLimited tells whether cold upstreams of the service bear less than others.
func (s ColdStart) IsLimited() bool { return s.Duration > 0 && s.PerSecond > 0 }

// Reachability says which part of what upstreams bear this instance may grant.
type Reachability struct {
	// Queried tells whether the others ask it for slots. One that decides alone because it can't
	// ask anybody may be one of many that do.
	Queried bool
	// ZoneShares is the part of each availability zone's instances that it reaches, itself included. An
	// upstream is used by those of its own zone at least: where all of them are within reach, so
	// is whoever else may send to it, as far as can be known.
	ZoneShares map[string]float64
	// FleetShare is the same of all instances, for zones without any.
	FleetShare float64
	// OwnShare is the part of all instances that this one is, for where it decides alone.
	OwnShare float64
}

// partOf returns the part of what the upstreams of an availability zone bear that this instance may grant.
func (r Reachability) partOf(zone string) float64 {
	if part, known := r.ZoneShares[zone]; known {
		return part
	}
	return r.FleetShare
}

const (
	// coldShare is the part of PerSecond that a cold upstream is granted, the rest being for
	// requests of one second that arrive in another. It gets less than a half of Most, since two
	// instances may own it for a moment.
	coldShare     = 0.9
	coldMostShare = 0.45
	// warmShare is the part of Most that any upstream is granted at most: it may have become cold
	// a moment ago. The rest is for requests of one second that arrive in another. Parts of a fleet
	// that don't reach each other share that; but each grants warmLeast of Most.
	warmShare = 0.8
	warmLeast = 0.25
	// movedShare is what is left of Most beside warmShare: an upstream that moved to another shard may have
	// been granted that in the same second by the owner before.
	movedShare = 1 - warmShare
	// warmAlone is what an instance grants whom nobody asks, and that can't ask anybody: its own
	// callers' requests, of which an upstream gets less than one a second.
	warmAlone = 2
)

// SetColdStart takes how the upstreams start, and which part of what they bear this instance may grant, from now on.
func (c *Core) SetColdStart(s ColdStart, r Reachability) {
	if c.coldStart == s && c.reach.Queried == r.Queried && c.reach.FleetShare == r.FleetShare && c.reach.OwnShare == r.OwnShare && maps.Equal(c.reach.ZoneShares, r.ZoneShares) {
		return
	}
	c.coldStart, c.reach = s, r
	for _, u := range c.upstreams {
		u.GrantLimits = c.limitsOf(u.Zone)
		u.SetRateLimit(c.rateOf(u))
	}
}

// limitsOf returns what upstreams of an availability zone may be granted.
func (c *Core) limitsOf(zone string) balancer.GrantLimits {
	s := c.coldStart
	if !s.IsLimited() {
		return balancer.GrantLimits{}
	}
	if !c.reach.Queried {
		return balancer.GrantLimits{Set: true, Warm: min(warmAlone, int(s.MaxPerSecond))}
	}
	part := c.reach.partOf(zone)
	return balancer.GrantLimits{Set: true, Cold: s.coldLimit(part), Warm: int(s.MaxPerSecond * max(warmShare*part, warmLeast)), Moved: int(s.MaxPerSecond * movedShare * part)}
}

// coldLimit is how many requests a cold upstream is granted in a second by a part of all.
func (s ColdStart) coldLimit(part float64) int {
	n := coldShare * s.PerSecond
	if s.MaxPerSecond > 0 {
		n = min(n, coldMostShare*s.MaxPerSecond)
	}
	if part == 1 {
		return max(int(n), 1) // or it would never be used
	}
	return int(n * part)
}

// recovered notes that an upstream works. One that had failed may have started again.
func (c *Core) recovered(now time.Time, u *balancer.Upstream) {
	if u.Failures > 0 {
		u.KeepColdUntil(now.Add(c.coldStart.Duration))
	}
	u.Failures = 0
}

// countHeld notes that work waits though upstreams have slots, since their limits of starts hold
// it back.
func (c *Core) countHeld(now time.Time) {
	for _, u := range c.upstreams {
		if u.Usable(now) && !u.IsFull() && !u.AllowsGrant(now) {
			c.held++
			return
		}
	}
}

// LimitedGrants returns how often waiting work was held back by limits of starts alone.
func (c *Core) LimitedGrants() int64 { return c.held }

// ColdUpstreams returns how many upstreams are believed to be cold.
func (c *Core) ColdUpstreams(now time.Time) (n int) {
	for _, u := range c.upstreams {
		if u.IsCold(now) {
			n++
		}
	}
	return n
}
