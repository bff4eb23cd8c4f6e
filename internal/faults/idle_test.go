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
	// settling is left out of the measure, observed is its length.
	settling = 2 * time.Second
	observed = 5 * time.Second
	// clockTicks a second, in which /proc counts processor time.
	clockTicks = 100
)

// BenchmarkIdleDaemon measures what a daemon spends for control while no request
// comes: processor time, resident memory, and bytes from and to peers and platform.
// Heartbeats are at their default.
func BenchmarkIdleDaemon(b *testing.B) {
	for _, daemons := range []int{2, 7, 14} {
		b.Run(fmt.Sprint("daemons=", daemons), func(b *testing.B) {
			zones := make([]string, daemons)
			for i := range zones {
				zones[i] = "fort"
			}
			f := newTunedFleet(b, func(s *settings.Settings) {
				s.Peers.Heartbeat = settings.Duration(500 * time.Millisecond)
				s.Peers.SuspectAfter = settings.Duration(2 * time.Second)
				s.Platform.Wait = settings.Duration(30 * time.Second)
				s.Log.Level = "info"
			}, zones...)
			for b.Loop() {
				<-time.After(settling)
				cpu, bytes := f.spent()
				<-time.After(observed)
				cpuAfter, bytesAfter := f.spent()
				b.ReportMetric(100*(cpuAfter-cpu)/observed.Seconds()/float64(daemons), "%core/daemon")
				b.ReportMetric(float64(bytesAfter-bytes)/observed.Seconds()/float64(daemons), "B/s/daemon")
				b.ReportMetric(f.daemons[0].resident(), "MB-resident")
			}
		})
	}
}

// spent returns the processor time of all daemons, in seconds, and the bytes that
// came to them from peers and passed between them and the platform.
func (f *fleet) spent() (cpu float64, bytes int64) {
	for _, p := range f.daemons {
		content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
		fields := strings.Fields(string(content))
		if len(fields) > 14 {
			user, _ := strconv.ParseFloat(fields[13], 64)
			system, _ := strconv.ParseFloat(fields[14], 64)
			cpu += (user + system) / clockTicks
		}
		bytes += p.peerWire.RelayedBytes() + p.platWire.RelayedBytes()
	}
	return cpu, bytes
}

// resident returns the resident memory in MB.
func (p *process) resident() float64 {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	for line := range strings.Lines(string(content)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}
