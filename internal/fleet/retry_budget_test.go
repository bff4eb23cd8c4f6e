package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/retrybudget"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/virtualtime"
)

// The retry budget of a service must not depend on the number of instances: a tenth of the requests fail
// and are retried, in fleets in which each instance gets less than one request per second as well as in
// small ones.
func TestRetryBudgetSufficesInLargeFleet(t *testing.T) {
	const failing = 10 // one of this many requests fails
	for _, instances := range []int{6, 584, 1_200} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSizedFleet(300, instances-1)
				s.fleet.o.RetryBudget = retrybudget.Bound{Share: 0.2, Extra: 640, Window: 10 * time.Second}
				for _, service := range s.fleet.services {
					s.fleet.updateRetryBudgets(service)
				}
				wanted, retried := 0, 0
				for range 10 { // seconds
					<-time.After(time.Second)
					for i := range 10 * failing {
						shard := s.fleet.all()[i%len(s.fleet.all())]
						is.True(charge(shard.retryBudget, peer.FirstAttempt) == nil)
						if i%failing > 0 {
							continue
						}
						wanted++
						if charge(shard.retryBudget, peer.RetryAttempt) == nil {
							retried++
						}
					}
				}
				is.True(retried > wanted*9/10)
			})
		})
	}
}

// Guards against a retry budget that replacements use up which aren't needed any more.
func TestUnusedRetryIsRefunded(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSizedFleet(1, 0)
		s.fleet.SetSlotClient(nil) // the only instance
		s.fleet.o.RetryBudget = retrybudget.Bound{Extra: 3, Window: time.Second}
		s.fleet.updateRetryBudgets(s.fleet.services["s"])
		req := generation()
		req.Attempt = peer.RetryAttempt
		_, problem := s.fleet.Acquire(t.Context(), req)
		is.Equal(problem.Reason, api.ReasonRetryBudget) // it starts empty
		<-time.After(2 * time.Second)                   // it holds one retry
		for range 2 {
			g, problem := s.fleet.Acquire(t.Context(), req)
			is.True(problem == nil)
			g.End(scheduler.Unused, 0)
		}
		g, problem := s.fleet.Acquire(t.Context(), req)
		is.True(problem == nil)
		g.End(scheduler.Completed, 1)
		_, problem = s.fleet.Acquire(t.Context(), req)
		is.True(problem != nil)
		is.Equal(problem.Reason, api.ReasonRetryBudget)
	})
}

// A retry is refused if the budget is empty, and one that gets no slot costs nothing.
func TestRetryIsChargedOnlyIfGranted(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSizedFleet(1, 0)
		s.fleet.SetSlotClient(nil) // the only instance
		s.fleet.o.RetryBudget = retrybudget.Bound{Extra: 3, Window: time.Second}
		s.fleet.updateRetryBudgets(s.fleet.services["s"])
		retry := func() (Grant, *api.Problem) {
			req := generation()
			req.Attempt = peer.RetryAttempt
			req.Request.MaxWait = time.Nanosecond
			return s.fleet.Acquire(t.Context(), req)
		}
		_, problem := retry()
		is.Equal(problem.Reason, api.ReasonRetryBudget) // it starts empty
		var grants []Grant
		for range s.list[0].Slots {
			g, problem := s.fleet.Acquire(t.Context(), generation())
			is.True(problem == nil)
			grants = append(grants, g)
		}
		<-time.After(2 * time.Second)
		_, problem = retry()
		is.True(problem != nil && problem.Reason != api.ReasonRetryBudget) // no free slot
		grants[0].End(scheduler.Completed, 1)
		_, problem = retry()
		is.True(problem == nil)
	})
}

// Instances that start while their links are silent know no other. Each took itself for the only one and for the
// owner of everything, as long as that lasted.
func TestInstanceThatReachesNoneOfItsFleetIsNotTheOwner(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSizedFleet(1, 0) // its SlotClient knows of no fleet size
		s.fleet.o.RetryBudget = retrybudget.Bound{Extra: 30, Window: time.Second}
		s.fleet.updateRetryBudgets(s.fleet.services["s"])
		q := NewQuotas(time.Now(), Allowance{Share: 0.25, Window: 8 * time.Second}, s.fleet)
		<-time.After(time.Minute)
		_, role := s.fleet.bucketRole(0)
		is.Equal(role, roleOther)
		g := q.grant(&peer.QuotaRequest{Organisation: "crews", Rate: 100, Burst: 20, Tokens: 1, Allowance: 200})
		is.True(g.by == nil)
		_, problem := s.fleet.chargeByRole(s.fleet.all()[0], peer.RetryAttempt)
		is.True(problem != nil)
	})
}
