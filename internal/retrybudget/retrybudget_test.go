package retrybudget

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// drain withdraws until the budget refuses.
func drain(b *Budget) (n int) {
	for b.Withdraw() {
		n++
	}
	return n
}

func TestRepeatsFollowFirstAttempts(t *testing.T) {
	is := is.New(t)
	b := New(Options{Share: 0.5, Initial: 2, Max: 4})
	is.Equal(drain(b), 2)
	for range 4 {
		b.Deposit()
	}
	is.Equal(drain(b), 2)
	for range 100 {
		b.Deposit()
	}
	is.Equal(drain(b), 4) // no more than the ceiling is saved up
}

func TestInstancesTogetherKeepTheBoundInEachWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		slack := Bound{Share: 0.2, Extra: 60, Window: 10 * time.Second}
		const instances = 6
		repeats := 0
		for range instances {
			b := New(slack.PerInstance(instances))
			repeats += drain(b)
			for range 10 {
				<-time.After(time.Second)
				repeats += drain(b)
			}
		}
		is.True(repeats <= 60)
		is.True(repeats >= 40) // most of it is usable
	})
}

func TestAFewerShareIsHeldOnceMoreInstancesAreKnown(t *testing.T) {
	is := is.New(t)
	slack := Bound{Share: 0.2, Extra: 60, Window: 10 * time.Second}
	b := New(slack.PerInstance(1))
	b.SetOptions(slack.PerInstance(6))
	is.Equal(drain(b), 5)
}

// Owners of the parts of a service together keep the bound in each window, also where each part changes its
// owner within it. How many instances there are doesn't matter.
func TestOwnersTogetherKeepTheBoundInEachWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		slack := Bound{Share: 0.2, Extra: 640, Window: 10 * time.Second}
		const parts = 23
		repeats := 0
		for range parts {
			before, after := New(slack.PerOwner(parts, 1)), New(slack.PerOwner(parts, 1))
			<-time.After(10 * time.Second) // what they may hold comes back
			repeats += drain(before)
			<-time.After(5 * time.Second)
			repeats += drain(before)
			repeats += drain(after)
			<-time.After(5 * time.Second)
			repeats += drain(after)
		}
		is.True(repeats <= 640)
		is.True(repeats >= 500)
	})
}

// An owner that reaches a part of the fleet alone holds that part.
func TestAnOwnerThatReachesHalfOfTheFleetHoldsHalf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		slack := Bound{Extra: 60, Window: 10 * time.Second}
		b := New(slack.PerOwner(1, 0.5))
		is.Equal(drain(b), 0) // it starts empty
		<-time.After(20 * time.Second)
		is.Equal(drain(b), 10)
		b.Return()
		is.Equal(drain(b), 1)
	})
}
