package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The disruptions: node_freeze of one daemon of six, and srv_crash of one worker of eight, which is back, at its address,
// before the daemon goes on. They come several times.
const (
	routers       = 6
	freezeTime    = 2900 * time.Millisecond // callers of these streams give up after a silence of 3.2 s
	crashAfter    = 300 * time.Millisecond  // from the begin of the freeze
	downTime      = 2 * time.Second
	rebirthEvery  = 7 * time.Second
	rebirths      = 12
	rebirthCaller = 64
)

// rebirth counts the streams that ended as complete before their last event.
func rebirth(r *record, trouble bool) (breaks int, err error) {
	c, err := newCluster(r, routers, configuration)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return 0, err
	}
	all := make([]*engine, engines)
	defer func() {
		for _, e := range all {
			if e != nil {
				e.kill()
			}
		}
	}()
	for i := range all {
		if all[i], err = startEngine(r, fmt.Sprintf("e-%d", i), zones[i%2]); err != nil {
			return 0, err
		}
		register(c, all[i])
	}
	if err := c.awaitReady(); err != nil {
		return 0, err
	}
	end := time.Now().Add(rebirths * rebirthEvery)
	var count atomic.Int64
	var callers sync.WaitGroup
	for n := range rebirthCaller {
		callers.Go(func() { count.Add(int64(readStreams(r, c.daemons, n, end))) })
	}
	time.Sleep(time.Second)
	for i := 0; trouble && i < rebirths && err == nil; i++ {
		began := time.Now()
		victim := rand.IntN(engines)
		all[victim], err = crashDuringFreeze(c, c.daemons[i%routers], all[victim])
		time.Sleep(rebirthEvery - time.Since(began))
	}
	callers.Wait()
	return int(count.Load()), err
}

// crashDuringFreeze stops a daemon, kills a worker and starts it again at its address, and lets the daemon go on. It returns
// the new process of the worker, or the old one beside an error.
func crashDuringFreeze(c *cluster, d *daemon, e *engine) (*engine, error) {
	began := time.Now()
	d.signal(syscall.SIGSTOP)
	defer d.signal(syscall.SIGCONT)
	time.Sleep(crashAfter)
	c.record.add("trouble: worker %s is killed", e.id)
	e.kill()
	time.Sleep(downTime)
	reborn, err := startEngineAt(e.record, e.id, e.zone, e.address)
	if err != nil {
		return e, err
	}
	register(c, reborn)
	c.record.add("trouble: worker %s is back", e.id)
	time.Sleep(freezeTime - time.Since(began))
	return reborn, nil
}

// register writes the first entry of a worker's process, which tells when it started.
func register(c *cluster, e *engine) {
	e.born = time.Now().UnixMilli()
	time.Sleep(100 * time.Millisecond) // until it listens
	c.store.Put("servers/"+e.id, e.entry("ready", 1))
}
