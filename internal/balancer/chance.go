package balancer

import (
	"math"
	"time"
)

// chance is the probability that the answer ends in time on an upstream, where its first token comes
// so much later. The length is log-normal around what is expected of it, which is how the errors of
// callers' estimates are spread; nothing is longer than its limit. It isn't known where nothing is
// known of the upstream's pace, and is 1 where nothing is known of the length.
func (w Work) chance(u *Upstream, first time.Duration) (p float64, known bool) {
	if w.EndWithin <= 0 || w.ExpectedOutput <= 0 {
		return 1, true
	}
	if !u.Speed.KnowsInterval() {
		return 0, false
	}
	most := float64(w.EndWithin-first) / float64(u.Speed.PredictDecode(1, 1)) // tokens
	if w.MaxOutput > 0 && most >= float64(w.MaxOutput) {
		return 1, true
	}
	return w.Spread.below(most / float64(w.ExpectedOutput)), true
}

// Spread is how far lengths are from what is expected of them: the Deviation is the standard deviation
// of the logarithm. The zero Spread has none.
type Spread struct {
	Deviation float64
	// far is the factor beyond which no length lies, to a few in a thousand.
	far float64
}

// farDeviations are how many standard deviations far is.
const farDeviations = 3

// NewSpread returns a spread of a standard deviation.
func NewSpread(deviation float64) Spread {
	return Spread{Deviation: deviation, far: math.Exp(farDeviations * deviation)}
}

// below is the probability that a length is less than so many times what is expected. Most of what is
// asked lies far from it, which costs a tenth of the rest.
func (s Spread) below(factor float64) float64 {
	switch {
	case s.Deviation == 0 && factor >= 1, s.Deviation > 0 && factor > s.far:
		return 1
	case s.Deviation == 0, factor*s.far < 1:
		return 0
	default:
		return math.Erfc(-math.Log(factor)/s.Deviation/math.Sqrt2) / 2
	}
}

// quantile is the factor that a length exceeds with a probability of 1-p.
func (s Spread) quantile(p float64) float64 {
	return math.Exp(s.Deviation * math.Sqrt2 * math.Erfinv(2*p-1))
}

// CompletionProbabilities are those of one request over all upstreams that work, whether they have room or not.
type CompletionProbabilities struct {
	// Best of them, and the Mean, which is assumed of upstreams whose pace isn't known. Assuming the
	// best would send long answers to the slowest, which are the last to be known.
	Best, Mean float64
	// MinTokens is the length that an upstream must be able to write in time to get the request at
	// all; 0 is any.
	MinTokens float64
}

// NewCompletionProbabilities looks at all upstreams that work.
func NewCompletionProbabilities(now time.Time, upstreams []*Upstream, w Work) *CompletionProbabilities {
	best, sum, n := 0.0, 0.0, 0
	for _, u := range upstreams {
		if !u.Usable(now) {
			continue
		}
		p, known := w.chance(u, u.Speed.PredictFirstToken(w.PromptTokens))
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
	return &CompletionProbabilities{Best: best, Mean: sum / float64(n), MinTokens: w.lengthOf(leastChance * best)}
}

// lengthOf is the length that the answer exceeds with a probability of 1-p.
func (w Work) lengthOf(p float64) float64 {
	if p <= 0 {
		return 0
	}
	return float64(w.ExpectedOutput) * w.Spread.quantile(p)
}

// isTooSlow tells whether an upstream can't write enough in time even if it begins at once. It costs a
// tenth of working out the chance.
func (c *CompletionProbabilities) isTooSlow(u *Upstream, w Work) bool {
	return c.MinTokens > 0 && u.Speed.KnowsInterval() && float64(w.EndWithin) < c.MinTokens*float64(u.Speed.PredictDecode(1, 1))
}

// at is the chance at one of the upstreams.
func (c *CompletionProbabilities) at(u *Upstream, w Work, first time.Duration) float64 {
	if p, known := w.chance(u, first); known {
		return p
	}
	return c.Mean
}
