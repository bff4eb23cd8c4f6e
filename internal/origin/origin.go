// Package origin remembers which software version of the upstreams began each stream, for as long as the
// stream may be resumed.
package origin

import (
	"maps"
	"sync"
	"time"
)

// MaxEntries bounds the entries of a Registry: about 11 MB.
const MaxEntries = 1 << 16

// Origin says which software version of a service's upstreams began a stream.
type Origin struct {
	// Request is the hash of the ID of the request that brought the stream's first event.
	Request uint64
	Service string
	Version string
	// Until is when the stream can no longer be resumed.
	Until time.Time
}

// Registry is what one instance knows of the origins of streams. It is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	entries map[uint64]entry
	pruneAt int // number of entries at which expired ones are dropped
	pruned  time.Time
}

type entry struct {
	Origin
	shared bool // other instances may know it
}

const (
	// minPrune is the least number of entries at which expired ones are dropped.
	minPrune = 1024
	// pruneInterval is the least time between two drops of a registry that is full.
	pruneInterval = time.Second
)

// New returns an empty registry.
func New() *Registry { return &Registry{entries: map[uint64]entry{}, pruneAt: minPrune} }

// Record records an origin, unless one of the same stream is known: then that one is kept for longer.
// Shared reports that other instances may know it. Without space, the origin is forgotten.
func (r *Registry) Record(now time.Time, o Origin, shared bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, found := r.entries[o.Request]; found && now.Before(known.Until) {
		if o.Until.After(known.Until) {
			known.Until = o.Until
		}
		known.shared = known.shared || shared
		r.entries[o.Request] = known
		return
	}
	if len(r.entries) >= r.pruneAt && (r.pruneAt < MaxEntries || now.Sub(r.pruned) >= pruneInterval) {
		r.prune(now)
	}
	if len(r.entries) < MaxEntries {
		r.entries[o.Request] = entry{Origin: o, shared: shared}
	}
}

// prune drops expired entries. It runs once in the time in which their number doubles. The caller holds the
// lock.
func (r *Registry) prune(now time.Time) {
	r.pruned = now
	maps.DeleteFunc(r.entries, func(_ uint64, e entry) bool { return !now.Before(e.Until) })
	r.pruneAt = min(max(2*len(r.entries), minPrune), MaxEntries)
}

// Find returns the origin of a stream, if it is known.
func (r *Registry) Find(now time.Time, request uint64) (o Origin, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, found := r.entries[request]
	if !found || !now.Before(e.Until) {
		return Origin{}, false
	}
	return e.Origin, true
}

// TakeUnshared returns the origins of a service's streams that only this instance knows, and marks them as
// shared.
func (r *Registry) TakeUnshared(now time.Time, service string) (out []Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for request, e := range r.entries {
		if e.Service == service && !e.shared && now.Before(e.Until) {
			e.shared = true
			r.entries[request] = e
			out = append(out, e.Origin)
		}
	}
	return out
}

// Shared returns the origins that other instances may know, and all of the given services.
func (r *Registry) Shared(now time.Time, services map[string]bool) (out []Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if now.Before(e.Until) && (e.shared || services[e.Service]) {
			out = append(out, e.Origin)
		}
	}
	return out
}

// Len returns the number of entries, expired ones included.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}
