package proxy

import "github.com/tacktally/tacktally/internal/ratelimit"

// noteLimit takes what an answer says of the requests a second that its upstream takes. That there is no limit
// only a signed answer can say.
func (r *relay) noteLimit(head ResponseInfo) {
	if head.Limit.Kind == ratelimit.Unknown {
		r.job.handler.o.Metrics.Count("tacktally_upstream_limits_unreadable_total")
		r.job.handler.o.Log.Debug().Str("event", "upstream_limit_unreadable").Str("request", r.job.call.ID).Str("upstream", r.job.upstream).Msg("")
		return
	}
	if head.Limit.Kind == ratelimit.Unlimited && !head.Signed {
		return
	}
	if r.job.handler.o.Fleet.NoteLimit(r.job.upstream, r.job.sentAt, head.Limit) {
		r.job.handler.o.Announce()
	}
}
