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
	// lateFirstToken is the delay past the prediction from which on a first token counts as a sign
	// of overload.
	lateFirstToken = 150 * time.Millisecond
	// lateFirstTokenFactor is the same as a factor of the prediction; both must be exceeded.
	lateFirstTokenFactor = 1.5
	// maxInterval is the time between output tokens above which an upstream's window shrinks.
	maxInterval = 52 * time.Millisecond
	// minOpenPeriod and maxOpenPeriod bound the time for which the circuit of a failing upstream
	// stays open. An upstream that is still down costs the probing request a failed connection
	// every maxOpenPeriod; one that has recovered stays unused for maxOpenPeriod at most.
	minOpenPeriod = 500 * time.Millisecond
	maxOpenPeriod = 4 * time.Second
	// aliveFor is the time after its last sign of life for which an upstream counts as alive when a
	// response is lost. It is a few times the interval between the events of a stream.
	aliveFor = 300 * time.Millisecond
	// maxSampleUpstreams bounds the upstreams from which the typical speed is computed.
	maxSampleUpstreams = 64
	// lookahead is the number of waiting items of a tier that are searched for a cached prompt.
	lookahead = 8
	// urgentWithin is the time before its latest start from which on an item is not passed over.
	urgentWithin = 300 * time.Millisecond
	// minIntervalTokens is the output length from which on a response is used to estimate the
	// inter-token latency. An event carries several tokens, so the interval of a few events is a
	// poor estimate: responses of three events made engines look a third faster than they are.
	minIntervalTokens = 64
	// outputWeight is the cost of an output token in prompt tokens.
	outputWeight = 4
)

func newEstimates() (estimate.Speed, estimate.Window) {
	return estimate.NewSpeed(), estimate.NewWindow()
}

// Poll sheds waiting requests that can no longer be in time, and grants those for which there is
// capacity.
func (c *Core) Poll(now time.Time) Decisions {
	var d Decisions
	c.expire(now, &d)
	c.dispatch(now, &d)
	return d
}

func (c *Core) expire(now time.Time, d *Decisions) {
	for _, it := range c.removeExpired(now) {
		r := it.Value.(*Request)
		if r.VersionConstraint.Restricted { // it competes for the upstreams of one version only
			c.shed(now, d, r, api.ReasonDeadlineExpired, "the upstreams of the stream's version had no capacity in time; retry after the given time")
			continue
		}
		c.shedAfterLower(now, d, r, api.ReasonDeadlineExpired, "no upstream had capacity in time; retry after the given time")
	}
}

// Cancel removes a waiting request whose caller has disconnected. It returns false if the request
// does not wait.
func (c *Core) Cancel(r *Request) bool {
	switch {
	case r.item == nil:
		return false
	case r.VersionConstraint.Restricted:
		return c.resuming.remove(r.item)
	default:
		return c.queue.Remove(r.item) || c.returning.queue.Remove(r.item)
	}
}

// dispatch grants waiting requests while an upstream with capacity suits one of them.
func (c *Core) dispatch(now time.Time, d *Decisions) {
	for c.waiting() > 0 {
		candidates := c.findCapacity(now)
		if len(candidates) == 0 {
			c.countLimited(now)
			return
		}
		it, choice := c.nextItem(now, candidates)
		if it == nil {
			return
		}
		c.take(now, it)
		c.drain.recordSent(now, it.Work, c.queue.Len() > 0)
		d.Grants = append(d.Grants, c.grant(now, it.Value.(*Request), choice))
	}
	c.drain.recordIdle(now)
}

// findCapacity returns the upstreams that have capacity for the smallest prompt. Under load these
// are few, which keeps the search for an upstream cheap. The slice is valid until the next call.
func (c *Core) findCapacity(now time.Time) []*balancer.Upstream {
	c.withCapacity = c.withCapacity[:0]
	for _, u := range c.upstreams {
		if u.HasCapacity(now, 1) {
			c.withCapacity = append(c.withCapacity, u)
		}
	}
	return c.withCapacity
}

// nextItem returns the item to grant now and its upstream among the candidates, or nil if no item
// can be granted. The most important tier with an item that can be granted goes first, except for
// backfill. A tier for which no candidate is suitable does not block the others.
func (c *Core) nextItem(now time.Time, candidates []*balancer.Upstream) (*queue.Item, balancer.Choice) {
	waiting := c.queue.WaitingRanks()
	if !c.options.StrictTiers {
		if it, choice := c.backfill(now, waiting, candidates); it != nil {
			return it, choice
		}
	}
	for _, rank := range c.addOtherRanks(waiting) {
		if it, choice := c.nextResuming(now, rank, candidates); it != nil {
			return it, choice
		}
		if it, choice := c.nextNewOrReturning(now, rank, candidates); it != nil {
			return it, choice
		}
	}
	return nil, balancer.Choice{}
}

// nextOfRank returns the item of a tier in a queue to grant now. Among the first few items it selects the one
// with the largest share of its prompt cached at a candidate, to save prefill. An item that must
// start soon is not passed over.
func (c *Core) nextOfRank(now time.Time, q *queue.Queue, rank int, candidates []*balancer.Upstream) (*queue.Item, balancer.Choice) {
	var best *queue.Item
	var chosen balancer.Choice
	bestShare := -1.0
	for _, it := range q.Peek(now, rank, lookahead) {
		r := it.Value.(*Request)
		choice := c.pick(now, r, candidates)
		if choice.Upstream == nil {
			continue
		}
		if it.StartBy.Sub(now) < urgentWithin {
			return it, choice
		}
		if cached := cachedShare(r, choice); cached > bestShare {
			best, chosen, bestShare = it, choice, cached
		}
	}
	return best, chosen
}

// probabilityLifetime is the time for which the completion probabilities of a waiting request are
// reused. They change with the time left and with what is learned of the upstreams.
const probabilityLifetime = 100 * time.Millisecond

// pick chooses among upstreams with capacity.
func (c *Core) pick(now time.Time, r *Request, candidates []*balancer.Upstream) balancer.Choice {
	w := c.workOf(now, r)
	if r.probabilities == nil || now.Sub(r.probabilitiesAt) >= probabilityLifetime {
		r.probabilities, r.probabilitiesAt = balancer.NewCompletionProbabilities(now, c.eligible(r, c.upstreams), w), now
	}
	w.CompletionProbabilities = r.probabilities
	return c.options.Picker.Pick(now, c.eligible(r, candidates), w)
}

// cachedShare returns the share of a prompt that the upstream has cached; 0 without a prompt.
func cachedShare(r *Request, choice balancer.Choice) float64 {
	if r.PromptTokens == 0 {
		return 0
	}
	return 1 - float64(choice.UncachedTokens)/float64(r.PromptTokens)
}

func (c *Core) sendUnqueued(now time.Time, r *Request, d *Decisions) {
	choice := c.options.Picker.Pick(now, c.eligible(r, c.upstreams), c.workOf(now, r))
	if choice.Upstream == nil {
		c.shed(now, d, r, api.ReasonNoUpstream, "no upstream is in service; retry later, or check the platform's instance list")
		return
	}
	d.Grants = append(d.Grants, c.grant(now, r, choice))
}

// eligible filters a list of upstreams. It removes those of regions and versions where the request may not
// run, those to which its instance may not send, and the one that has already failed it, if there is an
// alternative.
func (c *Core) eligible(r *Request, list []*balancer.Upstream) []*balancer.Upstream {
	if r.RegionConstraint.Restricted {
		list = removeIf(list, func(u *balancer.Upstream) bool { return !r.RegionConstraint.allow(u.Region) })
	}
	if r.VersionConstraint.Restricted {
		list = removeIf(list, func(u *balancer.Upstream) bool { return !r.VersionConstraint.allow(u.Version) })
	}
	if len(r.ExcludedUpstreams) > 0 {
		list = removeIf(list, func(u *balancer.Upstream) bool { return slices.Contains(r.ExcludedUpstreams, u.ID) })
	}
	if r.FailedUpstream == "" || !c.hasAlternative(r) {
		return list
	}
	return removeIf(list, func(u *balancer.Upstream) bool { return u.ID == r.FailedUpstream })
}

// hasAlternative reports whether there is an upstream for a request other than the one that failed
// it.
func (c *Core) hasAlternative(r *Request) bool {
	return slices.ContainsFunc(c.upstreams, func(u *balancer.Upstream) bool {
		return u.ID != r.FailedUpstream && r.RegionConstraint.allow(u.Region) && r.VersionConstraint.allow(u.Version) && !slices.Contains(r.ExcludedUpstreams, u.ID)
	})
}

// removeIf returns a copy of a list without the upstreams for which remove returns true.
func removeIf(list []*balancer.Upstream, remove func(*balancer.Upstream) bool) []*balancer.Upstream {
	kept := make([]*balancer.Upstream, 0, len(list))
	for _, u := range list {
		if !remove(u) {
			kept = append(kept, u)
		}
	}
	return kept
}

// expectedOutput returns the expected number of output tokens of a response.
func (c *Core) expectedOutput(r *Request) int {
	if r.ExpectedOutput > 0 {
		return r.ExpectedOutput
	}
	return c.outputs.expect(r.MaxOutput)
}

// workOf describes a request to the picker.
func (c *Core) workOf(now time.Time, r *Request) balancer.Work {
	w := balancer.Work{
		PromptTokens:   r.PromptTokens,
		ExpectedOutput: c.expectedOutput(r),
		MaxOutput:      r.MaxOutput,
		Spread:         c.lengthError.spread,
		PrefixHashes:   r.PrefixHashes,
		EndWithin:      r.Deadline.Sub(now),
		Zone:           r.Zone,
		Region:         r.Region,
	}
	if r.LatencyObjective > 0 {
		w.FirstTokenWithin = max(r.Arrived.Add(r.LatencyObjective).Sub(now), 1) // already late: minimise the delay
	}
	return w
}

// cost returns the expected cost of a request in prompt tokens.
func (c *Core) cost(r *Request) float64 {
	return float64(r.PromptTokens + outputWeight*c.expectedOutput(r))
}

func (c *Core) grant(now time.Time, r *Request, choice balancer.Choice) *Grant {
	u := choice.Upstream
	slotsAhead, slotWait := c.slotsAhead(u), u.SlotWait(now)
	c.options.Picker.RecordSent(u, c.workOf(now, r))
	u.PendingTokens += choice.UncachedTokens
	u.Running++
	c.running++
	u.RecordGrant(now)
	c.grantShares.record(now, r.Rank, true)
	c.accrueBackfill(c.expectedHold(r, choice))
	if u.PrefixIndex != nil {
		u.PrefixIndex.Add(r.PrefixHashes)
	}
	g := &Grant{
		Request:             r,
		Upstream:            u,
		GrantedAt:           now,
		Running:             u.Running + u.RunningElsewhere,
		Limited:             u.AdvertisedLimit.Set,
		Rates:               u.Speed.Rates(),
		uncachedTokens:      choice.UncachedTokens,
		tokensAhead:         u.TokensAhead(),
		predictedFirstToken: u.PredictFirstToken(now, u.TokensAhead()),
		slotsAhead:          slotsAhead,
		workFactor:          u.WorkFactor(now, 0),
	}
	if slotsAhead > 0 {
		g.predictedFirstToken += slotWait
		c.loadReports.BeyondSlots++
		c.slotWaits.add(g)
	}
	return g
}

// RecordFirstToken records the first token of a response, or the response header of a plain
// service.
func (c *Core) RecordFirstToken(now time.Time, g *Grant) Decisions {
	if g.firstTokenAt.IsZero() {
		g.firstTokenAt = now
		u := g.Upstream
		c.releasePending(g)
		took := now.Sub(g.GrantedAt)
		if isLate(took, g.predictedFirstToken) {
			u.Window.RecordLate(now)
		} else {
			u.Window.RecordOnTime(u.Running)
		}
		c.slotWaits.recordFirstToken(g)
		if inSlot, known := g.inSlot(now); known {
			c.observeFirstToken(g, inSlot)
		}
		c.observeResponse(g, took)
		c.recordRecovery(now, u)
		u.MarkSeen(now)
	}
	return c.Poll(now)
}

// AssumeFirstToken counts the prompt as prefilled, for responses whose first token is not observed.
func (c *Core) AssumeFirstToken(now time.Time, g *Grant) Decisions {
	c.releasePending(g)
	return c.Poll(now)
}

// releasePending subtracts the grant's prompt from the upstream's pending tokens, once.
func (c *Core) releasePending(g *Grant) {
	if g.pendingReleased {
		return
	}
	g.pendingReleased = true
	g.Upstream.PendingTokens -= g.uncachedTokens
}

// isLate reports whether a first token was late enough to be a sign of overload.
func isLate(took, predicted time.Duration) bool {
	return took > predicted+lateFirstToken && float64(took) > lateFirstTokenFactor*float64(predicted)
}

// RecordCompleted records a complete response of the given number of output tokens.
func (c *Core) RecordCompleted(now time.Time, g *Grant, output int) Decisions {
	c.end(now, g)
	g.Upstream.ObserveEnd(false)
	c.observeHold(now, g)
	g.Upstream.MarkSeen(now)
	c.lengthError.observe(c.expectedOutput(g.Request), output)
	c.outputs.observe(g.Request.MaxOutput, output)
	if !g.firstTokenAt.IsZero() && output >= minIntervalTokens {
		interval := now.Sub(g.firstTokenAt) / time.Duration(output-1)
		c.observeInterval(now, g, interval)
		if interval > maxInterval && g.Upstream.Running > 1 {
			g.Upstream.Window.RecordLate(now)
		}
	}
	return c.Poll(now)
}

// RecordCancelled records that the request was cancelled. It says nothing about the upstream.
func (c *Core) RecordCancelled(now time.Time, g *Grant) Decisions {
	c.end(now, g)
	return c.Poll(now)
}

// RecordUpstreamError records that the upstream responded with an error of its own, and so is
// alive.
func (c *Core) RecordUpstreamError(now time.Time, g *Grant) Decisions {
	c.end(now, g)
	g.Upstream.MarkSeen(now)
	g.Upstream.ObserveEnd(true)
	return c.Poll(now)
}

// RecordLostResponse records that the request was sent and its response lost. If the upstream has
// sent anything within aliveFor it is alive; otherwise this counts as a failure (see
// RecordFailure).
func (c *Core) RecordLostResponse(now time.Time, g *Grant) Decisions {
	g.Upstream.ObserveEnd(true)
	if g.Upstream.SeenAfter(now.Add(-aliveFor)) {
		c.end(now, g)
		return c.Poll(now)
	}
	return c.RecordFailure(now, g)
}

// RecordFailure records that the upstream is unreachable or silent. Its circuit opens for a period
// that doubles with each consecutive failure, up to maxOpenPeriod. Requests that were granted
// before the last failure failed for the same cause and are not counted again.
func (c *Core) RecordFailure(now time.Time, g *Grant) Decisions {
	c.end(now, g)
	u := g.Upstream
	if u.Failures > 0 && g.GrantedAt.Before(u.FailedAt) {
		return c.Poll(now)
	}
	u.Failures++
	u.FailedAt = now
	period := minOpenPeriod << min(u.Failures-1, 10)
	u.CircuitOpenUntil = now.Add(min(period, maxOpenPeriod))
	u.Window.Reset()
	u.DropReports()
	if u.PrefixIndex != nil {
		u.PrefixIndex.Clear()
	}
	return c.Poll(now)
}

// RecordSilence records that a request was abandoned since its upstream sent nothing for too long. Unless
// the upstream has sent anything within aliveFor, its circuit opens for minOpenPeriod, however often that
// happens: a sound upstream may fall silent for a moment. What is known of it, such as the prompts that it
// keeps, still holds.
func (c *Core) RecordSilence(now time.Time, g *Grant) Decisions {
	c.end(now, g)
	u := g.Upstream
	u.ObserveEnd(true)
	if u.SeenAfter(now.Add(-aliveFor)) || (u.Failures > 0 && g.GrantedAt.Before(u.FailedAt)) {
		return c.Poll(now)
	}
	openForSilence(now, u)
	return c.Poll(now)
}

func openForSilence(now time.Time, u *balancer.Upstream) {
	u.Failures = max(u.Failures, 1)
	u.FailedAt = now
	u.CircuitOpenUntil = now.Add(minOpenPeriod)
}

// RecordOngoingSilence does the same for a request that still waits for its upstream, which has sent it nothing for a time.
func (c *Core) RecordOngoingSilence(now time.Time, upstream string, silentFor time.Duration) Decisions {
	u, since := c.byID[upstream], now.Add(-silentFor)
	if u == nil || u.SeenAfter(now.Add(-aliveFor)) || (u.Failures > 0 && since.Before(u.FailedAt)) {
		return Decisions{}
	}
	openForSilence(now, u)
	return c.Poll(now)
}

// ProbeOpenCircuits allows one probe request to each upstream whose circuit is open. It is called
// when a network partition may have healed, since the failures may have been of the network path.
func (c *Core) ProbeOpenCircuits(now time.Time) Decisions {
	for _, u := range c.upstreams {
		if u.CircuitOpenUntil.After(now) {
			u.CircuitOpenUntil = now
		}
	}
	return c.Poll(now)
}

// RecordBusy records that the upstream refused the request for lack of capacity.
func (c *Core) RecordBusy(now time.Time, g *Grant) Decisions {
	c.end(now, g)
	g.Upstream.Window.RecordLate(now)
	g.Upstream.RecordRefusal(now)
	return c.Poll(now)
}

// end removes a grant from the counts of running requests and pending tokens. The next request that
// waits at the upstream gets its slot.
func (c *Core) end(now time.Time, g *Grant) {
	g.Upstream.Running--
	c.running--
	c.releasePending(g)
	c.slotWaits.recordEnd(now, g)
}

func (c *Core) sampleUpstreams() []*balancer.Upstream {
	if len(c.upstreams) <= maxSampleUpstreams {
		return c.upstreams
	}
	return c.upstreams[:maxSampleUpstreams]
}

// outputRatio estimates the share of its output limit that a response uses.
type outputRatio struct{ ratio float64 }

const (
	// initialOutputRatio is the share of its output limit that a response is assumed to use until
	// responses have been observed.
	initialOutputRatio = 0.5
	// outputRatioGain is the weight of one response in the estimate.
	outputRatioGain = 0.05
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
