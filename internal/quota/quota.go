// Package quota bounds what each organisation uses, by a token bucket for each.
//
// Over all instances the bound holds because one of them keeps an organisation's bucket
// and the others ask it (fleet.Quotas says which). An instance that is asked grants the
// part of the quota that the instances within its reach have together, so instances that
// are cut apart keep the bound together.
package quota

import (
	"sync"
	"time"
)

// startingShare is the part of its burst that a bucket holds when it is first used here:
// another instance may have kept it until now, and have used up a burst. While a fleet
// starts, a bucket may change hands a few times, and a fleet may start twice in a window:
// with a quarter, two starts within four seconds passed a quota of 8 s and a quarter more.
const startingShare = 0.15

// Limit is what an organisation may use.
type Limit struct {
	// Rate in tokens a second.
	Rate float64
	// Burst may be used beyond it at once.
	Burst float64
	// Debt is what a grant may go below an empty bucket, so that a large request isn't held
	// off for ever. It is paid off before anything else is granted.
	Debt float64
	// Reserve is left in the bucket for what is more important; a half of the burst at most.
	Reserve float64
}

// Scale returns a part of the limit.
func (l Limit) Scale(part float64) Limit {
	return Limit{Rate: l.Rate * part, Burst: l.Burst * part, Debt: l.Debt * part, Reserve: l.Reserve * part}
}

// mostReserved is the part of the burst that a reserve takes at most: a bucket that never holds more
// would grant nothing.
const mostReserved = 0.5

// Limiter keeps buckets. Safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	started time.Time // new buckets have filled up since; zero: they hold a part of the burst
	buckets map[string]*bucket
}

// bucket of one organisation.
type bucket struct {
	level  float64 // tokens that may be granted; negative is a debt
	filled time.Time
}

// New returns a limiter whose buckets begin with a part of their burst.
func New() *Limiter { return &Limiter{buckets: map[string]*bucket{}} }

// NewStarting returns a limiter for the time after a start, when an instance knows neither
// what was used before nor all of those with which it shares: its buckets were empty then
// and have no burst.
func NewStarting(started time.Time) *Limiter {
	return &Limiter{started: started, buckets: map[string]*bucket{}}
}

// Take grants an organisation tokens. When it doesn't, wait is when to come back.
func (l *Limiter) Take(now time.Time, name string, limit Limit, tokens int) (granted bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[name]
	if b == nil {
		b = l.newBucket(now, limit)
		l.buckets[name] = b
	}
	b.fill(now, limit)
	needed := max(float64(tokens)-limit.Debt, 1) + min(limit.Reserve, mostReserved*limit.Burst)
	if b.level < needed {
		return false, needs(needed-b.level, limit.Rate)
	}
	b.level -= float64(tokens)
	return true, 0
}

func (l *Limiter) newBucket(now time.Time, limit Limit) *bucket {
	if l.started.IsZero() {
		return &bucket{level: startingShare * limit.Burst, filled: now}
	}
	return &bucket{filled: l.started}
}

// Return gives back tokens that were granted and not used.
func (l *Limiter) Return(name string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[name]; b != nil {
		b.level += float64(tokens)
	}
}

// needs is the time in which so many tokens come at a rate.
func needs(tokens, rate float64) time.Duration {
	return time.Duration(tokens / rate * float64(time.Second))
}

func (b *bucket) fill(now time.Time, limit Limit) {
	if passed := now.Sub(b.filled); passed > 0 {
		b.level += limit.Rate * passed.Seconds()
		b.filled = now
	}
	b.level = min(b.level, limit.Burst)
}
