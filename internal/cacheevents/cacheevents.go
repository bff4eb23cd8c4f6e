// Package cacheevents follows what engines tell of their prefix caches.
//
// The engines' protocol, as the stand-in in internal/standin/engine speaks it:
//
//	GET /v1/cache-events?after=N&wait=SECS   events after number N, at once or
//	                                         when there are any, as a Batch
//
// Events come late and with gaps, so they are hints: a wrong one costs a prompt
// read again, never a wrong answer.
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

	"github.com/tacktally/tacktally/internal/wait"
)

const (
	// longPoll is how long one call waits for events, and slack what it may take more.
	longPollWait  = 20 * time.Second
	timeoutMargin = 5 * time.Second
	// pauseBetween bounds how often one engine is asked.
	minPollInterval = 100 * time.Millisecond
	firstBackoff    = time.Second
	maxBackoff      = time.Minute
	maxBytes        = 4 << 20
)

// Event is a change of an engine's cache. Blocks are the sums of package prefix.
type Event struct {
	Number  int64    `json:"number"`
	Added   []uint64 `json:"added"`
	Dropped []uint64 `json:"dropped"`
}

// Batch is the answer to one call. Last is the number of the newest event.
type Batch struct {
	Last   int64   `json:"last"`
	Events []Event `json:"events"`
}

// Sink takes the events. It must not block for long.
type Sink interface {
	// CacheEvent takes one event of an engine.
	CacheEvent(address string, added, dropped []uint64)
	// CacheCleared is called when an engine has begun anew.
	CacheCleared(address string)
}

// Follower follows the engines that it is told of. Safe for concurrent use.
type Follower struct {
	sink   Sink
	http   *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu    sync.Mutex
	stops map[string]context.CancelFunc
}

// NewFollower returns a follower of no engines. Close ends it.
func NewFollower(sink Sink) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	return &Follower{
		sink:   sink,
		http:   &http.Client{Timeout: longPollWait + timeoutMargin, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		ctx:    ctx,
		cancel: cancel,
		stops:  map[string]context.CancelFunc{},
	}
}

// Close ends all calls.
func (f *Follower) Close() {
	f.cancel()
	f.wg.Wait()
	f.http.CloseIdleConnections()
}

// SetEngines replaces the list of engines.
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

// follow asks one engine again and again until ctx ends.
func (f *Follower) follow(ctx context.Context, address string) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = firstBackoff
	retry.MaxInterval = maxBackoff
	var after int64
	for ctx.Err() == nil {
		batch, err := f.poll(ctx, address, after)
		next := minPollInterval
		if err != nil {
			next = retry.NextBackOff() // an engine need not publish events
		} else {
			retry.Reset()
			after = f.apply(address, after, batch)
		}
		wait.For(ctx, next)
	}
}

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
		return b, fmt.Errorf("engine %s answered %s to a call for cache events", address, response.Status)
	}
	return b, json.UnmarshalRead(http.MaxBytesReader(nil, response.Body, maxBytes), &b)
}
