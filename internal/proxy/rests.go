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

// restSpread is the part by which the times to come back of callers are spread beyond the end of a rest:
// they would all come at that moment.
const restSpread = 0.2

// noteRest takes what an answer says of rest: one that turns a request away may ask for it, and any other
// answer shows that it is over.
func (r *relay) noteRest(head ResponseInfo) {
	f, upstream := r.job.handler.o.Fleet, r.job.upstream
	switch {
	case head.Misdirected: // another process's word
	case r.answer.Status == http.StatusServiceUnavailable && head.RetryAfter > 0:
		f.Rest(upstream, head.RetryAfter)
	default:
		f.Heard(upstream)
	}
}

// waitsForRest waits until the first upstream is back, where all rest and the request has the time. It
// tells whether it did.
func (j *job) waitsForRest(ctx context.Context, p *api.Problem) bool {
	back := j.handler.o.Fleet.FirstBack(j.service)
	if p.Reason != api.ReasonNoUpstream || back == 0 {
		return false
	}
	patience := j.patience(j.attempts > 0)
	if patience == 0 || time.Since(j.arrived)+back > patience {
		return false
	}
	return wait.For(ctx, back)
}

// orRest says why no upstream may be used, where it is that all rest.
func (j *job) orRest(p *api.Problem) *api.Problem {
	if p.Reason != api.ReasonNoUpstream || j.handler.o.Fleet.FirstBack(j.service) == 0 {
		return p
	}
	return api.Refuse(api.ReasonUpstreamRefused, "all upstreams have asked for rest; come back after the time given").WithRetryAfter(j.comeBack())
}

// comeBack is when a caller may come back whose request an upstream refused: soon, unless all rest.
func (j *job) comeBack() time.Duration {
	back := j.handler.o.Fleet.FirstBack(j.service)
	return max(back+time.Duration(restSpread*rand.Float64()*float64(back)), fleet.ComeBackSoon)
}
