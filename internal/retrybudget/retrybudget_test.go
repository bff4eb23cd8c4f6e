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
	b := New(Options{Share: 0.5, Floor: 2, Ceiling: 4})
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
		slack := Slack{Share: 0.2, Extra: 60, Window: 10 * time.Second}
		const instances = 6
		repeats := 0
		for range instances {
			b := New(slack.Split(instances))
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
	slack := Slack{Share: 0.2, Extra: 60, Window: 10 * time.Second}
	b := New(slack.Split(1))
	b.SetOptions(slack.Split(6))
	is.Equal(drain(b), 5)
}
