package estimate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The estimate converges to the true rate within 12 observations, from above and from below, and
// follows a slowdown within 20.
func TestSpeedConverges(t *testing.T) {
	for name, truth := range map[string]float64{"fast": 40_000, "slow": 500} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := NewSpeed()
			observe := func(rate float64, times int) {
				for range times {
					s.ObserveFirstToken(2000, time.Duration(2000/rate*float64(time.Second))+s.Interval())
				}
			}
			near := func(rate float64) bool { return s.Prefill() > 0.8*rate && s.Prefill() < 1.25*rate }
			observe(truth, 12)
			is.True(near(truth))
			observe(truth/3, 20)
			is.True(near(truth / 3))
			first, _ := s.PredictIdle(2000, 0)
			is.True(first < 2*time.Duration(2000/truth*float64(time.Second))+50*time.Millisecond) // from the best estimate
		})
	}
}

func TestUnobservedUpstreamIsAssumedFast(t *testing.T) {
	is := is.New(t)
	s := NewSpeed()
	first, whole := s.PredictIdle(1_000_000, 1000)
	is.Equal(first+whole, time.Duration(0))
	is.True(!s.Known())
}

func TestWindowIncreasesAdditivelyAndDecreasesMultiplicatively(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	w := NewWindow()
	before := w.Size()
	for range 40 {
		w.RecordOnTime(0) // the window was not the bound
	}
	is.Equal(w.Size(), before)
	for range 40 {
		w.RecordOnTime(w.Size())
	}
	is.True(w.Size() > before)
	grown := w.Size()
	w.RecordLate(now)
	w.RecordLate(now.Add(time.Millisecond)) // the same overload
	is.True(w.Size() < grown && w.Size() >= int(decrease*float64(grown)))
	for i := range 100 {
		w.RecordLate(now.Add(time.Duration(i) * time.Second))
	}
	is.Equal(w.Size(), minWindow)
}

// Estimates of another instance replace assumed values; rates that were not observed there change
// nothing.
func TestAdoptReplacesOnlyObservedRates(t *testing.T) {
	is := is.New(t)
	there, here := NewSpeed(), NewSpeed()
	is.Equal(there.Rates(), Rates{}) // nothing was observed
	here.Adopt(there.Rates())
	is.True(!here.Known() && !here.KnowsInterval())
	there.ObserveFirstToken(2000, 100*time.Millisecond)
	there.ObserveInterval(12 * time.Millisecond)
	here.Adopt(there.Rates())
	is.True(here.Known() && here.KnowsInterval())
	is.Equal(here.Rates(), there.Rates())
}

// The first complete response sets the interval: the assumed one is ten times too slow for a fast
// engine.
func TestFirstIntervalReplacesAssumption(t *testing.T) {
	is := is.New(t)
	s := NewSpeed()
	s.ObserveInterval(3 * time.Millisecond)
	is.Equal(s.Interval(), 3*time.Millisecond)
}

// Rates that are predicted for an upstream apply until it is observed. They must neither count as
// observed, be told to other instances, nor replace what was observed.
func TestAssumedRatesApplyUntilObserved(t *testing.T) {
	is := is.New(t)
	s := NewSpeed()
	s.Assume(Rates{Prefill: 10_000, Interval: 20 * time.Millisecond})
	s.Assume(Rates{})
	is.Equal(s.PredictFirstToken(1000), 120*time.Millisecond)
	is.Equal(s.Rates(), Rates{})
	is.True(!s.Known() && !s.KnowsInterval() && s.AssumesInterval())
	s.ObserveInterval(8 * time.Millisecond)
	s.ObserveFirstToken(1000, 100*time.Millisecond)
	observed := s
	s.Assume(Rates{Prefill: 500, Interval: time.Second})
	is.Equal(s, observed)
	is.True(s.KnowsInterval() && !s.AssumesInterval())
}

// Scaling changes what was observed, and not the values assumed before.
func TestScaleTimes(t *testing.T) {
	is := is.New(t)
	s := NewSpeed()
	s.ScaleTimes(0.5)
	is.Equal(s, NewSpeed())
	for range 100 {
		s.ObserveInterval(20 * time.Millisecond)
		s.ObserveFirstToken(1000, 120*time.Millisecond)
	}
	first, decode := s.PredictFirstToken(1000), s.PredictDecode(100, 0)
	s.ScaleTimes(0.5)
	is.True((2*s.PredictFirstToken(1000) - first).Abs() < time.Microsecond)
	is.True((2*s.PredictDecode(100, 0) - decode).Abs() < time.Microsecond)
}

// A reported work time that fluctuates scales the times again and again. The idle prediction, by which
// requests are refused, must not drift away from what was observed.
func TestRepeatedScalingKeepsIdlePrediction(t *testing.T) {
	is := is.New(t)
	s := NewSpeed()
	for range 500 {
		s.ObserveInterval(20 * time.Millisecond)
		s.ObserveFirstToken(1000, 120*time.Millisecond)
		s.ScaleTimes(0.95)
	}
	first, whole := s.PredictIdle(1000, 50)
	is.True(first > 60*time.Millisecond)
	is.True(whole > 500*time.Millisecond)
}
