package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tacktally/tacktally/platform/standin"
)

const (
	// garbleFor and garbleEvery are for_s and 1/x of the site's garble; one of three workers is a share of 0.33,
	// and the site has 0.35.
	garbleFor   = 5500 * time.Millisecond
	garbleEvery = 50
	// linkBytesPerSecond is link_mbps of the site's machines.
	linkBytesPerSecond = 125_000_000
	// maxGarbage bounds one spoilt answer.
	maxGarbage = 600 << 20
	// quietBefore and quietAfter are the times before and after the disruption.
	quietBefore = 4 * time.Second
	quietAfter  = 4 * time.Second
	// allowedLost is how many requests the rule lets be lost.
	allowedLost = 3
)

// configuration is the operator's, with a route of a model service and one of orders.
const configuration = `{"version":1,
	"routes":[
		{"name":"packing-answer","host":"desk.example","prefix":"/packing/","kind":"streaming","timeout_ms":15000,"target_latency_ms":800,"gap_aim_ms":400,"priority":1,"service":"desk","max_attempts":1},
		{"name":"slot-check","host":"desk.example","prefix":"/slots/","kind":"non_idempotent","timeout_ms":1000,"target_latency_ms":100,"priority":2,"service":"dispatch","max_attempts":1}],
	"services":[{"name":"desk","health_path":"/healthz"},{"name":"dispatch","health_path":"/healthz"}],
	"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":10000,"idle_timeout_ms":60000},
	"tenants":[{"name":"crews","api_keys":["key-1"]}]}`

// runEndlessHead has one of the workers of a model service send bytes that are no answer: a head without an end.
func runEndlessHead(ctx context.Context, s *setup) error {
	store := standin.New()
	defer store.Close()
	store.Put("op/config", configuration)
	zones := []string{"bole", "merkato"}
	var garbling atomic.Bool
	var workers []*worker
	for n := range 3 {
		w := &worker{id: fmt.Sprintf("i-desk-%d", n+1), service: "desk", zone: zones[n%2], slots: 10, queue: 60, record: s.record, respond: respondStream}
		if n == 0 {
			w.spoil = endlessHead(ctx, w, &garbling)
		}
		workers = append(workers, w)
	}
	for n := range 4 {
		workers = append(workers, &worker{id: fmt.Sprintf("i-dispatch-%d", n+1), service: "dispatch", zone: zones[n%2], slots: 6, queue: 24, record: s.record, respond: respondPlain})
	}
	for _, w := range workers {
		if _, err := startWorker(w); err != nil {
			return err
		}
		defer w.close()
		store.Put("servers/"+w.id, w.entry("ready", 1))
	}
	daemons, err := startDaemons(ctx, s, store.Address(), zones...)
	if err != nil {
		return err
	}
	defer stopAll(daemons)
	traffic, end := context.WithCancel(ctx)
	var all sync.WaitGroup
	var mu sync.Mutex
	var calls []*call
	for n := range 48 {
		c := &client{address: daemons[n%2].callers, record: s.record}
		all.Go(func() {
			defer c.close()
			for traffic.Err() == nil {
				var k *call
				if n < 32 {
					k = c.do(traffic, "POST", "/slots/1", "", "slot", time.Second)
				} else {
					k = c.do(traffic, "POST", "/packing/1", "Tacktally-Model: m\r\nTacktally-Token-Count: 628,58\r\n", "question", 15*time.Second)
				}
				if k == nil {
					return
				}
				mu.Lock()
				calls = append(calls, k)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	pause(ctx, quietBefore)
	if s.trouble {
		s.record.add("from now on %s spoils one in %d of its answers", workers[0].id, garbleEvery)
		garbling.Store(true)
	}
	pause(ctx, garbleFor)
	garbling.Store(false)
	s.record.add("%s answers well again", workers[0].id)
	pause(ctx, quietAfter)
	end()
	all.Wait()
	if ctx.Err() != nil {
		return fmt.Errorf("interrupted: %w", ctx.Err())
	}
	return judgeLost(s, daemons, workers[1:], calls)
}

// pause blocks for a time, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// judgeLost counts the requests that a daemon read from a kept connection and passed on to a sound worker, and whose
// connection it closed without an answer.
func judgeLost(s *setup, daemons []*daemon, sound []*worker, calls []*call) error {
	lost, answered := 0, 0
	for _, k := range calls {
		if k.complete {
			answered++
		}
		if !k.kept || k.status != 0 || k.err == nil || k.ended.Sub(k.sent) >= k.deadline {
			continue
		}
		for _, w := range sound {
			if w.runsOf(k.id) > 0 {
				lost++
				s.record.add("lost: %s ran at %s, and its kept connection ended without an answer", k.id, w.id)
			}
		}
	}
	kills := 0
	for _, d := range daemons {
		n, mb := d.state()
		kills += n
		s.record.add("%s: highest memory %d MB, killed for its memory %d times", d.name, mb, n)
	}
	s.record.add("%d client attempts, %d of them lost at sound workers, %d processes killed", len(calls), lost, kills)
	if answered == 0 {
		return errors.New("no request was answered")
	}
	if lost > allowedLost {
		return fmt.Errorf("%w: LOST: %d requests that sound workers ran had no answer (%d are allowed); %d processes exceeded their memory", errBroken, lost, allowedLost, kills)
	}
	return nil
}

// endlessHead returns a function that spoils one in garbleEvery answers of a worker: instead of an answer it sends
// the beginning of a head that doesn't end, at the speed of the worker's link, until the connection is closed.
func endlessHead(ctx context.Context, w *worker, garbling *atomic.Bool) func(http.ResponseWriter) bool {
	var answers atomic.Int64
	return func(out http.ResponseWriter) bool {
		if !garbling.Load() || answers.Add(1)%garbleEvery != 0 {
			return false
		}
		conn, _, err := out.(http.Hijacker).Hijack()
		if err != nil {
			return false
		}
		defer conn.Close()
		w.record.add("%s spoils an answer", w.id)
		const steps = 100 // per second
		chunk := bytes.Repeat([]byte("a"), linkBytesPerSecond/steps)
		_, err = conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Words: "))
		sent := 0
		pace := time.NewTicker(time.Second / steps)
		defer pace.Stop()
		for err == nil && sent < maxGarbage && ctx.Err() == nil {
			var n int
			n, err = conn.Write(chunk)
			sent += n
			<-pace.C
		}
		w.record.add("%s has sent %d MB of the spoilt answer: %v", w.id, sent>>20, err)
		return true
	}
}
