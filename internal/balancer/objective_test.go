package balancer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/estimate"
)

// engine returns an upstream that was observed to prefill the given number of prompt tokens per
// second, with the given interval between output tokens.
func engine(id string, prefill float64, interval time.Duration, running int) *Upstream {
	u := &Upstream{ID: id, Zone: "bole", Slots: 10, Running: running, Speed: estimate.NewSpeed()}
	for range 200 {
		u.Speed.ObserveInterval(interval)
		u.Speed.ObserveFirstToken(10_000, time.Duration(10_000/prefill*float64(time.Second))+interval)
	}
	return u
}

func TestObjectivePickerMeetsTheObjective(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		fastRunning, slowRunning int
		work                     Work
		want                     string
	}{
		"a long prompt goes to the engine that prefills it in time, even if crowded": {
			9, 0, Work{PromptTokens: 30_000, FirstTokenWithin: 800 * time.Millisecond, EndWithin: 15 * second}, "fast"},
		"a short prompt avoids the crowded engine":            {9, 0, Work{PromptTokens: 500, FirstTokenWithin: 800 * time.Millisecond, EndWithin: 15 * second}, "slow"},
		"a full engine gets nothing":                          {10, 9, Work{PromptTokens: 30_000, FirstTokenWithin: 800 * time.Millisecond, EndWithin: 15 * second}, "slow"},
		"a long response goes where it can complete in time":  {3, 0, Work{PromptTokens: 500, ExpectedOutput: 2000, FirstTokenWithin: 800 * time.Millisecond, EndWithin: 15 * second}, "fast"},
		"of two idle engines the one with the faster prefill": {0, 0, Work{PromptTokens: 3000, FirstTokenWithin: 800 * time.Millisecond, EndWithin: 15 * second}, "fast"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &ObjectivePicker{Weights: DefaultObjectiveWeights}
			fast := engine("fast", 100_000, 3*time.Millisecond, c.fastRunning)
			slow := engine("slow", 16_000, 13*time.Millisecond, c.slowRunning)
			is.Equal(p.Pick(time.Now(), []*Upstream{slow, fast}, c.work).Upstream.ID, c.want)
		})
	}
}

func TestObjectivePickerPrefersOwnZone(t *testing.T) {
	is := is.New(t)
	p := &ObjectivePicker{CrossZoneCost: 5 * time.Millisecond, Weights: DefaultObjectiveWeights}
	far := &Upstream{ID: "far", Zone: "bole", Slots: 6}
	near := &Upstream{ID: "near", Zone: "merkato", Slots: 6}
	is.Equal(p.Pick(time.Now(), []*Upstream{far, near}, Work{Zone: "merkato"}).Upstream.ID, "near")
	near.Running = 1 // one slot of six costs more than the other zone
	is.Equal(p.Pick(time.Now(), []*Upstream{far, near}, Work{Zone: "merkato"}).Upstream.ID, "far")
}

// An upstream in another region costs a round trip. It is used if the near ones are crowded.
func TestObjectivePickerPrefersOwnRegion(t *testing.T) {
	is := is.New(t)
	p := &ObjectivePicker{CrossZoneCost: 5 * time.Millisecond, CrossRegionCost: 30 * time.Millisecond, Weights: DefaultObjectiveWeights}
	far := &Upstream{ID: "far", Zone: "b", Region: "south", Slots: 20}
	near := &Upstream{ID: "near", Zone: "c", Region: "north", Slots: 20, Running: 1}
	work := Work{Zone: "a", Region: "north"}
	is.Equal(p.Pick(time.Now(), []*Upstream{far, near}, work).Upstream.ID, "near")
	near.Running = 3 // three slots of 20 cost more than the other region
	is.Equal(p.Pick(time.Now(), []*Upstream{far, near}, work).Upstream.ID, "far")
	near.Running, far.Region = 1, "" // unknown
	is.Equal(p.Pick(time.Now(), []*Upstream{far, near}, work).Upstream.ID, "far")
}

func TestObjectivePickerAvoidsFailingUpstream(t *testing.T) {
	is := is.New(t)
	p := &ObjectivePicker{Weights: DefaultObjectiveWeights}
	grey := &Upstream{ID: "grey", Zone: "bole", Slots: 10}
	sound := &Upstream{ID: "sound", Zone: "bole", Slots: 10, Running: 5}
	is.Equal(p.Pick(time.Now(), []*Upstream{grey, sound}, Work{}).Upstream.ID, "grey")
	for i := range 10 { // every second request fails
		grey.ObserveEnd(i%2 == 0)
		sound.ObserveEnd(false)
	}
	is.Equal(p.Pick(time.Now(), []*Upstream{grey, sound}, Work{}).Upstream.ID, "sound")
}

func TestObjectivePickerPicksNoFullUpstream(t *testing.T) {
	is := is.New(t)
	p := &ObjectivePicker{Weights: DefaultObjectiveWeights}
	full := &Upstream{ID: "full", Slots: 6, Running: 2, RunningElsewhere: 4}
	is.True(p.Pick(time.Now(), []*Upstream{full}, Work{}).Upstream == nil)
}
