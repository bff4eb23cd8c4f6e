package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/balancer"
)

// limitedCore has upstreams of many slots with these limits; a negative one is none.
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

// patient is a request that waits for room for so long.
func patient(now time.Time, patience time.Duration) *Request {
	return &Request{Organisation: "a", Share: 1, Arrived: now, Deadline: now.Add(time.Minute), MaxWait: patience, AllowLate: true, PromptTokens: 100, MaxOutput: 10}
}

// The sum of the limits is what the service can take: what can't go in its time is refused at once, with the time in
// which those before it will have gone.
func TestWhereAllUpstreamsHaveALimitTheirSumIsTheCapacity(t *testing.T) {
	is := is.New(t)
	c := limitedCore(2, 3)
	d := c.Submit(start, patient(start, time.Second))
	is.Equal(len(d.Grants)+len(d.Sheds), 0) // 0.9 * (2+3) = 4.5 a second: it waits
	for range 3 {
		is.Equal(len(c.Submit(start, patient(start, time.Second)).Sheds), 0)
	}
	refused := 0
	var last time.Duration
	for range 6 {
		d := c.Submit(start, patient(start, time.Second))
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

// One that takes next to nothing tells how long.
func TestALimitOfNothingIsTold(t *testing.T) {
	is := is.New(t)
	c := limitedCore(0)
	d := c.Submit(start, patient(start, time.Second))
	is.Equal(len(d.Sheds), 1)
	is.Equal(d.Sheds[0].Problem.RetryAfter, 10*time.Second)
}

// A limited upstream loses against one with room, and looks neither slow nor failed nor cold for it.
func TestALimitIsNoFailure(t *testing.T) {
	is := is.New(t)
	c := limitedCore(1, -1)
	for range 40 {
		d := c.Submit(start, patient(start, time.Second))
		is.Equal(len(d.Grants), 1)
		is.Equal(d.Grants[0].Upstream.ID, "b")
		is.True(!d.Grants[0].Limited)
	}
	is.Equal(c.ColdUpstreams(start), 0)
	is.Equal(c.byID["a"].Failures, 0)
	is.Equal(c.byID["a"].CircuitOpenUntil, time.Time{})
}

// Parts of a fleet that don't reach each other share the limit, and one that nobody asks decides by chance.
func TestALimitIsSharedByPartsOfAFleet(t *testing.T) {
	for name, c := range map[string]struct {
		reach Reachability
		rate  balancer.RateLimit
	}{
		"all in reach":       {Reachability{Queried: true, FleetShare: 1}, balancer.RateLimit{Set: true, PerSecond: 9}},
		"a third in reach":   {Reachability{Queried: true, ZoneShares: map[string]float64{"": 1.0 / 3}, FleetShare: 0.5}, balancer.RateLimit{Set: true, PerSecond: 3}},
		"another zone":       {Reachability{Queried: true, ZoneShares: map[string]float64{"x": 1.0 / 3}, FleetShare: 0.5}, balancer.RateLimit{Set: true, PerSecond: 4.5}},
		"alone of a hundred": {Reachability{OwnShare: 0.01}, balancer.RateLimit{Set: true, PerSecond: 0.05, Probabilistic: true}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			core := limitedCore(10)
			core.SetColdStart(ColdStart{}, c.reach)
			is.Equal(core.byID["a"].RateLimit, c.rate)
		})
	}
}
