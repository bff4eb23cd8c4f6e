package entry

import (
	"fmt"

	"github.com/tacktally/tacktally/internal/retryschedule"
)

// retryGauges are the counts of the retry schedule by the label that they have in the metrics.
var retryGauges = map[string]func(retryschedule.Counts) int64{
	"told_early":       func(c retryschedule.Counts) int64 { return c.ToldEarly },
	"told_late":        func(c retryschedule.Counts) int64 { return c.ToldLate },
	"returned_on_time": func(c retryschedule.Counts) int64 { return c.ReturnedOnTime },
	"returned_early":   func(c retryschedule.Counts) int64 { return c.ReturnedEarly },
	"refused_again":    func(c retryschedule.Counts) int64 { return c.RefusedAgain },
}

// registerRetryGauges registers the counts of the retry schedule by rank, if it is enabled.
func (i *Instance) registerRetryGauges() {
	if !i.settings.Routed.Overload.RetrySchedule {
		return
	}
	for event, count := range retryGauges {
		for rank := range retryschedule.Ranks {
			name := fmt.Sprintf("tacktally_retry_schedule{rank=%q,event=%q}", fmt.Sprint(rank), event)
			i.metrics.Gauge(name, func() float64 { return float64(count(i.fleet.RetryCounts()[rank])) })
		}
	}
}
