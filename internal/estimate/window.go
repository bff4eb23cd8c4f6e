package estimate

import "time"

const (
	// initialWindow is how many sequences an upstream not yet observed is given.
	initialWindow = 8
	minWindow     = 1
	maxWindow     = 1024
	// decrease is the factor of a window at a sign of too much work.
	decrease = 0.89
	// decreasePause is the least time between two decreases, so that one excess
	// isn't answered more than once.
	decreasePause = 250 * time.Millisecond
)

// Window is the learned number of sequences that this instance may have
// outstanding at one upstream: additive increase while it is used and all is
// well, multiplicative decrease when first tokens come late.
type Window struct {
	size      float64
	decreased time.Time
}

// NewWindow returns the window of an upstream not yet observed.
func NewWindow() Window { return Window{size: initialWindow} }

// Size returns the number of sequences allowed, at least 1.
func (w *Window) Size() int { return int(w.size) }

// RecordOnTime records a first token in good time while so many were outstanding.
func (w *Window) RecordOnTime(outstanding int) {
	if float64(outstanding)+1 < w.size {
		return // the window wasn't what bound it
	}
	w.size = min(w.size+1/w.size, maxWindow)
}

// RecordLate records a first token that came late, or a refusal by the upstream.
func (w *Window) RecordLate(now time.Time) {
	if now.Sub(w.decreased) < decreasePause {
		return
	}
	w.decreased = now
	w.size = max(w.size*decrease, minWindow)
}

// Reset returns to a window of one, after a failure.
func (w *Window) Reset() { w.size = minWindow }
