// Package balancer chooses the upstream that a request is sent to.
//
// Picker is the interface; Predictive is the one the daemon uses. RoundRobin,
// LeastOutstanding and PowerOfTwo are the baselines it is measured against.
//
// Nothing here is safe for concurrent use; the scheduler holds its lock.
package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tacktally/tacktally/internal/estimate"
	"github.com/tacktally/tacktally/internal/prefix"
)

// PrefillHorizon is how much unread prompt work, in time, an engine is given at
// most beside its first request. It bounds what can no longer be reordered.
const PrefillHorizon = 250 * time.Millisecond

// Upstream is what one instance knows of one upstream.
type Upstream struct {
	// ID tells it apart from others that have or had its address.
	ID string
	// Address as IP:port.
	Address string
	// Zone is its availability zone, and Region the zone's, where it is known.
	Zone   string
	Region string
	// Born tells its processes apart, where it is known.
	Born int64
	// Speed and Window are learned.
	Speed  estimate.Speed
	Window estimate.Window
	// Memory holds the prompt prefixes it likely has in its cache.
	Memory *prefix.Memory
	// Pending is the prompt tokens sent whose first token hasn't come.
	Pending int
	// OthersPending is the same of other instances, as they told last.
	OthersPending int
	// Running is the requests sent and not ended.
	Running int
	// OthersRunning is the same of other instances, as they told last.
	OthersRunning int
	// Slots is how many requests it runs at once for all instances; 0 is unknown,
	// and the window is learned.
	Slots int
	// Leaving upstreams get nothing new.
	Leaving bool
	// AvoidUntil is set after failures; a single request tests it afterwards.
	AvoidUntil time.Time
	// Failures in a row, the last of them at FailedAt.
	Failures int
	FailedAt time.Time
	// FailureShare is the share of its latest requests that failed, smoothed.
	FailureShare float64
	// Limits bound how often it is granted requests, and ColdUntil is until when it is believed
	// to be cold.
	Limits    StartLimits
	ColdUntil time.Time
	// Named is the limit that it has named, and Rate this instance's part of it.
	Named NamedLimit
	Rate  RateLimit

	tokens     tokens
	starts     starts
	movedUntil time.Time // until when Limits.Moved holds
	heardLock  sync.Mutex
	heard      time.Time // when it last sent something
}

// Heard records that the upstream has just sent something. Unlike all else here it may be
// called by several goroutines.
func (u *Upstream) Heard(now time.Time) {
	u.heardLock.Lock()
	defer u.heardLock.Unlock()
	u.heard = now
}

// HeardAfter tells whether the upstream has sent something after a time.
func (u *Upstream) HeardAfter(t time.Time) bool {
	u.heardLock.Lock()
	defer u.heardLock.Unlock()
	return u.heard.After(t)
}

// failureGain is the weight of one request in FailureShare: an upstream that fails half
// of what it is sent shows within five requests.
const failureGain = 0.15

// ObserveEnd records whether a request to it failed.
func (u *Upstream) ObserveEnd(failed bool) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	u.FailureShare += failureGain * (outcome - u.FailureShare)
}

// isSuspect tells whether it has failed, and nothing has come from it since.
func (u *Upstream) isSuspect() bool { return u.Failures > 0 && !u.HeardAfter(u.FailedAt) }

// HasRoom tells whether it may be sent so many more prompt tokens now.
func (u *Upstream) HasRoom(now time.Time, tokens int) bool {
	if !u.Usable(now) || u.IsFull() || !u.MayStart(now) {
		return false
	}
	if u.isSuspect() && u.Running > 0 {
		return false // one request tests it
	}
	if u.Slots > 0 {
		return true // its slots bound what it is sent
	}
	bound := u.Speed.Prefill() * PrefillHorizon.Seconds()
	ahead := u.Ahead()
	return ahead == 0 || float64(ahead+tokens) <= bound
}

// IsFull tells whether it runs as many requests as it is to be given.
func (u *Upstream) IsFull() bool {
	if u.Slots > 0 {
		return u.Running+u.OthersRunning >= u.Slots
	}
	return u.Running >= u.Window.Size()
}

// Occupancy is the share of its slots that are taken, 0 where they aren't known.
func (u *Upstream) Occupancy() float64 {
	if u.Slots == 0 {
		return 0
	}
	return float64(u.Running+u.OthersRunning) / float64(u.Slots)
}

// Ahead returns the prompt tokens, of all instances as far as known, that it has
// to read before those of a new request.
func (u *Upstream) Ahead() int { return u.Pending + u.OthersPending }

// Usable tells whether it may get work at all.
func (u *Upstream) Usable(now time.Time) bool {
	avoided := now.Before(u.AvoidUntil) && !u.HeardAfter(u.FailedAt)
	return !u.Leaving && !avoided
}

// Work is what the choice needs to know of a request.
type Work struct {
	// Prompt and Output are tokens; Output is what is expected, and Limit the most that may come,
	// 0 where it isn't known.
	Prompt int
	Output int
	Limit  int
	// Spread is how far the output's length is from what is expected.
	Spread Spread
	// Chances to end in time over all upstreams, where Pick is given some of them; nil where it is
	// given all.
	Chances *Chances
	// Chain is the prompt's prefix sums.
	Chain []uint64
	// FirstIn is the time in which the first token is in time, EndIn that in which
	// the whole answer is; 0 where there is no such bound.
	FirstIn time.Duration
	EndIn   time.Duration
	// Zone is the availability zone that the request came to, and Region the zone's, where it is known.
	Zone   string
	Region string
}

// Uncached returns the prompt tokens that the upstream likely has to read.
func (w Work) Uncached(u *Upstream) int {
	if u.Memory == nil || len(w.Chain) == 0 {
		return w.Prompt
	}
	return max(w.Prompt-u.Memory.Cached(w.Chain)*prefix.BlockTokens, 1)
}

// Choice is an upstream and what was assumed of it.
type Choice struct {
	Upstream *Upstream
	// Uncached prompt tokens.
	Uncached int
}

// Picker chooses among upstreams.
type Picker interface {
	// Pick returns no upstream when none may be used now. It changes nothing.
	Pick(now time.Time, upstreams []*Upstream, w Work) Choice
	// Sent is called when a choice is followed.
	Sent(u *Upstream, w Work)
}

// RoundRobin takes the upstreams in turn.
type RoundRobin struct{ next int }

// Pick implements Picker.
func (p *RoundRobin) Pick(now time.Time, upstreams []*Upstream, w Work) Choice {
	for i := range upstreams {
		u := upstreams[(p.next+i)%len(upstreams)]
		if u.Usable(now) {
			return Choice{Upstream: u, Uncached: w.Uncached(u)}
		}
	}
	return Choice{}
}

// Sent implements Picker.
func (p *RoundRobin) Sent(*Upstream, Work) { p.next++ }

// LeastOutstanding takes the upstream with the fewest requests sent and not ended.
type LeastOutstanding struct{}

// Pick implements Picker.
func (LeastOutstanding) Pick(now time.Time, upstreams []*Upstream, w Work) Choice {
	var best *Upstream
	for _, u := range upstreams {
		if u.Usable(now) && (best == nil || u.Running < best.Running) {
			best = u
		}
	}
	if best == nil {
		return Choice{}
	}
	return Choice{Upstream: best, Uncached: w.Uncached(best)}
}

// Sent implements Picker.
func (LeastOutstanding) Sent(*Upstream, Work) {}

// PowerOfTwo draws two upstreams and takes the one with fewer requests.
type PowerOfTwo struct{ Random *rand.Rand }

// Pick implements Picker.
func (p *PowerOfTwo) Pick(now time.Time, upstreams []*Upstream, w Work) Choice {
	if len(upstreams) == 0 {
		return Choice{}
	}
	a := upstreams[p.Random.IntN(len(upstreams))]
	b := upstreams[p.Random.IntN(len(upstreams))]
	if !a.Usable(now) || (b.Usable(now) && b.Running < a.Running) {
		a = b
	}
	if !a.Usable(now) {
		return LeastOutstanding{}.Pick(now, upstreams, w)
	}
	return Choice{Upstream: a, Uncached: w.Uncached(a)}
}

// Sent implements Picker.
func (*PowerOfTwo) Sent(*Upstream, Work) {}
