package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/fleet"
	"github.com/tacktally/tacktally/internal/wait"
)

// retryAfterJitter is the share by which callers' retry times are spread beyond the end of a
// requested backoff; otherwise they would all retry at that moment.
const retryAfterJitter = 0.2

// recordBackoff records a requested backoff: a 503 response may request one, and any other response
// ends it.
func (r *relay) recordBackoff(head ResponseInfo) {
	f := r.job.handler.o.Fleet
	switch {
	case head.Misdirected: // it comes from another process
	case r.response.Status == http.StatusServiceUnavailable && head.RetryAfter > 0:
		f.BeginBackoff(r.process, head.RetryAfter)
	default:
		f.RecordResponse(r.job.upstream, r.process)
	}
}

// waitForBackoff waits until the first upstream may be used again, if all of them are backing off
// and the request may wait that long. It reports whether it waited.
func (j *job) waitForBackoff(ctx context.Context, p *api.Problem) bool {
	delay := j.handler.o.Fleet.ShortestBackoff(j.service)
	if p.Reason != api.ReasonNoUpstream || delay == 0 {
		return false
	}
	limit := j.maxWait(j.attempts > 0)
	if limit == 0 || time.Since(j.arrived)+delay > limit {
		return false
	}
	return wait.For(ctx, delay)
}

// orBackoffProblem returns p, or a problem that names the cause if no upstream is usable because
// all of them are backing off.
func (j *job) orBackoffProblem(p *api.Problem) *api.Problem {
	if p.Reason != api.ReasonNoUpstream || j.handler.o.Fleet.ShortestBackoff(j.service) == 0 {
		return p
	}
	return api.Refuse(api.ReasonUpstreamRefused, "all upstreams have requested backoff; retry after the given time").WithRetryAfter(j.retryAfter())
}

// withBackoff returns p with a retry delay if the request may be repeated and all upstreams are backing off.
func (j *job) withBackoff(p *api.Problem) *api.Problem {
	if !j.route.MayRetry() || j.handler.o.Fleet.ShortestBackoff(j.service) == 0 {
		return p
	}
	return p.WithRetryAfter(j.retryAfter())
}

// retryAfter returns when a caller may retry a request that an upstream refused: soon, or once the
// first upstream may be used again if all are backing off.
func (j *job) retryAfter() time.Duration {
	delay := j.handler.o.Fleet.ShortestBackoff(j.service)
	return max(delay+time.Duration(retryAfterJitter*rand.Float64()*float64(delay)), fleet.ShortRetryAfter)
}
