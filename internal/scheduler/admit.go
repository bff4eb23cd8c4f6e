package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/queue"
)

const (
	// lateFactor is how far the predicted wait must pass the time there is
	// before a request is refused on a prediction alone.
	lateFactor = 1.3
	// minRetryAfter is the shortest time to come back, unless set otherwise.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest.
	maxRetryAfter = 60 * time.Second
)

// Submit takes a new request: it is granted, queued or shed, and it may displace
// a less important one.
func (c *Core) Submit(now time.Time, r *Request) Decisions {
	var d Decisions
	if !c.hasUsable(r) {
		c.shed(now, &d, r, api.ReasonNoUpstream, "no upstream is in service; come back later, or check the platform's instance list")
		return d
	}
	if c.options.Unqueued {
		c.sendUnqueued(now, r, &d)
		return d
	}
	if !r.AllowLate && !c.feasible(now, r) {
		c.shed(now, &d, r, api.ReasonDeadlineTooShort, "even an idle upstream would answer too late; allow more time or send less")
		return d
	}
	startBy := c.startBy(r)
	if r.MaxWait > 0 && startBy.Before(now) && now.Before(r.Deadline) {
		startBy = now // it has waited enough elsewhere: it goes at once or not at all
	}
	if startBy.Before(now) {
		c.shedLower(now, r.Rank, &d)
		c.shed(now, &d, r, api.ReasonPredictedLate, "the upstreams are too slow now for it to be in time; come back after the time given")
		return d
	}
	r.item = &queue.Item{
		Rank:         r.Rank,
		Organisation: r.Organisation,
		Share:        r.Share,
		StartBy:      startBy,
		Work:         c.work(r),
		Bytes:        r.Bytes,
		Value:        r,
	}
	if !c.admit(now, r, &d) {
		return d
	}
	c.queue.Push(r.item)
	c.pump(now, &d)
	if c.floor.excludes(now, r.Rank) && c.queue.Remove(r.item) {
		c.shedDisplaced(now, r.item, &d)
	}
	return d
}

// admit makes room for the request, or sheds it.
func (c *Core) admit(now time.Time, r *Request, d *Decisions) bool {
	wait := max(c.predictedWait(r), c.limitedWait(now, r))
	slack := r.item.StartBy.Sub(now)
	if float64(wait) > lateFactor*float64(slack) {
		c.shedLower(now, r.Rank, d)
		c.shed(now, d, r, api.ReasonPredictedLate, "the queue is too long for it to be in time; come back after the time given")
		return false
	}
	for !c.queue.HasSpace(r.Bytes) {
		victim := c.queue.Displace(r.Rank)
		if victim == nil {
			c.shed(now, d, r, api.ReasonQueueFull, "the queue is full; come back after the time given")
			return false
		}
		c.shedDisplaced(now, victim, d)
	}
	return true
}

// shedLower gives up all waiting work of lower tiers, because work of this rank
// is about to be shed: a higher tier is never shed before a lower one.
func (c *Core) shedLower(now time.Time, rank int, d *Decisions) {
	for _, it := range c.queue.RemoveLower(rank) {
		c.shedDisplaced(now, it, d)
	}
}

// LowestRank returns the least important rank that waits, or -1.
func (c *Core) LowestRank() int { return c.queue.LowestRank() }

// Displace gives up the least important waiting request of a lower tier than rank,
// if there is one.
func (c *Core) Displace(now time.Time, rank int) Decisions {
	var d Decisions
	if victim := c.queue.Displace(rank); victim != nil {
		c.shedDisplaced(now, victim, &d)
	}
	return d
}

// floorHold is how long lower work isn't queued after a peer has told that work
// of a rank is shed.
const floorHold = time.Second

// floor keeps lower work out of the queue while a peer sheds higher work.
type floor struct {
	rank  int
	until time.Time
}

// excludes tells whether work of a rank may not wait now.
func (f floor) excludes(now time.Time, rank int) bool {
	return rank > f.rank && now.Before(f.until)
}

// ShedLower is called when a peer of the zone is about to shed work of this rank
// for the same upstreams. For a while lower work is sent at once or not at all.
func (c *Core) ShedLower(now time.Time, rank int) Decisions {
	if !c.floor.excludes(now, rank) {
		c.floor = floor{rank: rank, until: now.Add(floorHold)}
	}
	var d Decisions
	c.shedLower(now, rank, &d)
	return d
}

func (c *Core) shedDisplaced(now time.Time, it *queue.Item, d *Decisions) {
	c.shed(now, d, it.Value.(*Request), api.ReasonDisplaced, "work of a higher tier needs the capacity; come back after the time given")
}

func (c *Core) shed(now time.Time, d *Decisions, r *Request, reason api.Reason, detail string) {
	if reason != api.ReasonNoUpstream && reason != api.ReasonDeadlineTooShort {
		c.served.note(now, r.Rank, false)
	}
	p := api.Refuse(reason, "%s (%s)", detail, c.state(now, r)).WithRetryAfter(c.retryAfter(now, r))
	d.Sheds = append(d.Sheds, Shed{Request: r, Problem: p})
}

// state is what a refusal was decided on, for whoever looks for its cause.
func (c *Core) state(now time.Time, r *Request) string {
	running, others, slots, avoided, leaving, limited := 0, 0, 0, 0, 0, 0
	for _, u := range c.upstreams {
		if u.Leaving {
			leaving++
		}
		running += u.Running
		others += u.RunningElsewhere
		slots += u.Slots
		if u.Failures > 0 {
			avoided++
		}
		if u.AdvertisedLimit.Set {
			limited++
		}
	}
	return fmt.Sprintf("rank %d, %d waiting, predicted wait %v, running %d here and %d elsewhere, %d slots, of %d upstreams %d failing, %d leaving or evacuated, %d cold and %d with a limit",
		r.Rank, c.queue.Len(), c.predictedWait(r).Round(time.Millisecond), running, others, slots, len(c.upstreams), avoided, leaving, c.ColdUpstreams(now), limited)
}

// feasible tells whether any upstream could answer in time if it had nothing else
// to do.
func (c *Core) feasible(now time.Time, r *Request) bool {
	output := c.output(r)
	for _, u := range c.sampleUpstreams() {
		first, whole := u.Speed.PredictIdle(r.PromptTokens, output)
		inTime := r.MaxTimeToFirstToken == 0 || !now.Add(first).After(r.Arrived.Add(r.MaxTimeToFirstToken))
		if inTime && !now.Add(whole).After(r.Deadline) {
			return true
		}
	}
	return false
}

// startBy is the latest start that lets the answer be in time, on an upstream of
// middling speed.
func (c *Core) startBy(r *Request) time.Time {
	startBy := r.Deadline
	if r.MaxWait > 0 {
		startBy = r.Arrived.Add(r.MaxWait)
	}
	if r.AllowLate {
		return startBy
	}
	first, whole := c.typical(r)
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

// typical predicts the first token and the whole answer on the better half of
// the upstreams, idle.
func (c *Core) typical(r *Request) (first, whole time.Duration) {
	var firsts, wholes []time.Duration
	output := c.output(r)
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

// predictedWait is the time until all work that goes first has been sent.
func (c *Core) predictedWait(r *Request) time.Duration {
	rate := c.drain.rate()
	if rate <= 0 {
		return 0
	}
	return time.Duration(c.queue.WorkAhead(r.Rank) / rate * float64(time.Second))
}

// retryAfter is when the work now waiting will have drained.
func (c *Core) retryAfter(now time.Time, r *Request) time.Duration {
	return min(max(c.predictedWait(r), c.limitedWait(now, r), c.options.MinRetryAfter), maxRetryAfter)
}
