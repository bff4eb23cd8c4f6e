package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// SharedBounds records the requests of an organisation, and checks what all instances together may let through to
// upstreams in any Window: Requests of the organisation's quota, and retries up to RetryShare of the requests that
// callers sent plus Retries. Safe for concurrent use.
type SharedBounds struct {
	Window     time.Duration
	Requests   int
	RetryShare float64
	Retries    int

	mu      sync.Mutex
	sent    []time.Time
	seen    map[string]bool // by request ID
	first   []time.Time     // first arrivals of requests
	retried []time.Time     // later arrivals
}

// Sent records that a caller sends a request.
func (b *SharedBounds) Sent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent = append(b.sent, time.Now())
}

// Reached records that a request has reached an upstream, and reports whether it is its first time.
func (b *SharedBounds) Reached(id string) (first bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.seen[id] {
		b.retried = append(b.retried, time.Now())
		return false
	}
	if b.seen == nil {
		b.seen = map[string]bool{}
	}
	b.seen[id] = true
	b.first = append(b.first, time.Now())
	return true
}

// Check returns the violations, and a summary of the worst windows.
func (b *SharedBounds) Check() (violations []string, summary string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	most := 0
	b.windows(b.first, func(_ time.Time, n int) { most = max(most, n) })
	if most > b.Requests {
		violations = append(violations, fmt.Sprintf("%d requests of an organisation reached upstreams within %v; at most %d are allowed", most, b.Window, b.Requests))
	}
	retries, worst := 0, 0.0
	b.windows(b.retried, func(from time.Time, n int) {
		retries = max(retries, n)
		worst = max(worst, float64(n)-b.allowedRetries(from))
	})
	if worst > 0 {
		violations = append(violations, fmt.Sprintf("retries within %v exceed those that are allowed by %.0f", b.Window, worst))
	}
	return violations, fmt.Sprintf("%d requests sent, %d reached an upstream, %d retries; within %v at most %d requests and %d retries", len(b.sent), len(b.first), len(b.retried), b.Window, most, retries)
}

// allowedRetries returns how many retries are allowed in the window that begins at a time. Requests count in it, or
// in the one before, whichever has more.
func (b *SharedBounds) allowedRetries(from time.Time) float64 {
	in := func(from time.Time) (n int) {
		for _, at := range b.sent {
			if !at.Before(from) && at.Before(from.Add(b.Window)) {
				n++
			}
		}
		return n
	}
	return b.RetryShare*float64(max(in(from), in(from.Add(-b.Window)))) + float64(b.Retries)
}

// windows calls f with the begin of the window after each of the times, and how many of them are in it.
func (b *SharedBounds) windows(times []time.Time, f func(from time.Time, n int)) {
	slices.SortFunc(times, time.Time.Compare)
	to := 0
	for i, from := range times {
		for to < len(times) && times[to].Before(from.Add(b.Window)) {
			to++
		}
		f(from, to-i)
	}
}
