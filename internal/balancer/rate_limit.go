package balancer

import (
	"math/rand/v2"
	"time"
)

// AdvertisedLimit is the rate in requests per second that an upstream accepts from all instances
// together, as reported by the upstream itself.
type AdvertisedLimit struct {
	// Set reports whether there is a limit.
	Set       bool
	PerSecond float64
}

// RateLimit is the rate at which one instance may grant requests to an upstream with an advertised
// limit: its share of that limit.
type RateLimit struct {
	// Set reports whether there is a limit.
	Set bool
	// PerSecond is this instance's share.
	PerSecond float64
	// Probabilistic decides at random, once per second, whether the instance may grant a request,
	// and accrues nothing. If each of many instances has a small share, the tokens that they
	// accrued would be used at the same time.
	Probabilistic bool
}

const (
	// rateBurst is the number of requests that may be granted at once after a pause. rateBurstTime
	// adds the requests of that time, for limits so high that several requests fall into one step
	// of the scheduler.
	rateBurst     = 1
	rateBurstTime = 50 * time.Millisecond
	// sampleInterval is the interval of the random decision.
	sampleInterval = time.Second
)

// tokenBucket is the token bucket of one upstream's RateLimit. It starts empty, since the previous
// granting instance may have used up the limit: a change of the granting instance then adds nothing
// to the rate at the upstream.
type tokenBucket struct {
	at        time.Time // time of the last fill; zero before the first
	available float64
}

// fill adds the tokens accrued since the last fill.
func (b *tokenBucket) fill(now time.Time, l RateLimit) {
	if b.at.IsZero() {
		b.at = now
		return
	}
	if l.Probabilistic {
		b.sample(now, l)
		return
	}
	capacity := rateBurst + l.PerSecond*rateBurstTime.Seconds()
	b.available = min(b.available+l.PerSecond*now.Sub(b.at).Seconds(), capacity)
	b.at = now
}

// sample replaces the available tokens, once per sampleInterval.
func (b *tokenBucket) sample(now time.Time, l RateLimit) {
	if now.Sub(b.at) < sampleInterval {
		return
	}
	b.at = now
	b.available = float64(int(l.PerSecond*sampleInterval.Seconds() + rand.Float64()))
}

// allowsRate reports whether the RateLimit allows one more request now.
func (u *Upstream) allowsRate(now time.Time) bool {
	if !u.RateLimit.Set {
		return true
	}
	u.bucket.fill(now, u.RateLimit)
	return u.bucket.available >= 1
}

// takeToken records a granted request.
func (u *Upstream) takeToken(now time.Time) {
	if u.RateLimit.Set {
		u.bucket.fill(now, u.RateLimit)
		u.bucket.available--
	}
}

// AvailableTokens returns how many requests the RateLimit allows at once now.
func (u *Upstream) AvailableTokens(now time.Time) float64 {
	u.bucket.fill(now, u.RateLimit)
	return u.bucket.available
}

// SetRateLimit sets the rate limit. If its kind changes, accrued tokens are dropped.
func (u *Upstream) SetRateLimit(l RateLimit) {
	if l.Set != u.RateLimit.Set || l.Probabilistic != u.RateLimit.Probabilistic {
		u.bucket = tokenBucket{}
	}
	u.RateLimit = l
}
