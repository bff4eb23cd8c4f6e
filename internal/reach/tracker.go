package reach

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// recentFor is how long an observation counts as recent.
	recentFor = 5 * time.Second
	// minFailing is how many upstreams must have failed, with none reached since, for this instance to
	// be isolated. One or two of them may be down.
	minFailing = 3
	// wantedFor is how long an upstream is probed after a request needed a connection to it.
	wantedFor = 5 * time.Second
	// firstProbeDelay and maxProbeDelay bound the time between two probes of a path. It doubles with
	// each failure.
	firstProbeDelay = 200 * time.Millisecond
	maxProbeDelay   = time.Second
	// noPathFor is how long an upstream to which no connection could be opened, directly or through a
	// peer, is not requested again.
	noPathFor = 300 * time.Millisecond
)

// Tracker records connections to upstreams that were established or failed. It is safe for
// concurrent use.
type Tracker struct {
	mu          sync.Mutex
	upstreams   map[string]*observation
	lastReached time.Time // when any upstream was last reached
	// lastConnected is when a new connection to any upstream was last established.
	lastConnected time.Time
	isolatedAt    time.Time // when State last found the instance isolated
	// failing are the upstreams that have failed since then, with the time of the last failure, and
	// noPath those without a path, with the time until which they aren't requested.
	failing, noPath map[string]time.Time
}

// observation is what was last observed of the path to an upstream. Times are zero if never.
type observation struct {
	reachedAt time.Time
	failedAt  time.Time
	wantedAt  time.Time
	// bypassed reports that a peer reached the upstream when this instance didn't.
	bypassed   bool
	probing    bool
	probeAt    time.Time
	probeDelay time.Duration
}

// New returns a Tracker without observations.
func New() *Tracker {
	return &Tracker{upstreams: map[string]*observation{}, failing: map[string]time.Time{}, noPath: map[string]time.Time{}}
}

// of returns the observation of an upstream, a new one if there is none. The caller holds the lock.
func (t *Tracker) of(upstream string) *observation {
	o := t.upstreams[upstream]
	if o == nil {
		o = &observation{}
		t.upstreams[upstream] = o
	}
	return o
}

// Reached records that a connection to an upstream was established over this instance's own path, or
// that a response arrived on one.
func (t *Tracker) Reached(now time.Time, upstream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.of(upstream)
	o.reachedAt, t.lastReached = now, now
	o.probing = false
	clear(t.failing)
}

// Connected is Reached for a new connection: the path carries new ones again. It reports whether
// connections to the upstream went through peers until now.
func (t *Tracker) Connected(now time.Time, upstream string) (restored bool) {
	t.Reached(now, upstream)
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.of(upstream)
	t.lastConnected = now
	restored = o.bypassed
	o.bypassed, o.probeDelay = false, 0
	delete(t.noPath, upstream)
	return restored
}

// Failed records that a connection to an upstream couldn't be established, or broke.
func (t *Tracker) Failed(now time.Time, upstream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.of(upstream)
	o.failedAt = now
	o.probing = false
	t.failing[upstream] = now
}

// Bypassed records that a peer reached an upstream that this instance didn't reach in time. From then on
// connections go through peers until a probe succeeds. It reports whether this is new.
func (t *Tracker) Bypassed(now time.Time, upstream string) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.of(upstream)
	changed = !o.bypassed
	if changed {
		o.bypassed, o.probeAt = true, now.Add(firstProbeDelay)
	}
	o.failedAt = now
	t.failing[upstream] = now
	delete(t.noPath, upstream)
	return changed
}

// Down records that a peer couldn't reach an upstream either. Its path is as good as any.
func (t *Tracker) Down(upstream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(upstream).bypassed = false
}

// NoPath records that an upstream couldn't be reached, and no peer could help.
func (t *Tracker) NoPath(now time.Time, upstream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noPath[upstream] = now.Add(noPathFor)
}

// WithoutPath returns the upstreams that can't be reached at present, not even through a peer, sorted.
func (t *Tracker) WithoutPath(now time.Time) (out []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for upstream, until := range t.noPath {
		if now.Before(until) {
			out = append(out, upstream)
		} else {
			delete(t.noPath, upstream)
		}
	}
	slices.Sort(out)
	return out
}

// PrefersPeer reports whether a new connection to an upstream should go through a peer: this instance
// is isolated, or didn't reach the upstream when a peer did.
func (t *Tracker) PrefersPeer(now time.Time, upstream string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.of(upstream)
	o.wantedAt = now
	return o.bypassed || t.isIsolated(now)
}

// Isolated reports whether the path of this instance seems to be cut off from all upstreams: several
// failed recently, and none was reached since.
func (t *Tracker) Isolated(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isIsolated(now)
}

// isIsolated is Isolated for a caller that holds the lock.
func (t *Tracker) isIsolated(now time.Time) bool {
	recent := 0
	for _, at := range t.failing {
		if now.Sub(at) < recentFor {
			recent++
		}
	}
	return recent >= minFailing
}

// ConnectedSince reports whether a new connection to any upstream was established after the given time.
func (t *Tracker) ConnectedSince(since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastConnected.After(since)
}

// NextProbes returns at most n upstreams whose paths are due for a probe, those that have waited longest
// first. Connected, Failed or Forget has to follow for each.
func (t *Tracker) NextProbes(now time.Time, n int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	isolated := t.isIsolated(now)
	var due []string
	for upstream, o := range t.upstreams {
		wanted := now.Sub(o.wantedAt) < wantedFor
		if (o.bypassed || isolated) && wanted && !o.probing && !now.Before(o.probeAt) {
			due = append(due, upstream)
		}
	}
	slices.SortFunc(due, func(a, b string) int {
		return cmp.Or(t.upstreams[a].probeAt.Compare(t.upstreams[b].probeAt), cmp.Compare(a, b))
	})
	due = due[:min(n, len(due))]
	for _, upstream := range due {
		o := t.upstreams[upstream]
		o.probing = true
		o.probeDelay = min(max(2*o.probeDelay, firstProbeDelay), maxProbeDelay)
		o.probeAt = now.Add(o.probeDelay)
	}
	return due
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

// Forget removes the observations of an upstream.
func (t *Tracker) Forget(upstream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(upstream)
}

// forget is Forget for a caller that holds the lock.
func (t *Tracker) forget(upstream string) {
	delete(t.upstreams, upstream)
	delete(t.failing, upstream)
	delete(t.noPath, upstream)
}

// Prune removes the observations of upstreams that are not listed.
func (t *Tracker) Prune(listed func(upstream string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for upstream := range t.upstreams {
		if !listed(upstream) {
			t.forget(upstream)
		}
	}
}
