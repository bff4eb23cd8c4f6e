// Package cacheevents follows the changes that engines report of their prefix caches.
//
// Protocol of the engines, as implemented by the fake in internal/standin/engine:
//
//	GET /v1/cache-events?after=N&wait=SECS   returns the events after number N as a Batch, at once
//	                                         or when there are any
//
// Events arrive late and with gaps, so they are hints: a wrong one costs the prefill of a prompt
// that was cached, and never leads to a wrong response.
package cacheevents

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/dghubble/sling"
	"github.com/go-json-experiment/json"

	"github.com/tacktally/tacktally/internal/exchange"
	"github.com/tacktally/tacktally/internal/wait"
)

const (
	// longPollWait is the time for which one call waits for events, and timeoutMargin is the time
	// that it may take in addition.
	longPollWait  = 20 * time.Second
	timeoutMargin = 5 * time.Second
	// minPollInterval is the time between two calls to the same engine.
	minPollInterval = 100 * time.Millisecond
	// The delay after a failed call grows from firstBackoff to maxBackoff.
	firstBackoff = time.Second
	maxBackoff   = time.Minute
	// maxBatchBytes bounds the response to one call.
	maxBatchBytes = 4 << 20
)

// Event is a change of an engine's cache. Blocks are prefix hashes as in package prefix.
type Event struct {
	Number  int64    `json:"number"`
	Added   []uint64 `json:"added"`
	Dropped []uint64 `json:"dropped"`
}

// Batch is the response to one call. Last is the number of the newest event.
type Batch struct {
	Last   int64   `json:"last"`
	Events []Event `json:"events"`
}

// Sink receives the events. Its methods must not block for long.
type Sink interface {
	// CacheEvent is called for each event of an engine.
	CacheEvent(address string, added, dropped []uint64)
	// CacheCleared is called when an engine has restarted with an empty cache.
	CacheCleared(address string)
}

// Follower follows the cache events of a set of engines. It is safe for concurrent use.
type Follower struct {
	sink   Sink
	http   *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu    sync.Mutex
	stops map[string]context.CancelFunc
}

// NewFollower returns a follower without engines. Close stops it.
func NewFollower(sink Sink) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	return &Follower{
		sink:   sink,
		http:   &http.Client{Timeout: longPollWait + timeoutMargin, Transport: exchange.Strict(&http.Transport{MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: exchange.MaxHeadBytes})},
		ctx:    ctx,
		cancel: cancel,
		stops:  map[string]context.CancelFunc{},
	}
}

// Close cancels all calls and blocks until they have ended.
func (f *Follower) Close() {
	f.cancel()
	f.wg.Wait()
	f.http.CloseIdleConnections()
}

// SetEngines replaces the set of engines to follow.
func (f *Follower) SetEngines(addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wanted := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		wanted[a] = true
	}
	for a, stop := range f.stops {
		if !wanted[a] {
			stop()
			delete(f.stops, a)
		}
	}
	for a := range wanted {
		if f.stops[a] != nil || f.ctx.Err() != nil {
			continue
		}
		ctx, stop := context.WithCancel(f.ctx)
		f.stops[a] = stop
		f.wg.Go(func() { f.follow(ctx, a) })
	}
}

// follow polls one engine until ctx is done.
func (f *Follower) follow(ctx context.Context, address string) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = firstBackoff
	retry.MaxInterval = maxBackoff
	var after int64
	for ctx.Err() == nil {
		batch, err := f.poll(ctx, address, after)
		next := minPollInterval
		if err != nil {
			next = retry.NextBackOff() // engines needn't publish events
		} else {
			retry.Reset()
			after = f.apply(address, after, batch)
		}
		wait.For(ctx, next)
	}
}

// apply passes the events of a batch to the sink, and returns the number after which to poll next.
// A lower number than before means that the engine has restarted.
func (f *Follower) apply(address string, after int64, b Batch) int64 {
	if b.Last < after {
		f.sink.CacheCleared(address)
		return 0
	}
	for _, e := range b.Events {
		f.sink.CacheEvent(address, e.Added, e.Dropped)
	}
	return b.Last
}

type params struct {
	After int64 `url:"after"`
	Wait  int64 `url:"wait"`
}

// poll calls the engine once. It blocks for at most longPollWait plus timeoutMargin.
func (f *Follower) poll(ctx context.Context, address string, after int64) (b Batch, err error) {
	h, err := sling.New().Base("http://" + address).Get("/v1/cache-events").
		QueryStruct(params{After: after, Wait: int64(longPollWait / time.Second)}).Request()
	if err != nil {
		return b, err
	}
	response, err := f.http.Do(h.WithContext(ctx))
	if err != nil {
		return b, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return b, fmt.Errorf("poll cache events of engine %s: status %s", address, response.Status)
	}
	return b, json.UnmarshalRead(http.MaxBytesReader(nil, response.Body, maxBatchBytes), &b)
}
