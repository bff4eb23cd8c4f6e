package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Departures collects which requests reach upstreams that have left. Safe for concurrent
// use.
type Departures struct {
	mu     sync.Mutex
	left   map[string]time.Time // by upstream
	late   []arrival            // what reached one that had left
	reason map[string]string    // how it left
}

// arrival is a request that reached an upstream.
type arrival struct {
	request, upstream string
	at                time.Time
}

// NewDepartures returns one without upstreams that have left.
func NewDepartures() *Departures {
	return &Departures{left: map[string]time.Time{}, reason: map[string]string{}}
}

// Left records that an upstream's leaving was acknowledged just now, and how it left.
func (d *Departures) Left(upstream, how string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.left[upstream] = time.Now()
	d.reason[upstream] = how
}

// Reached records that a request has reached an upstream.
func (d *Departures) Reached(request, upstream string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, gone := d.left[upstream]; gone {
		d.late = append(d.late, arrival{request: request, upstream: upstream, at: time.Now()})
	}
}

// Check returns a line for each upstream that requests reached later than a bound after it
// had left. The time for which the machine stood still meanwhile isn't counted.
func (d *Departures) Check(bound time.Duration, stalls *Stalls) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	late := map[string][]time.Duration{}
	for _, a := range d.late {
		left := d.left[a.upstream]
		after := a.at.Sub(left) - stalls.Within(left, a.at)
		if after > bound {
			late[a.upstream] = append(late[a.upstream], after)
		}
	}
	var out []string
	for upstream, after := range late {
		out = append(out, fmt.Sprintf("%d requests reached %s (%s) over %v after it had left, from %v to %v after",
			len(after), upstream, d.reason[upstream], bound, slices.Min(after).Round(time.Millisecond), slices.Max(after).Round(time.Millisecond)))
	}
	slices.Sort(out)
	return out
}

// Latest returns how long after its leaving the last request reached any upstream.
func (d *Departures) Latest() (latest time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.late {
		latest = max(latest, a.at.Sub(d.left[a.upstream]))
	}
	return latest
}
