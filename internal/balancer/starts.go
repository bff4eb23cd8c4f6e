package balancer

import (
	"slices"
	"time"
)

// startWindow is the time in which starts are counted. It is a tenth more than the second that
// bounds on them speak of: a request arrives up to so much later than it was granted, and those of
// more than a second may arrive within one.
const startWindow = 1100 * time.Millisecond

// GrantLimits bound how many requests one upstream is granted in any startWindow: an upstream that
// has just started, or lost what it had in memory, crashes beyond some a second.
type GrantLimits struct {
	// Set tells whether there are any.
	Set bool
	// Cold is how many it gets while it is believed to be cold.
	Cold int
	// Warm is how many it gets else, since it may be cold and nobody has heard; 0 is no limit.
	Warm int
	// Moved is how many it gets in the first startWindow after it moved to another shard, whose owner
	// doesn't know what was granted in the same second before.
	Moved int
}

// starts are the latest grants of one upstream, the oldest first.
type starts []time.Time

// add notes a grant, and forgets those that count no more.
func (s *starts) add(now time.Time) {
	old := 0
	for old < len(*s) && now.Sub((*s)[old]) >= startWindow {
		old++
	}
	*s = append((*s)[:copy(*s, (*s)[old:])], now)
}

// count returns how many there were within startWindow.
func (s starts) count(now time.Time) int {
	n := 0
	for n < len(s) && now.Sub(s[len(s)-1-n]) < startWindow {
		n++
	}
	return n
}

// RecordGrant records that it was granted a request.
func (u *Upstream) RecordGrant(now time.Time) {
	if u.GrantLimits.Set {
		u.starts.add(now)
	}
	u.noteRate(now)
}

// AllowsGrant tells whether its limits allow one more request now.
func (u *Upstream) AllowsGrant(now time.Time) bool {
	if !u.isWithinRate(now) {
		return false
	}
	limit := u.startLimit(now)
	return limit < 0 || u.starts.count(now) < limit
}

// startLimit returns how many requests it may be granted in startWindow, -1 for any number.
func (u *Upstream) startLimit(now time.Time) int {
	switch {
	case !u.GrantLimits.Set:
		return -1
	case now.Before(u.movedUntil):
		return min(u.GrantLimits.Moved, u.GrantLimits.Cold)
	case now.Before(u.ColdUntil):
		return u.GrantLimits.Cold
	case u.Failures > 0:
		return max(u.GrantLimits.Cold, 1) // or nobody would find out that it works
	case u.GrantLimits.Warm > 0:
		return u.GrantLimits.Warm
	default:
		return -1
	}
}

// CopyState returns what is known of it now, but for its work and its memory, which stay where they are.
func (u *Upstream) CopyState() *Upstream {
	return &Upstream{
		ID:               u.ID,
		Incarnation:      u.Incarnation,
		Speed:            u.Speed,
		Failures:         u.Failures,
		FailedAt:         u.FailedAt,
		CircuitOpenUntil: u.CircuitOpenUntil,
		FailureShare:     u.FailureShare,
		ColdUntil:        u.ColdUntil,
		starts:           slices.Clone(u.starts),
	}
}

// MoveFrom makes it take the place of what was known of the same process in another shard, up to now.
func (u *Upstream) MoveFrom(now time.Time, before *Upstream) {
	u.movedUntil = now.Add(startWindow)
	if before == nil || before.Incarnation != u.Incarnation {
		return
	}
	u.Speed = before.Speed
	u.Failures, u.FailedAt, u.CircuitOpenUntil, u.FailureShare = before.Failures, before.FailedAt, before.CircuitOpenUntil, before.FailureShare
	u.starts = slices.Clone(before.starts)
	u.KeepColdUntil(before.ColdUntil)
}

// IsCold tells whether it is believed to be cold. One that has failed may have started again.
func (u *Upstream) IsCold(now time.Time) bool {
	return u.GrantLimits.Set && (now.Before(u.ColdUntil) || u.Failures > 0)
}

// KeepColdUntil makes it count as cold until a time at least.
func (u *Upstream) KeepColdUntil(until time.Time) {
	if until.After(u.ColdUntil) {
		u.ColdUntil = until
	}
}
