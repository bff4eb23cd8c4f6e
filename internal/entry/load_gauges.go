package entry

import (
	"time"

	"github.com/tacktally/tacktally/internal/scheduler"
)

// loadGauges are the figures of load reports by the name of their metric. The reports are counted by
// kind where they are recorded (tacktally_load_reports_total).
var loadGauges = map[string]func(scheduler.LoadReports) float64{
	"tacktally_upstreams_reporting_load": func(r scheduler.LoadReports) float64 { return float64(r.Upstreams) },
	"tacktally_load_report_age_seconds":  loadReportAge,
	"tacktally_grants_beyond_slots":      func(r scheduler.LoadReports) float64 { return float64(r.BeyondSlots) },
	"tacktally_mean_requests_in_transit": scheduler.LoadReports.MeanInTransit,
}

// loadReportAge returns the age of the newest report in seconds, or -1 if there was none.
func loadReportAge(r scheduler.LoadReports) float64 {
	if r.Newest.IsZero() {
		return -1
	}
	return r.Age(time.Now()).Seconds()
}

// registerLoadGauges registers the figures of the load reports.
func (i *Instance) registerLoadGauges() {
	for name, figure := range loadGauges {
		i.metrics.Gauge(name, func() float64 { return figure(i.fleet.LoadReports()) })
	}
}
