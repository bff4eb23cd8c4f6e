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
	mu        sync.Mutex
	byProcess map[string]brittleUpstream
}

type brittleUpstream struct {
	maxRefusals int // in a second
	until       time.Time
}

// observe records what the load report of a response says.
func (b *brittleUpstreams) observe(now time.Time, process string, r loadreport.Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !r.Brittle {
		delete(b.byProcess, process)
		return
	}
	if b.byProcess == nil {
		b.byProcess = map[string]brittleUpstream{}
	}
	b.byProcess[process] = brittleUpstream{maxRefusals: r.MaxRefusals, until: now.Add(brittleFor)}
}

// all returns how many refusals in a second the brittle upstreams survive, by process.
func (b *brittleUpstreams) all(now time.Time) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.byProcess) == 0 {
		return nil
	}
	out := map[string]int{}
	for process, u := range b.byProcess {
		if now.Before(u.until) {
			out[process] = u.maxRefusals
		} else {
			delete(b.byProcess, process)
		}
	}
	return out
}

// brittleOf returns the brittle upstreams of a service by ID, for the owner of one of its shards.
func (f *Fleet) brittleOf(service string) map[string]int {
	known := f.brittle.all(time.Now())
	if len(known) == 0 {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]int{}
	for process, n := range known {
		if u := f.processes[process]; u != nil && u.Service == service && len(out) < maxBrittlePerRequest {
			out[u.ID] = n
		}
	}
	return out
}

// ObserveReport records what the load report of a response says to this instance of the process that sent it.
func (f *Fleet) ObserveReport(process string, r loadreport.Report) {
	f.brittle.observe(time.Now(), process, r)
}
