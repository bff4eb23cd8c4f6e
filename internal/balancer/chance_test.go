package balancer

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/estimate"
)

// An answer of twice what is expected has a chance of 7 in 100 where callers' estimates spread by 0.48.
func TestTheChanceToEndIsThatOfALogNormalLength(t *testing.T) {
	is := is.New(t)
	u := engine("u", 100_000, 10*time.Millisecond, 0)
	pace := float64(u.Speed.PredictDecode(1, 1))
	w := Work{PromptTokens: 100, ExpectedOutput: 500, MaxOutput: 4000, Spread: NewSpread(0.48)}
	for _, c := range []struct{ tokens, want float64 }{{500, 0.5}, {1000, 0.926}, {250, 0.074}, {0, 0}, {4000, 1}} {
		w.EndWithin = max(time.Duration(c.tokens*pace), 1)
		p, known := w.chance(u, 0)
		is.True(known)
		is.True(math.Abs(p-c.want) < 0.01)
	}
	w.EndWithin = time.Second
	_, known := w.chance(&Upstream{Speed: estimate.NewSpeed()}, 0)
	is.True(!known) // nothing is known of its pace
	w.ExpectedOutput = 0
	p, known := w.chance(&Upstream{Speed: estimate.NewSpeed()}, 0)
	is.True(known && p == 1) // nor of the length
}

// Where only an engine has room on which a long answer hardly ends in time, it waits for another one; a
// short one takes it.
func TestALongAnswerWaitsForAnEngineOnWhichItEnds(t *testing.T) {
	is := is.New(t)
	p := &ObjectivePicker{Weights: DefaultObjectiveWeights}
	slow, fast := engine("slow", 16_000, 13*time.Millisecond, 0), engine("fast", 100_000, 3*time.Millisecond, 10)
	long := Work{PromptTokens: 500, ExpectedOutput: 1400, MaxOutput: 3000, Spread: NewSpread(0.48), FirstTokenWithin: time.Second, EndWithin: 12 * time.Second}
	short := long
	short.ExpectedOutput = 100
	both := []*Upstream{slow, fast}
	is.True(p.Pick(time.Now(), both, long).Upstream == nil)
	is.Equal(p.Pick(time.Now(), both, short).Upstream.ID, "slow")
	fast.Leaving = true // nothing better is to be had
	is.Equal(p.Pick(time.Now(), both, long).Upstream.ID, "slow")
}

// Slow engines are the last whose pace is known, since their answers take the longest to end. One whose
// pace isn't known doesn't look better for that.
func TestALongAnswerDoesNotTryEnginesOfUnknownPaceFirst(t *testing.T) {
	is := is.New(t)
	p := &ObjectivePicker{Weights: DefaultObjectiveWeights}
	unknown := &Upstream{ID: "unknown", Zone: "bole", Slots: 10, Speed: estimate.NewSpeed()}
	list := []*Upstream{unknown, engine("slow", 16_000, 13*time.Millisecond, 0), engine("fast", 100_000, 3*time.Millisecond, 5)}
	long := Work{PromptTokens: 500, ExpectedOutput: 1400, MaxOutput: 3000, Spread: NewSpread(0.48), FirstTokenWithin: time.Second, EndWithin: 12 * time.Second}
	is.Equal(p.Pick(time.Now(), list, long).Upstream.ID, "fast")
	is.Equal(p.Pick(time.Now(), []*Upstream{unknown}, long).Upstream.ID, "unknown") // until anything is known
}
