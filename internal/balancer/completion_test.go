package balancer

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/estimate"
)

// A response exceeds twice the expected length with a probability of 0.07 if callers' estimates
// have a spread of 0.48.
func TestCompletionProbabilityIsThatOfLogNormalLength(t *testing.T) {
	is := is.New(t)
	u := engine("u", 100_000, 10*time.Millisecond, 0)
	interval := float64(u.Speed.PredictDecode(1, 1))
	w := Work{PromptTokens: 100, ExpectedOutput: 500, MaxOutput: 4000, Spread: NewSpread(0.48)}
	for _, c := range []struct{ tokens, want float64 }{{500, 0.5}, {1000, 0.926}, {250, 0.074}, {0, 0}, {4000, 1}} {
		w.EndWithin = max(time.Duration(c.tokens*interval), 1)
		p, known := w.completionProbability(now, u, 0)
		is.True(known)
		is.True(math.Abs(p-c.want) < 0.01)
	}
	w.EndWithin = time.Second
	_, known := w.completionProbability(now, &Upstream{Speed: estimate.NewSpeed()}, 0)
	is.True(!known) // its inter-token latency is unknown
	w.ExpectedOutput = 0
	p, known := w.completionProbability(now, &Upstream{Speed: estimate.NewSpeed()}, 0)
	is.True(known && p == 1) // no expected length
}

// If the only engine with capacity is one on which a long response is unlikely to complete in time,
// the request waits for another engine. A short one uses it.
func TestLongResponseWaitsForEngineOnWhichItCompletes(t *testing.T) {
	is := is.New(t)
	p := &ObjectivePicker{Weights: DefaultObjectiveWeights}
	slow, fast := engine("slow", 16_000, 13*time.Millisecond, 0), engine("fast", 100_000, 3*time.Millisecond, 10)
	long := Work{PromptTokens: 500, ExpectedOutput: 1400, MaxOutput: 3000, Spread: NewSpread(0.48), FirstTokenWithin: time.Second, EndWithin: 12 * time.Second}
	short := long
	short.ExpectedOutput = 100
	both := []*Upstream{slow, fast}
	is.True(p.Pick(time.Now(), both, long).Upstream == nil)
	is.Equal(p.Pick(time.Now(), both, short).Upstream.ID, "slow")
	fast.Leaving = true // no better one is left
	is.Equal(p.Pick(time.Now(), both, long).Upstream.ID, "slow")
}

// Slow engines are the last whose inter-token latency is known, since their responses take the
// longest to complete. An unknown latency must not make an engine look better.
func TestLongResponseDoesNotPreferEnginesOfUnknownSpeed(t *testing.T) {
	is := is.New(t)
	p := &ObjectivePicker{Weights: DefaultObjectiveWeights}
	unknown := &Upstream{ID: "unknown", Zone: "bole", Slots: 10, Speed: estimate.NewSpeed()}
	list := []*Upstream{unknown, engine("slow", 16_000, 13*time.Millisecond, 0), engine("fast", 100_000, 3*time.Millisecond, 5)}
	long := Work{PromptTokens: 500, ExpectedOutput: 1400, MaxOutput: 3000, Spread: NewSpread(0.48), FirstTokenWithin: time.Second, EndWithin: 12 * time.Second}
	is.Equal(p.Pick(time.Now(), list, long).Upstream.ID, "fast")
	is.Equal(p.Pick(time.Now(), []*Upstream{unknown}, long).Upstream.ID, "unknown") // while nothing is known
}
