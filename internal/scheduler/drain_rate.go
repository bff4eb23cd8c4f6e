package scheduler

import "time"

const (
	// drainWindow is the time over which sent work is counted.
	drainWindow = 500 * time.Millisecond
	// drainGain is the weight of a new window.
	drainGain = 0.4
)

// drainRate estimates the rate at which work leaves the queue while more work waits.
type drainRate struct {
	smoothed float64 // work per second; 0 before the first complete window
	started  time.Time
	work     float64
}

// recordSent records work sent. waiting reports whether more work waits.
func (d *drainRate) recordSent(now time.Time, work float64, waiting bool) {
	if !waiting {
		d.started = time.Time{}
		return
	}
	if d.started.IsZero() {
		d.started = now
		d.work = 0
		return
	}
	d.work += work
	age := now.Sub(d.started)
	if age < drainWindow {
		return
	}
	rate := d.work / age.Seconds()
	if d.smoothed == 0 {
		d.smoothed = rate
	} else {
		d.smoothed += drainGain * (rate - d.smoothed)
	}
	d.started = now
	d.work = 0
}

// recordIdle records that the queue is empty.
func (d *drainRate) recordIdle(time.Time) { d.started = time.Time{} }

// rate returns the estimate, or 0 before the first complete window.
func (d *drainRate) rate() float64 { return d.smoothed }
