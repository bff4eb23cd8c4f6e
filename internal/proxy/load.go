package proxy

import "time"

// invalidLoadLogInterval is the interval at which at most one invalid load report is logged: an
// upstream that sends invalid ones sends them in every response.
const invalidLoadLogInterval = time.Second

// invalidLoadReports counts the responses whose load report is invalid.
const invalidLoadReports = "tacktally_invalid_load_reports_total"

// recordLoad passes the load report of a trusted response to the grant. An invalid one is counted,
// logged and otherwise ignored.
func (r *relay) recordLoad(head ResponseInfo) {
	if head.LoadError != nil {
		r.job.recordInvalidLoad(head.LoadError)
	}
	r.job.handler.o.Fleet.ObserveReport(r.process, head.Load)
	if head.Load.IsSet() {
		r.onLoad(head.Load)
	}
}

func (j *job) recordInvalidLoad(cause error) {
	j.handler.o.Metrics.Count(invalidLoadReports)
	j.handler.invalidLoadLog.Do(func() {
		j.handler.o.Log.Warn().Str("event", "load_report_invalid").Str("request", j.info.ID).Str("upstream", j.upstream).
			Str("cause", cause.Error()).Msg("invalid load report of an upstream; it is ignored")
	})
}
