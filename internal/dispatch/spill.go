package dispatch

import (
	"context"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/request"
)

// Spiller sends a request to another availability zone that has room. It finishes
// the buffer when done is true; sent tells whether the request may have run.
type Spiller func(ctx context.Context, set string, r *request.Request, b *answer.Buffer) (done, sent bool)

// spill sends a request that this zone has no room for to another zone. Only an
// idempotent one goes, and once: a request under a key is its issuer's.
func (a *attempts) spill(ctx context.Context, p *api.Problem) (answer.End, bool) {
	d := a.dispatcher
	r := a.request
	if d.o.Spill == nil || r.NonIdempotent || r.Spilled || a.buffer.Started() || !isCapacityRefusal(p.Reason) {
		return answer.End{}, false
	}
	away := *r
	away.Spilled = true
	done, sent := d.o.Spill(ctx, a.set, &away, a.buffer)
	a.mayHaveRun = a.mayHaveRun || sent
	if !done {
		return answer.End{}, false
	}
	a.spilled = true
	d.recordRetry(r, api.RetryOtherZone, p)
	return *a.buffer.Ended(), true
}

// lacksRoom tells whether another zone may do better.
func isCapacityRefusal(r api.Reason) bool {
	switch r {
	case api.ReasonPredictedLate, api.ReasonQueueFull, api.ReasonDisplaced,
		api.ReasonNoUpstream, api.ReasonUnreachable, api.ReasonUpstreamRefused:
		return true
	default:
		return false
	}
}
