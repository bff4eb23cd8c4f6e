// Package scheduler decides which upstream serves a request and when, and which requests are
// refused.
//
// Core schedules the requests of one set of upstreams. It is a state machine without goroutines,
// timers or I/O: each method takes the current time and returns the decisions to carry out. Package
// pool drives it with the wall clock, the experiments with virtual time. Engines admit requests in
// order of arrival, so requests wait in the scheduler's queue and an engine is sent only as many as
// keep it busy.
//
// A Core is not safe for concurrent use.
package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/estimate"
	"github.com/tacktally/tacktally/internal/queue"
)

// Options configure a Core.
type Options struct {
	// Picker selects the upstream of a request.
	Picker balancer.Picker
	// Limits bounds the queue.
	Limits queue.Limits
	// PrefixIndexBlocks bounds the prefix blocks tracked for each upstream; 0 disables tracking.
	PrefixIndexBlocks int
	// Unqueued grants each request immediately to the upstream that the picker returns, without
	// tiers or limits. The baselines run in this mode.
	Unqueued bool
	// StrictTiers disables backfill: no request of a lower tier is granted before a waiting one of
	// a higher tier that can be granted.
	StrictTiers bool
	// MinRetryAfter is the shortest retry delay in a refusal. The default is one second.
	MinRetryAfter time.Duration
	// RetrySchedule spreads the retry times of refused callers over the time that they can wait, if
	// an early retry would likely be refused as well.
	RetrySchedule bool
	// MaxBacklog is the greatest number of requests that may wait at an upstream for a slot.
	MaxBacklog int
	// WaitForObjective lets requests without token counts wait for as long as their response would
	// still meet the latency objective.
	WaitForObjective bool
}

// Request describes a request to the scheduler.
type Request struct {
	// Rank of the request's tier; 0 is the most important.
	Rank int
	// Organisation that sent the request, and its weight within the tier.
	Organisation string
	Share        float64
	// Arrived is the time of arrival, Deadline the time by which the response must be complete.
	Arrived  time.Time
	Deadline time.Time
	// MaxTimeToFirstToken is the longest time from arrival to the first token. A request that is
	// predicted to exceed it is refused. 0 means no limit.
	MaxTimeToFirstToken time.Duration
	// PromptTokens is the length of the prompt, MaxOutput the limit of output tokens.
	PromptTokens int
	MaxOutput    int
	// ExpectedOutput is the caller's estimate of the output tokens; 0 if there is none.
	ExpectedOutput int
	// PrefixHashes are the prompt's prefix hashes (see package prefix).
	PrefixHashes []uint64
	// Bytes counts towards the queue's limit while the request waits.
	Bytes int
	// MaxWait is the longest time from arrival for which the request may wait for an upstream. 0
	// leaves the wait to the deadline.
	MaxWait time.Duration
	// LatencyObjective is the target for the time from arrival to the first token. It guides the
	// choice of the upstream; unlike MaxTimeToFirstToken it refuses nothing. 0 means none.
	LatencyObjective time.Duration
	// AllowLate reports whether a late response is still useful. Such a request is not refused
	// because its completion is predicted to be late.
	AllowLate bool
	// Zone is the availability zone at which the request arrived, Region that zone's region if
	// known.
	Zone   string
	Region string
	// FailedUpstream is the ID of an upstream that has already failed this request. It is used
	// again only if the request has no other.
	FailedUpstream string
	// SilentFor is how long the failed upstream has sent nothing, where the request still waits for it; 0 otherwise.
	SilentFor time.Duration
	// ExcludedUpstreams are the IDs of upstreams to which the instance that sends the request may
	// not send.
	ExcludedUpstreams []string
	// RegionConstraint restricts the regions in which the request may run.
	RegionConstraint RegionConstraint
	// VersionConstraint restricts the software versions of the upstreams at which the request may run.
	VersionConstraint VersionConstraint
	// Digest identifies the content of the request and is the same for each retry of the caller; 0
	// means unknown.
	Digest uint64
	// Value belongs to the caller; the scheduler does not use it.
	Value any

	item *queue.Item
	// returned reports whether this is a caller's retry at the time that it was told, and
	// inReturningQueue whether it waits as such.
	returned, inReturningQueue bool
	// probabilities of completion over all upstreams, computed at probabilitiesAt.
	probabilities   *balancer.CompletionProbabilities
	probabilitiesAt time.Time
}

// RegionConstraint restricts a request to Regions if Restricted is set. Otherwise it may run in any
// region.
type RegionConstraint struct {
	Restricted bool
	Regions    []string
}

// allow reports whether a request may run in a region.
func (c RegionConstraint) allow(region string) bool {
	return !c.Restricted || slices.Contains(c.Regions, region)
}

// Grant permits a request to be sent to an upstream now.
type Grant struct {
	Request  *Request
	Upstream *balancer.Upstream
	// GrantedAt is the time of the grant.
	GrantedAt time.Time
	// Running is the number of requests that the upstream ran at that time, including this one.
	Running int
	// Limited reports whether the upstream had an advertised limit at that time.
	Limited bool
	// Rates is the upstream's estimated speed at that time.
	Rates estimate.Rates

	uncachedTokens      int
	tokensAhead         int // prompt tokens to prefill before the first token, including this request's
	predictedFirstToken time.Duration
	slotsAhead          int           // requests that must end before this one has a slot
	slotWait            time.Duration // time from the grant until it had a slot, once slotsAhead is 0
	workFactor          float64       // of the upstream at the time of the grant (see balancer.WorkFactor)
	firstTokenAt        time.Time
	pendingReleased     bool // uncachedTokens have been subtracted from the upstream's PendingTokens
}

// PredictedFirstToken returns the predicted time from the grant to the first token.
func (g *Grant) PredictedFirstToken() time.Duration { return g.predictedFirstToken }

// Shed is a request that was refused before it was sent.
type Shed struct {
	Request *Request
	Problem *api.Problem
}

// Decisions are the grants and refusals to carry out after a call.
type Decisions struct {
	Grants []*Grant
	Sheds  []Shed
}

// Core schedules the requests of one set of upstreams.
type Core struct {
	options     Options
	queue       *queue.Queue
	returning   returningRequests
	resuming    resumingRequests
	upstreams   []*balancer.Upstream
	byID        map[string]*balancer.Upstream // the entries of upstreams by ID
	peerLoads   map[string]Load               // load of each other instance
	floor       floor
	drain       drainRate
	outputs     outputRatio
	lengthError lengthError
	ordinary    ordinaryRates
	loadReports LoadReports // without the fields that LoadReports computes
	slotWaits   slotWaits
	grantShares grantShares
	responses   responseTime // of plain requests
	// backfillAllowance is the slot time that backfill may use now.
	backfillAllowance time.Duration
	coldStart         ColdStart
	reachability      Reachability
	withCapacity      []*balancer.Upstream // result of the latest findCapacity, reused
	running           int                  // requests granted and not ended
	limitedGrants     int64                // see LimitedGrants
}

// New returns a Core without upstreams.
func New(o Options) *Core {
	o.MinRetryAfter = cmp.Or(o.MinRetryAfter, minRetryAfter)
	returning, limits := newReturningRequests(o)
	return &Core{options: o, byID: map[string]*balancer.Upstream{}, queue: queue.New(limits), returning: returning, resuming: newResumingRequests(o.Limits), peerLoads: map[string]Load{}, outputs: newOutputRatio(), lengthError: newLengthError(), grantShares: grantShares{}, slotWaits: slotWaits{}}
}

// Upstreams returns the upstreams. The caller must not modify the slice.
func (c *Core) Upstreams() []*balancer.Upstream { return c.upstreams }

// Queued returns the number of waiting requests of each rank below ranks.
func (c *Core) Queued(ranks int) []int {
	out := make([]int, ranks)
	for r := range out {
		out[r] = c.queue.LenOfRank(r) + c.returning.queue.LenOfRank(r) + c.resuming.lenOfRank(r)
	}
	return out
}

// NextExpiry returns the earliest time at which a waiting request expires, and false if none waits.
func (c *Core) NextExpiry() (time.Time, bool) { return c.earliestStartBy() }

// hasUsable reports whether any eligible upstream may be granted the request, now or once it has
// capacity.
func (c *Core) hasUsable(r *Request) bool {
	for _, u := range c.eligible(r, c.upstreams) {
		if !u.Leaving {
			return true
		}
	}
	return false
}
