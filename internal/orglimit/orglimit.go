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
	topTierReserve = 0.25
	// demandHalfLife is the time in which past demand loses half its weight.
	demandHalfLife = time.Second
	// demandFloor is the demand, in tokens a second, below which none is told.
	demandFloor = 1
	// idleShare is the part of the total kept for an instance that tells no demand,
	// so that its first requests are granted before its demand is known.
	idleShare = 0.02
	// idleAfter is when an organisation without demand is forgotten.
	idleTimeout = time.Minute
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
	level      float64 // tokens that may be granted; negative is a debt
	refilled   time.Time
	demand     float64 // tokens a second asked for here, smoothed
	demandTime time.Time
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

// SetPeerDemands takes the demands, in tokens a second by organisation, that a peer told.
func (l *Limiter) SetPeerDemands(peer string, demands map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers[peer] = demands
}

// RemovePeer forgets a peer that can't be heard any more.
func (l *Limiter) RemovePeer(peer string) {
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
		if now.Sub(o.demandTime) > idleTimeout {
			delete(l.orgs, name)
			continue
		}
		if d := o.demandAt(now); d >= demandFloor {
			out[name] = d
		}
	}
	return out
}

// TakeRequest is a request's demand.
type TakeRequest struct {
	Organisation string
	// TotalRate of the organisation over all instances, in tokens a second; 0 is no limit.
	TotalRate float64
	// Tokens that the request may use.
	Tokens int
	// TopTier tells whether it is of the most important tier.
	TopTier bool
}

// Take grants a request its tokens. When it doesn't, wait is when to come back. A
// grant may run into debt, so that a large request isn't held off for ever.
func (l *Limiter) Take(now time.Time, a TakeRequest) (granted bool, wait time.Duration) {
	if a.TotalRate <= 0 {
		return true, 0
	}
	name, total := a.Organisation, a.TotalRate
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.orgs[name]
	if o == nil {
		o = &organisation{level: l.share(now, name, total) * burst.Seconds(), refilled: now}
		l.orgs[name] = o
	}
	o.addDemand(now, a.Tokens)
	share := l.share(now, name, total)
	o.refill(now, share)
	minLevel := 0.0
	if !a.TopTier {
		minLevel = topTierReserve * share * burst.Seconds()
	}
	if o.level <= minLevel {
		return false, time.Duration((minLevel + 1 - o.level) / share * float64(time.Second))
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
	reporting := len(l.peers)
	missing := max(l.instances-1-reporting, 0)
	static := total / float64(max(l.instances, reporting+1))
	shared := total - static*float64(missing)
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
	return o.demand * math.Exp2(-now.Sub(o.demandTime).Seconds()/demandHalfLife.Seconds())
}

// ask counts a demand. A steady rate of r tokens a second comes to a demand of r.
func (o *organisation) addDemand(now time.Time, tokens int) {
	perSecond := math.Ln2 / demandHalfLife.Seconds()
	o.demand = o.demandAt(now) + float64(tokens)*perSecond
	o.demandTime = now
}

func (o *organisation) refill(now time.Time, share float64) {
	o.level = min(o.level+share*now.Sub(o.refilled).Seconds(), max(share*burst.Seconds(), o.level))
	o.refilled = now
}
