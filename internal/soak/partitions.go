package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Partitions records when instances were partitioned from all upstreams, and when they were disturbed in
// other ways. Safe for concurrent use.
type Partitions struct {
	mu          sync.Mutex
	partitioned []instanceSpan
	disturbed   []instanceSpan
	unserved    []instanceSpan // of any instance
}

// instanceSpan is a time range of one instance; to is zero while it lasts.
type instanceSpan struct {
	instance int
	from, to time.Time
}

// Begin records that an instance is partitioned from all upstreams from now on until end is called.
func (p *Partitions) Begin(instance int) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.partitioned)
	p.partitioned = append(p.partitioned, instanceSpan{instance: instance, from: time.Now()})
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.partitioned[n].to = time.Now()
	}
}

// BeginUnserved records that a service has no upstream in use, so that no instance can serve it, from now on
// until end is called with the time that instances need to learn it.
func (p *Partitions) BeginUnserved() (end func(learned time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.unserved)
	p.unserved = append(p.unserved, instanceSpan{from: time.Now()})
	return func(learned time.Duration) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.unserved[n].to = time.Now().Add(learned)
	}
}

// Disturb records that an instance is killed, stopped or cut off from its peers, with the time until it
// has recovered.
func (p *Partitions) Disturb(instance int, recovered time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.disturbed = append(p.disturbed, instanceSpan{instance: instance, from: now, to: now.Add(recovered)})
}

// servedCount counts requests and those that were served.
type servedCount struct{ served, sent int }

func (c *servedCount) add(served bool) {
	c.sent++
	if served {
		c.served++
	}
}

func (c servedCount) String() string { return fmt.Sprintf("%d of %d", c.served, c.sent) }

func (c servedCount) share() float64 { return float64(c.served) / float64(max(c.sent, 1)) }

// Check returns a violation if, of the requests that were sent later than settle after a partition began,
// those at partitioned instances were served less than two thirds as often as those at the others, and
// more than 10 and one in 50 of all of them failed there. Requests at disturbed instances don't count, nor
// those sent while none of the given number of instances is both undisturbed and not partitioned, or while a
// service has no upstream in use.
func (p *Partitions) Check(l *Ledger, instances int, settle time.Duration) (summary string, violations []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	var cut, others servedCount
	for id, r := range l.requests {
		got, answered := l.responses[id]
		if !answered || r.Revocable || !r.Left.IsZero() || overlap(p.disturbed, r.Instance, r.Sent, got.Received) || overlap(p.unserved, 0, r.Sent, got.Received) || !p.someServe(instances, r.Sent, got.Received) {
			continue
		}
		served := got.Status == http.StatusOK && got.Complete
		switch {
		case p.settled(r.Instance, r.Sent, settle):
			cut.add(served)
		case overlap(p.partitioned, r.Instance, r.Sent, got.Received): // its partition has just begun
		case p.anySettled(r.Sent, settle):
			others.add(served)
		}
	}
	summary = fmt.Sprintf("partitioned instances served %v requests, the others %v", cut, others)
	failed := cut.sent - cut.served
	if cut.share() < others.share()*2/3 && failed > 10+(cut.sent+others.sent)/50 {
		violations = append(violations, summary)
	}
	return summary, violations
}

// settled reports whether a partition of an instance has lasted for settle at a time.
func (p *Partitions) settled(instance int, at time.Time, settle time.Duration) bool {
	return slices.ContainsFunc(p.partitioned, func(s instanceSpan) bool { return s.instance == instance && s.isSettled(at, settle) })
}

// anySettled is settled for any instance.
func (p *Partitions) anySettled(at time.Time, settle time.Duration) bool {
	return slices.ContainsFunc(p.partitioned, func(s instanceSpan) bool { return s.isSettled(at, settle) })
}

// someServe reports whether an instance is neither partitioned nor disturbed in a time range.
func (p *Partitions) someServe(instances int, from, to time.Time) bool {
	for i := range instances {
		if !overlap(p.partitioned, i, from, to) && !overlap(p.disturbed, i, from, to) {
			return true
		}
	}
	return false
}

// overlap reports whether any of the spans of an instance overlaps with a time range.
func overlap(spans []instanceSpan, instance int, from, to time.Time) bool {
	return slices.ContainsFunc(spans, func(s instanceSpan) bool {
		return s.instance == instance && !to.Before(s.from) && (s.to.IsZero() || from.Before(s.to))
	})
}

// isSettled reports whether the span has lasted for settle at a time.
func (s instanceSpan) isSettled(at time.Time, settle time.Duration) bool {
	return !at.Before(s.from.Add(settle)) && (s.to.IsZero() || at.Before(s.to))
}
