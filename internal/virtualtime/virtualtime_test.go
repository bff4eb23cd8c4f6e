package virtualtime

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The race detector ended whole test processes ("CHECK failed: tsan_rtl.cpp", or a fault in its SlotLock) once
// goroutines of a bubble received from elapsed timers at the same time.
func TestElapsedTimersOfManyGoroutinesDontEndTheProcess(t *testing.T) {
	Test(t, func(*testing.T) {
		var receivers sync.WaitGroup
		for range 8 {
			receivers.Go(func() {
				for range 2000 {
					<-time.After(0)
				}
			})
		}
		receivers.Wait()
	})
}

func TestProcessorsAreRestored(t *testing.T) {
	is := is.New(t)
	before := runtime.GOMAXPROCS(0)
	var l processorLimit
	l.enter()
	l.enter()
	is.Equal(runtime.GOMAXPROCS(0), 1)
	l.leave()
	is.Equal(runtime.GOMAXPROCS(0), 1) // another bubble exists
	l.leave()
	is.Equal(runtime.GOMAXPROCS(0), before)
}
