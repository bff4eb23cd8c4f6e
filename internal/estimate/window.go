package estimate

import "time"

const (
	// initialWindow is the window of an unobserved upstream.
	initialWindow = 8
	minWindow     = 1
	maxWindow     = 1024
	// decrease is the factor applied to the window at a sign of overload.
	decrease = 0.89
	// decreaseInterval is the minimum time between two decreases, so that one overload is not
	// counted more than once.
	decreaseInterval = 250 * time.Millisecond
)

// Window is the number of sequences that this instance may have outstanding at one upstream. It
// increases additively while it is used and first tokens are on time, and decreases
// multiplicatively when first tokens are late.
type Window struct {
	size      float64
	decreased time.Time
}

// NewWindow returns the window of an unobserved upstream.
func NewWindow() Window { return Window{size: initialWindow} }

// Size returns the number of sequences allowed, at least 1.
func (w *Window) Size() int { return int(w.size) }

// RecordOnTime records a first token that was on time while the given number of sequences was
// outstanding.
func (w *Window) RecordOnTime(outstanding int) {
	if float64(outstanding)+1 < w.size {
		return // the window was not the bound
	}
	w.size = min(w.size+1/w.size, maxWindow)
}

// RecordLate records a late first token or inter-token latency, or a refusal by the upstream.
func (w *Window) RecordLate(now time.Time) {
	if now.Sub(w.decreased) < decreaseInterval {
		return
	}
	w.decreased = now
	w.size = max(w.size*decrease, minWindow)
}

// Reset sets the window to one sequence, after a failure.
func (w *Window) Reset() { w.size = minWindow }
