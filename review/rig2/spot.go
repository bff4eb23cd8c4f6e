package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The disruption: scale_in "spot" of one worker of eight, by the figures of the list of kinds.
const (
	engines       = 8
	noticeTime    = 2 * time.Second // from the notice until the worker is gone
	lapseTime     = 3 * upstreamBeats
	replacedAfter = 4 * time.Second
	spotEvery     = 9 * time.Second
	spots         = 8
	streamClients = 24
)

// The length of streams, in events: 40 on the average, up to 4 seconds.
const (
	minEvents = 10
	maxEvents = 100
)

// spot counts the streams that ended as complete before their last event.
func spot(r *record, trouble bool) (breaks int, err error) {
	c, err := newCluster(r, 2, configuration)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return 0, err
	}
	var all []*engine
	defer func() {
		for _, e := range all {
			e.kill()
		}
	}()
	add := func() error {
		e, err := startEngine(r, fmt.Sprintf("e-%d", len(all)), zones[len(all)%2])
		if err != nil {
			return err
		}
		all = append(all, e)
		time.Sleep(100 * time.Millisecond) // until it listens
		c.store.Put("servers/"+e.id, e.entry("ready", 1))
		return nil
	}
	for range engines {
		if err := add(); err != nil {
			return 0, err
		}
	}
	if err := c.awaitReady(); err != nil {
		return 0, err
	}
	end := time.Now().Add(spots * spotEvery)
	var count atomic.Int64
	var callers sync.WaitGroup
	for n := range streamClients {
		callers.Go(func() { count.Add(int64(readStreams(r, c.daemons, n, end))) })
	}
	for i := 0; trouble && i < spots; i++ {
		began := time.Now()
		takeAway(c, all[i])
		time.Sleep(replacedAfter - lapseTime)
		if err := add(); err != nil {
			return 0, err
		}
		time.Sleep(spotEvery - time.Since(began))
	}
	callers.Wait()
	return int(count.Load()), nil
}

// takeAway tells the store that a worker is leaving, and kills it after the notice. Its entry lapses later.
func takeAway(c *cluster, e *engine) {
	c.record.add("trouble: worker %s reports that it is draining", e.id)
	c.store.Put("servers/"+e.id, e.entry("draining", 2))
	time.Sleep(noticeTime)
	c.record.add("trouble: worker %s is killed", e.id)
	e.kill()
	time.Sleep(lapseTime)
	c.store.Delete("servers/" + e.id)
}

// readStreams requests streams until a time, and returns how many ended in order before their last event.
func readStreams(r *record, daemons []*daemon, n int, end time.Time) (breaks int) {
	for i := 0; time.Now().Before(end); i++ {
		id := fmt.Sprintf("s%d-%d", n, i)
		events := minEvents + rand.IntN(maxEvents-minEvents)
		path := fmt.Sprintf("/packing/%s/%d", id, events)
		c := &client{address: daemons[n%len(daemons)].front}
		a := c.send(request{id: id, method: http.MethodPost, path: path, deadline: 15 * time.Second, body: make([]byte, 830),
			header: http.Header{"Tacktally-Model": {"m"}, "Tacktally-Token-Count": {"100,300"}, "Tacktally-Prompt-Prefix": {"5c1e07a2:60," + fmt.Sprintf("%x:40", rand.Uint64())}}})
		c.close()
		whole := wholeStream(path, events)
		r.add("client %d sent %s: status %d, %d of %d bytes, error %v", n, path, a.status, len(a.body), len(whole), a.err)
		if a.status == http.StatusOK && a.err == nil && string(a.body) != whole {
			r.add("BROKEN: MIXED: the stream %s ended in order after %d of %d events", id, strings.Count(string(a.body), "\n\n"), events)
			breaks++
		}
		time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
	}
	return breaks
}

func wholeStream(path string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(event(path, n))
	}
	return b.String()
}
