package scheduler

import (
	"maps"
	"time"

	"github.com/tacktally/tacktally/internal/balancer"
)

// ColdStart describes the load that upstreams of a service can serve during their cold start. The
// rates apply to all instances together, including instances that cannot reach each other.
type ColdStart struct {
	// Duration of a cold start; 0 if there is none.
	Duration time.Duration
	// PerSecond is the rate of requests that a cold upstream can serve.
	PerSecond float64
	// MaxPerSecond is the most requests that a cold upstream may get in any second; 0 means
	// unknown.
	MaxPerSecond float64
}

// IsLimited reports whether cold upstreams of the service can serve fewer requests than others.
func (s ColdStart) IsLimited() bool { return s.Duration > 0 && s.PerSecond > 0 }

// Reachability determines the share of the upstreams' rates that this instance may grant.
type Reachability struct {
	// Queried reports whether other instances request slots from this one. An isolated instance,
	// which can reach no peer, may be one of many that grant for the same upstreams.
	Queried bool
	// Standby reports that other instances request slots from this one only while the owner of the shard is silent
	// to them.
	Standby bool
	// ZoneShares is, by availability zone, the share of its instances that are reachable, including
	// this one. An upstream is used by the instances of its own zone at least. If all of those are
	// reachable, any other instance that sends to it is assumed to be reachable too.
	ZoneShares map[string]float64
	// FleetShare is the share of all instances that are reachable, for zones not in ZoneShares.
	FleetShare float64
	// OwnShare is the share of a single instance in the fleet. It applies while the instance is
	// isolated.
	OwnShare float64
}

// shareOf returns the share of the rate of a zone's upstreams that this instance may grant.
func (r Reachability) shareOf(zone string) float64 {
	if share, known := r.ZoneShares[zone]; known {
		return share
	}
	return r.FleetShare
}

const (
	// coldShare is the share of PerSecond that a cold upstream is granted. The rest covers requests
	// granted in one second that arrive in another. coldMaxShare is less than half of MaxPerSecond,
	// since two instances may own the upstream for a moment.
	coldShare    = 0.9
	coldMaxShare = 0.45
	// warmShare is the share of MaxPerSecond that any upstream is granted at most, since it may
	// have become cold a moment ago. The rest covers requests granted in one second that arrive in
	// another. The sides of a network partition divide it, but each grants at least warmMinShare of
	// MaxPerSecond.
	warmShare    = 0.8
	warmMinShare = 0.25
	// movedShare is what warmShare leaves of MaxPerSecond. The previous owner may have granted all
	// of warmShare in the second in which an upstream moves to another shard, and the owner while the
	// standby grants, too.
	movedShare = 1 - warmShare
	// isolatedWarmGrants is the grant limit of an isolated instance, in requests per upstream (see
	// balancer.GrantLimits). It serves only its own callers, whose requests amount to less than one
	// per second and upstream.
	isolatedWarmGrants = 2
)

// SetColdStart sets the cold-start rates of the upstreams and the share of them that this instance
// may grant. Both apply from the next grant.
func (c *Core) SetColdStart(s ColdStart, r Reachability) {
	if c.coldStart == s && c.reachability.Queried == r.Queried && c.reachability.Standby == r.Standby && c.reachability.FleetShare == r.FleetShare && c.reachability.OwnShare == r.OwnShare && maps.Equal(c.reachability.ZoneShares, r.ZoneShares) {
		return
	}
	c.coldStart, c.reachability = s, r
	for _, u := range c.upstreams {
		u.GrantLimits = c.grantLimitsOf(u.Zone)
		u.SetRateLimit(c.rateOf(u))
	}
}

// grantLimitsOf returns the grant limits of the upstreams of an availability zone.
func (c *Core) grantLimitsOf(zone string) balancer.GrantLimits {
	s := c.coldStart
	if !s.IsLimited() {
		return balancer.GrantLimits{}
	}
	if !c.reachability.Queried {
		return balancer.GrantLimits{Set: true, Warm: min(isolatedWarmGrants, int(s.MaxPerSecond))}
	}
	share := c.reachability.shareOf(zone)
	warm := max(warmShare*share, warmMinShare)
	if c.reachability.Standby {
		warm = movedShare * share
	}
	return balancer.GrantLimits{Set: true, Cold: s.coldLimit(share), Warm: int(s.MaxPerSecond * warm), Moved: int(s.MaxPerSecond * movedShare * share)}
}

// coldLimit returns the number of requests that a cold upstream may be granted per second by
// instances that hold the given share.
func (s ColdStart) coldLimit(share float64) int {
	n := coldShare * s.PerSecond
	if s.MaxPerSecond > 0 {
		n = min(n, coldMaxShare*s.MaxPerSecond)
	}
	if share == 1 {
		return max(int(n), 1) // with 0 the upstream would never be used
	}
	return int(n * share)
}

// recordRecovery records that an upstream responds. If it had failed it counts as cold, since it
// may have restarted.
func (c *Core) recordRecovery(now time.Time, u *balancer.Upstream) {
	if u.Failures > 0 {
		u.KeepColdUntil(now.Add(c.coldStart.Duration))
	}
	u.Failures = 0
}

// countLimited counts a dispatch in which requests wait although an upstream has free slots,
// because of its grant limits.
func (c *Core) countLimited(now time.Time) {
	for _, u := range c.upstreams {
		if u.Usable(now) && !u.IsFull(now) && !u.AllowsGrant(now) {
			c.limitedGrants++
			return
		}
	}
}

// LimitedGrants returns how often waiting requests were delayed by grant limits alone.
func (c *Core) LimitedGrants() int64 { return c.limitedGrants }

// ColdUpstreams returns the number of upstreams that are considered cold.
func (c *Core) ColdUpstreams(now time.Time) (n int) {
	for _, u := range c.upstreams {
		if u.IsCold(now) {
			n++
		}
	}
	return n
}
