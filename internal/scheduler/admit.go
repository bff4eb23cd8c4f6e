package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/queue"
)

const (
	// lateFactor is the ratio of predicted to available wait above which a request is refused on
	// the prediction alone.
	lateFactor = 1.3
	// minRetryAfter is the default of Options.MinRetryAfter.
	minRetryAfter = time.Second
	// maxRetryAfter bounds the retry delay in a refusal.
	maxRetryAfter = 60 * time.Second
)

// Submit adds a new request. It is granted, queued or shed, and it may displace a waiting request
// of a lower tier.
func (c *Core) Submit(now time.Time, r *Request) Decisions {
	var d Decisions
	r.returned, r.inReturningQueue = false, false
	if !c.hasUsable(r) {
		c.shed(now, &d, r, api.ReasonNoUpstream, "no upstream is in service; retry later, or check the platform's instance list")
		return d
	}
	if c.options.Unqueued {
		c.sendUnqueued(now, r, &d)
		return d
	}
	if r.VersionConstraint.Restricted {
		c.submitResuming(now, r, &d)
		return d
	}
	if !r.AllowLate && !c.isFeasible(now, r) {
		c.shed(now, &d, r, api.ReasonDeadlineTooShort, "even an idle upstream would answer too late; allow more time or send less")
		return d
	}
	if c.admitLateReturn(now, r) {
		c.dispatch(now, &d)
		return d
	}
	startBy := c.startBy(now, r)
	if r.MaxWait > 0 && startBy.Before(now) && now.Before(r.Deadline) {
		startBy = now // MaxWait has passed elsewhere: grant it immediately or not at all
	}
	if startBy.Before(now) {
		c.shedAfterLower(now, &d, r, api.ReasonPredictedLate, "the upstreams are currently too slow for the request to be in time; retry after the given time")
		return d
	}
	r.item = c.newItem(r, startBy)
	if !c.admit(now, r, &d) {
		if r.inReturningQueue {
			c.dispatch(now, &d)
		}
		return d
	}
	c.queue.Push(r.item)
	c.dispatch(now, &d)
	if c.floor.excludes(now, r.Rank) && c.queue.Remove(r.item) {
		c.shedDisplaced(now, r.item, &d)
	}
	return d
}

// newItem returns the queue item of a request.
func (c *Core) newItem(r *Request, startBy time.Time) *queue.Item {
	return &queue.Item{
		Rank:         r.Rank,
		Organisation: r.Organisation,
		Share:        r.Share,
		StartBy:      startBy,
		Work:         c.cost(r),
		Bytes:        r.Bytes,
		Value:        r,
	}
}

// admit frees space in the queue for the request and reports true, or sheds the request.
func (c *Core) admit(now time.Time, r *Request, d *Decisions) bool {
	wait := max(c.predictedWait(r), c.rateLimitWait(now, r))
	slack := r.item.StartBy.Sub(now)
	if float64(wait) > lateFactor*float64(slack) {
		c.shedAfterLower(now, d, r, api.ReasonPredictedLate, "the queue is too long for the request to be in time; retry after the given time")
		return false
	}
	for !c.queue.HasSpace(r.Bytes) {
		victim := c.queue.Displace(r.Rank)
		if victim == nil {
			c.shed(now, d, r, api.ReasonQueueFull, "the queue is full; retry after the given time")
			return false
		}
		c.shedDisplaced(now, victim, d)
	}
	return true
}

// shedAfterLower sheds a request for load, after all waiting requests of lower tiers, so that a
// higher tier is never shed while a lower one waits.
func (c *Core) shedAfterLower(now time.Time, d *Decisions, r *Request, reason api.Reason, detail string) {
	if c.keepReturned(now, r, reason) {
		return
	}
	c.shedLowerTiers(now, r.Rank, d)
	c.shed(now, d, r, reason, detail)
}

// shedLowerTiers sheds all waiting requests of tiers below rank. Returning requests that are late
// anyway stay (see returningRequests).
func (c *Core) shedLowerTiers(now time.Time, rank int, d *Decisions) {
	for _, it := range c.queue.RemoveLower(rank) {
		c.shedDisplaced(now, it, d)
	}
}

// LowestRank returns the least important rank with waiting requests, or -1 if none wait.
func (c *Core) LowestRank() int { return c.queue.LowestRank() }

// Displace sheds the least important waiting request of a tier below rank, if there is one.
func (c *Core) Displace(now time.Time, rank int) Decisions {
	var d Decisions
	if victim := c.queue.Displace(rank); victim != nil {
		c.shedDisplaced(now, victim, &d)
	}
	return d
}

// floorDuration is the time for which lower tiers are not queued after a peer has announced that it
// sheds requests of a rank.
const floorDuration = time.Second

// floor keeps lower tiers out of the queue while a peer sheds a higher one.
type floor struct {
	rank  int
	until time.Time
}

// excludes reports whether requests of a rank may not wait at the given time.
func (f floor) excludes(now time.Time, rank int) bool {
	return rank > f.rank && now.Before(f.until)
}

// ShedLower sheds all waiting requests of tiers below rank. It is called when a peer of the zone is
// about to shed requests of this rank for the same upstreams. For floorDuration, new requests of
// lower tiers are granted immediately or shed.
func (c *Core) ShedLower(now time.Time, rank int) Decisions {
	if !c.floor.excludes(now, rank) {
		c.floor = floor{rank: rank, until: now.Add(floorDuration)}
	}
	var d Decisions
	c.shedLowerTiers(now, rank, &d)
	return d
}

func (c *Core) shedDisplaced(now time.Time, it *queue.Item, d *Decisions) {
	c.shed(now, d, it.Value.(*Request), api.ReasonDisplaced, "work of a higher tier needs the capacity; retry after the given time")
}

func (c *Core) shed(now time.Time, d *Decisions, r *Request, reason api.Reason, detail string) {
	if c.keepReturned(now, r, reason) {
		return
	}
	if isForLoad(reason) {
		c.grantShares.record(now, r.Rank, false)
	}
	p := api.Refuse(reason, "%s (%s)", detail, c.describeState(now, r)).WithRetryAfter(c.retryDelay(now, r, reason))
	d.Sheds = append(d.Sheds, Shed{Request: r, Problem: p})
}

// describeState describes the state on which a refusal was decided, for diagnosis.
func (c *Core) describeState(now time.Time, r *Request) string {
	running, others, slots, failing, leaving, limited := 0, 0, 0, 0, 0, 0
	for _, u := range c.upstreams {
		if u.Leaving {
			leaving++
		}
		running += u.Running
		others += u.RunningElsewhere
		slots += u.Slots
		if u.Failures > 0 {
			failing++
		}
		if u.AdvertisedLimit.Set {
			limited++
		}
	}
	return fmt.Sprintf("rank %d, %d waiting, predicted wait %v, running %d here and %d elsewhere, %d slots, of %d upstreams %d failing, %d leaving or evacuated, %d cold and %d with a limit",
		r.Rank, c.waiting(), c.predictedWait(r).Round(time.Millisecond), running, others, slots, len(c.upstreams), failing, leaving, c.ColdUpstreams(now), limited)
}

// isFeasible reports whether any sampled upstream could complete the response in time if it were
// idle.
func (c *Core) isFeasible(now time.Time, r *Request) bool {
	output := c.expectedOutput(r)
	for _, u := range c.sampleUpstreams() {
		first, whole := u.Speed.PredictIdle(r.PromptTokens, output)
		inTime := r.MaxTimeToFirstToken == 0 || !now.Add(first).After(r.Arrived.Add(r.MaxTimeToFirstToken))
		if inTime && !now.Add(whole).After(r.Deadline) {
			return true
		}
	}
	return false
}

// startBy returns the latest start with which the response is in time on an upstream of typical
// speed.
func (c *Core) startBy(now time.Time, r *Request) time.Time {
	startBy := r.Deadline
	if r.MaxWait > 0 {
		startBy = r.Arrived.Add(c.waitLimit(now, r))
	}
	if r.AllowLate {
		return startBy
	}
	first, whole := c.typicalLatency(r)
	startBy = earlier(startBy, r.Deadline.Add(-whole))
	if r.MaxTimeToFirstToken > 0 {
		startBy = earlier(startBy, r.Arrived.Add(r.MaxTimeToFirstToken-first))
	}
	return startBy
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// typicalLatency returns the lower quartiles of the predicted time to the first token and of the
// whole response on idle upstreams.
func (c *Core) typicalLatency(r *Request) (first, whole time.Duration) {
	var firsts, wholes []time.Duration
	output := c.expectedOutput(r)
	for _, u := range c.sampleUpstreams() {
		if !u.Speed.Known() {
			firsts = append(firsts, 0)
			wholes = append(wholes, 0)
			continue
		}
		f := u.Speed.PredictFirstToken(r.PromptTokens)
		firsts = append(firsts, f)
		wholes = append(wholes, f+u.Speed.PredictDecode(output, 0))
	}
	if len(firsts) == 0 {
		return 0, 0
	}
	slices.Sort(firsts)
	slices.Sort(wholes)
	return firsts[len(firsts)/4], wholes[len(wholes)/4]
}

// predictedWait returns the time until all work queued ahead of the request has been sent.
func (c *Core) predictedWait(r *Request) time.Duration {
	rate := c.drain.rate()
	if rate <= 0 {
		return 0
	}
	return time.Duration(c.queue.WorkAhead(r.Rank) / rate * float64(time.Second))
}

// retryAfter returns the time in which the work queued now will have drained, within the bounds of
// a retry delay.
func (c *Core) retryAfter(now time.Time, r *Request) time.Duration {
	return min(max(c.predictedWait(r), c.rateLimitWait(now, r), c.options.MinRetryAfter), maxRetryAfter)
}
