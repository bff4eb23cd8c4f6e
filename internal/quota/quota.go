// Package quota bounds what each organisation uses over all instances, without shared
// state, by a token bucket that every instance keeps a replica of.
//
// Each instance takes its own use out of its replica at once, and the others' as their
// heartbeats tell it. So the replicas agree but for what was used within a heartbeat;
// what is used too much meanwhile is a debt that all of them pay off. An instance that
// isn't heard of is left its static part of the quota, so that instances that are cut
// apart keep the bound together.
//
// Unlike orglimit it doesn't cut the quota into parts while there is enough: a part may
// be smaller than one request. Once a bucket is half empty, an instance also keeps to
// its part by demand, so that what many of them grant within a heartbeat doesn't add
// up.
package quota

import (
	"math"
	"sync"
	"time"
)

const (
	// scarce is the part of the burst below which an instance keeps to its part.
	scarce = 0.5
	// partBurst is the time over which an unused part is saved up.
	partBurst = 500 * time.Millisecond
	// demandHalfLife is the time in which past demand loses half its weight.
	demandHalfLife = time.Second
	// demandFrom is the part of the burst below which demand is told: parts are cut by
	// it once the bucket is scarce, a heartbeat or two later.
	demandFrom = 0.8
	// demandFloor is the demand, in tokens a second, below which none is told.
	demandFloor = 1
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

// Told is what an instance tells its peers.
type Told struct {
	// Used is what it has granted since it started, by organisation.
	Used map[string]int64
	// Demand is what it is asked for, in tokens a second.
	Demand map[string]float64
}

// told is what a peer said last.
type told struct {
	incarnation uint64
	Told
}

// bucket is the replica of one organisation's.
type bucket struct {
	level  float64 // tokens that may be granted; negative is a debt
	part   float64 // the same of this instance's part by demand
	filled time.Time
	burst  float64 // of the limit, as known last
	demand float64 // tokens a second asked for here, smoothed
	asked  time.Time
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

// Told returns what to tell the peers.
func (l *Limiter) Told(now time.Time) Told {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := Told{Used: make(map[string]int64, len(l.used)), Demand: map[string]float64{}}
	for name, n := range l.used {
		out.Used[name] = n
	}
	for name, b := range l.buckets {
		if d := b.demandAt(now); d >= demandFloor && b.level < demandFrom*b.burst {
			out.Demand[name] = d
		}
	}
	return out
}

// Heard takes what a peer told; the incarnation names its start. Of a peer that wasn't
// heard of before, what it granted until now is left out: it kept to its static part.
func (l *Limiter) Heard(peer string, incarnation uint64, t Told) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, known := l.peers[peer]
	l.peers[peer] = told{incarnation: incarnation, Told: t}
	if !known {
		return
	}
	if before.incarnation != incarnation {
		before.Used = nil
	}
	for name, n := range t.Used {
		if b := l.buckets[name]; b != nil {
			b.level -= float64(n - before.Used[name])
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
	b.ask(now, tokens)
	share := l.share(now, name, b)
	b.fill(now, own, share)
	b.burst = own.Burst
	if b.level <= 0 {
		return false, needs(1-b.level, own.Rate)
	}
	if b.level < scarce*own.Burst && b.part <= 0 {
		return false, needs(1-b.part, own.Rate*share)
	}
	b.level -= float64(tokens)
	b.part -= float64(tokens)
	l.used[name] += int64(tokens)
	return true, 0
}

// needs is the time in which so many tokens come at a rate.
func needs(tokens, rate float64) time.Duration {
	return time.Duration(tokens / rate * float64(time.Second))
}

// share is this instance's part of the demand of all that are heard.
func (l *Limiter) share(now time.Time, name string, b *bucket) float64 {
	own := b.demandAt(now)
	sum := own
	for _, t := range l.peers {
		sum += t.Demand[name]
	}
	if sum <= 0 {
		return 1
	}
	return own / sum
}

// Return gives back tokens that were granted and not used.
func (l *Limiter) Return(name string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[name]; b != nil {
		b.level += float64(tokens)
		b.part += float64(tokens)
		l.used[name] -= int64(tokens)
	}
}

// ownPart is the part of a limit that the instances within hearing have together.
func (l *Limiter) ownPart(limit Limit) Limit {
	heard := len(l.peers) + 1
	part := float64(heard) / float64(max(l.instances, heard))
	return Limit{Rate: limit.Rate * part, Burst: limit.Burst * part}
}

func (b *bucket) fill(now time.Time, limit Limit, share float64) {
	if passed := now.Sub(b.filled); passed > 0 {
		b.level += limit.Rate * passed.Seconds()
		b.part += limit.Rate * share * passed.Seconds()
		b.filled = now
	}
	b.level = min(b.level, limit.Burst)
	b.part = min(b.part, limit.Rate*share*partBurst.Seconds())
}

func (b *bucket) demandAt(now time.Time) float64 {
	return b.demand * math.Exp2(-now.Sub(b.asked).Seconds()/demandHalfLife.Seconds())
}

// ask counts a demand. A steady rate of r tokens a second comes to a demand of r.
func (b *bucket) ask(now time.Time, tokens int) {
	perSecond := math.Ln2 / demandHalfLife.Seconds()
	b.demand = b.demandAt(now) + float64(tokens)*perSecond
	b.asked = now
}
