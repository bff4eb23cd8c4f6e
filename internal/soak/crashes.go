package soak

import (
	"fmt"
	"sync"
	"time"
)

// Crashes are the upstreams that ended under one request. Safe for concurrent use.
type Crashes struct {
	// Window is how long after the third one further tries may still be under way, and Retries how many
	// may come after that.
	Window  time.Duration
	Retries int

	mu      sync.Mutex
	at      []time.Time
	excused int
}

// enough is the number of crashes that show what a request does.
const enough = 3

// RecordCrash records that an upstream ends under a request of an instance that has run for so long. One that
// has just started can't have heard of what was before.
func (c *Crashes) RecordCrash(age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.at) >= enough && age < c.Window {
		c.excused++
		return
	}
	c.at = append(c.at, time.Now())
}

// String words how many have ended.
func (c *Crashes) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%d, and %d under requests of instances that had just started", len(c.at), c.excused)
}

// Check names a broken bound.
func (c *Crashes) Check() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := 0
	for i, at := range c.at {
		if i >= enough && at.Sub(c.at[enough-1]) > c.Window {
			late++
		}
	}
	if late <= c.Retries {
		return nil
	}
	return []string{fmt.Sprintf("a request was sent %d times later than %v after the third upstream had ended under it; %d ended in all", late, c.Window, len(c.at))}
}
