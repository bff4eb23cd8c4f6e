// Package telemetry provides the metrics and the logger of an instance.
//
// Each Metrics has its own set of metrics, so that several instances can run in one
// process, as in the demo and in tests. Each reason of package api has a counter,
// which starts at zero.
package telemetry

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/tacktally/tacktally/api"
)

// Metrics are the metrics of one instance. Safe for concurrent use.
type Metrics struct {
	set     *metrics.Set
	refused map[api.Reason]*metrics.Counter
	retried map[api.Reason]*metrics.Counter
}

// NewMetrics returns Metrics with the counters of all reasons at zero.
func NewMetrics() *Metrics {
	m := &Metrics{
		set:     metrics.NewSet(),
		refused: make(map[api.Reason]*metrics.Counter, len(api.RefusalReasons)),
		retried: make(map[api.Reason]*metrics.Counter, len(api.RetryReasons)),
	}
	for _, r := range api.RefusalReasons {
		m.refused[r] = m.set.NewCounter(fmt.Sprintf("tacktally_refusals_total{reason=%q}", string(r)))
	}
	for _, r := range api.RetryReasons {
		m.retried[r] = m.set.NewCounter(fmt.Sprintf("tacktally_retries_total{reason=%q}", string(r)))
	}
	return m
}

// Refused counts a refusal or an unknown outcome.
func (m *Metrics) Refused(r api.Reason) {
	if c, ok := m.refused[r]; ok {
		c.Inc()
	}
}

// Retried counts a retry.
func (m *Metrics) Retried(r api.Reason) {
	if c, ok := m.retried[r]; ok {
		c.Inc()
	}
}

// Ended counts a request that ended by tier and outcome, and records its duration by tier.
func (m *Metrics) Ended(tier string, o api.Outcome, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("tacktally_requests_total{tier=%q,outcome=%q}", tier, string(o))).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("tacktally_request_seconds{tier=%q}", tier)).Update(took.Seconds())
}

// FirstToken records the time to the first token of a request.
func (m *Metrics) FirstToken(tier string, took time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("tacktally_first_token_seconds{tier=%q}", tier)).Update(took.Seconds())
}

// Count adds one to the counter with the given full name, which includes its labels.
func (m *Metrics) Count(name string) { m.set.GetOrCreateCounter(name).Inc() }

// Add adds n to the counter with the given full name.
func (m *Metrics) Add(name string, n int) { m.set.GetOrCreateCounter(name).Add(n) }

// Value returns the value of the counter with the given full name.
func (m *Metrics) Value(name string) uint64 { return m.set.GetOrCreateCounter(name).Get() }

// Gauge registers a gauge whose value f returns. f must be safe for concurrent use.
func (m *Metrics) Gauge(name string, f func() float64) { m.set.GetOrCreateGauge(name, f) }

// Write writes all metrics, and those of the process, in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// NewLogger returns a logger that writes each event as one line of key=value pairs.
func NewLogger(w io.Writer, level, instance string) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    log.NewContext(nil).Str("instance", instance).Value(),
		Writer: &log.ConsoleWriter{
			Writer:    w,
			Formatter: formatPairs,
		},
	}
}
