package soak

import (
	"fmt"
	"sync"
	"time"
)

// Limits are the requests a second that upstreams name in answers to instances, and what reached them afterwards.
// Safe for concurrent use.
type Limits struct {
	// StartedAt tells when the process of an instance started: one that did so since has heard nothing.
	StartedAt func(instance int) time.Time

	mu     sync.Mutex
	by     map[string]*limited
	broken []string
	named  int
}

// limited is one upstream with a limit.
type limited struct {
	perSecond float64
	since     time.Time
	told      map[int]time.Time // by instance
	reached   []time.Time       // from instances that were told, lately
	reported  bool
}

const (
	// limitSettles is how long after an upstream first named its limit what reaches it counts, limitKnown how long
	// after an instance was told, and limitWindow the time in which it counts together.
	limitSettles = time.Second
	limitKnown   = 500 * time.Millisecond
	limitWindow  = 4 * time.Second
	// limitOverage and limitSlack bound that: so many times what the limit allows, and so many requests more.
	limitOverage = 1.5
	limitSlack   = 5
)

// Advertise notes that an upstream names a limit from now on.
func (l *Limits) Advertise(upstream string, perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.by == nil {
		l.by = map[string]*limited{}
	}
	l.by[upstream] = &limited{perSecond: perSecond, since: time.Now(), told: map[int]time.Time{}}
	l.named++
}

// Withdraw notes that an upstream names none any more.
func (l *Limits) Withdraw(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.by, upstream)
}

// RecordSent notes that an upstream has named its limit to an instance.
func (l *Limits) RecordSent(upstream string, instance int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.by[upstream]
	if u == nil {
		return
	}
	if at, known := u.told[instance]; !known || at.Before(l.StartedAt(instance)) {
		u.told[instance] = time.Now()
	}
}

// Reached records that a request reached an upstream from an instance.
func (l *Limits) Reached(upstream string, instance int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, now := l.by[upstream], time.Now()
	if u == nil || now.Sub(u.since) < limitSettles {
		return
	}
	told, known := u.told[instance]
	if !known || now.Sub(told) < limitKnown || told.Before(l.StartedAt(instance)) {
		return
	}
	for len(u.reached) > 0 && now.Sub(u.reached[0]) > limitWindow {
		u.reached = u.reached[1:]
	}
	u.reached = append(u.reached, now)
	if most := int(limitOverage*u.perSecond*limitWindow.Seconds()) + limitSlack; len(u.reached) > most && !u.reported {
		u.reported = true
		l.broken = append(l.broken, fmt.Sprintf("%s, which takes %.1f requests a second, got %d in %v; %d are allowed", upstream, u.perSecond, len(u.reached), limitWindow, most))
	}
}

// Check returns what was broken.
func (l *Limits) Check() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.broken
}

// Count returns how often an upstream has named a limit.
func (l *Limits) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.named
}
