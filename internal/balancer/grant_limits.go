package balancer

import (
	"slices"
	"time"
)

// grantWindow is the time over which grants are counted. It is a tenth longer than the second for
// which the limits are specified: a request arrives up to that much later than it was granted, so
// grants of more than a second may arrive within one.
const grantWindow = 1100 * time.Millisecond

// GrantLimits bound how many requests one upstream is granted in any grantWindow. An upstream that
// has just started, or lost its memory, crashes above some number per second.
type GrantLimits struct {
	// Set reports whether there are limits.
	Set bool
	// Cold applies while the upstream is considered cold.
	Cold int
	// Warm applies otherwise, since the upstream may have become cold unnoticed; 0 means no limit.
	Warm int
	// Moved applies in the first grantWindow after the upstream moved to another shard, whose owner
	// does not know the previous owner's grants.
	Moved int
}

// grantTimes are the times of the latest grants of one upstream, oldest first.
type grantTimes []time.Time

// add records a grant and drops those outside grantWindow.
func (g *grantTimes) add(now time.Time) {
	old := 0
	for old < len(*g) && now.Sub((*g)[old]) >= grantWindow {
		old++
	}
	*g = append((*g)[:copy(*g, (*g)[old:])], now)
}

// count returns the number of grants within grantWindow.
func (g grantTimes) count(now time.Time) int {
	n := 0
	for n < len(g) && now.Sub(g[len(g)-1-n]) < grantWindow {
		n++
	}
	return n
}

// RecordGrant records that the upstream was granted a request.
func (u *Upstream) RecordGrant(now time.Time) {
	if u.GrantLimits.Set {
		u.grants.add(now)
	}
	u.takeToken(now)
}

// AllowsGrant reports whether the upstream's limits allow one more request now.
func (u *Upstream) AllowsGrant(now time.Time) bool {
	if !u.allowsRate(now) || !u.allowsRefusal(now) {
		return false
	}
	limit := u.grantLimit(now)
	return limit < 0 || u.grants.count(now) < limit
}

// grantLimit returns the number of requests that the upstream may be granted in grantWindow, or -1
// if unlimited.
func (u *Upstream) grantLimit(now time.Time) int {
	switch {
	case !u.GrantLimits.Set:
		return -1
	case now.Before(u.movedUntil):
		return min(u.GrantLimits.Moved, u.GrantLimits.Cold)
	case now.Before(u.ColdUntil):
		return u.GrantLimits.Cold
	case u.Failures > 0:
		return max(u.GrantLimits.Cold, 1) // with 0 its recovery would not be noticed
	case u.GrantLimits.Warm > 0:
		return u.GrantLimits.Warm
	default:
		return -1
	}
}

// CopyState returns a copy of the upstream's state without its work and its prefix index.
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
		grants:           slices.Clone(u.grants),
		load:             u.load,
		brittle:          u.brittle,
	}
}

// MoveFrom records that the upstream moved here from another shard at the given time, and takes
// over the state of the same process there, if previous has it.
func (u *Upstream) MoveFrom(now time.Time, previous *Upstream) {
	u.movedUntil = now.Add(grantWindow)
	if previous == nil || previous.Incarnation != u.Incarnation {
		return
	}
	u.Speed = previous.Speed
	u.load = previous.load
	u.brittle = previous.brittle
	u.Failures, u.FailedAt, u.CircuitOpenUntil, u.FailureShare = previous.Failures, previous.FailedAt, previous.CircuitOpenUntil, previous.FailureShare
	u.grants = slices.Clone(previous.grants)
	u.KeepColdUntil(previous.ColdUntil)
}

// IsCold reports whether the upstream is considered cold. One that has failed may have restarted.
func (u *Upstream) IsCold(now time.Time) bool {
	return u.GrantLimits.Set && (now.Before(u.ColdUntil) || u.Failures > 0)
}

// KeepColdUntil extends the time until which the upstream counts as cold.
func (u *Upstream) KeepColdUntil(until time.Time) {
	if until.After(u.ColdUntil) {
		u.ColdUntil = until
	}
}
