package proxy

import (
	"sync"
	"time"

	"github.com/tacktally/tacktally/internal/routing"
)

const (
	// recentRequests is the number of requests of a route whose durations are kept.
	recentRequests = 32
	// maxTimedRoutes bounds the routes whose durations are kept.
	maxTimedRoutes = 4096
)

// routeDurations are how long requests of each route ran lately. It is safe for concurrent use.
type routeDurations struct {
	mu      sync.Mutex
	byRoute map[routeKey]*recentDurations
}

// routeKey identifies a route in all versions of the configuration.
type routeKey struct{ host, prefix string }

func routeKeyOf(r *routing.Route) routeKey { return routeKey{r.Host, r.Prefix} }

// recentDurations are the durations of the last requests of a route.
type recentDurations struct {
	took    [recentRequests]time.Duration
	count   int // of durations ever recorded
	running map[*job]time.Time
}

// begin records that a request is about to be sent, unless it was sent before.
func (d *routeDurations) begin(now time.Time, j *job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := routeKeyOf(j.route)
	recent := d.byRoute[k]
	if recent == nil {
		if d.byRoute == nil || len(d.byRoute) >= maxTimedRoutes {
			d.byRoute = map[routeKey]*recentDurations{} // routes come and go with the configuration
		}
		recent = &recentDurations{running: map[*job]time.Time{}}
		d.byRoute[k] = recent
	}
	if _, ok := recent.running[j]; !ok {
		recent.running[j] = now
	}
}

// end records that a request has ended, and how long it ran if it was answered.
func (d *routeDurations) end(now time.Time, j *job, answered bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	recent := d.byRoute[routeKeyOf(j.route)]
	if recent == nil {
		return
	}
	began, ok := recent.running[j]
	delete(recent.running, j)
	if ok && answered {
		recent.took[recent.count%recentRequests] = now.Sub(began)
		recent.count++
	}
}

// shareOver returns the share of the recent requests of a route that took longer than limit, or have been running for
// longer; known is false if there are none.
func (d *routeDurations) shareOver(now time.Time, r *routing.Route, limit time.Duration) (share float64, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	recent := d.byRoute[routeKeyOf(r)]
	if recent == nil {
		return 0, false
	}
	took := recent.took[:min(recent.count, recentRequests)]
	all, over := len(took), 0
	for _, t := range took {
		if t > limit {
			over++
		}
	}
	for _, began := range recent.running {
		if now.Sub(began) > limit {
			all++
			over++
		}
	}
	return float64(over) / float64(max(all, 1)), all > 0
}
