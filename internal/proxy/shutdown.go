package proxy

import (
	"errors"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/fleet"
)

const (
	// maxLateShare is the share of a route's recent requests that may have taken longer than the grace period lasts, for a
	// new one to be sent while callers may still be sent to this instance. Above it, a new one is more likely to be cut
	// than answered.
	maxLateShare = 0.5
	// lateMargin is how many times as long as the longest recent request the grace period must last after listenEnd: a
	// caller that is refused is served elsewhere.
	lateMargin = 2
)

// errShuttingDown ends the requests that still run at the end of the grace period.
var errShuttingDown = errors.New("the instance is shutting down")

// shutdown is what the handler knows of the instance's shutdown.
type shutdown struct {
	listenEnd time.Time // until then callers may still be sent here
	end       time.Time // requests that still run are aborted then
}

// Drain makes the response to each request that arrives from now on close its connection, and refuses requests that would
// probably still run at end, when Abort is called. Callers may still be sent to this instance until listenEnd.
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

// checkGrace returns a problem if the instance is shutting down and the request, which has run nowhere, would probably be
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
	if now.Before(s.listenEnd) {
		if late, _ := j.handler.durations.shareOver(now, j.route, left); late <= maxLateShare {
			return nil
		}
	} else if late, known := j.handler.durations.shareOver(now, j.route, left/lateMargin); known && late == 0 {
		return nil
	}
	j.handler.o.Metrics.Count("tacktally_late_requests_refused_total")
	return j.drainingProblem()
}

// drainingProblem returns the problem of a request that the instance can't serve since it is shutting down.
func (j *job) drainingProblem() *api.Problem {
	return api.Refuse(api.ReasonDraining, "the instance is shutting down; send the request anew on another connection").WithRetryAfter(fleet.ShortRetryAfter)
}
