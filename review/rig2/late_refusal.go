package main

import "time"

// The disruption: garble "extra late" with the share, the part of the answers and the length of the site's list. It comes
// several times.
const (
	garbledShare = 0.6
	garbledEvery = 33 // one answer in that many: x = 0.03
	garbleTime   = 5 * time.Second
	windowEvery  = 8 * time.Second
	windows      = 11
)

// lateRefusal counts the bookings that were answered with a promise that they haven't run, and have run.
func lateRefusal(r *record, trouble bool) (breaks int, err error) {
	d, err := newDeployment(r)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return 0, err
	}
	return d.play(trouble, windows, windowEvery, func() { garble(r, d.workers) }), nil
}

// garble plays the disruption once, and ends it.
func garble(r *record, workers []*worker) {
	garbled := workers[:int(garbledShare*float64(len(workers)))]
	r.add("trouble begins: %d workers send more bytes after one answer in %d", len(garbled), garbledEvery)
	for _, w := range garbled {
		w.garble(func(n int) bool { return n%garbledEvery == 0 })
	}
	time.Sleep(garbleTime)
	for _, w := range garbled {
		w.garble(func(int) bool { return false })
	}
	r.add("trouble ends")
}
