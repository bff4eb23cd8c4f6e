// Package pause detects that the process was stopped for a while: frozen, swapped out, or starved
// of processor time.
//
// A Detector counts the pauses in a generation number. A decision that was made under an older
// generation must be checked again before it is acted on.
package pause

import (
	"context"
	"sync"
	"time"

	"github.com/tacktally/tacktally/internal/boottime"
)

const (
	// Threshold is the gap between two signs of life that counts as a pause.
	Threshold = time.Second
	// tickInterval is the time between two signs of life of a running process.
	tickInterval = 100 * time.Millisecond
)

// Detector detects pauses. It is safe for concurrent use.
type Detector struct {
	mu         sync.Mutex
	last       time.Time
	generation uint64
}

// NewDetector returns a detector that has just seen a sign of life.
func NewDetector() *Detector { return &Detector{last: boottime.Now()} }

// Generation checks for a pause until now, counts as a sign of life, and returns the number of
// pauses so far. The first goroutine that calls it after a pause detects the pause.
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

// Run gives a sign of life in each tickInterval, until ctx is done.
func (d *Detector) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
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
