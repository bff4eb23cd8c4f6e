package scheduler

import (
	"math"
	"time"

	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/queue"
)

const (
	// passWithin is the longest time for which work of a lower tier may hold a slot that work of a
	// higher one waits for: what anything higher is delayed by at most each time.
	passWithin = 300 * time.Millisecond
	// passShare is the part of all slot time that may go to work that passes: what higher work
	// loses to it at most.
	passShare = 0.03
	// mostPassing bounds what may be saved up of it.
	mostPassing = 500 * time.Millisecond
	// servedHalfLife is the time in which what came and was granted loses half its weight.
	servedHalfLife = 2 * time.Second
	// servedPrior is how many requests of each tier count as served, so that a few refusals of a
	// tier that gets little don't tell.
	servedPrior = 5
)

// passing returns an item of a lower tier that goes before the higher ones that wait, and where to, or
// nil: backfill, as batch schedulers know it. It is short, and its tier has been granted less of what
// came than each higher one, so that a lower tier is never served more often for it. Without it a burst
// refuses most of the work that would take the least time.
func (c *Core) passing(now time.Time, waiting []int, room []*balancer.Upstream) (*queue.Item, balancer.Choice) {
	if c.passAllowance <= 0 {
		return nil, balancer.Choice{}
	}
	for i := len(waiting) - 1; i > 0; i-- {
		if !c.served.lags(now, waiting[i]) {
			continue
		}
		for _, it := range c.queue.Peek(now, waiting[i], lookahead) {
			r := it.Value.(*Request)
			choice := c.pick(now, r, room)
			if choice.Upstream != nil && c.holds(r, choice) <= passWithin {
				c.passAllowance -= c.holds(r, choice)
				return it, choice
			}
		}
	}
	return nil, balancer.Choice{}
}

// allowPassing saves up what may pass, of a request's expected time in a slot.
func (c *Core) allowPassing(held time.Duration) {
	c.passAllowance = min(c.passAllowance+time.Duration(passShare*float64(held)), mostPassing)
}

// holds is how long a request is expected to hold its slot.
func (c *Core) holds(r *Request, choice balancer.Choice) time.Duration {
	speed := &choice.Upstream.Speed
	return speed.PredictFirstToken(choice.Upstream.TokensAhead()+choice.UncachedTokens) + speed.PredictDecode(c.output(r), 1)
}

// served learns, by rank, which share of what comes is granted, and not given up for lack of room.
type served map[int]*tally

// tally is what came of a rank and what was granted, counted down with time.
type tally struct {
	granted, came float64
	at            time.Time
}

func (t *tally) decay(now time.Time) {
	f := math.Exp2(-now.Sub(t.at).Seconds() / servedHalfLife.Seconds())
	t.granted *= f
	t.came *= f
	t.at = now
}

func (t *tally) share() float64 { return (t.granted + servedPrior) / (t.came + servedPrior) }

// note takes the end of one request's wait.
func (s served) note(now time.Time, rank int, granted bool) {
	t := s[rank]
	if t == nil {
		t = &tally{at: now}
		s[rank] = t
	}
	t.decay(now)
	t.came++
	if granted {
		t.granted++
	}
}

// share is the share of what came of a rank that was granted, lately.
func (s served) share(now time.Time, rank int) float64 {
	t := s[rank]
	if t == nil {
		return 1
	}
	t.decay(now)
	return t.share()
}

// lags tells whether a rank was granted a smaller share than each higher one.
func (s served) lags(now time.Time, rank int) bool {
	own := s.share(now, rank)
	for other := range s {
		if other < rank && s.share(now, other) <= own {
			return false
		}
	}
	return true
}
