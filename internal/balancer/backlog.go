package balancer

import "time"

const (
	// maxSlotWait bounds the expected time for which a request waits at its upstream for a slot. What
	// waits there can't be reordered any more. In the owner's queue a stream waits about as long
	// before it is refused.
	maxSlotWait = 200 * time.Millisecond
	// holdGain is the weight of one request in the time for which a request holds a slot.
	holdGain = 0.1
	// maxUncounted is the number of requests held by the upstream but not counted here, on average over
	// about ten reports, from which on none may wait there. Half a request is rounded to one.
	maxUncounted = 0.5
)

// ObserveHold records for how long a request that was completed held its slot, converted to the usual
// state.
func (u *Upstream) ObserveHold(hold time.Duration) {
	l := &u.load
	if hold <= 0 {
		return
	}
	if l.hold == 0 {
		l.hold = hold
		return
	}
	l.hold += scale(holdGain, hold-l.hold)
}

// predictHold predicts for how long a request that starts now holds its slot; 0 if unknown.
func (u *Upstream) predictHold(now time.Time) time.Duration {
	return scale(u.WorkFactor(now, u.load.hold), u.load.hold)
}

// SlotsAhead returns the number of requests that must end before one more gets a slot; 0 while a slot
// is free or if the slots are unknown.
func (u *Upstream) SlotsAhead() int {
	if u.Slots == 0 {
		return 0
	}
	return max(u.Running+u.RunningElsewhere-u.Slots+1, 0)
}

// SlotWait returns the expected time until one more request gets a slot; 0 while a slot is free.
func (u *Upstream) SlotWait(now time.Time) time.Duration {
	ahead := u.SlotsAhead()
	if ahead == 0 {
		return 0
	}
	return time.Duration(ahead) * u.predictHold(now) / time.Duration(u.Slots)
}

// backlog returns the number of requests that may wait at the upstream, so that its slots don't stay
// idle while a release and the next grant are on their way. It applies to upstreams that report
// their load. It is 0 if more wait there already, if the upstream holds requests that aren't counted
// here, for cold and brittle upstreams, after failures, where a limit of grants is reached, and for a grantWindow
// after a move, in which the requests of the previous owner may not be counted.
func (u *Upstream) backlog(now time.Time) int {
	l := &u.load
	if u.MaxBacklog == 0 || l.hold == 0 || !l.isCurrent(now) || u.IsBrittle(now) {
		return 0
	}
	if l.last.Waiting > u.MaxBacklog || l.inTransit <= -maxUncounted {
		return 0
	}
	if u.Failures > 0 || now.Before(u.ColdUntil) || now.Before(u.movedUntil) || !u.AllowsGrant(now) {
		return 0
	}
	return min(int(maxSlotWait*time.Duration(u.Slots)/max(u.predictHold(now), 1)), u.MaxBacklog)
}

// missesObjective reports whether a request that would wait at the upstream for a slot could miss an
// objective that it can still meet. wait is the expected wait, and first the predicted time from a free
// slot to the first token.
func (w Work) missesObjective(wait, first time.Duration) bool {
	if wait == 0 || w.FirstTokenWithin <= 1 {
		return false
	}
	return wait+first > w.FirstTokenWithin
}

// predictFirst predicts the time from a free slot to the first token or, for a plain request, to the
// response; 0 for a plain request if the hold is unknown.
func (w Work) predictFirst(now time.Time, u *Upstream, uncached int) time.Duration {
	if w.PromptTokens == 0 {
		return u.predictHold(now)
	}
	return u.PredictFirstToken(now, u.TokensAhead()+uncached)
}
