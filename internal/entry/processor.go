package entry

import (
	"net"
	"net/http"
	"time"

	"github.com/tacktally/tacktally/internal/processor"
)

// saturatedLogInterval is the time between two log lines about missing processor time.
const saturatedLogInterval = time.Second

// registerProcessorGauges registers how much of its processor time this process uses, and for how many callers.
func (i *Instance) registerProcessorGauges() {
	i.metrics.Gauge("tacktally_processor_utilization", func() float64 { return i.processor.Load().Utilization })
	i.metrics.Gauge("tacktally_processor_stall_seconds", func() float64 { return i.processor.Load().Stall.Seconds() })
	i.metrics.Gauge("tacktally_read_delay_seconds", func() float64 { return i.processor.Load().Delay.Seconds() })
	i.metrics.Gauge("tacktally_caller_connections", func() float64 { return float64(i.listeners.callers.OpenConnections()) })
}

// limitConnections makes the server for callers admit connections only while there is processor time for them, if
// that is configured.
func (i *Instance) limitConnections(callers *http.Server) {
	if i.admission == nil {
		return
	}
	i.listeners.callers.Admit = i.admission.Admit
	recordState := callers.ConnState
	callers.ConnState = func(c net.Conn, s http.ConnState) {
		if s == http.StateActive {
			i.admission.RequestBegan()
		}
		recordState(c, s)
	}
}

// processorSampled passes a sample to the admission of connections, and logs that the process lacks processor time.
func (i *Instance) processorSampled(s processor.Sample) {
	if i.admission != nil {
		i.admission.Sampled(s)
	}
	load := i.processor.Load()
	if !load.Saturated() {
		return
	}
	i.saturatedLog.Do(func() {
		i.log.Info().Str("event", "processor_saturated").Float64("utilization", load.Utilization).Dur("stall", load.Stall).Dur("delay", load.Delay).
			Int("in_flight", i.proxy.InFlight()).
			Uint64("connections_shed", i.metrics.Value("tacktally_connections_shed_total")).Int("caller_connections", i.listeners.callers.OpenConnections()).Msg("")
	})
}
