// Package boottime provides a clock that keeps running while the machine is suspended.
//
// Go's monotonic clock stops during a suspension, so that on resumption state seems as recent as it was
// before. The ages of state that other processes may have changed meanwhile (a configuration, a list, the
// last message of a peer) are computed from the times of this package. Timers and rates use the monotonic
// clock.
package boottime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// suspendedAtStart is the time for which the machine had been suspended when the process started.
var suspendedAtStart = totalSuspended()

// maxSuspended is the highest result of Suspended so far, in nanoseconds. The two clocks are read one
// after the other, and a delay between the reads gives a lower result.
var maxSuspended atomic.Int64

// resolution is the unit to which the suspended time is truncated, well above the time between the reads
// of the two clocks.
const resolution = time.Millisecond

// Now returns the current time. It must be compared only with other times of this package.
func Now() time.Time { return time.Now().Add(Suspended()) }

// Since returns the time elapsed since t, which must be a time of this package.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, which must be a time of this package.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// ToMonotonic converts a time of this package to one that is as long ago by the monotonic clock. The zero
// time stays zero.
func ToMonotonic(t time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	return time.Now().Add(-Since(t))
}

// Suspended returns the time for which the machine has been suspended since the process started. It never
// decreases.
func Suspended() time.Duration {
	found := int64((totalSuspended() - suspendedAtStart).Truncate(resolution))
	for {
		previous := maxSuspended.Load()
		if found <= previous {
			return time.Duration(previous)
		}
		if maxSuspended.CompareAndSwap(previous, found) {
			return time.Duration(found)
		}
	}
}

// totalSuspended returns the time by which the boot clock is ahead of the monotonic clock: the time for
// which the machine has been suspended since it booted. It returns 0 on a system without a boot clock.
func totalSuspended() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
