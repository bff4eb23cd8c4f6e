// Package quota bounds what each organisation uses over all instances, without shared
// state, by a token bucket that every instance keeps a replica of.
//
// Each instance takes its own use out of its replica at once, and the others' as their
// heartbeats tell it. So the replicas agree but for what was used within a heartbeat;
// what is used too much meanwhile is a debt that all of them pay off. An instance that
// isn't heard of is left its static part of the quota, so that instances that are cut
// apart keep the bound together.
//
// Unlike orglimit it doesn't cut the quota into parts while all hear each other: a
// part may be smaller than one request.
package quota

import (
	"sync"
	"time"
)

// Limit is what an organisation may use over all instances.
type Limit struct {
	// Rate in tokens a second.
	Rate float64
	// Burst may be used beyond it at once.
	Burst float64
}

// Limiter grants tokens at one instance. Safe for concurrent use.
type Limiter struct {
	mu        sync.Mutex
	started   time.Time
	instances int // all that are known, this one included
	buckets   map[string]*bucket
	used      map[string]int64 // by this instance since it started
	peers     map[string]told
}

// told is what a peer said last.
type told struct {
	incarnation uint64
	used        map[string]int64
}

// bucket is the replica of one organisation's.
type bucket struct {
	level  float64 // tokens that may be granted; negative is a debt
	filled time.Time
}

// New returns a limiter that knows no peers. Buckets fill up from now on.
func New(now time.Time) *Limiter {
	return &Limiter{
		started:   now,
		instances: 1,
		buckets:   map[string]*bucket{},
		used:      map[string]int64{},
		peers:     map[string]told{},
	}
}

// SetInstances takes the number of instances that are known, this one included.
func (l *Limiter) SetInstances(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = max(n, 1)
}

// Used returns what this instance has granted since it started, by organisation.
func (l *Limiter) Used() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int64, len(l.used))
	for name, n := range l.used {
		out[name] = n
	}
	return out
}

// Heard takes what a peer has granted since it started, which the incarnation names.
// Of a peer that wasn't heard of before, what it granted until now is left out: it
// kept to its static part.
func (l *Limiter) Heard(peer string, incarnation uint64, used map[string]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, known := l.peers[peer]
	l.peers[peer] = told{incarnation: incarnation, used: used}
	if !known {
		return
	}
	if before.incarnation != incarnation {
		before.used = nil
	}
	for name, n := range used {
		if b := l.buckets[name]; b != nil {
			b.level -= float64(n - before.used[name])
		}
	}
}

// Silent forgets a peer that can't be heard any more.
func (l *Limiter) Silent(peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peers, peer)
}

// Take grants an organisation tokens. When it doesn't, wait is when to come back. A
// grant may run into debt, so that a large request isn't held off for ever.
func (l *Limiter) Take(now time.Time, name string, limit Limit, tokens int) (granted bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := l.ownPart(limit)
	b := l.buckets[name]
	if b == nil {
		b = &bucket{filled: l.started}
		l.buckets[name] = b
	}
	b.fill(now, own)
	if b.level <= 0 {
		return false, time.Duration((1 - b.level) / own.Rate * float64(time.Second))
	}
	b.level -= float64(tokens)
	l.used[name] += int64(tokens)
	return true, 0
}

// Return gives back tokens that were granted and not used.
func (l *Limiter) Return(name string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[name]; b != nil {
		b.level += float64(tokens)
		l.used[name] -= int64(tokens)
	}
}

// ownPart is the part of a limit that the instances within hearing have together.
func (l *Limiter) ownPart(limit Limit) Limit {
	heard := len(l.peers) + 1
	part := float64(heard) / float64(max(l.instances, heard))
	return Limit{Rate: limit.Rate * part, Burst: limit.Burst * part}
}

func (b *bucket) fill(now time.Time, limit Limit) {
	if passed := now.Sub(b.filled); passed > 0 {
		b.level += limit.Rate * passed.Seconds()
		b.filled = now
	}
	b.level = min(b.level, limit.Burst)
}
