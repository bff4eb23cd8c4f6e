package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/balancer"
)

// While some requesters don't hear from the owner of a shard, the standby grants, too. Each granted what an owner
// may, so that an upstream that had become cold, or advertised a limit, got up to twice as much as it can serve.
func TestOwnerAndStandbyKeepLimitsTogether(t *testing.T) {
	is := is.New(t)
	var cold, warm int
	var rate float64
	for _, standby := range []bool{false, true} {
		c := newCore(100)
		c.SetColdStart(ColdStart{Duration: time.Second, PerSecond: 14, MaxPerSecond: 20}, Reachability{Queried: true, Standby: standby, FleetShare: 1})
		limits := c.grantLimitsOf("")
		cold, warm = cold+limits.Cold, warm+limits.Warm
		rate += c.rateOf(&balancer.Upstream{AdvertisedLimit: balancer.AdvertisedLimit{Set: true, PerSecond: 5}}).PerSecond
	}
	is.True(cold <= 20)
	is.True(warm <= 20)
	is.True(rate <= 5)
	is.True(warm >= 19) // and hardly less
	is.True(rate >= 4.9)
}
