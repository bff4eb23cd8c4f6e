// Package orglimit limits the tokens per second of each organisation over all instances, without
// shared state.
//
// Each instance grants a share of an organisation's total rate. Instances that are reachable from
// each other divide the total by demand, which they report in heartbeats. An unreachable instance
// keeps its static share, which is the total divided by the number of instances in the platform's
// list; the others don't use it. In a network partition, each side therefore falls back to the
// static shares of its own members, and the sum stays at the total.
//
// The total is exceeded only while views differ: by at most the total times the time after which a
// silent peer counts as unreachable, for each partition, and by at most the total times a heartbeat
// interval for each jump in demand.
package orglimit

import (
	"math"
	"sync"
	"time"
)

const (
	// burst is the time over which an idle organisation saves up its share.
	burst = time.Second
	// topTierReserve is the share of the saved-up tokens that only the most important tier may use,
	// so that an organisation's lower tiers don't delay its highest one.
	topTierReserve = 0.25
	// demandHalfLife is the time after which past demand has half its weight.
	demandHalfLife = time.Second
	// demandFloor is the demand, in tokens per second, below which none is reported.
	demandFloor = 1
	// idleShare is the share of the total kept for an instance that reports no demand, so that its
	// first requests are granted before its demand is known.
	idleShare = 0.02
	// idleTimeout is the time after which an organisation without demand is removed, once it has saved up its burst.
	idleTimeout = time.Minute
)

// Limiter grants tokens to organisations at one instance. It is safe for concurrent use.
type Limiter struct {
	mu        sync.Mutex
	instances int                           // in the platform's list, including this one
	peers     map[string]map[string]float64 // demands in tokens per second, by peer and organisation
	orgs      map[string]*organisation
}

// organisation is the state of one organisation at this instance.
type organisation struct {
	level      float64 // tokens that may be granted; negative is a debt
	refilled   time.Time
	total      float64 // the last limit, in tokens per second
	demand     float64 // tokens per second requested here, smoothed
	demandTime time.Time
}

// NewLimiter returns a limiter without peers.
func NewLimiter() *Limiter {
	return &Limiter{instances: 1, peers: map[string]map[string]float64{}, orgs: map[string]*organisation{}}
}

// SetInstances sets the number of instances in the platform's list. Where it grows, the tokens saved up here are divided
// with the others, which have saved up their own.
func (l *Limiter) SetInstances(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n = max(n, 1)
	for _, o := range l.orgs {
		if n > l.instances && o.level > 0 {
			o.level *= float64(l.instances) / float64(n)
		}
	}
	l.instances = n
}

// SetPeerDemands sets the demands that a peer reported, in tokens per second by organisation.
func (l *Limiter) SetPeerDemands(peer string, demands map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers[peer] = demands
}

// RemovePeer removes the demands of a peer that is no longer reachable. The peer keeps its static
// share.
func (l *Limiter) RemovePeer(peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peers, peer)
}

// Demands returns the demands to report to the peers, in tokens per second by organisation. It
// removes organisations without recent demand, except for those in debt.
func (l *Limiter) Demands(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]float64{}
	for name, o := range l.orgs {
		if now.Sub(o.demandTime) > idleTimeout && o.isFullAt(now, l.share(now, name, o.total)) {
			delete(l.orgs, name)
			continue
		}
		if d := o.demandAt(now); d >= demandFloor {
			out[name] = d
		}
	}
	return out
}

// TakeRequest is a request for tokens.
type TakeRequest struct {
	Organisation string
	// TotalRate is the limit of the organisation over all instances, in tokens per second; 0 means
	// no limit.
	TotalRate float64
	// Tokens is the number of tokens that the request may use.
	Tokens int
	// TopTier reports whether the request is of the most important tier.
	TopTier bool
}

// Take reports whether a request is granted its tokens. If not, wait is the time after which to
// retry. A grant may leave the organisation in debt, so that a large request isn't delayed
// indefinitely.
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
	o.total = total
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

// Return returns tokens that were granted and not used.
func (l *Limiter) Return(name string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.orgs[name]; o != nil {
		o.level += float64(tokens)
	}
}

// share returns this instance's share of the total, in tokens per second.
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

// demandAt returns the demand decayed to the given time, in tokens per second.
func (o *organisation) demandAt(now time.Time) float64 {
	return o.demand * math.Exp2(-now.Sub(o.demandTime).Seconds()/demandHalfLife.Seconds())
}

// addDemand adds requested tokens to the demand. A steady rate of r tokens per second results in a
// demand of r.
func (o *organisation) addDemand(now time.Time, tokens int) {
	perSecond := math.Ln2 / demandHalfLife.Seconds()
	o.demand = o.demandAt(now) + float64(tokens)*perSecond
	o.demandTime = now
}

// refill adds the share of the time since the last refill, up to a burst.
func (o *organisation) refill(now time.Time, share float64) {
	o.level = min(o.level+share*now.Sub(o.refilled).Seconds(), max(share*burst.Seconds(), o.level))
	o.refilled = now
}

// isFullAt reports whether the organisation has saved up a burst of its share.
func (o *organisation) isFullAt(now time.Time, share float64) bool {
	return o.level+share*now.Sub(o.refilled).Seconds() >= share*burst.Seconds()
}
