// Package rest keeps which upstreams want nothing from this instance for a while, by their own word.
//
// Rest is between one instance and one upstream. It is no failure: the upstream lives and says when it
// may be asked again. Then one request goes first, and the others follow once it was answered: what has
// waited for the end of a rest would otherwise arrive all at once.
package rest

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// MaxBackoff bounds what an upstream may ask for: beyond a day it is a mistake.
	MaxBackoff = 24 * time.Hour
	// trialFor is how long the first request after a rest may be without an answer before another one is
	// let through.
	trialFor = 2 * time.Second
	// trialPause is when others may look whether it was answered.
	trialPause = 50 * time.Millisecond
)

// ErrBackingOff: the upstream has asked for rest.
var ErrBackingOff = errors.New("the upstream has asked this instance for rest")

// Backoffs are the upstreams that rest. Safe for concurrent use.
type Backoffs struct {
	mu sync.Mutex
	by map[string]*rest // by upstream
}

// rest of one upstream.
type rest struct {
	// process that asked: another one under the upstream's ID hasn't.
	process string
	until   time.Time
	// tried is when a request was let through after the rest; zero: none is under way.
	tried time.Time
}

// New returns Rests of which there are none.
func New() *Backoffs { return &Backoffs{by: map[string]*rest{}} }

// Begin notes that an upstream's process wants nothing for so long.
func (r *Backoffs) Begin(now time.Time, upstream, process string, wanted time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := now.Add(min(wanted, MaxBackoff))
	if before := r.by[upstream]; before != nil && before.process == process && before.until.After(until) {
		until = before.until // answers may overtake each other
	}
	r.by[upstream] = &rest{process: process, until: until}
}

// Clear notes that an upstream has answered a request without asking for rest.
func (r *Backoffs) Clear(now time.Time, upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.by[upstream]; s != nil && !now.Before(s.until) {
		delete(r.by, upstream)
	}
}

// ReleaseClaim notes that a request that was let through ended without an answer.
func (r *Backoffs) ReleaseClaim(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.by[upstream]; s != nil {
		s.tried = time.Time{}
	}
}

// Check tells whether an upstream may be sent to now.
func (r *Backoffs) Check(now time.Time, upstream string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.by[upstream]; s != nil && !s.isFree(now) {
		return ErrBackingOff
	}
	return nil
}

// Claim is May for a request that is sent now: the first one after a rest claims the upstream until it has
// answered.
func (r *Backoffs) Claim(now time.Time, upstream string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.by[upstream]
	switch {
	case s == nil:
		return nil
	case !s.isFree(now):
		return ErrBackingOff
	}
	s.tried = now
	return nil
}

// isFree tells whether a request may go, the first one after the rest.
func (s *rest) isFree(now time.Time) bool {
	return !now.Before(s.until) && (s.tried.IsZero() || now.Sub(s.tried) >= trialFor)
}

// BackingOff returns the upstreams that may not be sent to now, in order.
func (r *Backoffs) BackingOff(now time.Time) (out []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for upstream, s := range r.by {
		if !s.isFree(now) {
			out = append(out, upstream)
		}
	}
	slices.Sort(out)
	return out
}

// Remaining returns in how long an upstream may be sent to, or looked at again where the first request after a rest
// is under way; 0 where it may now.
func (r *Backoffs) Remaining(now time.Time, upstream string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.by[upstream]
	switch {
	case s == nil, s.isFree(now):
		return 0
	case now.Before(s.until):
		return s.until.Sub(now)
	default:
		return trialPause
	}
}

// DropStale forgets the rest of an upstream unless this process of it has asked for it.
func (r *Backoffs) DropStale(upstream, process string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.by[upstream]; s != nil && s.process != process {
		delete(r.by, upstream)
	}
}

// Prune forgets rests that were over before a time.
func (r *Backoffs) Prune(before time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.by, func(_ string, s *rest) bool { return s.until.Before(before) })
}
