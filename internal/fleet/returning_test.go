package fleet

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/queue"
	"github.com/tacktally/tacktally/internal/retryschedule"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/view"
	"github.com/tacktally/tacktally/internal/virtualtime"
)

// schedulingOwner returns the Fleet of an owner that reaches no peer, with a retry schedule and an
// upstream with one slot.
func schedulingOwner(address string) *Fleet {
	f := New(Options{
		Instance: address, Limits: queue.Limits{MaxItems: 8}, Overload: Overload{RetrySchedule: true},
		Metrics: telemetry.NewMetrics(), Log: telemetry.NewLogger(io.Discard, "error", "test"),
	})
	f.SetSlotClient(noSlots{})
	f.SetUpstreams(view.List{Version: 1, Upstreams: []view.Upstream{{ID: "i-1", Service: "s", Address: "127.0.0.1:1", Slots: 1}}})
	f.SetInstances(instances(2))
	return f
}

// sameContent is a request whose content, and so its digest, is always the same.
func sameContent() *AcquireRequest {
	r := generation()
	r.Identity.Key = quarantine.Key{Digest: 7}
	r.Attempt = peer.FirstAttempt
	return r
}

func retryCounts(f *Fleet) (counts retryschedule.Counts) {
	f.shardAt("s", 0).pool.View(func(core *scheduler.Core) { counts = core.RetryCounts()[0] })
	return counts
}

// The owner that told a caller when to return is cut off by then. The one on the caller's side knows
// nothing of it: it must serve the return as a new request, and the first owner must not grant what
// it has refused.
func TestReturnAtAnotherOwnerIsServedAsNew(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		first, second := schedulingOwner("10.0.0.0:1"), schedulingOwner("10.0.0.1:1")
		running, problem := first.Acquire(t.Context(), generation())
		is.True(problem == nil)
		_, problem = first.Acquire(t.Context(), sameContent())
		is.True(problem != nil)
		is.Equal(problem.Outcome, api.NotRun)
		is.True(problem.RetryAfter > 0)
		<-time.After(problem.RetryAfter)
		running.End(scheduler.Completed, 1)
		is.Equal(len(first.Load().Running), 0) // the refused request got no slot, then or later
		granted, problem := second.Acquire(t.Context(), sameContent())
		is.True(problem == nil)
		is.Equal(retryCounts(second), retryschedule.Counts{})                        // new there
		is.Equal(retryCounts(first).ToldEarly+retryCounts(first).ToldLate, int64(1)) // booked by the first alone
		granted.End(scheduler.Completed, 1)
		_, problem = first.Acquire(t.Context(), sameContent())
		is.True(problem == nil)
		is.Equal(retryCounts(first).ReturnedOnTime, int64(1)) // the same return would have been known here
	})
}
