// Package boottime tells a time that goes on while the machine is suspended.
//
// Go's steady clock stands still then, so that what was learned before seems as young on waking as it
// was. Ages of what another may have changed meanwhile (a configuration, a list, a peer's last word) are
// worked out from the times of this package; timers and what is paced go by the steady clock.
package boottime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// suspendedAtStart is how long the machine had been suspended when the process started.
var suspendedAtStart = totalSuspended()

// maxSuspended is the most that Suspended has found, in nanoseconds: two clocks are read one after the
// other, and a delay between them looks like less.
var maxSuspended atomic.Int64

// resolution of what is found, well above the time between two readings.
const resolution = time.Millisecond

// Now returns the time, to be compared with others of this package alone.
func Now() time.Time { return time.Now().Add(Suspended()) }

// Since returns the time since t, which Now has told.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, which was worked out from what Now has told.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// ToMonotonic turns a time of this package into one that is as long ago by the steady clock; none stays none.
func ToMonotonic(t time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	return time.Now().Add(-Since(t))
}

// Suspended returns for how long the machine has been suspended since the process started.
func Suspended() time.Duration {
	found := int64((totalSuspended() - suspendedAtStart).Truncate(resolution))
	for {
		before := maxSuspended.Load()
		if found <= before {
			return time.Duration(before)
		}
		if maxSuspended.CompareAndSwap(before, found) {
			return time.Duration(found)
		}
	}
}

// totalSuspended is what the boot clock has counted beyond the steady one. A system without a boot clock
// isn't known to have been suspended.
func totalSuspended() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}
