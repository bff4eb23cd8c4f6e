package balancer

import (
	"math/rand/v2"
	"time"
)

// AdvertisedLimit is the limit that an upstream has named: the requests a second that it takes from all instances.
type AdvertisedLimit struct {
	// Set tells whether there is one.
	Set       bool
	PerSecond float64
}

// RateLimit is what an upstream that has named a limit may be granted by one instance: its part of the requests a
// second that the upstream takes from all of them.
type RateLimit struct {
	// Set tells whether there is a limit.
	Set bool
	// PerSecond is this instance's part.
	PerSecond float64
	// Probabilistic lets chance decide, second by second, whether the instance may grant a request, and nothing is saved up.
	// Where each of many instances has a small part, what they save up would arrive at once.
	Probabilistic bool
}

const (
	// rateBurst is how many requests may be granted at once after a pause, and rateBurstTime is the same in time, for
	// limits so high that a scheduler's step lasts for several requests.
	rateBurst     = 1
	rateBurstTime = 50 * time.Millisecond
	// sampleEvery is how often chance decides.
	sampleEvery = time.Second
)

// tokens is the token bucket of one upstream's RateLimit. It starts empty, since whoever granted before may have
// granted all there was: a change of the granting instance then adds nothing to what the upstream gets.
type tokens struct {
	at   time.Time // up to when it is filled; zero before its first use
	left float64
}

// fill adds what has come since it was filled last.
func (b *tokens) fill(now time.Time, l RateLimit) {
	if b.at.IsZero() {
		b.at = now
		return
	}
	if l.Probabilistic {
		b.sample(now, l)
		return
	}
	most := rateBurst + l.PerSecond*rateBurstTime.Seconds()
	b.left = min(b.left+l.PerSecond*now.Sub(b.at).Seconds(), most)
	b.at = now
}

// sample replaces what is left, once each sampleEvery.
func (b *tokens) sample(now time.Time, l RateLimit) {
	if now.Sub(b.at) < sampleEvery {
		return
	}
	b.at = now
	b.left = float64(int(l.PerSecond*sampleEvery.Seconds() + rand.Float64()))
}

// isWithinRate tells whether its RateLimit allows one more request now.
func (u *Upstream) isWithinRate(now time.Time) bool {
	if !u.RateLimit.Set {
		return true
	}
	u.tokens.fill(now, u.RateLimit)
	return u.tokens.left >= 1
}

// noteRate records that it was granted a request.
func (u *Upstream) noteRate(now time.Time) {
	if u.RateLimit.Set {
		u.tokens.fill(now, u.RateLimit)
		u.tokens.left--
	}
}

// AvailableTokens returns how many requests its RateLimit allows at once.
func (u *Upstream) AvailableTokens(now time.Time) float64 {
	u.tokens.fill(now, u.RateLimit)
	return u.tokens.left
}

// SetRateLimit takes its limit. What was saved up under one of another kind is lost.
func (u *Upstream) SetRateLimit(l RateLimit) {
	if l.Set != u.RateLimit.Set || l.Probabilistic != u.RateLimit.Probabilistic {
		u.tokens = tokens{}
	}
	u.RateLimit = l
}
