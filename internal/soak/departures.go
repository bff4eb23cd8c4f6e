package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Departures records which requests reach upstreams that have left. Safe for concurrent use.
type Departures struct {
	mu     sync.Mutex
	left   map[string]time.Time // by upstream
	late   []arrival            // requests that reached an upstream after it left
	reason map[string]string    // how it left
}

// arrival is a request that reached an upstream.
type arrival struct {
	request, upstream string
	at                time.Time
}

// NewDepartures returns an empty record.
func NewDepartures() *Departures {
	return &Departures{left: map[string]time.Time{}, reason: map[string]string{}}
}

// Left records that the departure of an upstream has just been acknowledged, and how it left.
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
	if _, left := d.left[upstream]; left {
		d.late = append(d.late, arrival{request: request, upstream: upstream, at: time.Now()})
	}
}

// Check returns a line for each upstream that requests reached later than bound after it had left.
// The time for which the machine was stalled in between isn't counted.
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
		out = append(out, fmt.Sprintf("%d requests reached %s (%s) more than %v after it had left, between %v and %v after",
			len(after), upstream, d.reason[upstream], bound, slices.Min(after).Round(time.Millisecond), slices.Max(after).Round(time.Millisecond)))
	}
	slices.Sort(out)
	return out
}

// Latest returns the longest time after its departure at which a request reached an upstream.
func (d *Departures) Latest() (latest time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.late {
		latest = max(latest, a.at.Sub(d.left[a.upstream]))
	}
	return latest
}
