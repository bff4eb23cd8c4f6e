// Package pause notices that the process was stopped for a while: frozen,
// swapped out, or starved of the processor.
//
// A Detector counts wake-ups in an epoch. What was decided under an older epoch
// must be checked afresh before it is acted on.
package pause

import (
	"context"
	"sync"
	"time"

	"github.com/tacktally/tacktally/internal/boottime"
)

const (
	// Threshold is the silence that counts as a pause.
	Threshold = time.Second
	// tick is how often a running process shows itself alive.
	heartbeatInterval = 100 * time.Millisecond
)

// Detector notices pauses. Safe for concurrent use.
type Detector struct {
	mu         sync.Mutex
	last       time.Time
	generation uint64
}

// NewDetector returns a detector that has just seen the process alive.
func NewDetector() *Detector { return &Detector{last: boottime.Now()} }

// Generation checks for a pause up to this moment and returns the number of pauses so
// far. Whichever goroutine runs first after a wake-up notices it.
func (d *Detector) Generation() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := boottime.Now()
	gap := now.Sub(d.last)
	d.last = now
	if gap > Threshold {
		d.generation++
	}
	return d.generation
}

// Run shows the process alive until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			d.Generation()
		case <-ctx.Done():
			return
		}
	}
}
