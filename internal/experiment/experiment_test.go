package experiment

import (
	"testing"

	"github.com/matryer/is"
)

// Runs with the same seed are identical, and no run sheds a higher tier while a reachable instance has
// lower tiers queued.
func TestRunsAreReproducibleAndShedLowestTierFirst(t *testing.T) {
	own := Policies()[0]
	for _, s := range Scenarios() {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			one, two := Run(Colombo(), s, own, 7), Run(Colombo(), s, own, 7)
			is.Equal(one.InTime, two.InTime)
			is.Equal(one.PrefilledTokens, two.PrefilledTokens)
			is.Equal(one.Sheds, two.Sheds)
			is.Equal(one.Violations, 0)
		})
	}
}

// The check for violations detects a run that has some: instances that are reachable but never shed for
// each other.
func TestViolationsAreDetected(t *testing.T) {
	is := is.New(t)
	noPressure := Policies()[0]
	noPressure.noPressure = true
	burst := Scenarios()[1]
	is.True(Run(Colombo(), burst, noPressure, 7).Violations > 0)
}

// Every offered request ends in exactly one way: in time, late or shed.
func TestEveryRequestEndsOnce(t *testing.T) {
	is := is.New(t)
	for _, p := range Policies() {
		r := Run(Addis(), Scenarios()[2], p, 3)
		for tier := range ranks {
			ended := r.InTime[tier] + r.Late[tier]
			for _, n := range r.Sheds[tier] {
				ended += n
			}
			is.Equal(ended, r.Offered[tier])
		}
	}
}
