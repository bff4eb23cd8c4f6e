package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/balancer"
)

// limitedCore returns a Core with upstreams of many slots and these limits; a negative one means
// none.
func limitedCore(limits ...float64) *Core {
	c := newCore(100)
	c.SetColdStart(ColdStart{}, Reachability{Queried: true, FleetShare: 1})
	var members []Member
	for i, perSecond := range limits {
		members = append(members, Member{ID: string(rune('a' + i)), Slots: 50, AdvertisedLimit: balancer.AdvertisedLimit{Set: perSecond >= 0, PerSecond: perSecond}})
	}
	c.SetMembers(members)
	c.Poll(start)
	return c
}

// waitingRequest returns a request that waits for capacity for up to maxWait.
func waitingRequest(now time.Time, maxWait time.Duration) *Request {
	return &Request{Organisation: "a", Share: 1, Arrived: now, Deadline: now.Add(time.Minute), MaxWait: maxWait, AllowLate: true, PromptTokens: 100, MaxOutput: 10}
}

// If all upstreams have a limit, their sum is the capacity of the service. A request that cannot be
// granted within its wait is refused immediately, with the time in which those ahead will have been
// sent.
func TestCapacityIsSumOfLimitsWhenAllUpstreamsAreLimited(t *testing.T) {
	is := is.New(t)
	c := limitedCore(2, 3)
	d := c.Submit(start, waitingRequest(start, time.Second))
	is.Equal(len(d.Grants)+len(d.Sheds), 0) // 0.9 * (2+3) = 4.5 per second: it waits
	for range 3 {
		is.Equal(len(c.Submit(start, waitingRequest(start, time.Second)).Sheds), 0)
	}
	refused := 0
	var last time.Duration
	for range 6 {
		d := c.Submit(start, waitingRequest(start, time.Second))
		for _, s := range d.Sheds {
			is.Equal(s.Problem.Reason, api.ReasonPredictedLate)
			last = s.Problem.RetryAfter
			refused++
		}
	}
	is.True(refused >= 4)
	is.True(last > time.Second && last < 2*time.Second)
	n := 0
	for at := start; at.Before(start.Add(time.Second)); at = at.Add(20 * time.Millisecond) {
		n += len(c.Poll(at).Grants)
	}
	is.True(n >= 3)
}

// A refusal by an upstream with a limit near zero names the retry delay.
func TestZeroLimitIsRefusedWithRetryDelay(t *testing.T) {
	is := is.New(t)
	c := limitedCore(0)
	d := c.Submit(start, waitingRequest(start, time.Second))
	is.Equal(len(d.Sheds), 1)
	is.Equal(d.Sheds[0].Problem.RetryAfter, 10*time.Second)
}

// Requests go to an upstream with capacity instead of a limited one, and the limited one does not
// count as slow, failed or cold.
func TestLimitedUpstreamIsNotTreatedAsFailed(t *testing.T) {
	is := is.New(t)
	c := limitedCore(1, -1)
	for range 40 {
		d := c.Submit(start, waitingRequest(start, time.Second))
		is.Equal(len(d.Grants), 1)
		is.Equal(d.Grants[0].Upstream.ID, "b")
		is.True(!d.Grants[0].Limited)
	}
	is.Equal(c.ColdUpstreams(start), 0)
	is.Equal(c.byID["a"].Failures, 0)
	is.Equal(c.byID["a"].CircuitOpenUntil, time.Time{})
}

// The sides of a network partition divide a limit by their shares. An isolated instance grants at
// random.
func TestLimitIsDividedBetweenPartitions(t *testing.T) {
	for name, c := range map[string]struct {
		reachability Reachability
		rate         balancer.RateLimit
	}{
		"all instances reachable":    {Reachability{Queried: true, FleetShare: 1}, balancer.RateLimit{Set: true, PerSecond: 9}},
		"a third reachable":          {Reachability{Queried: true, ZoneShares: map[string]float64{"": 1.0 / 3}, FleetShare: 0.5}, balancer.RateLimit{Set: true, PerSecond: 3}},
		"zone without instances":     {Reachability{Queried: true, ZoneShares: map[string]float64{"x": 1.0 / 3}, FleetShare: 0.5}, balancer.RateLimit{Set: true, PerSecond: 4.5}},
		"isolated, one of a hundred": {Reachability{OwnShare: 0.01}, balancer.RateLimit{Set: true, PerSecond: 0.05, Probabilistic: true}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			core := limitedCore(10)
			core.SetColdStart(ColdStart{}, c.reachability)
			is.Equal(core.byID["a"].RateLimit, c.rate)
		})
	}
}
