// Package quota limits what each organisation uses, with one token bucket per organisation.
//
// The limit holds over all instances because one of them keeps an organisation's bucket and
// the others request tokens from it (fleet.Quotas determines which). That instance grants the
// share of the quota that belongs to the instances it can reach, so that the sides of a network
// partition keep the limit together.
package quota

import (
	"sync"
	"time"
)

// Limit is the limit of an organisation's bucket, in tokens.
type Limit struct {
	// Rate at which the bucket fills, in tokens per second.
	Rate float64
	// Burst is the capacity of the bucket.
	Burst float64
	// Debt is how far a grant may take the bucket below zero, so that a large request isn't
	// refused indefinitely. It is paid off before anything else is granted.
	Debt float64
	// Reserve is what a grant has to leave in the bucket for requests of a higher tier; at most
	// half of the burst applies.
	Reserve float64
}

// Scale returns the limit times share.
func (l Limit) Scale(share float64) Limit {
	return Limit{Rate: l.Rate * share, Burst: l.Burst * share, Debt: l.Debt * share, Reserve: l.Reserve * share}
}

// maxReserveShare bounds the reserve, as a share of the burst: a bucket whose reserve is as large as its
// burst would grant nothing.
const maxReserveShare = 0.5

// Limiter keeps buckets. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	share   float64 // of all limits, see SetShare
	gained  float64 // the seconds for which a bucket has filled until counted, each times the share
	counted time.Time
	buckets map[string]*bucket
}

// bucket is the token bucket of one organisation.
type bucket struct {
	level  float64   // in tokens; negative while in debt
	filled time.Time // when level was last updated
	limit  Limit     // the last one, before the share was applied
}

// New returns a limiter that knows no usage before the given time, such as that which another instance granted. Its
// buckets are empty then, which may be in the future, and fill from then on.
func New(since time.Time) *Limiter {
	return &Limiter{counted: since, share: 1, buckets: map[string]*bucket{}}
}

// SetShare sets the share of all limits that the limiter grants from a time on; it is 1 at first. What buckets
// gained until then they gained by the share before. With a share of 0 they keep what they hold. It reports
// whether the share is another one than before.
func (l *Limiter) SetShare(from time.Time, share float64) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if share == l.share {
		return false
	}
	for _, b := range l.buckets {
		b.fill(from, b.limit.Scale(l.share))
	}
	if elapsed := from.Sub(l.counted); elapsed > 0 {
		l.gained += l.share * elapsed.Seconds()
		l.counted = from
	}
	l.share = share
	return true
}

// noShareWait is the time after which to retry while the limiter grants nothing.
const noShareWait = 200 * time.Millisecond

// Take grants tokens to an organisation, or returns the time after which to retry.
func (l *Limiter) Take(now time.Time, name string, limit Limit, tokens int) (granted bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.share == 0 {
		return false, noShareWait
	}
	unscaled := limit
	limit = limit.Scale(l.share)
	b := l.buckets[name]
	if b == nil {
		b = &bucket{level: unscaled.Rate * l.gained, filled: l.counted}
		l.buckets[name] = b
	}
	b.limit = unscaled
	b.fill(now, limit)
	needed := max(float64(tokens)-limit.Debt, 1) + min(limit.Reserve, maxReserveShare*limit.Burst)
	if b.level < needed {
		return false, timeToFill(needed-b.level, limit.Rate) + max(b.filled.Sub(now), 0)
	}
	b.level -= float64(tokens)
	return true, 0
}

// Return gives back tokens that were granted and not used.
func (l *Limiter) Return(name string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[name]; b != nil {
		b.level += float64(tokens)
	}
}

// timeToFill returns the time in which a bucket gains the given tokens at a rate per second.
func timeToFill(tokens, rate float64) time.Duration {
	return time.Duration(tokens / rate * float64(time.Second))
}

func (b *bucket) fill(now time.Time, limit Limit) {
	if elapsed := now.Sub(b.filled); elapsed > 0 {
		b.level += limit.Rate * elapsed.Seconds()
		b.filled = now
	}
	if limit.Rate > 0 {
		b.level = min(b.level, limit.Burst)
	}
}
