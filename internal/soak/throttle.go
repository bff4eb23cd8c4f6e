package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// throttlePeriod is the time in which a throttled process may use its share of a core, as the default
	// period of a control group's processor quota.
	throttlePeriod = 100 * time.Millisecond
	// throttleInterval is how often the processor time of throttled processes is read.
	throttleInterval = 2 * time.Millisecond
)

// Throttle holds processes to a share of a core each, as the quota of a control group does: a process that has
// used up its part of a period is stopped until the next one. Its zero value throttles none. Safe for concurrent
// use.
type Throttle struct {
	mu        sync.Mutex
	processes map[*Process]*throttled
}

// throttled is the state of one process.
type throttled struct {
	share   float64
	pid     int
	used    time.Duration // processor time of pid, when last read
	left    time.Duration // of this period; below 0 if the process has used more than its part
	stopped bool
}

// Add throttles a process, also after its restarts, from now on.
func (t *Throttle) Add(p *Process, share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.processes == nil {
		t.processes = map[*Process]*throttled{}
	}
	t.processes[p] = &throttled{share: share}
}

// Run throttles the processes until ctx ends, and lets them go on then. It blocks.
func (t *Throttle) Run(ctx context.Context) {
	tick := time.NewTicker(throttleInterval)
	defer tick.Stop()
	period := time.Now()
	for {
		select {
		case now := <-tick.C:
			begins := now.Sub(period) >= throttlePeriod
			if begins {
				period = now
			}
			t.step(begins)
		case <-ctx.Done():
			t.release()
			return
		}
	}
}

// step stops the processes that have used up their part. With begins, a new period begins.
func (t *Throttle) step(begins bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for p, s := range t.processes {
		s.read(p.pid())
		if begins {
			part := time.Duration(s.share * float64(throttlePeriod))
			s.left = min(s.left+part, part)
		}
		if stop := s.left <= 0; stop != s.stopped {
			s.stopped = stop
			p.Signal(signalFor(stop))
		}
	}
}

// signalFor returns the signal that stops a process, or lets it go on.
func signalFor(stop bool) syscall.Signal {
	if stop {
		return syscall.SIGSTOP
	}
	return syscall.SIGCONT
}

// read charges the processor time that was used since it was last read.
func (s *throttled) read(pid int) {
	if pid != s.pid {
		s.pid, s.used, s.stopped = pid, 0, false // the process was restarted
	}
	var used unix.Timespec
	if unix.ClockGettime(processorClock(pid), &used) != nil {
		return // the process has ended
	}
	now := time.Duration(used.Nano())
	s.left -= now - s.used
	s.used = now
}

// processorClock returns the ID of the clock of a process's processor time (clock_getcpuclockid(3)).
func processorClock(pid int) int32 {
	const scheduled = 2 // CPUCLOCK_SCHED: nanoseconds of all threads
	return int32(^pid<<3 | scheduled)
}

// release lets all processes go on.
func (t *Throttle) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for p, s := range t.processes {
		if s.stopped {
			s.stopped = false
			p.Signal(syscall.SIGCONT)
		}
	}
}
