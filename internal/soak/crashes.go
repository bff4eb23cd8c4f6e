package soak

import (
	"fmt"
	"sync"
	"time"
)

// Crashes records the upstreams that terminated while they ran one particular request. Safe for
// concurrent use.
type Crashes struct {
	// Window is how long after the third crash further attempts may still be under way, and Retries
	// how many may follow after that.
	Window  time.Duration
	Retries int

	mu      sync.Mutex
	at      []time.Time
	excused int
}

// quarantineCrashes is the number of crashes after which a request has to be quarantined.
const quarantineCrashes = 3

// RecordCrash records that an upstream terminated under the request, which an instance of the given
// age had sent. An instance that has just started can't know of earlier crashes, so that its crash
// isn't counted against the bound.
func (c *Crashes) RecordCrash(age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.at) >= quarantineCrashes && age < c.Window {
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
		if i >= quarantineCrashes && at.Sub(c.at[quarantineCrashes-1]) > c.Window {
			late++
		}
	}
	if late <= c.Retries {
		return nil
	}
	return []string{fmt.Sprintf("a request was sent %d times later than %v after the third upstream crashed under it; %d crashed in total", late, c.Window, len(c.at))}
}
