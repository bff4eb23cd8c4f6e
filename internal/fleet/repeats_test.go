package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/retrybudget"
	"github.com/tacktally/tacktally/internal/scheduler"
)

// What a service's callers may have sent again doesn't depend on how many instances they come to: a tenth of
// the requests fail and are sent again, in fleets that get less than one request a second each as in small ones.
func TestRepeatsDoNotRunOutInALargeFleet(t *testing.T) {
	const failing = 10 // one in so many
	for _, instances := range []int{6, 584, 1_200} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSized(300, instances-1)
				s.fleet.o.Repeats = retrybudget.Slack{Share: 0.2, Extra: 640, Window: 10 * time.Second}
				for _, service := range s.fleet.services {
					s.fleet.shareRepeats(service)
				}
				asked, repeated := 0, 0
				for range 10 { // seconds
					<-time.After(time.Second)
					for i := range 10 * failing {
						shard := s.fleet.all()[i%len(s.fleet.all())]
						is.True(charge(shard.repeats, peer.FirstAttempt) == nil)
						if i%failing > 0 {
							continue
						}
						asked++
						if charge(shard.repeats, peer.RetryAttempt) == nil {
							repeated++
						}
					}
				}
				is.True(repeated > asked*9/10)
			})
		})
	}
}

// A repeat that the budget lacks isn't made, and one that gets no slot costs nothing.
func TestARepeatIsPaidForOnceItIsMade(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSized(1, 0)
		s.fleet.o.Repeats = retrybudget.Slack{Extra: 3, Window: time.Second}
		s.fleet.shareRepeats(s.fleet.services["s"])
		repeat := func() (Lease, *api.Problem) {
			w := generation()
			w.Ask = peer.RetryAttempt
			w.Request.Patience = time.Nanosecond
			return s.fleet.Acquire(t.Context(), w)
		}
		_, problem := repeat()
		is.Equal(problem.Reason, api.ReasonRetryBudget) // it starts empty
		var held []Lease
		for range s.list[0].Slots {
			l, problem := s.fleet.Acquire(t.Context(), generation())
			is.True(problem == nil)
			held = append(held, l)
		}
		<-time.After(2 * time.Second)
		_, problem = repeat()
		is.True(problem != nil && problem.Reason != api.ReasonRetryBudget) // no room
		held[0].End(scheduler.Completed, 1)
		_, problem = repeat()
		is.True(problem == nil)
	})
}
