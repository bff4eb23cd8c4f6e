package balancer

import "time"

const (
	// maxSlotWait bounds the expected time for which a request waits at its upstream for a slot. What
	// waits there can't be reordered any more. In the owner's queue a stream waits about as long
	// before it is refused.
	maxSlotWait = 200 * time.Millisecond
	// holdGain is the weight of one request in the time for which a request holds a slot.
	holdGain = 0.1
)

// ObserveHold records for how long a request that was completed held its slot.
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

// SlotWait returns the expected time until one more request gets a slot; 0 while a slot is free.
func (u *Upstream) SlotWait() time.Duration {
	beyond := u.Running + u.RunningElsewhere - u.Slots + 1
	if u.Slots == 0 || beyond <= 0 {
		return 0
	}
	return time.Duration(beyond) * u.load.hold / time.Duration(u.Slots)
}

// backlog returns the number of requests that may wait at the upstream, so that its slots don't stay
// idle while a release and the next grant are on their way. It applies to upstreams that report
// their load, and is 0 if more wait there already, for cold upstreams, after failures, and for a
// grantWindow after a move, in which the requests of the previous owner may not be counted.
func (u *Upstream) backlog(now time.Time) int {
	l := &u.load
	if u.MaxBacklog == 0 || l.hold == 0 || !l.isCurrent(now) || l.last.Waiting > u.MaxBacklog {
		return 0
	}
	if u.Failures > 0 || now.Before(u.ColdUntil) || now.Before(u.movedUntil) || !u.AllowsGrant(now) {
		return 0
	}
	return min(int(maxSlotWait*time.Duration(u.Slots)/l.hold), u.MaxBacklog)
}

// missesObjective reports whether a request that would wait at the upstream for a slot would miss an
// objective that it can still meet. first is the predicted time from a free slot to the first token.
func (w Work) missesObjective(u *Upstream, first time.Duration) bool {
	wait := u.SlotWait()
	if wait == 0 || w.FirstTokenWithin <= 1 {
		return false
	}
	if w.PromptTokens == 0 {
		first = u.load.hold
	}
	return wait+first > w.FirstTokenWithin
}
