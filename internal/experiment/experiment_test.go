package experiment

import (
	"testing"

	"github.com/matryer/is"
)

// Equal seeds give equal runs, and no run sheds a higher tier while lower work
// waits within reach.
func TestRunsAreEqualAndShedTheLowestFirst(t *testing.T) {
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

// The predicate is shown a run that breaks it: instances that never relieve each
// other while they are within reach.
func TestViolationsAreSeen(t *testing.T) {
	is := is.New(t)
	unrelieved := Policies()[0]
	unrelieved.unrelieved = true
	burst := Scenarios()[1]
	is.True(Run(Colombo(), burst, unrelieved, 7).Violations > 0)
}

// Every request offered ends in one way.
func TestEveryRequestEnds(t *testing.T) {
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
