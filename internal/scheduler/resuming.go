package scheduler

import (
	"slices"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/queue"
)

// VersionConstraint restricts a request to upstreams of one software version if Restricted is set: one of
// them wrote the beginning of the stream that the request continues.
type VersionConstraint struct {
	Restricted bool
	Version    string
}

// allow reports whether a request may run at an upstream of a version.
func (c VersionConstraint) allow(version string) bool { return !c.Restricted || c.Version == version }

// resumingSpaceShare is the share of the queue's limits that resuming requests may use in addition.
const resumingSpaceShare = 0.25

// resumingRequests are the waiting requests with a VersionConstraint. They wait in a queue for each version,
// so that a version without capacity holds up no others. Within each rank they go before new requests, which
// all versions can serve, and the refusal of a request of a higher rank does not shed them.
type resumingRequests struct {
	limits   queue.Limits // of all queues together
	queues   map[string]*queue.Queue
	versions []string // of the queues, sorted, so that identical runs make identical choices
	bytes    int64
}

func newResumingRequests(l queue.Limits) resumingRequests {
	return resumingRequests{queues: map[string]*queue.Queue{}, limits: queue.Limits{
		MaxItems: int(resumingSpaceShare * float64(l.MaxItems)),
		MaxBytes: int64(resumingSpaceShare * float64(l.MaxBytes)),
	}}
}

// len returns the number of waiting requests.
func (w *resumingRequests) len() (n int) {
	for _, q := range w.queues {
		n += q.Len()
	}
	return n
}

func (w *resumingRequests) lenOfRank(rank int) (n int) {
	for _, q := range w.queues {
		n += q.LenOfRank(rank)
	}
	return n
}

func (w *resumingRequests) hasSpace(bytes int) bool {
	return w.len() < w.limits.MaxItems && w.bytes+int64(bytes) <= w.limits.MaxBytes
}

func (w *resumingRequests) push(it *queue.Item) {
	version := it.Value.(*Request).VersionConstraint.Version
	q := w.queues[version]
	if q == nil {
		q = queue.New(w.limits)
		w.queues[version] = q
		w.versions = append(w.versions, version)
		slices.Sort(w.versions)
	}
	q.Push(it)
	w.bytes += int64(it.Bytes)
}

// remove removes a request that will not be granted. It returns false if it doesn't wait.
func (w *resumingRequests) remove(it *queue.Item) bool {
	q := w.queues[it.Value.(*Request).VersionConstraint.Version]
	if q == nil || !q.Remove(it) {
		return false
	}
	w.bytes -= int64(it.Bytes)
	w.dropEmpty()
	return true
}

// take removes a request that is about to be granted.
func (w *resumingRequests) take(now time.Time, it *queue.Item) {
	w.queues[it.Value.(*Request).VersionConstraint.Version].Take(now, it)
	w.bytes -= int64(it.Bytes)
	w.dropEmpty()
}

func (w *resumingRequests) removeExpired(now time.Time) (out []*queue.Item) {
	for _, version := range w.versions {
		out = append(out, w.queues[version].RemoveExpired(now)...)
	}
	for _, it := range out {
		w.bytes -= int64(it.Bytes)
	}
	w.dropEmpty()
	return out
}

// dropEmpty drops the queues of versions for which no request waits.
func (w *resumingRequests) dropEmpty() {
	w.versions = slices.DeleteFunc(w.versions, func(version string) bool {
		if w.queues[version].Len() > 0 {
			return false
		}
		delete(w.queues, version)
		return true
	})
}

func (w *resumingRequests) waitingRanks() (out []int) {
	for _, q := range w.queues {
		out = append(out, q.WaitingRanks()...)
	}
	return out
}

func (w *resumingRequests) earliestStartBy() (first time.Time, waiting bool) {
	for _, q := range w.queues {
		if at, ok := q.EarliestStartBy(); ok && (!waiting || at.Before(first)) {
			first, waiting = at, true
		}
	}
	return first, waiting
}

// submitResuming grants, queues or sheds a request with a VersionConstraint.
func (c *Core) submitResuming(now time.Time, r *Request, d *Decisions) {
	startBy := c.startBy(now, r)
	if startBy.Before(now) {
		c.shed(now, d, r, api.ReasonDeadlineExpired, "the upstreams of the stream's version had no capacity in time; retry after the given time")
		return
	}
	if !c.resuming.hasSpace(r.Bytes) {
		c.shed(now, d, r, api.ReasonQueueFull, "the queue of resumed streams is full; retry after the given time")
		return
	}
	r.item = c.newItem(r, startBy)
	c.resuming.push(r.item)
	c.dispatch(now, d)
}

// nextResuming returns the resuming request of a rank to grant now and its upstream among the candidates, or
// nil if none can be granted.
func (c *Core) nextResuming(now time.Time, rank int, candidates []*balancer.Upstream) (*queue.Item, balancer.Choice) {
	for _, version := range c.resuming.versions {
		hasVersion := func(u *balancer.Upstream) bool { return u.Version == version }
		if !slices.ContainsFunc(candidates, hasVersion) {
			continue
		}
		if it, choice := c.nextOfRank(now, c.resuming.queues[version], rank, candidates); it != nil {
			return it, choice
		}
	}
	return nil, balancer.Choice{}
}
