package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/estimate"
	"github.com/tacktally/tacktally/internal/queue"
)

const (
	// lateFirstToken is how far past its prediction a first token must come to
	// count as a sign of too much work.
	lateFirstToken = 150 * time.Millisecond
	// lateFirstTokenFactor is the same as a factor; both must be passed.
	lateFirstTokenFactor = 1.5
	// maxInterval is the time between output tokens past which an upstream is
	// given fewer sequences.
	maxInterval = 52 * time.Millisecond
	// avoidFirst and avoidMost bound how long a failing upstream gets nothing. One that is
	// still away costs the request that tests it a connection that isn't made, each
	// avoidMost; one that is back stays unused for so long at most.
	avoidFirst = 500 * time.Millisecond
	avoidMost  = 4 * time.Second
	// aliveFor is how long after its last sign an upstream counts as alive when one
	// answer gets lost: some pauses between the events of a stream.
	aliveFor = 300 * time.Millisecond
	// maxSampleUpstreams bounds the upstreams looked at for a typical speed.
	maxSampleUpstreams = 64
	// lookahead is how many waiting items of a tier are looked at for one whose
	// prompt is cached.
	lookahead = 8
	// urgent is the time to its latest start from which on an item isn't passed over.
	urgent = 300 * time.Millisecond
	// paceTokens is the output from which on an answer tells its upstream's pace. Tokens come
	// several in an event, so that of a few events the time between them says little: answers of
	// three made engines look a third faster than they are.
	paceTokens = 64
	// outputWeight is what an output token counts for in prompt tokens.
	outputWeight = 4
)

func newEstimates() (estimate.Speed, estimate.Window) {
	return estimate.NewSpeed(), estimate.NewWindow()
}

// Poll gives up what can no longer be in time and sends what has room.
func (c *Core) Poll(now time.Time) Decisions {
	var d Decisions
	c.expire(now, &d)
	c.pump(now, &d)
	return d
}

func (c *Core) expire(now time.Time, d *Decisions) {
	for _, it := range c.queue.RemoveExpired(now) {
		r := it.Value.(*Request)
		c.shedLower(now, r.Rank, d)
		c.shed(now, d, r, api.ReasonDeadlineExpired, "no upstream had room in time; come back after the time given")
	}
}

// Cancel removes a waiting request whose caller has gone. It returns false when
// the request doesn't wait.
func (c *Core) Cancel(r *Request) bool {
	return r.item != nil && c.queue.Remove(r.item)
}

// pump sends waiting work while the next in order finds an upstream with room.
func (c *Core) pump(now time.Time, d *Decisions) {
	for c.queue.Len() > 0 {
		room := c.withRoom(now)
		if len(room) == 0 {
			c.countHeld(now)
			return
		}
		it, choice := c.next(now, room)
		if it == nil {
			return
		}
		c.queue.Take(now, it)
		c.drain.sent(now, it.Work, c.queue.Len() > 0)
		d.Grants = append(d.Grants, c.grant(now, it.Value.(*Request), choice))
	}
	c.drain.idle(now)
}

// withRoom returns the upstreams that may be sent even the smallest prompt: few where it matters, so
// that a search for a choice costs little. The slice is of use until the next call.
func (c *Core) withRoom(now time.Time) []*balancer.Upstream {
	c.room = c.room[:0]
	for _, u := range c.upstreams {
		if u.HasCapacity(now, 1) {
			c.room = append(c.room, u)
		}
	}
	return c.room
}

// next returns the item to send now and where to, of the upstreams with room, or nil when none can be
// sent. What can be sent of
// the most important tier goes first, but for short work that may pass it. A tier none of which any
// upstream with room suits holds up no other.
func (c *Core) next(now time.Time, room []*balancer.Upstream) (*queue.Item, balancer.Choice) {
	waiting := c.queue.WaitingRanks()
	if !c.options.StrictTiers {
		if it, choice := c.passing(now, waiting, room); it != nil {
			return it, choice
		}
	}
	for _, rank := range waiting {
		if it, choice := c.nextOf(now, rank, room); it != nil {
			return it, choice
		}
	}
	return nil, balancer.Choice{}
}

// nextOf returns the item of a tier to send now. Among the first few the one goes first of whose
// prompt an upstream with room holds the largest share, so that less is read again; but none that
// must start soon is passed over.
func (c *Core) nextOf(now time.Time, rank int, room []*balancer.Upstream) (*queue.Item, balancer.Choice) {
	var best *queue.Item
	var chosen balancer.Choice
	bestShare := -1.0
	for _, it := range c.queue.Peek(now, rank, lookahead) {
		r := it.Value.(*Request)
		choice := c.pick(now, r, room)
		if choice.Upstream == nil {
			continue
		}
		if it.StartBy.Sub(now) < urgent {
			return it, choice
		}
		if cached := cachedShare(r, choice); cached > bestShare {
			best, chosen, bestShare = it, choice, cached
		}
	}
	return best, chosen
}

// chancesFor is how long what is known of a waiting request's chances holds: they change with the time
// that it has left, and with what is learned of upstreams.
const chancesFor = 100 * time.Millisecond

// pick chooses among upstreams with room.
func (c *Core) pick(now time.Time, r *Request, room []*balancer.Upstream) balancer.Choice {
	w := c.describe(now, r)
	if r.chances == nil || now.Sub(r.chancesAt) >= chancesFor {
		r.chances, r.chancesAt = balancer.NewCompletionProbabilities(now, c.eligible(r, c.upstreams), w), now
	}
	w.CompletionProbabilities = r.chances
	return c.options.Picker.Pick(now, c.eligible(r, room), w)
}

// cachedShare is the share of a prompt that the upstream holds; 0 without a prompt.
func cachedShare(r *Request, choice balancer.Choice) float64 {
	if r.PromptTokens == 0 {
		return 0
	}
	return 1 - float64(choice.UncachedTokens)/float64(r.PromptTokens)
}

func (c *Core) sendUnqueued(now time.Time, r *Request, d *Decisions) {
	choice := c.options.Picker.Pick(now, c.eligible(r, c.upstreams), c.describe(now, r))
	if choice.Upstream == nil {
		c.shed(now, d, r, api.ReasonNoUpstream, "no upstream is in service; come back later, or check the platform's instance list")
		return
	}
	d.Grants = append(d.Grants, c.grant(now, r, choice))
}

// eligible leaves out of a list upstreams of regions in which the request may not run, those that its sender
// may not send to, and the one that failed it already, where the service has another.
func (c *Core) eligible(r *Request, list []*balancer.Upstream) []*balancer.Upstream {
	if r.RegionConstraint.Bound {
		list = without(list, func(u *balancer.Upstream) bool { return !r.RegionConstraint.allow(u.Region) })
	}
	if len(r.ExcludedUpstreams) > 0 {
		list = without(list, func(u *balancer.Upstream) bool { return slices.Contains(r.ExcludedUpstreams, u.ID) })
	}
	if r.FailedUpstream == "" || !c.hasOther(r) {
		return list
	}
	return without(list, func(u *balancer.Upstream) bool { return u.ID == r.FailedUpstream })
}

// hasOther tells whether there is an upstream for a request beside the one that failed it.
func (c *Core) hasOther(r *Request) bool {
	return slices.ContainsFunc(c.upstreams, func(u *balancer.Upstream) bool {
		return u.ID != r.FailedUpstream && r.RegionConstraint.allow(u.Region) && !slices.Contains(r.ExcludedUpstreams, u.ID)
	})
}

// without returns a copy of a list that lacks some.
func without(list []*balancer.Upstream, left func(*balancer.Upstream) bool) []*balancer.Upstream {
	rest := make([]*balancer.Upstream, 0, len(list))
	for _, u := range list {
		if !left(u) {
			rest = append(rest, u)
		}
	}
	return rest
}

// output is the number of output tokens that is expected of an answer.
func (c *Core) output(r *Request) int {
	if r.ExpectedOutput > 0 {
		return r.ExpectedOutput
	}
	return c.outputs.expect(r.MaxOutput)
}

func (c *Core) describe(now time.Time, r *Request) balancer.Work {
	w := balancer.Work{
		PromptTokens:   r.PromptTokens,
		ExpectedOutput: c.output(r),
		MaxOutput:      r.MaxOutput,
		Spread:         c.lengths.spread,
		PrefixHashes:   r.PrefixHashes,
		EndWithin:      r.Deadline.Sub(now),
		Zone:           r.Zone,
		Region:         r.Region,
	}
	if r.LatencyObjective > 0 {
		w.FirstTokenWithin = max(r.Arrived.Add(r.LatencyObjective).Sub(now), 1) // late already: the sooner the better
	}
	return w
}

func (c *Core) work(r *Request) float64 {
	return float64(r.PromptTokens + outputWeight*c.output(r))
}

func (c *Core) grant(now time.Time, r *Request, choice balancer.Choice) *Grant {
	u := choice.Upstream
	c.options.Picker.RecordSent(u, c.describe(now, r))
	u.PendingTokens += choice.UncachedTokens
	u.Running++
	c.running++
	u.RecordGrant(now)
	c.served.note(now, r.Rank, true)
	c.allowPassing(c.holds(r, choice))
	if u.PrefixIndex != nil {
		u.PrefixIndex.Add(r.PrefixHashes)
	}
	return &Grant{
		Request:   r,
		Upstream:  u,
		GrantedAt: now,
		Running:   u.Running + u.RunningElsewhere,
		Limited:   u.AdvertisedLimit.Set,
		Rates:     u.Speed.Rates(),
		uncached:  choice.UncachedTokens,
		ahead:     u.TokensAhead(),
		predicted: u.Speed.PredictFirstToken(u.TokensAhead()),
	}
}

// RecordFirstToken records the first token of an answer, or the head of a service's.
func (c *Core) RecordFirstToken(now time.Time, g *Grant) Decisions {
	if g.firstToken.IsZero() {
		g.firstToken = now
		u := g.Upstream
		c.release(g)
		took := now.Sub(g.GrantedAt)
		if isLate(took, g.predicted) {
			u.Window.RecordLate(now)
		} else {
			u.Window.RecordOnTime(u.Running)
		}
		u.Speed.ObserveFirstToken(g.ahead, took)
		c.recovered(now, u)
		u.MarkSeen(now)
	}
	return c.Poll(now)
}

// AssumeFirstToken counts the prompt as read, where the first token can't be seen.
func (c *Core) AssumeFirstToken(now time.Time, g *Grant) Decisions {
	c.release(g)
	return c.Poll(now)
}

func (c *Core) release(g *Grant) {
	if g.released {
		return
	}
	g.released = true
	g.Upstream.PendingTokens -= g.uncached
}

func isLate(took, predicted time.Duration) bool {
	return took > predicted+lateFirstToken && float64(took) > lateFirstTokenFactor*float64(predicted)
}

// RecordCompleted records the end of an answer with so many output tokens.
func (c *Core) RecordCompleted(now time.Time, g *Grant, output int) Decisions {
	c.end(g)
	g.Upstream.ObserveEnd(false)
	g.Upstream.MarkSeen(now)
	c.lengths.observe(c.output(g.Request), output)
	c.outputs.observe(g.Request.MaxOutput, output)
	if !g.firstToken.IsZero() && output >= paceTokens {
		interval := now.Sub(g.firstToken) / time.Duration(output-1)
		g.Upstream.Speed.ObserveInterval(interval)
		if interval > maxInterval && g.Upstream.Running > 1 {
			g.Upstream.Window.RecordLate(now)
		}
	}
	return c.Poll(now)
}

// RecordCancelled records that the caller went away; nothing is learned of it.
func (c *Core) RecordCancelled(now time.Time, g *Grant) Decisions {
	c.end(g)
	return c.Poll(now)
}

// RecordUpstreamError records that the upstream answered with a failure of its own: it lives.
func (c *Core) RecordUpstreamError(now time.Time, g *Grant) Decisions {
	c.end(g)
	g.Upstream.MarkSeen(now)
	g.Upstream.ObserveEnd(true)
	return c.Poll(now)
}

// RecordLostResponse records that the request was sent and its answer got lost. An upstream that has
// sent something else just now lives; any other one is avoided.
func (c *Core) RecordLostResponse(now time.Time, g *Grant) Decisions {
	g.Upstream.ObserveEnd(true)
	if g.Upstream.SeenAfter(now.Add(-aliveFor)) {
		c.end(g)
		return c.Poll(now)
	}
	return c.RecordFailure(now, g)
}

// RecordFailure records that the upstream can't be reached, or is silent: it is avoided for a
// time that doubles with each failure in a row. What was sent before the last failure was
// known fails for the same cause, and says nothing new.
func (c *Core) RecordFailure(now time.Time, g *Grant) Decisions {
	c.end(g)
	u := g.Upstream
	if u.Failures > 0 && g.GrantedAt.Before(u.FailedAt) {
		return c.Poll(now)
	}
	u.Failures++
	u.FailedAt = now
	pause := avoidFirst << min(u.Failures-1, 10)
	u.CircuitOpenUntil = now.Add(min(pause, avoidMost))
	u.Window.Reset()
	if u.PrefixIndex != nil {
		u.PrefixIndex.Clear()
	}
	return c.Poll(now)
}

// ProbeOpenCircuits lets upstreams that are avoided be tested now, by one request each. It is
// called when a cut may have healed: what failed may have been the way to them.
func (c *Core) ProbeOpenCircuits(now time.Time) Decisions {
	for _, u := range c.upstreams {
		if u.CircuitOpenUntil.After(now) {
			u.CircuitOpenUntil = now
		}
	}
	return c.Poll(now)
}

// RecordBusy records that the upstream refused the request for lack of room.
func (c *Core) RecordBusy(now time.Time, g *Grant) Decisions {
	c.end(g)
	g.Upstream.Window.RecordLate(now)
	return c.Poll(now)
}

func (c *Core) end(g *Grant) {
	g.Upstream.Running--
	c.running--
	c.release(g)
}

func (c *Core) sampleUpstreams() []*balancer.Upstream {
	if len(c.upstreams) <= maxSampleUpstreams {
		return c.upstreams
	}
	return c.upstreams[:maxSampleUpstreams]
}

// outputRatio learns which share of its output limit an answer uses.
type outputRatio struct{ ratio float64 }

const (
	initialOutputRatio = 0.5
	outputRatioGain    = 0.05
)

func newOutputRatio() outputRatio { return outputRatio{ratio: initialOutputRatio} }

func (o *outputRatio) expect(limit int) int {
	return int(math.Ceil(o.ratio * float64(limit)))
}

func (o *outputRatio) observe(limit, output int) {
	if limit <= 0 {
		return
	}
	o.ratio += outputRatioGain * (min(float64(output)/float64(limit), 1) - o.ratio)
}
