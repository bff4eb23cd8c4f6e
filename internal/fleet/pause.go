package fleet

import (
	"sync/atomic"
	"time"

	"github.com/tacktally/tacktally/internal/boottime"
)

// pausedAfter is how long a process must not have run for its shards and buckets to have had another owner, which
// has granted from them: it becomes unreachable after 0.6 s, and its successor waits for successionDelay.
const pausedAfter = 1500 * time.Millisecond

// pauses detects that this process didn't run for a while: it was stopped, or its machine was suspended. The zero
// value detects none until record has been called. It is safe for concurrent use.
type pauses struct {
	last  atomic.Pointer[time.Time] // of package boottime, when the process last recorded that it runs
	count atomic.Uint32
}

// record records that the process runs at present, and reports whether it has been paused since the last call.
func (p *pauses) record(now time.Time) (paused bool) {
	last := p.last.Swap(&now)
	paused = last != nil && now.Sub(*last) >= pausedAfter
	if paused {
		p.count.Add(1)
	}
	return paused
}

// RecordRunning records that this process runs. It is called several times within pausedAfter.
func (f *Fleet) RecordRunning() { f.recordRunning(boottime.Now()) }

func (f *Fleet) recordRunning(now time.Time) {
	if !f.pauses.record(now) {
		return
	}
	f.o.Log.Info().Str("event", "resumed").Msg("this process was paused; its shards and buckets begin anew")
	f.buckets.resumed(time.Now(), f.o.Instance)
}

// Pauses returns how often this process was paused.
func (f *Fleet) Pauses() uint32 { return f.pauses.count.Load() }

// detectPause is called before each grant from a bound that all instances keep together: after a pause the next
// request may come before the next call of RecordRunning.
func (f *Fleet) detectPause() {
	if last := f.pauses.last.Load(); last != nil && boottime.Since(*last) >= pausedAfter {
		f.RecordRunning()
	}
}
