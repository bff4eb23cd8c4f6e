// Package rest keeps the backoffs that upstreams have requested from this instance: for how long each of
// them wants no requests (Retry-After).
//
// A backoff is between one instance and one upstream. It is no failure: the upstream is alive and says when
// it may be sent to again. After a backoff one request goes first, and the others follow once it has been
// answered; otherwise all requests that waited for the end of the backoff would arrive at once.
package rest

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// MaxBackoff bounds the backoff that an upstream may request; more than a day is taken for a mistake.
	MaxBackoff = 24 * time.Hour
	// probeTimeout is how long the first request after a backoff may stay unanswered before another one is
	// let through.
	probeTimeout = 2 * time.Second
	// probePollInterval is the interval at which other requests check whether it was answered.
	probePollInterval = 50 * time.Millisecond
)

// ErrBackingOff means that the upstream has requested a backoff from this instance.
var ErrBackingOff = errors.New("the upstream has requested a backoff from this instance")

// Backoffs holds the requested backoffs, by upstream. It is safe for concurrent use.
type Backoffs struct {
	mu         sync.Mutex
	byUpstream map[string]*backoff
}

// backoff is the one that an upstream has requested.
type backoff struct {
	// process requested it; it doesn't apply to another process under the ID of the upstream.
	process string
	until   time.Time
	// probedAt is when a request was let through after the backoff; zero if none is in flight.
	probedAt time.Time
}

// New returns Backoffs without any entry.
func New() *Backoffs { return &Backoffs{byUpstream: map[string]*backoff{}} }

// Begin records that a process of an upstream wants no requests for the given duration, at most MaxBackoff.
func (r *Backoffs) Begin(now time.Time, upstream, process string, wanted time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := now.Add(min(wanted, MaxBackoff))
	if previous := r.byUpstream[upstream]; previous != nil && previous.process == process && previous.until.After(until) {
		until = previous.until // responses may arrive out of order
	}
	r.byUpstream[upstream] = &backoff{process: process, until: until}
}

// Clear records that a process of an upstream has answered a request without requesting a backoff. It removes
// a backoff of that process that has ended.
func (r *Backoffs) Clear(now time.Time, upstream, process string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.byUpstream[upstream]; s != nil && s.process == process && !now.Before(s.until) {
		delete(r.byUpstream, upstream)
	}
}

// ReleaseClaim records that a request that was let through to a process of an upstream ended without a
// response, so that another one may be let through.
func (r *Backoffs) ReleaseClaim(upstream, process string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.byUpstream[upstream]; s != nil && s.process == process {
		s.probedAt = time.Time{}
	}
}

// Check returns ErrBackingOff if an upstream may not be sent to now.
func (r *Backoffs) Check(now time.Time, upstream string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.byUpstream[upstream]; s != nil && !s.allows(now) {
		return ErrBackingOff
	}
	return nil
}

// Claim is Check for a request that is sent now: the first one after a backoff claims the upstream until it
// is answered.
func (r *Backoffs) Claim(now time.Time, upstream string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.byUpstream[upstream]
	switch {
	case s == nil:
		return nil
	case !s.allows(now):
		return ErrBackingOff
	}
	s.probedAt = now
	return nil
}

// allows reports whether a request may be sent, as the first one after the backoff.
func (s *backoff) allows(now time.Time) bool {
	return !now.Before(s.until) && (s.probedAt.IsZero() || now.Sub(s.probedAt) >= probeTimeout)
}

// BackingOff returns the upstreams that may not be sent to now, sorted.
func (r *Backoffs) BackingOff(now time.Time) (out []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for upstream, s := range r.byUpstream {
		if !s.allows(now) {
			out = append(out, upstream)
		}
	}
	slices.Sort(out)
	return out
}

// Remaining returns the time until an upstream may be sent to, 0 if it may now. While the first request after
// the backoff is in flight, it is the time until the caller should check again.
func (r *Backoffs) Remaining(now time.Time, upstream string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.byUpstream[upstream]
	switch {
	case s == nil, s.allows(now):
		return 0
	case now.Before(s.until):
		return s.until.Sub(now)
	default:
		return probePollInterval
	}
}

// DropStale removes the backoff of an upstream unless the given process of it has requested it.
func (r *Backoffs) DropStale(upstream, process string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.byUpstream[upstream]; s != nil && s.process != process {
		delete(r.byUpstream, upstream)
	}
}

// Prune removes the backoffs that ended before the given time.
func (r *Backoffs) Prune(before time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.byUpstream, func(_ string, s *backoff) bool { return s.until.Before(before) })
}
