package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// configuration is that of the deployment: a booking and a look-up of the application, as the site file has them.
const configuration = `{"version":1,"routes":[
{"name":"slot-check","host":"desk.example","prefix":"/slot/","kind":"non_idempotent","timeout_ms":1000,"target_latency_ms":100,"priority":2,"service":"dispatch","max_attempts":1,"public":false},
{"name":"quote-fetch","host":"desk.example","prefix":"/quote/","kind":"idempotent","timeout_ms":1000,"target_latency_ms":100,"priority":2,"service":"dispatch","max_attempts":2,"public":false},
{"name":"packing-answer","host":"desk.example","prefix":"/packing/","kind":"streaming","timeout_ms":15000,"target_latency_ms":800,"gap_aim_ms":400,"priority":1,"service":"desk","max_attempts":1,"public":false,"sticky":true,"resumable":false}],
"services":[{"name":"dispatch","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false},
{"name":"desk","health_path":"/healthz","max_connections":290,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"movers","api_keys":["key-of-the-desk"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":303244,"burst":303244}]}`

const (
	clients      = 24
	readyTimeout = 10 * time.Second
)

// deployment is a cluster with two daemons and the application's four workers.
type deployment struct {
	*cluster
	workers   []*worker
	inTrouble atomic.Bool
}

func newDeployment(r *record) (*deployment, error) {
	c, err := newCluster(r, 2, configuration)
	if c == nil {
		return nil, err
	}
	d := &deployment{cluster: c}
	for i := 0; i < 4 && err == nil; i++ {
		var w *worker
		if w, err = newWorker(r, fmt.Sprintf("i-%d", i), dispatch, zones[i%2]); err == nil {
			d.workers = append(d.workers, w)
			c.store.Put("servers/"+w.id, w.entry("ready"))
		}
	}
	if err == nil {
		err = c.awaitReady()
	}
	return d, err
}

func (c *cluster) awaitReady() error {
	for _, d := range c.daemons {
		if !d.awaitReady(readyTimeout) {
			d.recordLog()
			return errors.New("a daemon is not ready")
		}
	}
	time.Sleep(time.Second) // until all daemons know each other
	return nil
}

// play sends bookings and look-ups while a disruption comes several times, at intervals, and returns how many bookings were
// answered by a false promise or have run twice.
func (d *deployment) play(trouble bool, times int, interval time.Duration, disrupt func()) int {
	end := time.Now().Add(time.Duration(times)*interval + time.Second)
	var breaks atomic.Int64
	var all sync.WaitGroup
	for n := range clients {
		all.Go(func() { breaks.Add(int64(d.book(n, end))) })
	}
	for i := 0; trouble && i < times; i++ {
		began := time.Now()
		disrupt()
		time.Sleep(interval - time.Since(began))
	}
	all.Wait()
	return int(breaks.Load())
}

// book sends bookings and look-ups until a time, and returns how many bookings were refused by a promise and have run, or
// have run twice. A refused booking is sent again once, to the other daemon.
func (d *deployment) book(n int, end time.Time) (breaks int) {
	kept := &client{address: d.daemons[n%len(d.daemons)].front}
	defer kept.close()
	for i := 0; time.Now().Before(end); i++ {
		q := request{id: fmt.Sprintf("c%d-%d", n, i), method: http.MethodGet, path: "/quote/1", deadline: time.Second}
		booking := rand.Float64() < 0.71
		if booking {
			q.method, q.path, q.body = http.MethodPost, "/slot/1", make([]byte, 600)
		}
		a := kept.send(q)
		d.record.add("client %d sent %s %s: status %d, error %v", n, q.path, q.id, a.status, a.err)
		if booking {
			breaks += judgeBooking(d.record, q.id, a)
		}
		if booking && a.isPromise() {
			q.id += again
			other := &client{address: d.daemons[(n+1)%len(d.daemons)].front}
			a := other.send(q)
			other.close()
			d.record.add("client %d sent %s %s: status %d, error %v", n, q.path, q.id, a.status, a.err)
			breaks += judgeBooking(d.record, q.id, a)
		}
		time.Sleep(time.Duration(300+rand.IntN(600)) * time.Millisecond)
	}
	return breaks
}

// judgeBooking returns 1 if a booking that was answered breaks REFUSED or TWICE, and 0 otherwise.
func judgeBooking(r *record, id string, a answer) int {
	time.Sleep(100 * time.Millisecond) // a run that has just been promised not to be would begin now
	runs := r.runsOf(id)
	switch {
	case a.isPromise() && len(runs) > 0:
		r.add("BROKEN: REFUSED: %s was answered %d, which promises that it has not run, and worker %s has run it", id, a.status, runs[0].worker)
		return 1
	case len(runs) > 1:
		r.add("BROKEN: TWICE: %s has run %d times", id, len(runs))
		return 1
	}
	return 0
}

// again marks the ID of a booking that is sent once more after a refusal.
const again = "-again"
