package entry

import (
	"time"

	"github.com/tacktally/tacktally/internal/processor"
)

// saturatedLogInterval is the time between two log lines about missing processor time.
const saturatedLogInterval = time.Second

// registerProcessorGauges registers how much of its processor time this process uses, and for how many callers.
func (i *Instance) registerProcessorGauges() {
	i.metrics.Gauge("tacktally_processor_utilization", func() float64 { return i.processor.Load().Utilization })
	i.metrics.Gauge("tacktally_processor_stall_seconds", func() float64 { return i.processor.Load().Stall.Seconds() })
	i.metrics.Gauge("tacktally_caller_connections", func() float64 { return float64(i.listeners.callers.OpenConnections()) })
}

// processorSampled logs that the process lacks processor time.
func (i *Instance) processorSampled(processor.Sample) {
	load := i.processor.Load()
	if !load.Saturated() {
		return
	}
	i.saturatedLog.Do(func() {
		i.log.Info().Str("event", "processor_saturated").Float64("utilization", load.Utilization).Dur("stall", load.Stall).
			Int("in_flight", i.proxy.InFlight()).Int("caller_connections", i.listeners.callers.OpenConnections()).Msg("")
	})
}
