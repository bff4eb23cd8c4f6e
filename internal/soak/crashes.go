package soak

import (
	"fmt"
	"sync"
	"time"
)

// Crashes records the upstreams that terminated while they ran one particular request, or requests with one
// segment in their prompts. Safe for concurrent use.
type Crashes struct {
	// Threshold is the number of crashes after which such requests have to be quarantined, Window how long
	// after that further attempts may still be under way, and Retries how many may follow later.
	Threshold int
	Window    time.Duration
	Retries   int

	mu      sync.Mutex
	at      []time.Time
	excused int
}

// RecordCrash records that an upstream terminated under the request, which an instance of the given
// age had sent. An instance that has just started can't know of earlier crashes, so that its crash
// isn't counted against the bound.
func (c *Crashes) RecordCrash(age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.at) >= c.Threshold && age < c.Window {
		c.excused++
		return
	}
	c.at = append(c.at, time.Now())
}

// String describes how many upstreams crashed.
func (c *Crashes) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%d, and %d under requests of instances that had just started", len(c.at), c.excused)
}

// Check returns a line if the bound is violated.
func (c *Crashes) Check() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := 0
	for i, at := range c.at {
		if i >= c.Threshold && at.Sub(c.at[c.Threshold-1]) > c.Window {
			late++
		}
	}
	if late <= c.Retries {
		return nil
	}
	return []string{fmt.Sprintf("crashing requests were sent %d times later than %v after %d upstreams had crashed under them; %d crashed in total", late, c.Window, c.Threshold, len(c.at))}
}

// Span returns when the first upstream crashed, and when the bound began to hold: Window after the crash of
// number Threshold, or after the last one if there were fewer. It returns zero times if none crashed.
func (c *Crashes) Span() (first, settled time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.at) == 0 {
		return first, settled
	}
	return c.at[0], c.at[min(len(c.at), c.Threshold)-1].Add(c.Window)
}
