package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// The disruption: srv_grey "errors all", as the site's day trouble-1 has it. It comes several times.
const (
	failedPart = 0.45
	failTime   = 4 * time.Second
)

// plainRefusal counts the bookings that were answered with a promise that they haven't run, where the worker had run them
// and answered 503 without the header that says otherwise.
func plainRefusal(r *record, trouble bool) (breaks int, err error) {
	d, err := newDeployment(r)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return 0, err
	}
	for _, w := range d.workers {
		w.answer = func(q *http.Request, whole []byte) []byte {
			if !d.inTrouble.Load() || rand.Float64() >= failedPart {
				return whole
			}
			id := q.Header.Get("Tacktally-Attempt-Id")
			r.add("worker %s has run %s and answers 503, without saying that it hasn't", w.id, id)
			return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nTacktally-Attempt-Id: %s\r\nTacktally-Response-Signature: %s.%s\r\nContent-Length: 0\r\n\r\n",
				id, w.id, id)
		}
	}
	return d.play(trouble, windows, windowEvery, func() {
		r.add("trouble begins: all workers fail %.0f%% of their requests after they have run them", 100*failedPart)
		d.inTrouble.Store(true)
		time.Sleep(failTime)
		d.inTrouble.Store(false)
		r.add("trouble ends")
	}), nil
}
