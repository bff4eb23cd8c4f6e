package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Evacuations records when availability zones were evacuated, and what their upstreams got. Safe for
// concurrent use.
type Evacuations struct {
	mu     sync.Mutex
	zones  map[string]*evacuation
	within time.Duration
	broken []string
	worst  time.Duration
}

// evacuation counts the evacuations of one zone that overlap.
type evacuation struct {
	count int
	since time.Time
}

// NewEvacuations returns a record of evacuations that must be heeded within a time.
func NewEvacuations(within time.Duration) *Evacuations {
	return &Evacuations{zones: map[string]*evacuation{}, within: within}
}

// Begin records that an evacuation was published, and tells whether it is the only one of its zone.
func (e *Evacuations) Begin(zone string) (first bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	z := e.zones[zone]
	if z == nil {
		z = &evacuation{}
		e.zones[zone] = z
	}
	if z.count++; z.count == 1 {
		z.since = time.Now()
	}
	return z.count == 1
}

// Active tells whether a zone is evacuated.
func (e *Evacuations) Active(zone string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.zones[zone] != nil && e.zones[zone].count > 0
}

// End records that one evacuation ends, and tells whether its zone is taken back by that.
func (e *Evacuations) End(zone string) (last bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.zones[zone].count--
	return e.zones[zone].count == 0
}

// Reached records that a request has reached an upstream of a zone.
func (e *Evacuations) Reached(id, zone string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	z := e.zones[zone]
	if z == nil || z.count == 0 {
		return
	}
	after := time.Since(z.since)
	e.worst = max(e.worst, after)
	if after > e.within {
		e.broken = append(e.broken, fmt.Sprintf("%s reached zone %s %v after it was evacuated", id, zone, after.Round(time.Millisecond)))
	}
}

// Check returns what reached zones too late, and Worst the latest of all that did.
func (e *Evacuations) Check() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.broken)
}

// Worst is the latest time after an evacuation at which a request reached the zone.
func (e *Evacuations) Worst() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.worst
}

// ColdArrivals counts what one upstream gets in each second while it is cold. Safe for concurrent use.
type ColdArrivals struct {
	mu      sync.Mutex
	until   time.Time
	arrived []time.Time
	worst   int
}

// NewColdArrivals returns the count of an upstream that is cold for a time from now on.
func NewColdArrivals(cold time.Duration) *ColdArrivals {
	return &ColdArrivals{until: time.Now().Add(cold)}
}

// Reached records that a request has reached it.
func (c *ColdArrivals) Reached() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.After(c.until) {
		return
	}
	c.arrived = append(slices.DeleteFunc(c.arrived, func(at time.Time) bool { return now.Sub(at) > time.Second }), now)
	c.worst = max(c.worst, len(c.arrived))
}

// Worst is the most that reached it in any second while it was cold.
func (c *ColdArrivals) Worst() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.worst
}
