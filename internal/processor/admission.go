package processor

import (
	"sync"
	"time"
)

const (
	// targetUtilization is the part of the processor time up to which connections are admitted without regard to
	// the delay. The rest is for duties towards peers, the garbage collector, and peaks.
	targetUtilization = 0.8
	// maxUnused is for how long processor time that wasn't used may be used later. More would make a burst late by
	// more than that.
	maxUnused = 300 * time.Millisecond
	// maxOverdrawn is for how long processor time that was used beyond the target is remembered.
	maxOverdrawn = 100 * time.Millisecond
	// maxDelay is the delay above which the process has more work than processor time. A process that is stopped
	// for the rest of each period, and is through with its work before, has a lower one.
	maxDelay = 25 * time.Millisecond
	// minAdditional is the number of connections that are admitted in each sample interval in any case, so that
	// the process goes on serving.
	minAdditional = 1
	// additionalGrowth and additionalCut are the factors by which the number beyond the target grows while the
	// delay is low, and is cut while it is high.
	additionalGrowth = 1.15
	additionalCut    = 0.6
	// initialCost is the processor time that a request costs, until it is known. It counts like that of
	// costMemory requests.
	initialCost = time.Millisecond
	costMemory  = 20
)

// Admission decides whether this process has processor time for the requests of another connection of a caller,
// before anything of it is read. It is safe for concurrent use.
//
// It hands out the processor time up to a target: what was used is measured, and what connections that were admitted
// lately will use is estimated. Beyond the target, where requests cost less since the process does more of its work
// in batches, it admits as many in each sample interval as keep the delay low (additive increase, multiplicative
// decrease).
type Admission struct {
	cores float64

	mu sync.Mutex
	// left is the processor time up to the target that may be used now, below 0 if more was used.
	left time.Duration
	// cost is the mean processor time that a request has cost, with everything that the process does beside.
	cost time.Duration
	// requests is the number that began since the last sample.
	requests int
	// reserved is the processor time that the connections admitted in this sample interval and the one before are
	// expected to use. After that it shows in what was used.
	reserved, reservedBefore time.Duration
	// additional is the number of connections that may be admitted beyond the target in a sample interval, and
	// used the number that were in the current one.
	additional float64
	used       int
	// refused reports whether a connection was refused since the last sample.
	refused bool
	// delayed reports whether the last sample had a high delay, and overloaded is what Overloaded reports.
	delayed, overloaded bool
}

// NewAdmission returns the admission of a process that has the processor time of the given number of cores.
func NewAdmission(cores float64) *Admission {
	a := &Admission{cores: cores, cost: initialCost, additional: minAdditional}
	a.left = a.part(maxUnused)
	return a
}

// part returns the processor time that the target allows within a time.
func (a *Admission) part(t time.Duration) time.Duration {
	return time.Duration(targetUtilization * a.cores * float64(t))
}

// Admit reports whether a connection may be read.
func (a *Admission) Admit() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.left > a.reserved+a.reservedBefore:
		a.reserved += a.cost
		return true
	case a.used < int(a.additional):
		a.used++
		return true
	default:
		a.refused = true
		return false
	}
}

// Overloaded reports whether the process has more work than processor time although it admits as few connections as
// possible: those that callers keep open bring too many requests.
func (a *Admission) Overloaded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.overloaded
}

// RequestBegan records that a request has begun, on a new connection or on a kept one.
func (a *Admission) RequestBegan() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests++
}

// Sampled records a sample.
func (a *Admission) Sampled(s Sample) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left = min(max(a.left+a.part(s.Length)-s.Used, -a.part(maxOverdrawn)), a.part(maxUnused))
	a.reservedBefore, a.reserved = a.reserved, 0
	if a.requests > 0 {
		weight := float64(a.requests) / float64(a.requests+costMemory)
		mean := float64(s.Used) / float64(a.requests)
		a.cost += time.Duration(weight * (mean - float64(a.cost)))
	}
	a.requests = 0
	delayed := s.Delay >= maxDelay
	a.adjustAdditional(delayed)
	a.overloaded = delayed && a.delayed && a.left < 0 && a.additional <= minAdditional
	a.delayed = delayed
}

// adjustAdditional adapts the number of connections beyond the target. A single high delay may be chance: the
// process was stopped right after the delay began to be measured.
func (a *Admission) adjustAdditional(delayed bool) {
	switch {
	case delayed && a.delayed:
		a.additional = max(a.additional*additionalCut, minAdditional)
	case !delayed && a.refused:
		a.additional = a.additional*additionalGrowth + 1
	case !delayed && !a.refused:
		a.additional = max(a.additional/additionalGrowth, minAdditional) // it wasn't needed
	}
	a.used, a.refused = 0, false
}
