// Package orglimit bounds the tokens a second of each organisation over all
// instances, without shared state.
//
// Each instance grants a share of an organisation's total. Instances that hear
// each other divide it by demand, which their heartbeats tell; an instance that
// isn't heard of is left its static share, one part of as many as the platform's
// list has instances. When instances are cut apart, each side so comes down to
// the static shares of its own members, and the sum stays at the total.
//
// The total is exceeded only while views differ: by at most the total times the
// silence after which a peer counts as unreachable, for each cut, and by at most
// the total times a heartbeat for each jump of demand.
package orglimit

import (
	"math"
	"sync"
	"time"
)

const (
	// burst is the time over which an idle organisation saves up its share.
	burst = time.Second
	// topReserve is the part of a saved-up share that only the most important tier
	// may use, so that an organisation's lower work doesn't hold off its highest.
	topReserve = 0.25
	// demandHalfLife is the time in which past demand loses half its weight.
	demandHalfLife = time.Second
	// demandFloor is the demand, in tokens a second, below which none is told.
	demandFloor = 1
	// idleShare is the part of the total kept for an instance that tells no demand,
	// so that its first requests are granted before its demand is known.
	idleShare = 0.02
	// idleAfter is when an organisation without demand is forgotten.
	idleAfter = time.Minute
)

// Limiter grants tokens to organisations at one instance. Safe for concurrent use.
type Limiter struct {
	mu        sync.Mutex
	instances int // on the platform's list, this one included
	peers     map[string]map[string]float64
	orgs      map[string]*organisation
}

// organisation is what this instance has granted to one organisation.
type organisation struct {
	level  float64 // tokens that may be granted; negative is a debt
	filled time.Time
	demand float64 // tokens a second asked for here, smoothed
	asked  time.Time
}

// NewLimiter returns a limiter that knows no peers.
func NewLimiter() *Limiter {
	return &Limiter{instances: 1, peers: map[string]map[string]float64{}, orgs: map[string]*organisation{}}
}

// SetInstances takes the number of instances on the platform's list.
func (l *Limiter) SetInstances(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = max(n, 1)
}

// Heard takes the demands, in tokens a second by organisation, that a peer told.
func (l *Limiter) Heard(peer string, demands map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers[peer] = demands
}

// Silent forgets a peer that can't be heard any more.
func (l *Limiter) Silent(peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peers, peer)
}

// Demands returns what to tell the peers.
func (l *Limiter) Demands(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]float64{}
	for name, o := range l.orgs {
		if now.Sub(o.asked) > idleAfter {
			delete(l.orgs, name)
			continue
		}
		if d := o.demandAt(now); d >= demandFloor {
			out[name] = d
		}
	}
	return out
}

// Ask is a request's demand.
type Ask struct {
	Organisation string
	// Total of the organisation over all instances, in tokens a second; 0 is no limit.
	Total float64
	// Tokens that the request may use.
	Tokens int
	// Top tells whether it is of the most important tier.
	Top bool
}

// Take grants a request its tokens. When it doesn't, wait is when to come back. A
// grant may run into debt, so that a large request isn't held off for ever.
func (l *Limiter) Take(now time.Time, a Ask) (granted bool, wait time.Duration) {
	if a.Total <= 0 {
		return true, 0
	}
	name, total := a.Organisation, a.Total
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.orgs[name]
	if o == nil {
		o = &organisation{level: l.share(now, name, total) * burst.Seconds(), filled: now}
		l.orgs[name] = o
	}
	o.ask(now, a.Tokens)
	share := l.share(now, name, total)
	o.fill(now, share)
	least := 0.0
	if !a.Top {
		least = topReserve * share * burst.Seconds()
	}
	if o.level <= least {
		return false, time.Duration((least + 1 - o.level) / share * float64(time.Second))
	}
	o.level -= float64(a.Tokens)
	return true, 0
}

// Return gives back tokens that were granted and not used.
func (l *Limiter) Return(name string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.orgs[name]; o != nil {
		o.level += float64(tokens)
	}
}

// share is this instance's part of the total, in tokens a second.
func (l *Limiter) share(now time.Time, name string, total float64) float64 {
	heard := len(l.peers)
	unheard := max(l.instances-1-heard, 0)
	static := total / float64(max(l.instances, heard+1))
	shared := total - static*float64(unheard)
	floor := idleShare * total
	own := floor
	if o := l.orgs[name]; o != nil {
		own = max(own, o.demandAt(now))
	}
	sum := own
	for _, demands := range l.peers {
		sum += max(demands[name], floor)
	}
	return shared * own / sum
}

func (o *organisation) demandAt(now time.Time) float64 {
	return o.demand * math.Exp2(-now.Sub(o.asked).Seconds()/demandHalfLife.Seconds())
}

// ask counts a demand. A steady rate of r tokens a second comes to a demand of r.
func (o *organisation) ask(now time.Time, tokens int) {
	perSecond := math.Ln2 / demandHalfLife.Seconds()
	o.demand = o.demandAt(now) + float64(tokens)*perSecond
	o.asked = now
}

func (o *organisation) fill(now time.Time, share float64) {
	o.level = min(o.level+share*now.Sub(o.filled).Seconds(), max(share*burst.Seconds(), o.level))
	o.filled = now
}
