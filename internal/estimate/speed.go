// Package estimate estimates how fast an upstream is and how many requests it should be sent.
//
// Speed estimates the prefill rate and the time between output tokens. Window estimates how many
// sequences may be outstanding. Both learn only from this instance's own requests. The work of
// other instances appears as a slower upstream, so instances that share one converge to a division
// of it without coordination.
//
// Nothing here is safe for concurrent use; the scheduler's callers serialise access.
package estimate

import (
	"math"
	"time"
)

const (
	// initialPrefill is the prefill rate assumed of an unobserved engine, in tokens per second.
	initialPrefill = 4000
	// initialInterval is the time assumed between output tokens.
	initialInterval = 30 * time.Millisecond
	// minPrefill and maxPrefill bound the estimated prefill rate, in tokens per second.
	minPrefill = 20
	maxPrefill = 5_000_000
	// fastGain is the weight of each of the first observations, slowGain that of later ones.
	fastGain = 0.5
	slowGain = 0.15
	// fastObservations is the number of observations weighted with fastGain.
	fastObservations = 8
	// maxStep bounds the factor by which one observation may change a rate.
	maxStep = 3.0
	// intervalPerSequence is the assumed relative increase of the time between output tokens for
	// each additional running sequence.
	intervalPerSequence = 0.01
)

// Speed is the estimated speed of one upstream.
type Speed struct {
	prefill              float64 // tokens per second
	interval             float64 // seconds between output tokens
	bestPrefill          float64 // highest estimate so far
	bestInterval         float64 // shortest estimate so far
	prefillObservations  int
	intervalObservations int
	intervalAssumed      bool // interval was set by Assume
}

// NewSpeed returns the speed assumed of an unobserved upstream.
func NewSpeed() Speed {
	s := Speed{prefill: initialPrefill, interval: initialInterval.Seconds()}
	s.bestPrefill, s.bestInterval = s.prefill, s.interval
	return s
}

// PredictIdle predicts the time to the first token and to the whole response on an idle upstream,
// from the best estimates so far. It returns 0 for an upstream with few observations, so that no
// request is refused before it is observed.
func (s *Speed) PredictIdle(prompt, output int) (first, whole time.Duration) {
	if !s.Known() {
		return 0, 0
	}
	prefill := float64(prompt)/s.bestPrefill + s.bestInterval
	return seconds(prefill), seconds(prefill + float64(output)*s.bestInterval)
}

// Known reports whether the upstream has been observed often enough to refuse requests on the
// estimate.
func (s *Speed) Known() bool { return s.prefillObservations >= fastObservations }

// Prefill returns the estimated prefill rate in tokens per second.
func (s *Speed) Prefill() float64 { return s.prefill }

// KnowsInterval reports whether the time between output tokens has been observed.
func (s *Speed) KnowsInterval() bool { return s.intervalObservations > 0 }

// AssumesInterval reports whether the time between output tokens has been predicted from other
// upstreams and not been observed.
func (s *Speed) AssumesInterval() bool { return s.intervalAssumed && !s.KnowsInterval() }

// Rates are the speed estimates of an upstream that one instance sends to another.
type Rates struct {
	// Prefill is in prompt tokens per second, Interval the time between output tokens; 0 if not
	// observed.
	Prefill  float64
	Interval time.Duration
}

// Rates returns the estimates that are based on observations.
func (s *Speed) Rates() Rates {
	var r Rates
	if s.prefillObservations > 0 {
		r.Prefill = s.prefill
	}
	if s.intervalObservations > 0 {
		r.Interval = seconds(s.interval)
	}
	return r
}

// Adopt replaces the estimates with those of another instance, which has more observations.
func (s *Speed) Adopt(r Rates) {
	if r.Prefill > 0 {
		s.prefill = clamp(r.Prefill, minPrefill, maxPrefill)
		s.bestPrefill = max(s.bestPrefill, s.prefill)
		s.prefillObservations = max(s.prefillObservations, fastObservations)
	}
	if r.Interval > 0 {
		s.interval = r.Interval.Seconds()
		s.bestInterval = min(s.bestInterval, s.interval)
		s.intervalObservations = max(s.intervalObservations, fastObservations)
	}
}

// Assume replaces the initial values of an upstream that was not observed by rates that are
// predicted for it; 0 means unknown.
func (s *Speed) Assume(r Rates) {
	if r.Prefill > 0 && s.prefillObservations == 0 {
		s.prefill = clamp(r.Prefill, minPrefill, maxPrefill)
		s.bestPrefill = s.prefill
	}
	if r.Interval > 0 && s.intervalObservations == 0 {
		s.interval = r.Interval.Seconds()
		s.bestInterval = s.interval
		s.intervalAssumed = true
	}
}

// ScaleTimes multiplies all times that are estimated from observations by a factor. The best estimates
// change only if they are exceeded: scaled each time, they would drift without bound, since no
// observation makes them worse.
func (s *Speed) ScaleTimes(factor float64) {
	if s.prefillObservations > 0 {
		s.prefill = clamp(s.prefill/factor, minPrefill, maxPrefill)
		s.bestPrefill = max(s.bestPrefill, s.prefill)
	}
	if s.intervalObservations > 0 {
		s.interval *= factor
		s.bestInterval = min(s.bestInterval, s.interval)
	}
}

// Interval returns the estimated time between output tokens.
func (s *Speed) Interval() time.Duration { return seconds(s.interval) }

// PredictFirstToken predicts the time to the first token if the given number of prompt tokens is to
// be prefilled before it.
func (s *Speed) PredictFirstToken(tokens int) time.Duration {
	return seconds(float64(tokens)/s.prefill + s.interval)
}

// PredictDecode predicts the time to generate the given number of tokens after the first, if extra
// sequences join those that run now.
func (s *Speed) PredictDecode(tokens, extra int) time.Duration {
	factor := 1 + intervalPerSequence*float64(extra)
	return seconds(float64(tokens) * s.interval * factor)
}

// ObserveFirstToken updates the prefill rate with the time that a first token took. tokens is the
// number of prompt tokens to prefill before it, including those of earlier requests.
func (s *Speed) ObserveFirstToken(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	predicted := s.PredictFirstToken(tokens).Seconds()
	ratio := clamp(predicted/took.Seconds(), 1/maxStep, maxStep)
	s.prefill = clamp(s.prefill*math.Pow(ratio, s.gain(&s.prefillObservations)), minPrefill, maxPrefill)
	s.bestPrefill = max(s.bestPrefill, s.prefill)
}

// ObserveInterval updates the time between output tokens with the mean over a stream.
func (s *Speed) ObserveInterval(interval time.Duration) {
	if interval <= 0 {
		return
	}
	if s.intervalObservations == 0 {
		s.interval = interval.Seconds() // one stream's mean is better than the assumed value
	}
	ratio := clamp(interval.Seconds()/s.interval, 1/maxStep, maxStep)
	s.interval *= math.Pow(ratio, s.gain(&s.intervalObservations))
	s.bestInterval = min(s.bestInterval, s.interval)
}

func (s *Speed) gain(observations *int) float64 {
	*observations++
	if *observations <= fastObservations {
		return fastGain
	}
	return slowGain
}

func clamp(x, low, high float64) float64 { return math.Min(math.Max(x, low), high) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
