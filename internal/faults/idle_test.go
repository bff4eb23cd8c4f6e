package faults

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/tacktally/tacktally/internal/settings"
)

const (
	// warmUp is the time before a measurement, observationTime the length of one.
	warmUp          = 2 * time.Second
	observationTime = 5 * time.Second
	// clockTicksPerSecond is the unit in which /proc counts processor time.
	clockTicksPerSecond = 100
)

// BenchmarkIdleDaemon measures the resources that a daemon uses while no requests arrive: processor time,
// resident memory, and the bytes exchanged with peers and the platform. Heartbeats have their default
// interval.
func BenchmarkIdleDaemon(b *testing.B) {
	for _, daemons := range []int{2, 7, 14} {
		b.Run(fmt.Sprint("daemons=", daemons), func(b *testing.B) {
			zones := make([]string, daemons)
			for i := range zones {
				zones[i] = "fort"
			}
			f := newConfiguredFleet(b, func(s *settings.Settings) {
				s.Peers.Heartbeat = settings.Duration(500 * time.Millisecond)
				s.Peers.SuspectAfter = settings.Duration(2 * time.Second)
				s.Platform.Wait = settings.Duration(30 * time.Second)
				s.Log.Level = "info"
			}, zones...)
			for b.Loop() {
				<-time.After(warmUp)
				cpu, bytes := f.resourceUse()
				<-time.After(observationTime)
				cpuAfter, bytesAfter := f.resourceUse()
				b.ReportMetric(100*(cpuAfter-cpu)/observationTime.Seconds()/float64(daemons), "%core/daemon")
				b.ReportMetric(float64(bytesAfter-bytes)/observationTime.Seconds()/float64(daemons), "B/s/daemon")
				b.ReportMetric(f.daemons[0].residentMB(), "MB-resident")
			}
		})
	}
}

// resourceUse returns the processor time of all daemons, in seconds, and the number of bytes that they
// exchanged with peers and the platform.
func (f *fleet) resourceUse() (cpu float64, bytes int64) {
	for _, p := range f.daemons {
		content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
		fields := strings.Fields(string(content))
		if len(fields) > 14 {
			user, _ := strconv.ParseFloat(fields[13], 64)
			system, _ := strconv.ParseFloat(fields[14], 64)
			cpu += (user + system) / clockTicksPerSecond
		}
		bytes += p.peerRelay.RelayedBytes() + p.platformRelay.RelayedBytes()
	}
	return cpu, bytes
}

// residentMB returns the resident memory of the daemon, in units of 1024 kB.
func (p *process) residentMB() float64 {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	for line := range strings.Lines(string(content)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}
