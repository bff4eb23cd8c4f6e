// Package balancer chooses the upstream that a request is sent to.
//
// Picker is the interface. ObjectivePicker chooses by latency objectives; Predictive minimises the
// predicted latency. RoundRobin, LeastOutstanding and PowerOfTwo are baselines for comparison.
//
// Nothing here is safe for concurrent use unless stated; the scheduler's callers serialise access.
package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tacktally/tacktally/internal/estimate"
	"github.com/tacktally/tacktally/internal/prefix"
)

// PrefillHorizon is the most outstanding prefill work, as time, that an engine is given in addition
// to its first request. Requests sent to an engine can no longer be reordered.
const PrefillHorizon = 250 * time.Millisecond

// Upstream is the state of an upstream as one instance sees it.
type Upstream struct {
	// ID distinguishes the upstream from others that use or used its address.
	ID string
	// Address as IP:port.
	Address string
	// Zone is its availability zone, and Region that zone's region if known.
	Zone   string
	Region string
	// Incarnation is the number of its process, if known.
	Incarnation int64
	// Version is the version of its software; empty is unknown.
	Version string
	// Speed and Window are estimates, updated with each response.
	Speed  estimate.Speed
	Window estimate.Window
	// PrefixIndex tracks the prompt prefixes that its cache likely holds. May be nil.
	PrefixIndex *prefix.Index
	// PendingTokens is the number of prompt tokens sent for which the first token has not arrived.
	PendingTokens int
	// PendingElsewhere is the same for all other instances, as last reported.
	PendingElsewhere int
	// Running is the number of requests sent and not ended.
	Running int
	// RunningElsewhere is the same for all other instances, as last reported.
	RunningElsewhere int
	// Slots is the number of requests that it runs concurrently for all instances. 0 means unknown;
	// Window applies instead.
	Slots int
	// MaxBacklog is the greatest number of requests that may wait at the upstream for a slot.
	MaxBacklog int
	// Leaving upstreams are sent no new requests.
	Leaving bool
	// CircuitOpenUntil is set after failures. After it, a single request probes the upstream.
	CircuitOpenUntil time.Time
	// Failures counts consecutive failures, the last of them at FailedAt.
	Failures int
	FailedAt time.Time
	// FailureShare is the share of recent requests that failed, exponentially smoothed.
	FailureShare float64
	// GrantLimits bound how often it is granted requests. ColdUntil is the time until which it is
	// considered cold.
	GrantLimits GrantLimits
	ColdUntil   time.Time
	// AdvertisedLimit is the limit reported by the upstream itself, RateLimit this instance's share
	// of it.
	AdvertisedLimit AdvertisedLimit
	RateLimit       RateLimit

	bucket     tokenBucket
	grants     grantTimes
	movedUntil time.Time // GrantLimits.Moved applies until then
	load       loadState
	brittle    brittleness
	lastSeenMu sync.Mutex
	lastSeen   time.Time // guarded by lastSeenMu
}

// MarkSeen records that the upstream has just sent something. It is safe for concurrent use.
func (u *Upstream) MarkSeen(now time.Time) {
	u.lastSeenMu.Lock()
	defer u.lastSeenMu.Unlock()
	u.lastSeen = now
}

// SeenAfter reports whether the upstream has sent something after t. It is safe for concurrent use.
func (u *Upstream) SeenAfter(t time.Time) bool {
	u.lastSeenMu.Lock()
	defer u.lastSeenMu.Unlock()
	return u.lastSeen.After(t)
}

// failureGain is the weight of one request in FailureShare. An upstream that fails half of its
// requests is detected within five.
const failureGain = 0.15

// ObserveEnd records whether a request failed.
func (u *Upstream) ObserveEnd(failed bool) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	u.FailureShare += failureGain * (outcome - u.FailureShare)
}

// isSuspect reports whether the upstream has failed and has sent nothing since.
func (u *Upstream) isSuspect() bool { return u.Failures > 0 && !u.SeenAfter(u.FailedAt) }

// HasCapacity reports whether a request with the given number of uncached prompt tokens may be sent
// now.
func (u *Upstream) HasCapacity(now time.Time, tokens int) bool {
	if !u.Usable(now) || u.IsFull(now) || !u.AllowsGrant(now) {
		return false
	}
	if u.isSuspect() && u.Running > 0 {
		return false // only one probe at a time
	}
	if u.Slots > 0 {
		return true // IsFull is the only bound
	}
	bound := u.Speed.Prefill() * PrefillHorizon.Seconds()
	ahead := u.TokensAhead()
	return ahead == 0 || float64(ahead+tokens) <= bound
}

// IsFull reports whether all its slots are taken and no request may wait there for one, or whether its
// window is taken if the slots are unknown.
func (u *Upstream) IsFull(now time.Time) bool {
	if u.Slots > 0 {
		taken := u.Running + u.RunningElsewhere
		capacity := u.capacity(now)
		return taken >= capacity && taken >= capacity+u.backlog(now)
	}
	return u.Running >= u.Window.Size()
}

// Occupancy returns the share of its slots that is taken; 0 if the slots are unknown. It exceeds 1
// if requests were granted beyond the slots, so that a free slot elsewhere is preferred to these.
func (u *Upstream) Occupancy() float64 {
	if u.Slots == 0 {
		return 0
	}
	return float64(u.Running+u.RunningElsewhere) / float64(u.Slots)
}

// TokensAhead returns the number of prompt tokens, of all instances as far as known, that it
// prefills before those of a new request.
func (u *Upstream) TokensAhead() int { return u.PendingTokens + u.PendingElsewhere }

// Usable reports whether it may be sent requests: it is not leaving and its circuit is not open.
func (u *Upstream) Usable(now time.Time) bool {
	circuitOpen := now.Before(u.CircuitOpenUntil) && !u.SeenAfter(u.FailedAt)
	return !u.Leaving && !circuitOpen
}

// Work describes a request to a Picker.
type Work struct {
	// PromptTokens is the length of the prompt, ExpectedOutput the expected number of output
	// tokens, and MaxOutput their limit; 0 if unknown.
	PromptTokens   int
	ExpectedOutput int
	MaxOutput      int
	// Spread is the error of ExpectedOutput.
	Spread Spread
	// CompletionProbabilities covers all upstreams that the request may use. It is set if Pick is
	// given only some of them, and nil if it is given all.
	CompletionProbabilities *CompletionProbabilities
	// PrefixHashes are the prompt's prefix hashes (see package prefix).
	PrefixHashes []uint64
	// FirstTokenWithin is the time left for the first token, EndWithin the time left for the whole
	// response; 0 means no bound.
	FirstTokenWithin time.Duration
	EndWithin        time.Duration
	// Zone is the availability zone at which the request arrived, and Region that zone's region if
	// known.
	Zone   string
	Region string
}

// UncachedTokens returns the number of prompt tokens that the upstream likely has to prefill.
func (w Work) UncachedTokens(u *Upstream) int {
	if u.PrefixIndex == nil || len(w.PrefixHashes) == 0 {
		return w.PromptTokens
	}
	return max(w.PromptTokens-u.PrefixIndex.Cached(w.PrefixHashes)*prefix.BlockTokens, 1)
}

// Choice is an upstream and the prediction it was chosen on.
type Choice struct {
	Upstream *Upstream
	// UncachedTokens is the number of prompt tokens that the upstream likely has to prefill.
	UncachedTokens int
}

// Picker chooses among upstreams.
type Picker interface {
	// Pick returns a Choice without an upstream if none may be used now. It does not change any
	// state.
	Pick(now time.Time, upstreams []*Upstream, w Work) Choice
	// RecordSent records that a request was sent to its choice.
	RecordSent(u *Upstream, w Work)
}

// RoundRobin picks the upstreams in turn.
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

// LeastOutstanding picks the upstream with the fewest requests sent and not ended.
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

// PowerOfTwo draws two upstreams at random and picks the one with fewer requests.
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
