package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// failedPart is the part of its requests that a worker fails, the default of srv_grey.
const failedPart = 0.4

// failTime is how long a worker fails requests each time, the default of the list of kinds.
const failTime = 5 * time.Second

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
	failing := d.workers[0]
	failing.answer = func(q *http.Request, whole []byte) []byte {
		if !d.inTrouble.Load() || rand.Float64() >= failedPart {
			return whole
		}
		id := q.Header.Get("Tacktally-Attempt-Id")
		r.add("worker %s has run %s and answers 503, without saying that it hasn't", failing.id, id)
		return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nTacktally-Attempt-Id: %s\r\nTacktally-Response-Signature: %s.%s\r\nContent-Length: 0\r\n\r\n",
			id, failing.id, id)
	}
	return d.play(trouble, windows, windowEvery, func() {
		r.add("trouble begins: worker %s fails %.0f%% of its requests after it has run them", failing.id, 100*failedPart)
		d.inTrouble.Store(true)
		time.Sleep(failTime)
		d.inTrouble.Store(false)
		r.add("trouble ends")
	}), nil
}

// again marks the ID of a booking that is sent once more after a refusal.
const again = "-again"
