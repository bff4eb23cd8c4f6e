// Package virtualtime runs tests in virtual time.
package virtualtime

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// Test runs f in a bubble of testing/synctest, where time passes only while all goroutines wait.
//
// With the race detector, f runs on one processor: in Go 1.26 the timers of a bubble share one context of the
// detector without a lock, and two goroutines that receive from channels of elapsed timers at the same time crash
// the detector. Races are still found, as they are by the order of events and not by simultaneous execution.
func Test(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	if raceDetector {
		single.enter()
		defer single.leave()
	}
	synctest.Test(t, f)
}

// single limits the process to one processor while bubbles exist; tests that run in parallel share the limit.
var single processorLimit

type processorLimit struct {
	mu       sync.Mutex
	bubbles  int
	previous int // processors before the first of the bubbles
}

func (l *processorLimit) enter() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bubbles == 0 {
		l.previous = runtime.GOMAXPROCS(1)
	}
	l.bubbles++
}

func (l *processorLimit) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bubbles--
	if l.bubbles == 0 {
		runtime.GOMAXPROCS(l.previous)
	}
}
