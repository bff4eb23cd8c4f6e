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
)

// brittleness is the state of an upstream that fails once it refuses too many requests in a second. The
// zero value is that of one that doesn't.
type brittleness struct {
	// maxRefusals is the number of refusals that it survives in a second, and until the time for which
	// that holds.
	maxRefusals int
	until       time.Time
	// refusals are the times of its latest refusals, and held the requests that it held at the last one.
	refusals grantTimes
	held     int
}

// observe records what a load report says about the upstream.
func (b *brittleness) observe(now time.Time, r loadreport.Report) {
	b.until = time.Time{}
	if r.Brittle {
		b.maxRefusals, b.until = r.MaxRefusals, now.Add(brittleLifetime)
	}
}

// RecordRefusal records that the upstream refused a request for lack of room, after that request was
// removed from its counts.
func (u *Upstream) RecordRefusal(now time.Time) {
	u.brittle.refusals.add(now)
	u.brittle.held = u.Running + u.RunningElsewhere
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
// holds but that aren't counted here. After a refusal it holds no more than it did then.
func (u *Upstream) capacity(now time.Time) int {
	if !u.IsBrittle(now) {
		return u.Slots
	}
	free := u.Slots - 1
	if u.load.isCurrent(now) {
		free -= int(math.Round(max(-u.load.inTransit, 0)))
	}
	if u.brittle.refusals.count(now) > 0 {
		free = min(free, u.brittle.held)
	}
	return max(free, 1)
}
