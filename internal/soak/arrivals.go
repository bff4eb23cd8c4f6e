package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Evacuations records when availability zones were evacuated, and which requests reached their
// upstreams. Safe for concurrent use.
type Evacuations struct {
	mu         sync.Mutex
	zones      map[string]*evacuation
	within     time.Duration
	violations []string
	worst      time.Duration
}

// evacuation counts the overlapping evacuations of one zone.
type evacuation struct {
	count int
	since time.Time
}

// NewEvacuations returns a record of evacuations that have to take effect within the given time.
func NewEvacuations(within time.Duration) *Evacuations {
	return &Evacuations{zones: map[string]*evacuation{}, within: within}
}

// Begin records that an evacuation was published, and reports whether it is the only one of its zone.
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

// Active reports whether a zone is evacuated.
func (e *Evacuations) Active(zone string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.zones[zone] != nil && e.zones[zone].count > 0
}

// End records that one evacuation ends, and reports whether it was the last one of its zone.
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
		e.violations = append(e.violations, fmt.Sprintf("%s reached zone %s %v after it was evacuated", id, zone, after.Round(time.Millisecond)))
	}
}

// Check returns a line for each request that reached an evacuated zone too late.
func (e *Evacuations) Check() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.violations)
}

// Worst returns the longest time after the start of an evacuation at which a request reached the zone.
func (e *Evacuations) Worst() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.worst
}

// ColdArrivals counts the requests that reach one upstream in each second while it is cold. Safe for
// concurrent use.
type ColdArrivals struct {
	mu      sync.Mutex
	until   time.Time
	arrived []time.Time
	worst   int
}

// NewColdArrivals returns the count for an upstream that is cold for the given time from now on.
func NewColdArrivals(cold time.Duration) *ColdArrivals {
	return &ColdArrivals{until: time.Now().Add(cold)}
}

// Reached records that a request has reached the upstream. It does nothing once the cold time is over.
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

// Worst returns the largest number of requests that reached the upstream in any second while it was
// cold.
func (c *ColdArrivals) Worst() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.worst
}
