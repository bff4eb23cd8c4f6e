package proxy

import "github.com/tacktally/tacktally/internal/ratelimit"

// recordLimit records the advertised limit of a response. Only a signed response can lift a limit.
func (r *relay) recordLimit(head ResponseInfo) {
	if head.Limit.Kind == ratelimit.Unknown {
		r.job.handler.o.Metrics.Count("tacktally_upstream_limits_unreadable_total")
		r.job.handler.o.Log.Debug().Str("event", "upstream_limit_unreadable").Str("request", r.job.info.ID).Str("upstream", r.job.upstream).Msg("advertised limit is unreadable; it is ignored")
		return
	}
	if head.Limit.Kind == ratelimit.Unlimited && !head.Signed {
		return
	}
	if r.job.handler.o.Fleet.ObserveLimit(r.process, r.job.sentAt, head.Limit) {
		r.job.handler.o.Announce()
	}
}
