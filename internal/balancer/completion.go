package balancer

import (
	"math"
	"time"
)

// completionProbability returns the probability that the response completes in time on an upstream
// if it starts now, given the predicted time to its first token. The length is assumed to be log-normally distributed
// around the expected one, as the errors of callers' estimates are, and at most MaxOutput. The
// probability is unknown if the upstream's inter-token latency is unknown, and 1 if no length is
// expected.
func (w Work) completionProbability(now time.Time, u *Upstream, first time.Duration) (p float64, known bool) {
	if w.EndWithin <= 0 || w.ExpectedOutput <= 0 {
		return 1, true
	}
	if !u.knowsInterval(now) {
		return 0, false
	}
	maxTokens := float64(w.EndWithin-first) / float64(u.predictInterval(now, w.ExpectedOutput))
	if w.MaxOutput > 0 && maxTokens >= float64(w.MaxOutput) {
		return 1, true
	}
	return w.Spread.probabilityBelow(maxTokens / float64(w.ExpectedOutput)), true
}

// Spread is the distribution of lengths relative to the expected length. Deviation is the standard
// deviation of the logarithm; the zero Spread has none.
type Spread struct {
	Deviation float64
	// maxFactor is the factor that all but a few lengths in a thousand stay below.
	maxFactor float64
}

// maxDeviations is the number of standard deviations at maxFactor.
const maxDeviations = 3

// NewSpread returns a Spread with the given standard deviation.
func NewSpread(deviation float64) Spread {
	return Spread{Deviation: deviation, maxFactor: math.Exp(maxDeviations * deviation)}
}

// probabilityBelow returns the probability that a length is less than factor times the expected
// one. Most calls are for factors far from 1 (beyond maxFactor or its inverse), which cost a tenth
// of the others.
func (s Spread) probabilityBelow(factor float64) float64 {
	switch {
	case s.Deviation == 0 && factor >= 1, s.Deviation > 0 && factor > s.maxFactor:
		return 1
	case s.Deviation == 0, factor*s.maxFactor < 1:
		return 0
	default:
		return math.Erfc(-math.Log(factor)/s.Deviation/math.Sqrt2) / 2
	}
}

// quantile returns the factor that a length exceeds with a probability of 1-p.
func (s Spread) quantile(p float64) float64 {
	return math.Exp(s.Deviation * math.Sqrt2 * math.Erfinv(2*p-1))
}

// CompletionProbabilities summarises the completion probabilities of one request over all usable
// upstreams, with or without free capacity.
type CompletionProbabilities struct {
	// Best and Mean of the known probabilities. Mean is assumed for upstreams whose inter-token
	// latency is unknown. Assuming Best would send long responses to the slowest upstreams, which
	// are the last to be known.
	Best, Mean float64
	// MinTokens is the number of tokens that an upstream must be able to generate in time to be
	// used at all; 0 means any.
	MinTokens float64
}

// NewCompletionProbabilities computes the probabilities over all usable upstreams.
func NewCompletionProbabilities(now time.Time, upstreams []*Upstream, w Work) *CompletionProbabilities {
	best, sum, n := 0.0, 0.0, 0
	for _, u := range upstreams {
		if !u.Usable(now) {
			continue
		}
		p, known := w.completionProbability(now, u, u.PredictFirstToken(now, w.PromptTokens))
		if !known {
			continue
		}
		best = max(best, p)
		sum += p
		n++
	}
	if n == 0 {
		return &CompletionProbabilities{Best: 1, Mean: 1}
	}
	return &CompletionProbabilities{Best: best, Mean: sum / float64(n), MinTokens: w.lengthQuantile(minCompletionRatio * best)}
}

// lengthQuantile returns the length that the response exceeds with a probability of 1-p.
func (w Work) lengthQuantile(p float64) float64 {
	if p <= 0 {
		return 0
	}
	return float64(w.ExpectedOutput) * w.Spread.quantile(p)
}

// isTooSlow reports whether an upstream cannot generate MinTokens in time even if it starts
// immediately. It costs a tenth of computing the probability. It ignores that the upstream may be
// slower than usual, which the probability counts, and excludes none that is faster.
func (c *CompletionProbabilities) isTooSlow(u *Upstream, w Work) bool {
	return c.MinTokens > 0 && u.load.workExcess >= 0 && u.Speed.KnowsInterval() && float64(w.EndWithin) < c.MinTokens*float64(u.Speed.PredictDecode(1, 1))
}

// at returns the completion probability at one of the upstreams.
func (c *CompletionProbabilities) at(now time.Time, u *Upstream, w Work, first time.Duration) float64 {
	if p, known := w.completionProbability(now, u, first); known {
		return p
	}
	return c.Mean
}
