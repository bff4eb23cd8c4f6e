package reach

import (
	"sync"
	"time"
)

// recentFor is how long an observation counts as recent.
const recentFor = 5 * time.Second

// Tracker records connections to upstreams that were established or failed. It is safe for
// concurrent use.
type Tracker struct {
	mu        sync.Mutex
	upstreams map[string]*observation
}

// observation is what was last observed of the path to an upstream. Times are zero if never.
type observation struct {
	reachedAt time.Time
	failedAt  time.Time
}

// New returns a Tracker without observations.
func New() *Tracker { return &Tracker{upstreams: map[string]*observation{}} }

// of returns the observation of an upstream, a new one if there is none. The caller holds the lock.
func (t *Tracker) of(upstream string) *observation {
	o := t.upstreams[upstream]
	if o == nil {
		o = &observation{}
		t.upstreams[upstream] = o
	}
	return o
}

// Reached records that a connection to an upstream was established, or that a response arrived.
func (t *Tracker) Reached(now time.Time, upstream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(upstream).reachedAt = now
}

// Failed records that a connection to an upstream couldn't be established, or broke.
func (t *Tracker) Failed(now time.Time, upstream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(upstream).failedAt = now
}

// Counts returns how many upstreams were reached recently, and how many failed recently and were not
// reached since.
func (t *Tracker) Counts(now time.Time) (reached, failing int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.upstreams {
		if now.Sub(o.reachedAt) < recentFor {
			reached++
		}
		if now.Sub(o.failedAt) < recentFor && o.failedAt.After(o.reachedAt) {
			failing++
		}
	}
	return reached, failing
}

// Prune removes the observations of upstreams that are not listed.
func (t *Tracker) Prune(listed func(upstream string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for upstream := range t.upstreams {
		if !listed(upstream) {
			delete(t.upstreams, upstream)
		}
	}
}
