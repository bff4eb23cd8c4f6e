package estimate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A speed comes near the truth within 12 observations, from either side, and
// follows a slow-down within 20.
func TestSpeedLearns(t *testing.T) {
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
			is.True(first < 2*time.Duration(2000/truth*float64(time.Second))+50*time.Millisecond) // the best is kept
		})
	}
}

func TestUnknownUpstreamIsExpectedToBeFast(t *testing.T) {
	is := is.New(t)
	s := NewSpeed()
	first, whole := s.PredictIdle(1_000_000, 1000)
	is.Equal(first+whole, time.Duration(0))
	is.True(!s.Known())
}

func TestWindow(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	w := NewWindow()
	before := w.Size()
	for range 40 {
		w.RecordOnTime(0) // the window wasn't what bound it
	}
	is.Equal(w.Size(), before)
	for range 40 {
		w.RecordOnTime(w.Size())
	}
	is.True(w.Size() > before)
	grown := w.Size()
	w.RecordLate(now)
	w.RecordLate(now.Add(time.Millisecond)) // the same excess
	is.True(w.Size() < grown && w.Size() >= int(decrease*float64(grown)))
	for i := range 100 {
		w.RecordLate(now.Add(time.Duration(i) * time.Second))
	}
	is.Equal(w.Size(), minWindow)
}

// What another instance has learned takes the place of what is assumed, and of nothing else.
func TestLearnedRatesAreHandedOver(t *testing.T) {
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

// The first whole answer tells the pace: what is assumed before is ten times too slow for a fast engine.
func TestTheFirstAnswerTellsThePace(t *testing.T) {
	is := is.New(t)
	s := NewSpeed()
	s.ObserveInterval(3 * time.Millisecond)
	is.Equal(s.Interval(), 3*time.Millisecond)
}
