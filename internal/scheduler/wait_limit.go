package scheduler

import "time"

const (
	// responseTimeMargin multiplies the typical response time that a wait leaves for the response.
	// Upstreams that share their machine take longer at times.
	responseTimeMargin = 1.25
	// maxObjectiveShare bounds the wait, as a share of the objective. A refusal after that leaves the
	// caller time for one retry within its deadline.
	maxObjectiveShare = 0.5
	// responseTimeWindow is the number of responses over which the typical response time averages.
	responseTimeWindow = 20
	// maxResponseTimeStep bounds one response time, as a multiple of the typical one, so that one
	// response of an upstream that was paused for seconds doesn't shorten the waits for all others.
	maxResponseTimeStep = 3
)

// responseTime estimates the typical time from the grant of a plain request to its response. The
// zero value has learned nothing.
type responseTime struct {
	mean      time.Duration
	responses int // observed, at most responseTimeWindow
}

// observe records the time that one response took. The first responses are averaged evenly.
func (t *responseTime) observe(took time.Duration) {
	if took <= 0 {
		return
	}
	if t.responses > 0 {
		took = min(took, maxResponseTimeStep*t.mean)
	}
	t.responses = min(t.responses+1, responseTimeWindow)
	t.mean += (took - t.mean) / time.Duration(t.responses)
}

// isKnown reports whether a response has been observed.
func (t *responseTime) isKnown() bool { return t.responses > 0 }

// longestWait returns the time from arrival for which a request may wait so that a typical response
// is complete within the given time from arrival. It may be negative.
func (t *responseTime) longestWait(within time.Duration) time.Duration {
	left := within - time.Duration(responseTimeMargin*float64(t.mean))
	return min(left, time.Duration(maxObjectiveShare*float64(within)))
}

// waitLimit returns the time from arrival for which a request with a MaxWait may wait for an
// upstream. A plain request whose objective hasn't passed may wait longer than MaxWait if its
// response would still be in time.
func (c *Core) waitLimit(now time.Time, r *Request) time.Duration {
	if !c.options.WaitForObjective || !r.isPlain() || !c.responses.isKnown() {
		return r.MaxWait
	}
	within := min(r.LatencyObjective, r.Deadline.Sub(r.Arrived))
	if within <= now.Sub(r.Arrived) {
		return r.MaxWait
	}
	return max(r.MaxWait, c.responses.longestWait(within))
}

// observeResponse records that the response to a grant has begun.
func (c *Core) observeResponse(g *Grant, took time.Duration) {
	if c.options.WaitForObjective && g.Request.isPlain() {
		c.responses.observe(took)
	}
}

// isPlain reports whether the request has no token counts: its response is not a stream.
func (r *Request) isPlain() bool {
	return r.PromptTokens == 0 && r.MaxOutput == 0 && r.ExpectedOutput == 0
}
