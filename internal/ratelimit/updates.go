package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/tacktally/tacktally/internal/gossip"
)

const (
	// recentFor is how long each message repeats a new update; older ones are sent round-robin.
	recentFor = 2 * time.Second
	// maxRecent and olderPerMessage bound the updates in one periodic message, maxUpdates those in a full one.
	maxRecent       = 32
	olderPerMessage = 4
	maxUpdates      = 256
	// ageTolerance is the difference in age up to which updates of different peers count as equally old.
	ageTolerance = 500 * time.Millisecond
)

// Update is the limit of one process in a peer message.
type Update struct {
	Process string `cbor:"1,keyasint"`
	// PerSecond is the limit in requests per second; -1 means that the process has none any more.
	PerSecond float64 `cbor:"2,keyasint"`
	// Age is the time since the observation.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// isValid reports whether the update has a process, an age and a limit in their valid ranges.
func (t Update) isValid() bool {
	return t.Process != "" && t.Age >= 0 && (t.PerSecond >= 0 || t.PerSecond == noLimit) && !math.IsInf(t.PerSecond, 1)
}

// Merge merges the updates of a peer and returns the processes whose limits have changed.
func (r *Registry) Merge(now time.Time, peer string, all []Update) (changed []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range all {
		if t.isValid() && r.merge(now, peer, t) {
			changed = append(changed, t.Process)
		}
	}
	return changed
}

// merge merges one update and reports whether it changes the limit. The caller holds the lock.
func (r *Registry) merge(now time.Time, peer string, t Update) (changed bool) {
	perSecond := t.PerSecond
	if perSecond == noLimit {
		perSecond = math.Inf(1)
	}
	known, observedAt := r.entries[t.Process], now.Add(-t.Age)
	switch {
	case known == nil:
		return !math.IsInf(perSecond, 1) && r.put(now, peer, t.Process, perSecond, observedAt)
	case observedAt.Sub(known.observedAt) > ageTolerance:
		return r.put(now, peer, t.Process, perSecond, observedAt)
	case known.observedAt.Sub(observedAt) <= ageTolerance && perSecond < known.perSecond:
		return r.put(now, peer, t.Process, perSecond, known.observedAt)
	default:
		return false
	}
}

// NextUpdates returns the updates of the next message to peers: the recent ones, and a few of the older ones
// round-robin, so that a peer that has just started eventually receives all of them.
func (r *Registry) NextUpdates(now time.Time) []Update {
	all := r.All(now)
	older := slices.IndexFunc(all, func(t Update) bool { return t.Age >= recentFor })
	if older < 0 {
		older = len(all)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return gossip.Select(all[:older], all[older:], maxRecent, olderPerMessage, &r.cursor)
}

// All returns the updates of all known limits, the newest first, at most maxUpdates.
func (r *Registry) All(now time.Time) []Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Update
	for process, e := range r.entries {
		all = append(all, Update{Process: process, PerSecond: encode(e.perSecond), Age: now.Sub(e.observedAt)})
	}
	slices.SortFunc(all, func(a, b Update) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Process, b.Process))
	})
	return all[:min(len(all), maxUpdates)]
}
