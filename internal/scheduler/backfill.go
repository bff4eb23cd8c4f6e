package scheduler

import (
	"math"
	"time"

	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/queue"
)

const (
	// maxBackfillHold is the longest time for which backfill may hold a slot. It bounds the delay
	// of a higher tier by one backfilled request.
	maxBackfillHold = 300 * time.Millisecond
	// backfillShare is the share of all slot time that backfill may use, and so the most that
	// higher tiers lose to it.
	backfillShare = 0.03
	// maxBackfillAllowance bounds the slot time that accrues for backfill while it isn't used.
	maxBackfillAllowance = 500 * time.Millisecond
	// grantCountHalfLife is the time in which the counts of arrived and granted requests lose half
	// their weight.
	grantCountHalfLife = 2 * time.Second
	// grantCountPrior is added to both counts of each tier, so that a few refusals of a tier with
	// few requests change its share little.
	grantCountPrior = 5
)

// backfill returns a request of a lower tier to grant before the higher tiers that wait, and the
// choice of its upstream, or nil. Like backfill in batch schedulers it admits only short work. The
// tier must have been granted a smaller share of its arrivals than each higher tier, so that
// backfill never serves a lower tier more often than a higher one. Without backfill, a burst causes
// the refusal of most of the work that would take the least time.
func (c *Core) backfill(now time.Time, waiting []int, candidates []*balancer.Upstream) (*queue.Item, balancer.Choice) {
	if c.backfillAllowance <= 0 {
		return nil, balancer.Choice{}
	}
	for i := len(waiting) - 1; i > 0; i-- {
		if !c.grantShares.lags(now, waiting[i]) {
			continue
		}
		for _, it := range c.queue.Peek(now, waiting[i], lookahead) {
			r := it.Value.(*Request)
			choice := c.pick(now, r, candidates)
			if choice.Upstream != nil && c.expectedHold(r, choice) <= maxBackfillHold {
				c.backfillAllowance -= c.expectedHold(r, choice)
				return it, choice
			}
		}
	}
	return nil, balancer.Choice{}
}

// accrueBackfill adds to the backfill allowance for a granted request's expected time in its slot.
func (c *Core) accrueBackfill(hold time.Duration) {
	c.backfillAllowance = min(c.backfillAllowance+time.Duration(backfillShare*float64(hold)), maxBackfillAllowance)
}

// expectedHold returns the time for which a request is expected to hold its slot.
func (c *Core) expectedHold(r *Request, choice balancer.Choice) time.Duration {
	speed := &choice.Upstream.Speed
	return speed.PredictFirstToken(choice.Upstream.TokensAhead()+choice.UncachedTokens) + speed.PredictDecode(c.expectedOutput(r), 1)
}

// grantShares tracks by rank the share of arriving requests that is granted rather than shed for
// load.
type grantShares map[int]*grantCount

// grantCount counts the arrived and granted requests of a rank, with exponential decay.
type grantCount struct {
	granted, arrived float64
	at               time.Time
}

func (t *grantCount) decay(now time.Time) {
	f := math.Exp2(-now.Sub(t.at).Seconds() / grantCountHalfLife.Seconds())
	t.granted *= f
	t.arrived *= f
	t.at = now
}

func (t *grantCount) share() float64 {
	return (t.granted + grantCountPrior) / (t.arrived + grantCountPrior)
}

// record counts a request of a rank whose wait has ended.
func (s grantShares) record(now time.Time, rank int, granted bool) {
	t := s[rank]
	if t == nil {
		t = &grantCount{at: now}
		s[rank] = t
	}
	t.decay(now)
	t.arrived++
	if granted {
		t.granted++
	}
}

// share returns the share of a rank's recent requests that was granted.
func (s grantShares) share(now time.Time, rank int) float64 {
	t := s[rank]
	if t == nil {
		return 1
	}
	t.decay(now)
	return t.share()
}

// lags reports whether a rank was granted a smaller share than each higher one.
func (s grantShares) lags(now time.Time, rank int) bool {
	own := s.share(now, rank)
	for other := range s {
		if other < rank && s.share(now, other) <= own {
			return false
		}
	}
	return true
}
