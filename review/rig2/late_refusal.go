package main

import (
	"math/rand/v2"
	"time"
)

// The disruption: garble "extra late" with the share, the part of the answers and the length of the site's list, and
// srv_grey "shed" with the site's largest part, at the same workers. Both come several times.
const (
	garbledShare = 0.6
	garbledEvery = 33 // one answer in that many: x = 0.03
	garbleTime   = 5 * time.Second
	shedPart     = 0.45
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
	r.add("trouble begins: %d workers send one answer in %d twice, the second one late, and refuse %.0f%% of their requests",
		len(garbled), garbledEvery, 100*shedPart)
	for _, w := range garbled {
		w.set(func() bool { return rand.Float64() < shedPart }, func(n int) bool { return n%garbledEvery == 0 })
	}
	time.Sleep(garbleTime)
	for _, w := range garbled {
		w.set(func() bool { return false }, func(int) bool { return false })
	}
	r.add("trouble ends")
}
