package processor

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLoadCoversTheLastSamples(t *testing.T) {
	is := is.New(t)
	m, err := NewMonitor(0.25, func(Sample) {})
	is.NoErr(err)
	defer m.probe.close()
	is.Equal(m.Load(), Load{})
	now, used := m.at, m.used
	add := func(length, u time.Duration) {
		now, used = now.Add(length), used+u
		m.sample(now, used, 0)
	}
	add(100*time.Millisecond, 12500*time.Microsecond)
	is.Equal(m.Load().Utilization, 0.5)
	for range loadSamples {
		add(100*time.Millisecond, 25*time.Millisecond)
	}
	is.Equal(m.Load().Utilization, 1.0) // the first sample no longer counts
	is.True(m.Load().Saturated())
	is.Equal(m.Load().Stall, time.Duration(0))
	add(180*time.Millisecond, 0)
	is.Equal(m.Load().Stall, 80*time.Millisecond)
	is.True(!m.Load().Saturated())
}
