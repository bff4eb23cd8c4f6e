package soak

import (
	"fmt"
	"sync"
	"time"
)

// Notices are what upstreams said in answers to instances, and what reached them from those instances
// afterwards. Safe for concurrent use.
type Notices struct {
	// LeaveWithin is how long after it said so requests may still be sent to one that leaves.
	LeaveWithin time.Duration
	// StartedAt tells when the process of an instance started: one that did so since has heard nothing.
	StartedAt func(instance int) time.Time

	mu     sync.Mutex
	left   map[pair]time.Time
	rests  map[pair]span
	inRest map[pair]int
	broken []string
	said   int
}

// pair is an upstream and an instance.
type pair struct {
	upstream string
	instance int
}

const (
	// restGrace is how long after it asked for rest requests to an upstream don't count, and restMost how
	// many may reach it in the rest of the time.
	restGrace = 500 * time.Millisecond
	restMost  = 2
)

// RecordLeaving records that an upstream told an instance that it leaves.
func (w *Notices) RecordLeaving(upstream string, instance int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.left == nil {
		w.left = map[pair]time.Time{}
	}
	if _, known := w.left[pair{upstream, instance}]; !known {
		w.left[pair{upstream, instance}] = time.Now()
		w.said++
	}
}

// RecordBackoff records that an upstream asked an instance for rest.
func (w *Notices) RecordBackoff(upstream string, instance int, wanted time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rests == nil {
		w.rests, w.inRest = map[pair]span{}, map[pair]int{}
	}
	p, now := pair{upstream, instance}, time.Now()
	if now.After(w.rests[p].to) {
		w.rests[p], w.inRest[p] = span{from: now, to: now.Add(wanted)}, 0
		w.said++
	}
}

// Reached records that a request that its caller sent at a time reached an upstream from an instance.
func (w *Notices) Reached(id, upstream string, instance int, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p, now := pair{upstream, instance}, time.Now()
	started := w.StartedAt(instance)
	if at, said := w.left[p]; said && started.Before(at) && sent.Sub(at) > w.LeaveWithin {
		w.broken = append(w.broken, fmt.Sprintf("%s reached %s from instance %d, sent %v after that had been told that it leaves", id, upstream, instance, sent.Sub(at)))
	}
	if rest, asked := w.rests[p]; asked && started.Before(rest.from) && now.Sub(rest.from) > restGrace && now.Before(rest.to) {
		if w.inRest[p]++; w.inRest[p] == restMost+1 {
			w.broken = append(w.broken, fmt.Sprintf("%s is the third to reach %s from instance %d in its rest", id, upstream, instance))
		}
	}
}

// Check returns what was broken.
func (w *Notices) Check() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.broken
}

// Count returns how often an upstream told an instance something new.
func (w *Notices) Count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.said
}
