package scheduler

import (
	"slices"
	"time"

	"github.com/tacktally/tacktally/internal/balancer"
)

// slotWaits are the grants beyond the slots of their upstreams that have no slot yet, by upstream in
// the order of the grants. Upstreams are FIFO: a request gets a slot when as many of those granted
// before it have ended as stood between it and a slot. So the wait needs no estimate, and times are
// learned without it.
type slotWaits map[*balancer.Upstream][]*Grant

// slotsAhead returns the number of requests that must end before one more at the upstream has a slot.
// Without MaxBacklog none is counted, as pickers that ignore slots have no such wait to learn from.
func (c *Core) slotsAhead(u *balancer.Upstream) int {
	if u.MaxBacklog == 0 {
		return 0
	}
	return u.SlotsAhead()
}

// add records a grant if it has to wait for a slot.
func (s slotWaits) add(g *Grant) {
	if g.slotsAhead > 0 {
		s[g.Upstream] = append(s[g.Upstream], g)
	}
}

// recordEnd records that a granted request has ended, so that those granted after it move up.
func (s slotWaits) recordEnd(now time.Time, ended *Grant) {
	waiting := s[ended.Upstream]
	if len(waiting) == 0 {
		return
	}
	after := slices.Index(waiting, ended) + 1 // 0: it had a slot
	for i, g := range waiting[after:] {
		g.slotsAhead--
		if g.slotsAhead == 0 {
			g.takeSlot(now, waiting[after+i+1:])
		}
	}
	s.keep(ended.Upstream, func(g *Grant) bool { return g != ended && g.slotsAhead > 0 })
}

// recordFirstToken removes a grant that evidently has a slot, though the end of a request before it
// hasn't been reported. Its wait stays unknown.
func (s slotWaits) recordFirstToken(g *Grant) {
	if g.slotsAhead > 0 {
		s.keep(g.Upstream, func(other *Grant) bool { return other != g })
	}
}

// keep removes the grants of an upstream for which keep returns false.
func (s slotWaits) keep(u *balancer.Upstream, keep func(*Grant) bool) {
	s[u] = slices.DeleteFunc(s[u], func(g *Grant) bool { return !keep(g) })
	if len(s[u]) == 0 {
		delete(s, u)
	}
}

// takeSlot records that a grant that waited for a slot has got it. The prompts of the requests behind
// it, which still wait, are not prefilled before its own.
func (g *Grant) takeSlot(now time.Time, behind []*Grant) {
	g.slotWait = now.Sub(g.GrantedAt)
	g.tokensAhead = g.Upstream.TokensAhead()
	for _, other := range behind {
		if !other.pendingReleased {
			g.tokensAhead -= other.uncachedTokens
		}
	}
}

// inSlot returns the time that a grant has had its slot; false if its wait for the slot is unknown.
func (g *Grant) inSlot(now time.Time) (time.Duration, bool) {
	return now.Sub(g.GrantedAt) - g.slotWait, g.slotsAhead == 0
}

// observeHold updates the time for which requests hold a slot of the upstream with a completed one.
func (c *Core) observeHold(now time.Time, g *Grant) {
	if hold, known := g.inSlot(now); known {
		g.Upstream.ObserveHold(balancer.InUsualState(hold, g.workFactor))
	}
}
