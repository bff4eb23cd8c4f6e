package ratelimit

import (
	"math"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// Observation is what one response says about the limit of its upstream.
type Observation struct {
	Kind Kind
	// PerSecond is the limit in requests per second; set for Limited only.
	PerSecond float64
}

// Kind is the kind of an Observation.
type Kind uint8

const (
	// Unknown means that the response says nothing usable; it changes no limit.
	Unknown Kind = iota
	// Unlimited means that the upstream advertises no limit.
	Unlimited
	// Limited means that the upstream advertises a limit.
	Limited
)

// endedLimitTTL is how long the end of a limit is kept, to override the limit at peers that still hold it.
const endedLimitTTL = 10 * time.Second

// Registry holds the known limits, by process. It is safe for concurrent use.
type Registry struct {
	log *log.Logger

	mu      sync.Mutex
	entries map[string]*entry // by process
	cursor  int               // round-robin position among the older updates, see NextUpdates
}

// entry is the limit of one process.
type entry struct {
	perSecond  float64   // +Inf once the limit has ended
	observedAt time.Time // by this instance's clock
	endedAt    time.Time // zero while the limit applies
	lastListed time.Time // when the process was last on the list
}

// applies reports whether the process has a limit that hasn't ended.
func (e *entry) applies() bool { return e.endedAt.IsZero() }

// New returns an empty registry.
func New(l *log.Logger) *Registry { return &Registry{log: l, entries: map[string]*entry{}} }

// Observe records what a response of a process says about its limit; sent is when the attempt was sent. It reports
// whether the limit has changed.
func (r *Registry) Observe(now, sent time.Time, process string, o Observation) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.entries[process]
	switch {
	case o.Kind == Limited:
		return r.observeLimit(now, sent, process, o.PerSecond)
	case o.Kind == Unlimited && known != nil && !sent.Before(known.observedAt):
		return r.put(now, "an answer", process, math.Inf(1), now)
	default:
		return false
	}
}

// observeLimit records a limit that a response advertises. The caller holds the lock.
func (r *Registry) observeLimit(now, sent time.Time, process string, perSecond float64) (changed bool) {
	if known := r.entries[process]; known != nil && known.applies() && sent.Before(known.observedAt) {
		perSecond = min(perSecond, known.perSecond)
	}
	return r.put(now, "an answer", process, perSecond, now)
}

// put sets the limit of a process, +Inf for none, and reports whether that changes it. The caller holds the lock.
func (r *Registry) put(now time.Time, from, process string, perSecond float64, observedAt time.Time) (changed bool) {
	known := r.entries[process]
	if known == nil {
		known = &entry{perSecond: math.Inf(1), lastListed: now}
		r.entries[process] = known
	}
	changed = known.perSecond != perSecond
	known.perSecond, known.observedAt = perSecond, observedAt
	switch {
	case !math.IsInf(perSecond, 1):
		known.endedAt = time.Time{}
	case known.endedAt.IsZero():
		known.endedAt = now
	}
	if changed {
		r.log.Info().Str("event", "upstream_limit").Str("process", process).Float64("per_second", encode(perSecond)).
			Str("from", from).Dur("age", now.Sub(observedAt)).Msg("")
	}
	return changed
}

// noLimit is the value in logs and peer messages for a limit that has ended.
const noLimit = -1

// encode returns a limit as it is written in logs and peer messages.
func encode(perSecond float64) float64 {
	if math.IsInf(perSecond, 1) {
		return noLimit
	}
	return perSecond
}

// Limit returns the limit of a process in requests per second, and whether it has one.
func (r *Registry) Limit(process string) (perSecond float64, limited bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.entries[process]
	if known == nil || !known.applies() {
		return 0, false
	}
	return known.perSecond, true
}

// Count returns how many processes have a limit.
func (r *Registry) Count() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if e.applies() {
			n++
		}
	}
	return n
}

// Prune drops the entries of processes that have been off the list for longer than ttl, and of limits that ended
// more than endedLimitTTL ago.
func (r *Registry) Prune(now time.Time, ttl time.Duration, listed func(process string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for process, e := range r.entries {
		if listed(process) {
			e.lastListed = now
		}
		if now.Sub(e.lastListed) > ttl || (!e.applies() && now.Sub(e.endedAt) > endedLimitTTL) {
			delete(r.entries, process)
		}
	}
}
