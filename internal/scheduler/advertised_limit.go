package scheduler

import (
	"math"
	"time"

	"github.com/tacktally/tacktally/internal/balancer"
)

const (
	// rateShare is the share of an advertised limit that is granted. The rest covers requests
	// granted in one second that arrive in another.
	rateShare = 0.9
	// standbyRateShare is the share that the standby of a shard grants while requesters don't hear from its
	// owner, which may still grant.
	standbyRateShare = 0.1
	// isolatedRateShare is the share that all isolated instances together grant. Each decides at
	// random when it may grant.
	isolatedRateShare = 0.5
	// minRate is the rate, in requests per second, that an upstream gets even if it advertises a
	// lower limit. Without it, the end of a limit of (almost) 0 would not be noticed.
	minRate = 0.1
)

// rateOf returns this instance's share of the advertised limit of an upstream, which applies to all
// instances together.
func (c *Core) rateOf(u *balancer.Upstream) balancer.RateLimit {
	share := rateShare
	if c.reachability.Standby {
		share = standbyRateShare
	}
	switch {
	case !u.AdvertisedLimit.Set:
		return balancer.RateLimit{}
	case c.reachability.Queried:
		return balancer.RateLimit{Set: true, PerSecond: max(share*u.AdvertisedLimit.PerSecond, minRate) * c.reachability.shareOf(u.Zone)}
	default:
		return balancer.RateLimit{Set: true, PerSecond: max(isolatedRateShare*u.AdvertisedLimit.PerSecond, minRate) * c.reachability.OwnShare, Probabilistic: true}
	}
}

// rateLimitWait returns the time after which the upstreams' rate limits allow a new request of this
// rank, behind those that wait. It is 0 if any usable upstream has no limit.
func (c *Core) rateLimitWait(now time.Time, r *Request) time.Duration {
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
