package scheduler

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/queue"
	"github.com/tacktally/tacktally/internal/retryschedule"
)

const (
	// returningWaitShare is the share of its time left for which a returning request may wait. Its
	// caller has no retry left, so a refusal would lose it; most of the time left remains for the
	// response.
	returningWaitShare = 0.25
	// maxReturningWait bounds the same time. Callers abandon a stream that has not begun within 2 s,
	// and some of that is needed for its prompt.
	maxReturningWait = time.Second
	// returningSpaceShare is the share of the queue's limits that returning requests may use. They
	// wait up to twenty times as long as new ones, which must find space in the meantime.
	returningSpaceShare = 0.25
)

// returningRequests are the requests that were refused for load and have returned at the time that
// their callers were told. Their callers have no retry left. Once a response can no longer be in
// time they wait in a queue of their own: within each rank new requests go first, and the refusal
// of a request of a higher rank does not shed them.
type returningRequests struct {
	schedule *retryschedule.Schedule // nil without Options.RetrySchedule
	queue    *queue.Queue
}

// newReturningRequests returns an empty state, and the part of the limits that new requests have.
func newReturningRequests(o Options) (returningRequests, queue.Limits) {
	if !o.RetrySchedule {
		return returningRequests{queue: queue.New(queue.Limits{})}, o.Limits
	}
	own := queue.Limits{
		MaxItems: int(returningSpaceShare * float64(o.Limits.MaxItems)),
		MaxBytes: int64(returningSpaceShare * float64(o.Limits.MaxBytes)),
	}
	others := queue.Limits{MaxItems: o.Limits.MaxItems - own.MaxItems, MaxBytes: o.Limits.MaxBytes - own.MaxBytes}
	return returningRequests{schedule: retryschedule.New(retryschedule.Options{}), queue: queue.New(own)}, others
}

// admitLateReturn queues a request that returns at the time told, if its response is late anyway.
// It reports false for any other request, to be treated as a new one. A request that failed at an
// upstream is sent again by its instance, not by its caller.
func (c *Core) admitLateReturn(now time.Time, r *Request) bool {
	if c.returning.schedule == nil || r.FailedUpstream != "" {
		return false
	}
	kind := c.returning.schedule.Returning(now, scheduleDigest(r))
	r.returned = kind != retryschedule.NotReturning
	return kind == retryschedule.Late && c.queueReturning(now, r)
}

// keepReturned reports whether a request that would be shed waits among the returning ones instead.
// It may be in time when it returns, and then competes with new ones until they would be shed.
func (c *Core) keepReturned(now time.Time, r *Request, reason api.Reason) bool {
	return r.returned && !r.inReturningQueue && isForLoad(reason) && c.queueReturning(now, r)
}

// queueReturning queues a returning request. It reports false if its time to wait is over or there
// is no space.
func (c *Core) queueReturning(now time.Time, r *Request) bool {
	startBy := c.returningStartBy(now, r)
	if !startBy.After(now) || !c.returning.queue.HasSpace(r.Bytes) {
		return false
	}
	r.inReturningQueue = true
	r.item = c.newItem(r, startBy)
	c.returning.queue.Push(r.item)
	return true
}

// returningStartBy returns the latest start of a returning request: after returningWaitShare of the
// time that it had left on arrival, or later if as a new request it could wait longer.
func (c *Core) returningStartBy(now time.Time, r *Request) time.Time {
	startBy := c.startBy(now, r)
	if r.MaxWait == 0 || !r.AllowLate {
		return startBy // bounded by the deadline alone
	}
	wait := time.Duration(returningWaitShare * float64(r.Deadline.Sub(r.Arrived)))
	return later(startBy, r.Arrived.Add(min(wait, maxReturningWait)))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// retryDelay returns the retry delay of a refusal. Only refusals for load are scheduled: the others
// don't depend on how many callers return.
func (c *Core) retryDelay(now time.Time, r *Request, reason api.Reason) time.Duration {
	early := c.retryAfter(now, r)
	if c.returning.schedule == nil || !isForLoad(reason) {
		return early
	}
	return c.returning.schedule.Refused(now, retryschedule.Request{
		Digest:      scheduleDigest(r),
		Rank:        r.Rank,
		Deadline:    r.Deadline,
		InTimeUntil: r.Arrived.Add(r.LatencyObjective),
		GrantShare:  c.grantShares.share(now, r.Rank),
		EarlyDelay:  early,
		Returned:    r.returned,
	})
}

// isForLoad reports whether a request was refused because others needed the capacity.
func isForLoad(reason api.Reason) bool {
	return reason != api.ReasonNoUpstream && reason != api.ReasonDeadlineTooShort
}

// scheduleDigest returns the key of a request in the retry schedule. Organisations often send the
// same content, and their requests must not be taken for each other's retries.
func scheduleDigest(r *Request) uint64 {
	if r.Digest == 0 {
		return 0
	}
	return r.Digest ^ xxhash.Sum64String(r.Organisation)
}

// RetryCounts returns by rank how many callers were told to retry when, and how many did; all zero
// without Options.RetrySchedule.
func (c *Core) RetryCounts() (counts [retryschedule.Ranks]retryschedule.Counts) {
	if c.returning.schedule != nil {
		counts = c.returning.schedule.Counts()
	}
	return counts
}

// waiting returns the number of waiting requests, new, returning and resuming.
func (c *Core) waiting() int { return c.queue.Len() + c.returning.queue.Len() + c.resuming.len() }

// addOtherRanks adds to the ranks with waiting new requests those with returning and resuming ones, most
// important first.
func (c *Core) addOtherRanks(waiting []int) []int {
	ranks := append(waiting, c.returning.queue.WaitingRanks()...)
	ranks = append(ranks, c.resuming.waitingRanks()...)
	slices.Sort(ranks)
	return slices.Compact(ranks)
}

// nextNewOrReturning returns the item of a rank to grant now. New requests go first.
func (c *Core) nextNewOrReturning(now time.Time, rank int, candidates []*balancer.Upstream) (*queue.Item, balancer.Choice) {
	if it, choice := c.nextOfRank(now, c.queue, rank, candidates); it != nil {
		return it, choice
	}
	return c.nextOfRank(now, c.returning.queue, rank, candidates)
}

// take removes an item that is about to be granted from its queue.
func (c *Core) take(now time.Time, it *queue.Item) {
	r := it.Value.(*Request)
	switch {
	case r.VersionConstraint.Restricted:
		c.resuming.take(now, it)
	case r.inReturningQueue:
		c.returning.queue.Take(now, it)
	default:
		c.queue.Take(now, it)
	}
}

// removeExpired removes and returns the items, of all queues, that can no longer start in time.
func (c *Core) removeExpired(now time.Time) []*queue.Item {
	out := append(c.queue.RemoveExpired(now), c.returning.queue.RemoveExpired(now)...)
	return append(out, c.resuming.removeExpired(now)...)
}

// earliestStartBy returns the earliest time at which a waiting request expires, and false if none
// waits.
func (c *Core) earliestStartBy() (time.Time, bool) {
	first, waiting := c.queue.EarliestStartBy()
	for _, earliest := range []func() (time.Time, bool){c.returning.queue.EarliestStartBy, c.resuming.earliestStartBy} {
		if other, found := earliest(); found && (!waiting || other.Before(first)) {
			first, waiting = other, true
		}
	}
	return first, waiting
}
