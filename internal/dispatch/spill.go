package dispatch

import (
	"context"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/request"
)

// Spiller sends a request to another availability zone that has free capacity. It blocks until the
// request ends there. If done is true, the buffer is finished. Sent reports whether the request may
// have run.
type Spiller func(ctx context.Context, set string, r *request.Request, b *answer.Buffer) (done, sent bool)

// spill sends a request for which this zone has no free capacity to another zone. Only idempotent
// requests are spilled, and only once: a request under a key runs only at the issuer of the key.
func (a *attempts) spill(ctx context.Context, p *api.Problem) (answer.End, bool) {
	d := a.dispatcher
	r := a.request
	if d.o.Spill == nil || d.aborted.Load() || r.NonIdempotent || r.Spilled || a.buffer.Started() || !isCapacityRefusal(p.Reason) {
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

// isCapacityRefusal reports whether another zone may be able to serve a request refused for this
// reason.
func isCapacityRefusal(r api.Reason) bool {
	switch r {
	case api.ReasonPredictedLate, api.ReasonQueueFull, api.ReasonDisplaced,
		api.ReasonNoUpstream, api.ReasonUnreachable, api.ReasonUpstreamRefused:
		return true
	default:
		return false
	}
}
