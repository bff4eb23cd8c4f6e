package processor

import (
	"context"
	"sync"
	"syscall"
	"time"
)

const (
	// sampleInterval is the time between two samples: the default period of a control group's processor quota.
	sampleInterval = 100 * time.Millisecond
	// loadSamples is the number of samples that a Load covers. Within one period, a process may use its quota at
	// any time, so that single samples vary.
	loadSamples = 4
	// saturatedUtilization is the utilization from which on a process lacks processor time in some periods: what it
	// was sent may have waited unread.
	saturatedUtilization = 0.9
)

// Sample is what a Monitor measured between two points in time.
type Sample struct {
	// Length is the time between the two points. It is longer than sampleInterval if the process was stopped.
	Length time.Duration
	// Used is the processor time that all threads of the process have used.
	Used time.Duration
	// Delay is how long bytes that arrived at the process waited until they were read.
	Delay time.Duration
}

// Load is how much of its processor time a process has used lately.
type Load struct {
	// Utilization is the part of it that was used; above 1 if more was used for a short while.
	Utilization float64
	// Stall is how much later than due the last sample was taken, and Delay its delay.
	Stall, Delay time.Duration
}

// Saturated reports whether the process lacked processor time.
func (l Load) Saturated() bool { return l.Utilization >= saturatedUtilization }

// Monitor samples the processor time of this process. It is safe for concurrent use.
type Monitor struct {
	cores    float64
	onSample func(Sample)
	probe    *probe

	mu      sync.Mutex
	at      time.Time     // of the last sample
	used    time.Duration // in total, at the last sample
	samples []Sample      // the last loadSamples
}

// NewMonitor returns a monitor of this process, which has the processor time of the given number of cores. Run calls
// onSample with each sample, and must be called once.
func NewMonitor(cores float64, onSample func(Sample)) (*Monitor, error) {
	p, err := newProbe()
	if err != nil {
		return nil, err
	}
	return &Monitor{cores: cores, onSample: onSample, probe: p, at: time.Now(), used: usedTime()}, nil
}

// Run samples until ctx ends. It blocks.
func (m *Monitor) Run(ctx context.Context) {
	defer m.probe.close()
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			now := time.Now()
			m.onSample(m.sample(now, usedTime(), m.probe.measure(now)))
		case <-ctx.Done():
			return
		}
	}
}

// sample records the processor time that was used in total, and the delay.
func (m *Monitor) sample(now time.Time, used, delay time.Duration) Sample {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Sample{Length: now.Sub(m.at), Used: used - m.used, Delay: delay}
	m.at, m.used = now, used
	if len(m.samples) == loadSamples {
		m.samples = m.samples[1:]
	}
	m.samples = append(m.samples, s)
	return s
}

// Load returns the load of the last samples; the zero value before the first.
func (m *Monitor) Load() Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sum Sample
	for _, s := range m.samples {
		sum.Length += s.Length
		sum.Used += s.Used
	}
	if sum.Length <= 0 {
		return Load{}
	}
	last := m.samples[len(m.samples)-1]
	return Load{
		Utilization: sum.Used.Seconds() / (sum.Length.Seconds() * m.cores),
		Stall:       max(last.Length-sampleInterval, 0),
		Delay:       last.Delay,
	}
}

// usedTime returns the processor time that this process has used since its start.
func usedTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
