// Package scheduler decides when a request goes to which upstream, and which
// requests are refused.
//
// Core is one set's scheduler as a plain state machine: each method takes the
// time and returns what is to be done. The dispatcher drives it with the clock,
// the experiments with virtual time. Engines admit what they are sent in order
// of arrival, so the queue stays here, and each engine gets only as much as
// keeps it busy.
//
// Not safe for concurrent use.
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

// Options of a Core.
type Options struct {
	// Picker chooses upstreams.
	Picker balancer.Picker
	// Limits bounds the queue.
	Limits queue.Limits
	// PrefixIndexBlocks bounds the remembered prefix blocks of one upstream; 0 is none.
	PrefixIndexBlocks int
	// Unqueued sends each request at once to whatever the picker names, without
	// tiers or limits. The baselines run like that.
	Unqueued bool
	// StrictTiers lets no short work of a lower tier pass what waits of a higher one.
	StrictTiers bool
	// MinRetryAfter is the shortest time to come back that is told; a second where
	// absent.
	MinRetryAfter time.Duration
}

// Request is what the scheduler knows of a request.
type Request struct {
	// Rank of its tier; 0 is the most important.
	Rank         int
	Organisation string
	Share        float64
	// Arrived, and the Deadline of the whole answer.
	Arrived  time.Time
	Deadline time.Time
	// MaxTimeToFirstToken is the time in which the first token counts as in time; 0 is none.
	MaxTimeToFirstToken time.Duration
	// PromptTokens tokens and the limit of Output tokens.
	PromptTokens int
	MaxOutput    int
	// ExpectedOutput output tokens by the caller's own estimate; 0 where there is none.
	ExpectedOutput int
	// PrefixHashes is the prompt's prefix sums.
	PrefixHashes []uint64
	// Bytes it holds while it waits.
	Bytes int
	// MaxWait is how long it may wait for room; 0 is as long as it can be in time.
	MaxWait time.Duration
	// LatencyObjective is the objective for the first token, which the choice of an upstream goes
	// by; 0 is none. Unlike FirstToken, nothing is refused for it.
	LatencyObjective time.Duration
	// AllowLate tells that a late answer is still of use, so that it isn't refused
	// because its end is predicted too late.
	AllowLate bool
	// Zone is the availability zone that it came to, and Region the zone's, where it is known.
	Zone   string
	Region string
	// FailedUpstream is an upstream that failed it already, by its ID.
	FailedUpstream string
	// ExcludedUpstreams are upstreams that whoever sends it may not send to, by their IDs.
	ExcludedUpstreams []string
	// RegionConstraint says in which regions it may run.
	RegionConstraint RegionConstraint
	// Value is the caller's.
	Value any

	item *queue.Item
	// chances to end in time over all upstreams, as of a time.
	chances   *balancer.CompletionProbabilities
	chancesAt time.Time
}

// RegionConstraint says in which regions a request may run: in all, unless it is bound.
type RegionConstraint struct {
	Bound   bool
	Regions []string
}

// allow tells whether a request may run in a region.
func (h RegionConstraint) allow(region string) bool {
	return !h.Bound || slices.Contains(h.Regions, region)
}

// Grant lets a request be sent to an upstream now.
type Grant struct {
	Request  *Request
	Upstream *balancer.Upstream
	// GrantedAt is when it was granted.
	GrantedAt time.Time
	// Running is how many requests the upstream ran then, this one included.
	Running int
	// Limited tells whether the upstream was known to have named a limit.
	Limited bool
	// Rates are what was known of the upstream's speed then.
	Rates estimate.Rates

	uncached   int
	ahead      int // prompt tokens to be read before its first token, its own included
	predicted  time.Duration
	firstToken time.Time
	released   bool // uncached no longer counts as pending
}

// PredictedFirstToken returns the time in which the first token was expected.
func (g *Grant) PredictedFirstToken() time.Duration { return g.predicted }

// Shed is a request given up before it was sent.
type Shed struct {
	Request *Request
	Problem *api.Problem
}

// Decisions is what is to be done after a call.
type Decisions struct {
	Grants []*Grant
	Sheds  []Shed
}

// Core schedules the requests of one set of upstreams.
type Core struct {
	options   Options
	queue     *queue.Queue
	upstreams []*balancer.Upstream
	byID      map[string]*balancer.Upstream // those in upstreams
	others    map[string]Load               // by instance
	floor     floor
	drain     drainRate
	outputs   outputRatio
	lengths   lengths
	served    served
	// passAllowance is how long work may hold slots now that passes other work.
	passAllowance time.Duration
	coldStart     ColdStart
	reach         Reachability
	room          []*balancer.Upstream // of the latest search
	running       int                  // requests granted and not ended
	held          int64                // how often limits of starts alone held work back
}

// New returns a Core without upstreams.
func New(o Options) *Core {
	o.MinRetryAfter = cmp.Or(o.MinRetryAfter, minRetryAfter)
	return &Core{options: o, byID: map[string]*balancer.Upstream{}, queue: queue.New(o.Limits), others: map[string]Load{}, outputs: newOutputRatio(), lengths: newLengths(), served: served{}}
}

// Upstreams returns the upstreams. The caller must not change them.
func (c *Core) Upstreams() []*balancer.Upstream { return c.upstreams }

// Queued returns how many requests of each rank wait, up to the given rank.
func (c *Core) Queued(ranks int) []int {
	out := make([]int, ranks)
	for r := range out {
		out[r] = c.queue.LenOfRank(r)
	}
	return out
}

// NextExpiry returns when a waiting request will have to be given up.
func (c *Core) NextExpiry() (time.Time, bool) { return c.queue.EarliestStartBy() }

// hasUsable tells whether any upstream may get work, now or once it has room.
func (c *Core) hasUsable(r *Request) bool {
	for _, u := range c.eligible(r, c.upstreams) {
		if !u.Leaving {
			return true
		}
	}
	return false
}
