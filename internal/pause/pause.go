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
	tick = 100 * time.Millisecond
)

// Detector notices pauses. Safe for concurrent use.
type Detector struct {
	mu    sync.Mutex
	last  time.Time
	epoch uint64
}

// NewDetector returns a detector that has just seen the process alive.
func NewDetector() *Detector { return &Detector{last: boottime.Now()} }

// Epoch checks for a pause up to this moment and returns the number of pauses so
// far. Whichever goroutine runs first after a wake-up notices it.
func (d *Detector) Epoch() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := boottime.Now()
	gap := now.Sub(d.last)
	d.last = now
	if gap > Threshold {
		d.epoch++
	}
	return d.epoch
}

// Run shows the process alive until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			d.Epoch()
		case <-ctx.Done():
			return
		}
	}
}
