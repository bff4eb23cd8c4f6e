// Package telemetry holds a daemon's metrics and its logger.
//
// Metrics live in a set of their own, so that several daemons can run in one
// process (the demo and the tests do). Each reason of api has its counter from
// the start, at zero.
package telemetry

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/tacktally/tacktally/api"
)

// Metrics of one daemon. Safe for concurrent use.
type Metrics struct {
	set     *metrics.Set
	refused map[api.Reason]*metrics.Counter
	retried map[api.Reason]*metrics.Counter
}

// NewMetrics returns metrics with every reason's counter at zero.
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

// Ended counts a request's end by tier and outcome, and how long it took.
func (m *Metrics) Ended(tier string, o api.Outcome, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("tacktally_requests_total{tier=%q,outcome=%q}", tier, string(o))).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("tacktally_request_seconds{tier=%q}", tier)).Update(took.Seconds())
}

// FirstToken records a time to first token.
func (m *Metrics) FirstToken(tier string, took time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("tacktally_first_token_seconds{tier=%q}", tier)).Update(took.Seconds())
}

// Count adds one to a counter by its full name.
func (m *Metrics) Count(name string) { m.set.GetOrCreateCounter(name).Inc() }

// Add adds n to a counter by its full name.
func (m *Metrics) Add(name string, n int) { m.set.GetOrCreateCounter(name).Add(n) }

// Value returns a counter's value by its full name.
func (m *Metrics) Value(name string) uint64 { return m.set.GetOrCreateCounter(name).Get() }

// Gauge registers a gauge that f answers. F must be safe for concurrent use.
func (m *Metrics) Gauge(name string, f func() float64) { m.set.GetOrCreateGauge(name, f) }

// Write writes all metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// NewLogger returns a logger that writes one line of key=value pairs an event.
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
