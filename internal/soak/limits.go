package soak

import (
	"fmt"
	"sync"
	"time"
)

// Limits records the rates, in requests per second, that upstreams advertise in their responses to
// instances, and how many requests reach those upstreams afterwards. Safe for concurrent use.
type Limits struct {
	// StartedAt returns when the process of an instance started. A process that started after a
	// limit was sent hasn't received it.
	StartedAt func(instance int) time.Time

	mu         sync.Mutex
	limits     map[string]*advertisedLimit // by upstream
	violations []string
	count      int
}

// advertisedLimit is the limit of one upstream.
type advertisedLimit struct {
	perSecond float64
	since     time.Time
	sent      map[int]time.Time // by instance
	reached   []time.Time       // within limitWindow, from instances to which the limit was sent
	reported  bool
}

const (
	// limitSettleTime is how long after an upstream first advertises its limit arrivals begin to
	// count, limitPropagation how long after the limit was sent to an instance its requests do, and
	// limitWindow the time over which arrivals are counted.
	limitSettleTime  = time.Second
	limitPropagation = 500 * time.Millisecond
	limitWindow      = 4 * time.Second
	// limitOverage and limitSlack bound the arrivals within limitWindow: limitOverage times what the
	// limit allows, and limitSlack requests more.
	limitOverage = 1.5
	limitSlack   = 5
)

// Advertise records that an upstream advertises a limit from now on.
func (l *Limits) Advertise(upstream string, perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits == nil {
		l.limits = map[string]*advertisedLimit{}
	}
	l.limits[upstream] = &advertisedLimit{perSecond: perSecond, since: time.Now(), sent: map[int]time.Time{}}
	l.count++
}

// Withdraw records that an upstream no longer advertises a limit.
func (l *Limits) Withdraw(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.limits, upstream)
}

// RecordSent records that an upstream has sent its limit to an instance.
func (l *Limits) RecordSent(upstream string, instance int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.limits[upstream]
	if u == nil {
		return
	}
	if at, known := u.sent[instance]; !known || at.Before(l.StartedAt(instance)) {
		u.sent[instance] = time.Now()
	}
}

// Reached records that a request reached an upstream from an instance.
func (l *Limits) Reached(upstream string, instance int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, now := l.limits[upstream], time.Now()
	if u == nil || now.Sub(u.since) < limitSettleTime {
		return
	}
	sent, known := u.sent[instance]
	if !known || now.Sub(sent) < limitPropagation || sent.Before(l.StartedAt(instance)) {
		return
	}
	for len(u.reached) > 0 && now.Sub(u.reached[0]) > limitWindow {
		u.reached = u.reached[1:]
	}
	u.reached = append(u.reached, now)
	if allowed := int(limitOverage*u.perSecond*limitWindow.Seconds()) + limitSlack; len(u.reached) > allowed && !u.reported {
		u.reported = true
		l.violations = append(l.violations, fmt.Sprintf("%s, which advertises %.1f requests per second, received %d in %v; %d are allowed", upstream, u.perSecond, len(u.reached), limitWindow, allowed))
	}
}

// Check returns a line for each violation.
func (l *Limits) Check() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.violations
}

// Count returns how often an upstream has begun to advertise a limit.
func (l *Limits) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count
}
