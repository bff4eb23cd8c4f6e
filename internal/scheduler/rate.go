package scheduler

import (
	"math"
	"time"

	"github.com/tacktally/tacktally/internal/balancer"
)

const (
	// rateShare is the part of a limit that is granted. The rest is for requests of one second that arrive in
	// another, and for the moments in which two instances own a shard.
	rateShare = 0.9
	// aloneShare is the same of instances that decide alone, all of them together: chance decides when each may.
	aloneShare = 0.5
	// leastRate is how many requests a second an upstream gets whatever it names, or nobody would hear that its
	// limit has ended.
	leastRate = 0.1
)

// rateOf returns this instance's part of the limit that an upstream has named, which all of them share.
func (c *Core) rateOf(u *balancer.Upstream) balancer.RateLimit {
	switch {
	case !u.AdvertisedLimit.Set:
		return balancer.RateLimit{}
	case c.reach.Queried:
		return balancer.RateLimit{Set: true, PerSecond: max(rateShare*u.AdvertisedLimit.PerSecond, leastRate) * c.reach.partOf(u.Zone)}
	default:
		return balancer.RateLimit{Set: true, PerSecond: max(aloneShare*u.AdvertisedLimit.PerSecond, leastRate) * c.reach.OwnShare, Probabilistic: true}
	}
}

// limitedWait is when the limits of upstreams let a new request of a rank go, behind those that wait; 0 where any
// upstream that works has no limit.
func (c *Core) limitedWait(now time.Time, r *Request) time.Duration {
	perSecond, ready := 0.0, 0.0
	for _, u := range c.eligible(r, c.upstreams) {
		switch {
		case !u.Usable(now):
		case !u.RateLimit.Set:
			return 0
		default:
			perSecond += u.RateLimit.PerSecond
			ready += math.Floor(u.AvailableTokens(now))
		}
	}
	if perSecond == 0 {
		return 0
	}
	before := float64(c.queue.CountAhead(r.Rank)) + 1 - ready
	return time.Duration(min(max(before, 0)/perSecond, maxRetryAfter.Seconds()) * float64(time.Second))
}
