package balancer

import (
	"math"
	"time"

	"github.com/tacktally/tacktally/internal/loadreport"
)

const (
	// brittleLifetime is how long an upstream counts as brittle after the last report that said so.
	brittleLifetime = 5 * time.Second
	// refusalShare is the share of the refusals in a second that a brittle upstream survives from which
	// on it is granted nothing. The rest is for requests that are on their way.
	refusalShare = 0.5
	// responseGain is by how much one response raises the number of requests that a brittle upstream may
	// hold.
	responseGain = 0.5
)

// brittleness is the state of an upstream that fails once it refuses too many requests in a second. The
// zero value is that of one that doesn't.
type brittleness struct {
	// maxRefusals is the number of refusals that it survives in a second, and until the time for which
	// that holds.
	maxRefusals int
	until       time.Time
	// refusals are the times of its latest refusals.
	refusals grantTimes
	// allowed is the number of requests that it may hold, as far as its responses have shown.
	allowed float64
}

// begin records that the upstream is brittle from now on, or still, and may hold the given number of
// requests if that is new.
func (b *brittleness) begin(now time.Time, maxRefusals int, allowed float64) {
	if !now.Before(b.until) {
		b.allowed = allowed
	}
	b.maxRefusals, b.until = maxRefusals, now.Add(brittleLifetime)
}

// observeBrittle records what the load report of a response says about the upstream. Each response raises
// what the upstream may hold, unless it has refused a request within the last second.
func (u *Upstream) observeBrittle(now time.Time, r loadreport.Report) {
	b := &u.brittle
	if !r.Brittle {
		b.until = time.Time{}
		return
	}
	b.begin(now, r.MaxRefusals, float64(max(u.Running+u.RunningElsewhere, 1)))
	if b.refusals.count(now) == 0 {
		b.allowed = min(b.allowed+responseGain, float64(max(u.Slots, 1)))
	}
}

// LearnBrittle records that another instance has seen the upstream say that it is brittle. Unless it is
// known here, this instance doesn't know what the upstream holds either, so that it begins with one request.
func (u *Upstream) LearnBrittle(now time.Time, maxRefusals int) {
	if !u.IsBrittle(now) {
		u.brittle.begin(now, maxRefusals, 1)
	}
}

// RecordRefusal records that the upstream refused a request for lack of room, after that request was
// removed from its counts.
func (u *Upstream) RecordRefusal(now time.Time) {
	u.brittle.refusals.add(now)
	u.brittle.allowed = float64(max(u.Running+u.RunningElsewhere, 1))
}

// IsBrittle reports whether the upstream fails once it refuses too many requests in a second.
func (u *Upstream) IsBrittle(now time.Time) bool { return now.Before(u.brittle.until) }

// allowsRefusal reports whether the upstream survives that one more request is refused.
func (u *Upstream) allowsRefusal(now time.Time) bool {
	recent := u.brittle.refusals.count(now)
	return !u.IsBrittle(now) || recent == 0 || float64(recent) < refusalShare*float64(u.brittle.maxRefusals)
}

// capacity returns the number of requests that the upstream may hold at once, without a backlog. A brittle
// one keeps a slot free, since it holds a slot for a moment after a request has ended, and those that it
// holds but that aren't counted here, and it holds no more than its responses have shown to be possible.
func (u *Upstream) capacity(now time.Time) int {
	if !u.IsBrittle(now) {
		return u.Slots
	}
	free := u.Slots - 1
	if u.load.isCurrent(now) {
		free -= int(math.Round(max(-u.load.inTransit, 0)))
	}
	return max(min(free, int(u.brittle.allowed)), 1)
}
