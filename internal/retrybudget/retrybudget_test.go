package retrybudget

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/virtualtime"
)

// drain withdraws until the budget refuses, and returns the number of retries.
func drain(b *Budget) (n int) {
	for b.Withdraw() {
		n++
	}
	return n
}

func TestFirstAttemptsAddRetriesUpToMax(t *testing.T) {
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
	is.Equal(drain(b), 4) // the balance is bounded by Max
}

// The owner, the standby and all instances that decide alone keep the bound together, and most of it is the owner's.
func TestInstancesTogetherKeepBoundInEachWindow(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		bound := Bound{Share: 0.2, Extra: 60, Window: 10 * time.Second}
		const instances = 6
		all := []*Budget{New(bound.PerOwner(1, 1)), New(bound.PerStandby(1, 1))}
		for range instances {
			all = append(all, New(bound.PerInstance(instances)))
		}
		<-time.After(10 * time.Second) // all balances fill to their maximum
		retries := 0
		for range 11 {
			for _, b := range all {
				retries += drain(b)
			}
			<-time.After(time.Second)
		}
		is.True(retries <= 60)
		is.True(retries >= 40) // most of it is usable
	})
}

func TestSetOptionsReducesBalance(t *testing.T) {
	is := is.New(t)
	b := New(Options{Initial: 30, Max: 30})
	b.SetOptions(Options{Max: 5})
	is.Equal(drain(b), 5)
}

// An instance that takes over a shard doesn't know what the one before has used.
func TestEmptyTakesWhatABudgetHolds(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := New(Options{Initial: 30, Max: 30, PerSecond: 1})
		<-time.After(time.Hour)
		b.Empty()
		is.Equal(drain(b), 0)
		<-time.After(5 * time.Second)
		is.Equal(drain(b), 5)
	})
}

// The owners of the shards of a service together keep the bound in each window, also if each shard changes its
// owner within it. The number of instances doesn't matter.
func TestOwnersTogetherKeepBoundInEachWindow(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		bound := Bound{Share: 0.2, Extra: 640, Window: 10 * time.Second}
		const shards = 23
		retries := 0
		for range shards {
			previous, next := New(bound.PerOwner(shards, 1)), New(bound.PerOwner(shards, 1))
			<-time.After(10 * time.Second) // both balances fill to their maximum
			retries += drain(previous)
			<-time.After(5 * time.Second)
			retries += drain(previous)
			retries += drain(next)
			<-time.After(5 * time.Second)
			retries += drain(next)
		}
		is.True(retries <= 640)
		is.True(retries >= 500)
	})
}

// An owner that can reach only a share of the fleet holds that share of the budget.
func TestOwnerThatReachesHalfOfTheFleetHoldsHalf(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		bound := Bound{Extra: 60, Window: 10 * time.Second}
		b := New(bound.PerOwner(1, 0.5))
		is.Equal(drain(b), 0) // it starts empty
		<-time.After(20 * time.Second)
		is.Equal(drain(b), 10)
		b.Return()
		is.Equal(drain(b), 1)
	})
}
