package fleet

import (
	"sync"
	"time"

	"github.com/tacktally/tacktally/internal/loadreport"
)

// An upstream that is brittle says so in each response. The owner of its shard gets that with the load
// reports. Each instance also remembers what the upstreams that it sends to have said, and tells the owner
// with each slot request: a new owner doesn't know.

const (
	// brittleFor is how long an upstream counts as brittle after its last response that said so.
	brittleFor = 5 * time.Second
	// maxBrittlePerRequest is the maximum number of brittle upstreams in one slot request.
	maxBrittlePerRequest = 32
)

// brittleUpstreams are the upstreams that have said to this instance that they are brittle. The zero value
// has none. It is safe for concurrent use.
type brittleUpstreams struct {
	mu   sync.Mutex
	byID map[string]brittleUpstream
}

type brittleUpstream struct {
	maxRefusals int // in a second
	until       time.Time
}

// observe records what the load report of a response says.
func (b *brittleUpstreams) observe(now time.Time, id string, r loadreport.Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !r.Brittle {
		delete(b.byID, id)
		return
	}
	if b.byID == nil {
		b.byID = map[string]brittleUpstream{}
	}
	b.byID[id] = brittleUpstream{maxRefusals: r.MaxRefusals, until: now.Add(brittleFor)}
}

// all returns how many refusals in a second the brittle upstreams survive, by ID.
func (b *brittleUpstreams) all(now time.Time) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.byID) == 0 {
		return nil
	}
	out := map[string]int{}
	for id, u := range b.byID {
		if now.Before(u.until) {
			out[id] = u.maxRefusals
		} else {
			delete(b.byID, id)
		}
	}
	return out
}

// brittleOf returns the brittle upstreams of a service, for the owner of one of its shards.
func (f *Fleet) brittleOf(service string) map[string]int {
	known := f.brittle.all(time.Now())
	if len(known) == 0 {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]int{}
	for id, n := range known {
		if u := f.upstreams[id]; u != nil && u.Service == service && len(out) < maxBrittlePerRequest {
			out[id] = n
		}
	}
	return out
}

// ObserveReport records what the load report of a response says of its upstream to this instance.
func (f *Fleet) ObserveReport(id string, r loadreport.Report) { f.brittle.observe(time.Now(), id, r) }
