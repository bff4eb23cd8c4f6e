package proxy

import (
	"errors"
	"sync"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/fleet"
	"github.com/tacktally/tacktally/internal/routing"
)

const (
	// maxLateShare is the share of a route's recent requests that may have taken longer than the grace period lasts, for a
	// new one to be sent while callers may still be sent to this instance.
	maxLateShare = 0.1
	// lateMargin is how many times the longest recent request the grace period must last after that: a caller that is
	// refused is served elsewhere.
	lateMargin = 2
	// recentRequests is the number of requests of a route whose durations are kept.
	recentRequests = 32
	// maxTimedRoutes bounds the routes whose durations are kept.
	maxTimedRoutes = 4096
)

// errShuttingDown ends the requests that still run at the end of the grace period.
var errShuttingDown = errors.New("the instance is shutting down")

// shutdown is what the handler knows of the instance's shutdown.
type shutdown struct {
	listenEnd time.Time // until then callers may still be sent here
	end       time.Time // requests that still run are aborted then
}

// Drain makes every response from now on close its connection, and refuses requests that would probably still run at end,
// when Abort is called. Callers may still be sent to this instance until listenEnd.
func (h *Handler) Drain(listenEnd, end time.Time) {
	h.shutdown.Store(&shutdown{listenEnd: listenEnd, end: end})
}

// graceLeft returns how long requests may still run; false if the instance isn't shutting down.
func (h *Handler) graceLeft() (time.Duration, bool) {
	s := h.shutdown.Load()
	if s == nil {
		return 0, false
	}
	return time.Until(s.end), true
}

// Abort ends the requests that still run. Callers that have no part of a response get a final one. It doesn't block.
func (h *Handler) Abort() { h.abort(errShuttingDown) }

// checkGrace returns a problem if the instance is shutting down and the request, which wasn't sent yet, would probably be
// aborted: another instance can serve it, and nobody could tell whether an aborted one has run.
func (j *job) checkGrace() *api.Problem {
	s := j.handler.shutdown.Load()
	switch {
	case j.mayHaveRun:
		return nil
	case j.handler.aborted.Err() != nil:
		return j.drainingProblem()
	case s == nil || j.deadline.Before(s.end):
		return nil
	}
	now := time.Now()
	left := s.end.Sub(now)
	recent := j.handler.durations.of(j.route)
	switch {
	case now.Before(s.listenEnd) && recent.shareOver(left) <= maxLateShare:
		return nil
	case !now.Before(s.listenEnd) && recent.count > 0 && recent.shareOver(left/lateMargin) == 0:
		return nil
	}
	j.handler.o.Metrics.Count("tacktally_late_requests_refused_total")
	return j.drainingProblem()
}

// drainingProblem returns the problem of a request that the instance can't serve since it is shutting down.
func (j *job) drainingProblem() *api.Problem {
	return api.Refuse(api.ReasonDraining, "the instance is shutting down; send the request anew on another connection").WithRetryAfter(fleet.ShortRetryAfter)
}

// routeDurations are how long requests of each route ran lately. It is safe for concurrent use.
type routeDurations struct {
	mu      sync.Mutex
	byRoute map[routeKey]*recentDurations
}

// routeKey identifies a route in all versions of the configuration.
type routeKey struct{ host, prefix string }

// recentDurations are the durations of the last requests of a route.
type recentDurations struct {
	took  [recentRequests]time.Duration
	count int // of durations ever recorded
}

// record records how long a request of a route ran, until its response was complete.
func (d *routeDurations) record(r *routing.Route, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := routeKey{r.Host, r.Prefix}
	recent := d.byRoute[k]
	if recent == nil {
		if d.byRoute == nil || len(d.byRoute) >= maxTimedRoutes {
			d.byRoute = map[routeKey]*recentDurations{} // routes come and go with the configuration
		}
		recent = &recentDurations{}
		d.byRoute[k] = recent
	}
	recent.took[recent.count%recentRequests] = took
	recent.count++
}

// of returns the durations of a route; the zero value if none was recorded.
func (d *routeDurations) of(r *routing.Route) recentDurations {
	d.mu.Lock()
	defer d.mu.Unlock()
	if recent := d.byRoute[routeKey{r.Host, r.Prefix}]; recent != nil {
		return *recent
	}
	return recentDurations{}
}

// shareOver returns the share of the durations that are longer than d; 0 if there are none.
func (r recentDurations) shareOver(d time.Duration) float64 {
	kept := r.took[:min(r.count, recentRequests)]
	over := 0
	for _, took := range kept {
		if took > d {
			over++
		}
	}
	return float64(over) / float64(max(len(kept), 1))
}
