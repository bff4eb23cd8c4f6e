package ratelimit

import (
	"math"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// Observation is what one answer says of its upstream's limit.
type Observation struct {
	Kind Kind
	// PerSecond is the limit, where one is named.
	PerSecond float64
}

// Kind of an observation.
type Kind uint8

const (
	// Unknown: the answer says nothing that counts.
	Unknown Kind = iota
	// Unlimited: the upstream names no limit.
	Unlimited
	// Limited: it names one.
	Limited
)

// endedKept is how long it is remembered that a limit has ended, for peers that hold it still.
const endedKept = 10 * time.Second

// Registry is what is known of limits, by process. Safe for concurrent use.
type Registry struct {
	log *log.Logger

	mu   sync.Mutex
	by   map[string]*entry
	turn int // counts those that peers were told of in turn
}

// entry is what is known of one process.
type entry struct {
	perSecond float64 // +Inf once the limit has ended
	heard     time.Time
	ended     time.Time // zero while it holds
	listed    time.Time // when its process was on the list last
}

func (e *entry) holds() bool { return e.ended.IsZero() }

// New returns a book that knows of no limit.
func New(l *log.Logger) *Registry { return &Registry{log: l, by: map[string]*entry{}} }

// Observe takes what an answer of a process says, to an attempt that was sent at a time. It returns whether its limit
// has changed.
func (b *Registry) Observe(now, sent time.Time, process string, o Observation) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.by[process]
	switch {
	case o.Kind == Limited:
		return b.observeLimit(now, sent, process, o.PerSecond)
	case o.Kind == Unlimited && known != nil && !sent.Before(known.heard):
		return b.put(now, "an answer", process, math.Inf(1), now)
	default:
		return false
	}
}

// observeLimit takes a limit that an answer names. The caller holds the lock.
func (b *Registry) observeLimit(now, sent time.Time, process string, perSecond float64) (changed bool) {
	if known := b.by[process]; known != nil && known.holds() && sent.Before(known.heard) {
		perSecond = min(perSecond, known.perSecond)
	}
	return b.put(now, "an answer", process, perSecond, now)
}

// put notes a limit, +Inf for none, and returns whether that changes it. The caller holds the lock.
func (b *Registry) put(now time.Time, from, process string, perSecond float64, heard time.Time) (changed bool) {
	known := b.by[process]
	if known == nil {
		known = &entry{perSecond: math.Inf(1), listed: now}
		b.by[process] = known
	}
	changed = known.perSecond != perSecond
	known.perSecond, known.heard = perSecond, heard
	switch {
	case !math.IsInf(perSecond, 1):
		known.ended = time.Time{}
	case known.ended.IsZero():
		known.ended = now
	}
	if changed {
		b.log.Info().Str("event", "upstream_limit").Str("process", process).Float64("per_second", encode(perSecond)).
			Str("from", from).Dur("age", now.Sub(heard)).Msg("")
	}
	return changed
}

// noLimit stands for the end of a limit in logs and in what peers tell each other.
const noLimit = -1

// encode returns a limit as logs and peers write it.
func encode(perSecond float64) float64 {
	if math.IsInf(perSecond, 1) {
		return noLimit
	}
	return perSecond
}

// Limit returns the limit of a process, and whether it has one.
func (b *Registry) Limit(process string) (perSecond float64, limited bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.by[process]
	if known == nil || !known.holds() {
		return 0, false
	}
	return known.perSecond, true
}

// Count returns how many processes have a limit.
func (b *Registry) Count() (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.by {
		if e.holds() {
			n++
		}
	}
	return n
}

// Prune drops what is known of processes that have been off the list for longer than kept, and limits that ended
// long ago.
func (b *Registry) Prune(now time.Time, kept time.Duration, listed func(process string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for process, e := range b.by {
		if listed(process) {
			e.listed = now
		}
		if now.Sub(e.listed) > kept || (!e.holds() && now.Sub(e.ended) > endedKept) {
			delete(b.by, process)
		}
	}
}
