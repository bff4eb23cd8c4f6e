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
	// Incarnation tells its processes apart, where it is known.
	Incarnation int64
	// Speed and Window are learned.
	Speed  estimate.Speed
	Window estimate.Window
	// PrefixIndex holds the prompt prefixes it likely has in its cache.
	PrefixIndex *prefix.Index
	// PendingTokens is the prompt tokens sent whose first token hasn't come.
	PendingTokens int
	// PendingElsewhere is the same of other instances, as they told last.
	PendingElsewhere int
	// Running is the requests sent and not ended.
	Running int
	// RunningElsewhere is the same of other instances, as they told last.
	RunningElsewhere int
	// Slots is how many requests it runs at once for all instances; 0 is unknown,
	// and the window is learned.
	Slots int
	// Leaving upstreams get nothing new.
	Leaving bool
	// CircuitOpenUntil is set after failures; a single request tests it afterwards.
	CircuitOpenUntil time.Time
	// Failures in a row, the last of them at FailedAt.
	Failures int
	FailedAt time.Time
	// FailureShare is the share of its latest requests that failed, smoothed.
	FailureShare float64
	// GrantLimits bound how often it is granted requests, and ColdUntil is until when it is believed
	// to be cold.
	GrantLimits GrantLimits
	ColdUntil   time.Time
	// AdvertisedLimit is the limit that it has named, and Rate this instance's part of it.
	AdvertisedLimit AdvertisedLimit
	RateLimit       RateLimit

	tokens     tokens
	starts     starts
	movedUntil time.Time // until when Limits.Moved holds
	heardLock  sync.Mutex
	heard      time.Time // when it last sent something
}

// MarkSeen records that the upstream has just sent something. Unlike all else here it may be
// called by several goroutines.
func (u *Upstream) MarkSeen(now time.Time) {
	u.heardLock.Lock()
	defer u.heardLock.Unlock()
	u.heard = now
}

// SeenAfter tells whether the upstream has sent something after a time.
func (u *Upstream) SeenAfter(t time.Time) bool {
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
func (u *Upstream) isSuspect() bool { return u.Failures > 0 && !u.SeenAfter(u.FailedAt) }

// HasCapacity tells whether it may be sent so many more prompt tokens now.
func (u *Upstream) HasCapacity(now time.Time, tokens int) bool {
	if !u.Usable(now) || u.IsFull() || !u.AllowsGrant(now) {
		return false
	}
	if u.isSuspect() && u.Running > 0 {
		return false // one request tests it
	}
	if u.Slots > 0 {
		return true // its slots bound what it is sent
	}
	bound := u.Speed.Prefill() * PrefillHorizon.Seconds()
	ahead := u.TokensAhead()
	return ahead == 0 || float64(ahead+tokens) <= bound
}

// IsFull tells whether it runs as many requests as it is to be given.
func (u *Upstream) IsFull() bool {
	if u.Slots > 0 {
		return u.Running+u.RunningElsewhere >= u.Slots
	}
	return u.Running >= u.Window.Size()
}

// Occupancy is the share of its slots that are taken, 0 where they aren't known.
func (u *Upstream) Occupancy() float64 {
	if u.Slots == 0 {
		return 0
	}
	return float64(u.Running+u.RunningElsewhere) / float64(u.Slots)
}

// TokensAhead returns the prompt tokens, of all instances as far as known, that it has
// to read before those of a new request.
func (u *Upstream) TokensAhead() int { return u.PendingTokens + u.PendingElsewhere }

// Usable tells whether it may get work at all.
func (u *Upstream) Usable(now time.Time) bool {
	avoided := now.Before(u.CircuitOpenUntil) && !u.SeenAfter(u.FailedAt)
	return !u.Leaving && !avoided
}

// Work is what the choice needs to know of a request.
type Work struct {
	// PromptTokens and Output are tokens; Output is what is expected, and Limit the most that may come,
	// 0 where it isn't known.
	PromptTokens   int
	ExpectedOutput int
	MaxOutput      int
	// Spread is how far the output's length is from what is expected.
	Spread Spread
	// CompletionProbabilities to end in time over all upstreams, where Pick is given some of them; nil where it is
	// given all.
	CompletionProbabilities *CompletionProbabilities
	// PrefixHashes is the prompt's prefix sums.
	PrefixHashes []uint64
	// FirstTokenWithin is the time in which the first token is in time, EndIn that in which
	// the whole answer is; 0 where there is no such bound.
	FirstTokenWithin time.Duration
	EndWithin        time.Duration
	// Zone is the availability zone that the request came to, and Region the zone's, where it is known.
	Zone   string
	Region string
}

// UncachedTokens returns the prompt tokens that the upstream likely has to read.
func (w Work) UncachedTokens(u *Upstream) int {
	if u.PrefixIndex == nil || len(w.PrefixHashes) == 0 {
		return w.PromptTokens
	}
	return max(w.PromptTokens-u.PrefixIndex.Cached(w.PrefixHashes)*prefix.BlockTokens, 1)
}

// Choice is an upstream and what was assumed of it.
type Choice struct {
	Upstream *Upstream
	// UncachedTokens prompt tokens.
	UncachedTokens int
}

// Picker chooses among upstreams.
type Picker interface {
	// Pick returns no upstream when none may be used now. It changes nothing.
	Pick(now time.Time, upstreams []*Upstream, w Work) Choice
	// RecordSent is called when a choice is followed.
	RecordSent(u *Upstream, w Work)
}

// RoundRobin takes the upstreams in turn.
type RoundRobin struct{ next int }

// Pick implements Picker.
func (p *RoundRobin) Pick(now time.Time, upstreams []*Upstream, w Work) Choice {
	for i := range upstreams {
		u := upstreams[(p.next+i)%len(upstreams)]
		if u.Usable(now) {
			return Choice{Upstream: u, UncachedTokens: w.UncachedTokens(u)}
		}
	}
	return Choice{}
}

// RecordSent implements Picker.
func (p *RoundRobin) RecordSent(*Upstream, Work) { p.next++ }

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
	return Choice{Upstream: best, UncachedTokens: w.UncachedTokens(best)}
}

// RecordSent implements Picker.
func (LeastOutstanding) RecordSent(*Upstream, Work) {}

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
	return Choice{Upstream: a, UncachedTokens: w.UncachedTokens(a)}
}

// RecordSent implements Picker.
func (*PowerOfTwo) RecordSent(*Upstream, Work) {}
