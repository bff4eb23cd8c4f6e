package scheduler

import "time"

const (
	// drainWindow is the time over which sent work is counted.
	drainWindow = 500 * time.Millisecond
	// drainGain is the weight of a new window.
	drainGain = 0.4
)

// drainRate learns how much work a second leaves the queue while work waits.
type drainRate struct {
	smoothed float64 // work a second, 0 before the first whole window
	started  time.Time
	work     float64
}

// sent records work sent; waiting tells whether more work waits.
func (d *drainRate) sent(now time.Time, work float64, waiting bool) {
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

// idle records that nothing waits.
func (d *drainRate) idle(time.Time) { d.started = time.Time{} }

// rate returns the learned rate, or 0 while none is known.
func (d *drainRate) rate() float64 { return d.smoothed }
