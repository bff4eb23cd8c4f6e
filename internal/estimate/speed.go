// Package estimate learns how fast an upstream is and how much work it should
// be given at once.
//
// Speed learns two rates: prompt tokens read a second, and the time between
// output tokens as a function of how many sequences run. Window learns how many
// sequences may be outstanding. Both learn from this instance's own requests
// only; the work of other instances shows as a slower upstream, so instances
// that share one come to share it without agreement.
//
// Nothing here is safe for concurrent use; the scheduler holds its lock.
package estimate

import (
	"math"
	"time"
)

const (
	// initialPrefill is assumed of an engine not yet observed, in tokens a second.
	initialPrefill = 4000
	// initialInterval is assumed between output tokens.
	initialInterval = 30 * time.Millisecond
	// minSpeed and maxSpeed bound the learned prefill rate, in tokens a second.
	minSpeed = 20
	maxSpeed = 5_000_000
	// fastGain is the weight of the first observations, slowGain of later ones.
	fastGain = 0.5
	slowGain = 0.15
	// fastObservations is how many observations weigh fastGain.
	fastObservations = 8
	// maxStep bounds the factor by which one observation moves a rate.
	maxStep = 3.0
	// intervalPerSequence is the share by which one more running sequence
	// stretches the time between tokens, until observed otherwise.
	intervalPerSequence = 0.01
)

// Speed is what is learned of one upstream's speed.
type Speed struct {
	prefill      float64 // tokens a second
	interval     float64 // seconds between output tokens
	bestPrefill  float64 // highest rate learned so far
	bestInterval float64 // shortest time learned so far
	observed     int
	observedStep int
}

// NewSpeed returns the assumptions of an upstream not yet observed.
func NewSpeed() Speed {
	s := Speed{prefill: initialPrefill, interval: initialInterval.Seconds()}
	s.bestPrefill, s.bestInterval = s.prefill, s.interval
	return s
}

// PredictIdle predicts the first token and the whole of an answer by an upstream that has
// nothing else to do, from the best that was learned of it. Of an upstream hardly
// observed the best is expected, so that it can be.
func (s *Speed) PredictIdle(prompt, output int) (first, whole time.Duration) {
	if !s.Known() {
		return 0, 0
	}
	read := float64(prompt)/s.bestPrefill + s.bestInterval
	return seconds(read), seconds(read + float64(output)*s.bestInterval)
}

// Known tells whether it was observed often enough to refuse work on its account.
func (s *Speed) Known() bool { return s.observed >= fastObservations }

// Prefill returns the learned rate of reading prompts, in tokens a second.
func (s *Speed) Prefill() float64 { return s.prefill }

// KnowsInterval tells whether the time between output tokens was ever observed.
func (s *Speed) KnowsInterval() bool { return s.observedStep > 0 }

// Rates are what one instance has learned of an upstream's speed, for another one.
type Rates struct {
	// Prefill is prompt tokens a second, Interval the time between output tokens; 0 where it
	// wasn't observed.
	Prefill  float64
	Interval time.Duration
}

// Rates returns what was learned.
func (s *Speed) Rates() Rates {
	var r Rates
	if s.observed > 0 {
		r.Prefill = s.prefill
	}
	if s.observedStep > 0 {
		r.Interval = seconds(s.interval)
	}
	return r
}

// Adopt takes what another instance has learned, which has observed more than this one.
func (s *Speed) Adopt(r Rates) {
	if r.Prefill > 0 {
		s.prefill = clamp(r.Prefill, minSpeed, maxSpeed)
		s.bestPrefill = max(s.bestPrefill, s.prefill)
		s.observed = max(s.observed, fastObservations)
	}
	if r.Interval > 0 {
		s.interval = r.Interval.Seconds()
		s.bestInterval = min(s.bestInterval, s.interval)
		s.observedStep = max(s.observedStep, fastObservations)
	}
}

// Interval returns the learned time between output tokens.
func (s *Speed) Interval() time.Duration { return seconds(s.interval) }

// PredictFirstToken predicts the time to read so many prompt tokens.
func (s *Speed) PredictFirstToken(tokens int) time.Duration {
	return seconds(float64(tokens)/s.prefill + s.interval)
}

// PredictDecode predicts the time to write so many tokens after the first, if extra
// sequences join those that run now.
func (s *Speed) PredictDecode(tokens, extra int) time.Duration {
	stretch := 1 + intervalPerSequence*float64(extra)
	return seconds(float64(tokens) * s.interval * stretch)
}

// ObserveFirstToken learns from the time that a first token took when so many
// prompt tokens, those of earlier requests included, were to be read before it.
func (s *Speed) ObserveFirstToken(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	predicted := s.PredictFirstToken(tokens).Seconds()
	ratio := clamp(predicted/took.Seconds(), 1/maxStep, maxStep)
	s.prefill = clamp(s.prefill*math.Pow(ratio, s.gain(&s.observed)), minSpeed, maxSpeed)
	s.bestPrefill = max(s.bestPrefill, s.prefill)
}

// ObserveInterval learns from the mean time between the output tokens of a stream.
func (s *Speed) ObserveInterval(interval time.Duration) {
	if interval <= 0 {
		return
	}
	if s.observedStep == 0 {
		s.interval = interval.Seconds() // a mean over a whole stream says more than what was assumed
	}
	ratio := clamp(interval.Seconds()/s.interval, 1/maxStep, maxStep)
	s.interval *= math.Pow(ratio, s.gain(&s.observedStep))
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
