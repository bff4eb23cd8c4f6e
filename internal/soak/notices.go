package soak

import (
	"fmt"
	"sync"
	"time"
)

// Notices records what upstreams announced to instances in their responses, that they leave or that
// they want no requests for a time, and which requests reached them from those instances afterwards.
// Safe for concurrent use.
type Notices struct {
	// LeaveWithin is for how long after its leaving notice requests may still be sent to an upstream.
	LeaveWithin time.Duration
	// StartedAt returns when the process of an instance started. A process that started after a
	// notice hasn't received it.
	StartedAt func(instance int) time.Time

	mu            sync.Mutex
	left          map[pair]time.Time
	backoffs      map[pair]span
	duringBackoff map[pair]int
	violations    []string
	count         int
}

// pair is an upstream and an instance.
type pair struct {
	upstream string
	instance int
}

const (
	// backoffGrace is the time after a requested backoff begins in which requests to the upstream
	// aren't counted, and maxDuringBackoff how many may reach it in the rest of the backoff.
	backoffGrace     = 500 * time.Millisecond
	maxDuringBackoff = 2
)

// RecordLeaving records that an upstream announced to an instance that it leaves.
func (n *Notices) RecordLeaving(upstream string, instance int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.left == nil {
		n.left = map[pair]time.Time{}
	}
	if _, known := n.left[pair{upstream, instance}]; !known {
		n.left[pair{upstream, instance}] = time.Now()
		n.count++
	}
}

// RecordBackoff records that an upstream requested a backoff of the given length from an instance.
func (n *Notices) RecordBackoff(upstream string, instance int, wanted time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.backoffs == nil {
		n.backoffs, n.duringBackoff = map[pair]span{}, map[pair]int{}
	}
	p, now := pair{upstream, instance}, time.Now()
	if now.After(n.backoffs[p].to) {
		n.backoffs[p], n.duringBackoff[p] = span{from: now, to: now.Add(wanted)}, 0
		n.count++
	}
}

// Reached records that a request, which its caller sent at the given time, reached an upstream from
// an instance.
func (n *Notices) Reached(id, upstream string, instance int, sent time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, now := pair{upstream, instance}, time.Now()
	started := n.StartedAt(instance)
	if at, announced := n.left[p]; announced && started.Before(at) && sent.Sub(at) > n.LeaveWithin {
		n.violations = append(n.violations, fmt.Sprintf("%s reached %s from instance %d, sent %v after the instance received its leaving notice", id, upstream, instance, sent.Sub(at)))
	}
	if backoff, requested := n.backoffs[p]; requested && started.Before(backoff.from) && now.Sub(backoff.from) > backoffGrace && now.Before(backoff.to) {
		if n.duringBackoff[p]++; n.duringBackoff[p] == maxDuringBackoff+1 {
			n.violations = append(n.violations, fmt.Sprintf("%s is the third to reach %s from instance %d during its requested backoff", id, upstream, instance))
		}
	}
}

// Check returns a line for each violation.
func (n *Notices) Check() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.violations
}

// Count returns the number of distinct notices that upstreams sent to instances.
func (n *Notices) Count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.count
}
