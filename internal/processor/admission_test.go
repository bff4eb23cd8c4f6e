package processor

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// interval makes n connections arrive within a sample interval in which a part of the processor time was used, and
// returns how many were admitted.
func interval(a *Admission, n int, utilization float64, delay time.Duration) (admitted int) {
	for range n {
		if a.Admit() {
			a.RequestBegan()
			admitted++
		}
	}
	a.Sampled(Sample{Length: sampleInterval, Used: time.Duration(utilization * a.cores * float64(sampleInterval)), Delay: delay})
	return admitted
}

func TestAllAreAdmittedWhileThereIsProcessorTime(t *testing.T) {
	is := is.New(t)
	a := NewAdmission(0.2)
	for range 50 {
		is.Equal(interval(a, 10, 0.5, 0), 10)
	}
	is.Equal(interval(a, 25, 0.5, 0), 25) // a burst, after time that wasn't used
	is.True(!a.Overloaded())
}

// Guards against a burst that is read as a whole before the processor time that it needs shows in a sample.
func TestBurstIsAdmittedByWhatItIsExpectedToUse(t *testing.T) {
	is := is.New(t)
	a := NewAdmission(0.2)
	for range 50 {
		interval(a, 10, 0.5, 0) // 1 ms a request
	}
	is.True(interval(a, 1000, 1, 0) <= 50) // what 0.3 s have time for
}

func TestFewAreAdmittedWhileWorkIsDelayed(t *testing.T) {
	is := is.New(t)
	a := NewAdmission(0.2)
	for range 20 {
		interval(a, 100, 1, 200*time.Millisecond)
	}
	is.Equal(interval(a, 100, 1, 200*time.Millisecond), minAdditional) // it goes on serving
	is.True(a.Overloaded())
}

// Guards against an instance that refuses what it could serve: the more a process has to do, the less it costs.
func TestMoreAreAdmittedBeyondTheTargetWhileNothingIsDelayed(t *testing.T) {
	is := is.New(t)
	a := NewAdmission(0.2)
	for range 5 {
		interval(a, 100, 1, 200*time.Millisecond)
	}
	for range 40 {
		interval(a, 100, 1, 0)
	}
	is.True(interval(a, 100, 1, 0) > 75)
	is.True(!a.Overloaded())
	for range 50 {
		interval(a, 0, 0.1, 0)
	}
	is.Equal(a.additional, float64(minAdditional)) // forgotten once it isn't needed
}

func TestSingleDelayIsNoOverload(t *testing.T) {
	is := is.New(t)
	a := NewAdmission(0.2)
	for range 10 {
		interval(a, 100, 1, 0)
	}
	before := a.additional
	interval(a, 100, 1, time.Second)
	is.Equal(a.additional, before)
	is.True(!a.Overloaded())
	interval(a, 100, 1, time.Second)
	is.True(a.additional < before)
}

// Guards against connections that callers keep open, and that are closed for work of this process that isn't theirs.
func TestDelayWithoutLoadIsNoOverload(t *testing.T) {
	is := is.New(t)
	a := NewAdmission(0.2)
	for range 3 {
		interval(a, 1, 0.5, time.Second)
		is.True(!a.Overloaded())
	}
}

// A process that has used too much for a while, such as to read a large configuration, soon admits connections again.
func TestOverdraftIsBounded(t *testing.T) {
	is := is.New(t)
	a := NewAdmission(0.2)
	for range 100 {
		interval(a, 1, 5, 0)
	}
	interval(a, 1, 0, 0)
	interval(a, 1, 0, 0)
	is.True(interval(a, 10, 0.1, 0) > minAdditional)
}
